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

// planningInput gathers what a planning cycle is computed from.
func (r *Autoscaler) planningInput(now time.Time, waits map[wire.JobID]estimate.DependencyWait) planner.Input {
	ops := &r.config.Operator
	gather := inputGatherer{
		config:           r.config,
		view:             r.view,
		jobs:             r.jobs,
		machineTypes:     &r.machineTypes,
		now:              now,
		schedulablePools: schedulablePools(r.view),
	}
	in := planner.Input{
		MachineTypes:            r.machineTypes.types,
		Exhausted:               func(pool resources.Pool) bool { return r.provisioning.isExhausted(pool, now) },
		BootLagSeconds:          ops.BootLag.Seconds(),
		PlanningIntervalSeconds: ops.PlanningInterval.Seconds(),
		BillingPeriodSeconds:    ops.BillingPeriod.Seconds(),
		HeadroomShare:           ops.HeadroomShare,
		MaxPriceMultiple:        ops.MaxPriceMultiple,
	}
	if recovery.Recovering(r.view.ZoneRecoveries) {
		in.AvoidedZone = func(zone wire.Zone) bool { return r.zoneRecovery.IsLost(r.view.ZoneRecoveries, zone) }
	}
	in.Demands = slices.Concat(gather.runnableDemands(), gather.upcomingDemands(waits), gather.replacementDemands())
	in.Machines = append(gather.machines(r.zoneRecovery.WithheldSeconds(now, r.view)), gather.unnamedMachines()...)
	return in
}

// inputGatherer gathers the demands and machines of one planning cycle.
type inputGatherer struct {
	config           *config.Config
	view             *statecache.View
	jobs             *jobTracker
	machineTypes     *machineCatalog
	now              time.Time
	schedulablePools map[resources.Pool]bool // pools that a schedulable machine is of
}

// schedulablePools returns the pools that a schedulable machine is of.
func schedulablePools(view *statecache.View) map[resources.Pool]bool {
	pools := map[resources.Pool]bool{}
	for _, m := range view.Machines {
		if m.Schedulable() {
			pools[machinePool(m)] = true
		}
	}
	return pools
}
