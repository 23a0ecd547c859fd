package autoscaler

import (
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/estimate"
	"lynxledge/internal/placement"
	"lynxledge/internal/planner"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// overdueDeadlineMultiple is how many times its last deadline a job may wait for cheap
// machines before any machine will do.
const overdueDeadlineMultiple = 4

// runnableDemands returns the pending tasks of runnable jobs.
func (g *inputGatherer) runnableDemands() []planner.Demand {
	var demands []planner.Demand
	for id, job := range g.jobs.active {
		if demand, ok := g.demand(id, job, 0); ok {
			demands = append(demands, demand)
		}
	}
	return demands
}

// upcomingDemands returns the tasks of blocked jobs that become runnable soon. Their load
// counts in their own window: their machines are provisioned so that they are up as the job
// becomes runnable, not long before.
func (g *inputGatherer) upcomingDemands(waits map[wire.JobID]estimate.DependencyWait) []planner.Demand {
	ops := &g.config.Operator
	var demands []planner.Demand
	for id, dependencies := range waits {
		wait := config.Seconds(dependencies.WaitSeconds)
		if wait > ops.BootLag+ops.PlanningInterval {
			continue
		}
		if demand, ok := g.demand(id, g.jobs.blocked[id], wait); ok {
			demands = append(demands, demand)
		}
	}
	return demands
}

// demand returns the pending tasks of a job that is runnable after a wait, if there are any.
func (g *inputGatherer) demand(id wire.JobID, job *statecache.Job, wait time.Duration) (demand planner.Demand, ok bool) {
	pending := g.view.PendingTasks(id, job)
	if pending <= 0 {
		return planner.Demand{}, false
	}
	runtimeSeconds := g.jobs.runtimeSeconds(job.Spec)
	runtime := config.Seconds(runtimeSeconds)
	age := config.Milliseconds(int64(statecache.TimestampOf(g.now) - job.RunnableSince()))
	deadlines := estimate.Deadlines(g.config, job, runtime, age, age+wait)
	leadTime := g.config.Operator.BootLag + runtime
	untilDeadline := firstFeasible(deadlines, age, leadTime)
	lastDeadline := deadlines[len(deadlines)-1]
	return planner.Demand{
		Job:             job.Spec,
		Count:           g.limitByQuota(job.Spec, pending),
		DeadlineSeconds: untilDeadline.Seconds(),
		RuntimeSeconds:  runtimeSeconds,
		Late:            !job.Spec.IsService() && leadTime > untilDeadline,
		Overdue:         age > overdueDeadlineMultiple*lastDeadline && !g.hasSuitableMachine(job.Spec),
		Zones:           placement.ZoneCountsOf(g.view, id),
	}, true
}

// firstFeasible returns the time from an age until the first deadline that a machine
// provisioned now can still meet, or until the last deadline.
func firstFeasible(deadlines []time.Duration, age, leadTime time.Duration) (untilDeadline time.Duration) {
	for _, deadline := range deadlines {
		untilDeadline = deadline - age
		if leadTime <= untilDeadline {
			break
		}
	}
	return untilDeadline
}

// limitByQuota returns how many of so many pending tasks the team's quota lets run at once.
func (g *inputGatherer) limitByQuota(spec *wire.Job, pending int) int {
	quota, ok := g.config.Params.TeamQuota(spec.Team)
	if ok && quota.MaxCPUs > 0 {
		pending = min(pending, int(quota.MaxCPUs/spec.CPUs))
	}
	if ok && quota.MaxGPUs > 0 && spec.GPUs > 0 {
		pending = min(pending, int(quota.MaxGPUs/spec.GPUs))
	}
	return pending
}

// hasSuitableMachine tells whether any schedulable machine may run the job's tasks: then it
// waits its turn, however late it is. More expensive machines would not make it any less late.
func (g *inputGatherer) hasSuitableMachine(spec *wire.Job) bool {
	for pool := range g.schedulablePools {
		t := g.machineTypes.find(pool.MachineType)
		if t != nil && slices.Contains(t.Zones, pool.Zone) &&
			placement.Allowed(spec, pool.MachineType, pool.Zone, pool.Spot) &&
			resources.OfTask(spec).Fits(resources.OfMachineType(t)) {
			return true
		}
	}
	return false
}

// replacementDemands returns a demand for each replica on a suspected machine: it may have to
// be replaced.
func (g *inputGatherer) replacementDemands() []planner.Demand {
	var demands []planner.Demand
	for _, m := range g.view.Machines {
		if !m.Suspected {
			continue
		}
		for i := range m.Bindings {
			id := m.Bindings[i].Job
			job := g.view.Jobs[id]
			if job == nil || job.Spec == nil || !job.Active() || !job.Spec.IsService() {
				continue
			}
			zones := placement.ZoneCountsOf(g.view, id)
			zones[m.Zone]--
			demands = append(demands, planner.Demand{Job: job.Spec, Count: 1, Zones: zones})
		}
	}
	return demands
}
