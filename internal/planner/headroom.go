package planner

import (
	"math"

	"lynxledge/wire"
)

// urgentKind groups urgent jobs that share their headroom.
type urgentKind struct {
	priority  wire.Priority
	allowSpot bool
}

// urgentWork sums up the running and waiting tasks of one urgentKind.
type urgentWork struct {
	cpus    float64
	largest *wire.Job // the job with the most CPUs per task; of equals, that with the lowest ID
}

// add adds a number of tasks of a job.
func (w *urgentWork) add(j *wire.Job, tasks int) {
	w.cpus += float64(tasks) * j.CPUs
	if l := w.largest; l == nil || j.CPUs > l.CPUs || j.CPUs == l.CPUs && j.ID < l.ID {
		w.largest = j
	}
}

// headroom returns demands that keep capacity free for urgent jobs still to be submitted: a share
// of the CPUs that jobs of priority high and production use and wait for. Scarce zones, which offer
// fewer machine types than others, are excluded.
func (c *cycle) headroom() []Demand {
	if c.HeadroomShare <= 0 {
		return nil
	}
	var demands []Demand
	for _, work := range c.urgentWork() {
		j := *work.largest
		j.Zone, j.SingleZone, j.SpreadZones = "", false, false
		demands = append(demands, Demand{
			Job:                &j,
			Count:              int(math.Ceil(work.cpus * c.HeadroomShare / j.CPUs)),
			DeadlineSeconds:    math.Inf(1),
			excludeScarceZones: true,
		})
	}
	return demands
}

// urgentWork sums up the running and waiting tasks of urgent jobs by kind.
func (c *cycle) urgentWork() map[urgentKind]*urgentWork {
	work := map[urgentKind]*urgentWork{}
	add := func(j *wire.Job, tasks int) {
		if j == nil || j.Priority < wire.PriorityHigh {
			return
		}
		kind := urgentKind{j.Priority, j.AllowSpot}
		if work[kind] == nil {
			work[kind] = &urgentWork{}
		}
		work[kind].add(j, tasks)
	}
	for i := range c.Machines {
		for _, task := range c.Machines[i].Tasks {
			add(task.Job, 1)
		}
	}
	for i := range c.Demands {
		add(c.Demands[i].Job, c.Demands[i].Count)
	}
	return work
}
