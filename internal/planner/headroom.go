package planner

import (
	"math"

	"lynxledge/wire"
)

// urgentKind is a kind of urgent jobs for which headroom is kept.
type urgentKind struct {
	priority wire.Priority
	spot     bool
}

// urgentWork is the running and waiting tasks of one kind.
type urgentWork struct {
	cpus    float64
	largest *wire.Job // with the largest tasks; the lowest ID of equals
}

// add counts tasks of a job.
func (w *urgentWork) add(j *wire.Job, tasks int) {
	w.cpus += float64(tasks) * j.CPUs
	if l := w.largest; l == nil || j.CPUs > l.CPUs || j.CPUs == l.CPUs && j.ID < l.ID {
		w.largest = j
	}
}

// headroom returns demands for the capacity that urgent arrivals find free: a share of what
// jobs of the priorities high and production use and wait for, in zones that are not scarce.
func (c *cycle) headroom() []Demand {
	if c.HeadroomShare <= 0 {
		return nil
	}
	var demands []Demand
	for _, work := range c.urgentWork() {
		j := *work.largest
		j.Zone, j.SingleZone, j.SpreadZones = "", false, false
		demands = append(demands, Demand{
			Job:             &j,
			Count:           int(math.Ceil(work.cpus * c.HeadroomShare / j.CPUs)),
			DeadlineSeconds: math.Inf(1),
			ampleZonesOnly:  true,
		})
	}
	return demands
}

// urgentWork sums up the running and waiting tasks of urgent jobs.
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
