package autoscaler

import (
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/estimate"
	"lynxledge/internal/planner"
	"lynxledge/internal/recovery"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// planningInput gathers the input of a planning cycle.
func (a *Autoscaler) planningInput(now time.Time, waits map[wire.JobID]estimate.DependencyWait) planner.Input {
	ops := &a.config.Operator
	gatherer := inputGatherer{
		config:           a.config,
		view:             a.view,
		jobs:             a.jobs,
		heldBack:         a.failures.heldBack,
		machineTypes:     &a.machineTypes,
		now:              now,
		schedulablePools: schedulablePools(a.view),
	}
	in := planner.Input{
		MachineTypes:            a.machineTypes.types,
		Exhausted:               func(pool resources.Pool) bool { return a.provisioning.isExhausted(pool, now) },
		BootLagSeconds:          ops.BootLag.Seconds(),
		PlanningIntervalSeconds: ops.PlanningInterval.Seconds(),
		BillingPeriodSeconds:    ops.BillingPeriod.Seconds(),
		HeadroomShare:           ops.HeadroomShare,
		MaxPriceMultiple:        ops.MaxPriceMultiple,
	}
	if recovery.Recovering(a.view.ZoneRecoveries) {
		in.AvoidedZone = func(zone wire.Zone) bool { return a.zoneRecoveryPolicy.IsLost(a.view.ZoneRecoveries, zone) }
	}
	in.Demands = slices.Concat(gatherer.runnableDemands(), gatherer.upcomingDemands(waits), gatherer.replacementDemands())
	in.Machines = append(gatherer.machines(a.zoneRecoveryPolicy.SecondsUntilAdmitted(now, a.view)), gatherer.unnamedMachines()...)
	return in
}

// inputGatherer gathers the demands and machines of one planning cycle.
type inputGatherer struct {
	config           *config.Config
	view             *statecache.View
	jobs             *jobTracker
	heldBack         map[wire.JobID]bool // jobs whose tasks are tried one at a time
	machineTypes     *machineCatalog
	now              time.Time
	schedulablePools map[resources.Pool]bool // pools with at least one schedulable machine
}

// schedulablePools returns the pools with at least one schedulable machine.
func schedulablePools(view *statecache.View) map[resources.Pool]bool {
	pools := map[resources.Pool]bool{}
	for _, m := range view.Machines {
		if m.Schedulable() {
			pools[machinePool(m)] = true
		}
	}
	return pools
}
