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

// overdueDeadlineMultiple is the age of a job, in multiples of its last deadline, from which on it
// no longer waits for cheap machines but takes any.
const overdueDeadlineMultiple = 4

// runnableDemands returns demands for the pending tasks of runnable jobs.
func (g *inputGatherer) runnableDemands() []planner.Demand {
	var demands []planner.Demand
	for id, job := range g.jobs.active {
		if demand, ok := g.demand(id, job, 0); ok {
			demands = append(demands, demand)
		}
	}
	return demands
}

// upcomingDemands returns demands for the tasks of blocked jobs that become runnable within the
// boot lag and a planning interval, so that machines for them are up when the job becomes
// runnable, but not long before. Their load is spread over the time until their own deadline.
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

// demand returns the demand for the pending tasks of a job that is runnable after wait. ok is false
// if it has none.
func (g *inputGatherer) demand(id wire.JobID, job *statecache.Job, wait time.Duration) (demand planner.Demand, ok bool) {
	pending := g.limitHeldBack(id, g.view.PendingTasks(id, job))
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
		Job:              job.Spec,
		Count:            g.limitByQuota(job.Spec, pending),
		DeadlineSeconds:  untilDeadline.Seconds(),
		RuntimeSeconds:   runtimeSeconds,
		Late:             !job.Spec.IsService() && leadTime > untilDeadline,
		IgnorePriceLimit: age > overdueDeadlineMultiple*lastDeadline && !g.hasSuitableMachine(job.Spec),
		Zones:            placement.ZoneCountsOf(g.view, id),
	}, true
}

// firstFeasible returns the time that a job of the given age has left until the first of its
// deadlines that a machine provisioned now can meet, or until the last one if it can meet none.
func firstFeasible(deadlines []time.Duration, age, leadTime time.Duration) (untilDeadline time.Duration) {
	for _, deadline := range deadlines {
		untilDeadline = deadline - age
		if leadTime <= untilDeadline {
			break
		}
	}
	return untilDeadline
}

// limitByQuota limits the number of pending tasks to what the team's quota lets run at once.
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

// limitHeldBack limits the number of pending tasks to the one that may be tried if the job is held
// back after failures and has no bound task.
func (g *inputGatherer) limitHeldBack(id wire.JobID, pending int) int {
	if !g.heldBack[id] {
		return pending
	}
	return min(pending, max(0, 1-len(g.view.Bindings[id])))
}

// hasSuitableMachine reports whether any schedulable machine may run the job's tasks. If so, the
// job waits its turn, however late it is: more expensive machines would not run it any sooner.
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

// replacementDemands returns a demand for each replica on a suspected machine, since it may have to
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
