package recovery

import (
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// ScalingPolicy tells the planner what recovering zones mean for renting: nothing is rented in
// a lost zone, and machines that are not admitted yet count from when they will be. The
// demand itself goes through the planner's load vectors like any other.
type ScalingPolicy struct {
	policy   zonehealth.Policy
	evacuate time.Duration
}

// NewScalingPolicy makes it; the settings' ZoneRecovery section is set.
func NewScalingPolicy(cfg *config.Config) *ScalingPolicy {
	return &ScalingPolicy{
		policy:   zonehealth.PolicyOf(cfg),
		evacuate: cfg.Params.Workers.Leases(cfg.Operator.ZoneRecovery.EvacuateLeases),
	}
}

// IsRecovering tells whether a zone is lost or returning.
func (r *ScalingPolicy) IsRecovering(record *statecache.ZoneRecoveries, zone wire.Zone) bool {
	return r != nil && phaseOf(record, zone).Recovering()
}

// ShouldEvacuate tells whether a machine of a lost zone should be returned, so that its
// replicas are proved gone and can be placed elsewhere. Its lease must have ended for
// certain: until then they may run, and after that nothing on it does. A machine that
// holds arrays alone is left: its zone may be back, and then it has its images still.
func (r *ScalingPolicy) ShouldEvacuate(view *statecache.View, m *statecache.Machine, silentFor time.Duration) bool {
	if !r.IsLost(view.ZoneRecoveries, m.Zone) || silentFor < r.evacuate {
		return false
	}
	return slices.ContainsFunc(m.Bindings, func(t statecache.TaskBinding) bool {
		j := view.Jobs[t.Job]
		return j != nil && j.Active() && j.Spec.IsService()
	})
}

// IsLost tells whether nothing should be rented in a zone. The nil Rentals knows of no
// zone that is.
func (r *ScalingPolicy) IsLost(record *statecache.ZoneRecoveries, zone wire.Zone) bool {
	return r != nil && phaseOf(record, zone) == zonehealth.Lost
}

// WithheldFor tells in how many seconds machines that are up will take tasks, for those
// that don't yet.
func (r *ScalingPolicy) WithheldFor(now time.Time, view *statecache.View) map[wire.MachineID]float64 {
	if r == nil || !Recovering(view.ZoneRecoveries) {
		return nil
	}
	order := map[wire.Zone][]uint64{} // by zone
	for name, m := range view.Machines {
		if m.Schedulable() {
			order[m.Zone] = append(order[m.Zone], orderNumber(name))
		}
	}
	for zone := range order {
		slices.Sort(order[zone])
	}
	withheld := map[wire.MachineID]float64{}
	for name, m := range view.Machines {
		z := view.ZoneRecoveries.Find(m.Zone)
		if z == nil || !m.Schedulable() {
			continue
		}
		if s := r.withheldFor(now, z, order[m.Zone], orderNumber(name)); s > 0 {
			withheld[name] = s
		}
	}
	return withheld
}

// withheldFor is when services are admitted to a machine: for those of a lost zone, when
// its machines that are heard are used in any case.
func (r *ScalingPolicy) withheldFor(now time.Time, z *statecache.ZoneRecovery, order []uint64, number uint64) float64 {
	phase, err := zonehealth.ParsePhase(z.Phase)
	if err != nil {
		return 0
	}
	switch phase {
	case zonehealth.Lost:
		return max(0, (r.policy.HoldDownMax - now.Sub(z.Since.Time())).Seconds())
	case zonehealth.Returning:
		for ahead := 0; z.Step+ahead < len(r.policy.Steps); ahead++ {
			if number <= threshold(order, r.policy.Steps[z.Step+ahead]) {
				return float64(ahead) * r.policy.StepTime.Seconds()
			}
		}
		return float64(len(r.policy.Steps)-z.Step) * r.policy.StepTime.Seconds()
	}
	return 0
}
