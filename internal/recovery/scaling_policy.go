package recovery

import (
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// ScalingPolicy tells the autoscaler how recovering zones affect scaling: nothing is
// provisioned in a lost zone, and machines that are not admitted yet count as capacity from
// the time they will be. The demand itself goes through the planner's load vectors like any
// other. A nil ScalingPolicy treats recovering zones like any other.
type ScalingPolicy struct {
	policy        zonehealth.Policy
	evacuateAfter time.Duration
}

// NewScalingPolicy returns a scaling policy; cfg.Operator.ZoneRecovery must be set.
func NewScalingPolicy(cfg *config.Config, policy zonehealth.Policy) *ScalingPolicy {
	return &ScalingPolicy{
		policy:        policy,
		evacuateAfter: cfg.Params.Workers.Leases(cfg.Operator.ZoneRecovery.EvacuateLeases),
	}
}

// IsRecovering reports whether a zone is lost or returning.
func (p *ScalingPolicy) IsRecovering(record *statecache.ZoneRecoveries, zone wire.Zone) bool {
	return p != nil && phaseOf(record, zone).Recovering()
}

// IsLost reports whether a zone is lost, so that nothing should be provisioned in it.
func (p *ScalingPolicy) IsLost(record *statecache.ZoneRecoveries, zone wire.Zone) bool {
	return p != nil && phaseOf(record, zone) == zonehealth.Lost
}

// ShouldEvacuate reports whether a machine of a lost zone should be scaled in, so that its
// replicas are proved terminated and can be placed elsewhere. Its lease must certainly have
// expired: its replicas may run until then, but not after. A machine that has only array tasks
// is kept: if the zone returns, the machine still has its images cached.
func (p *ScalingPolicy) ShouldEvacuate(view *statecache.View, machine *statecache.Machine, unreachableFor time.Duration) bool {
	if !p.IsLost(view.ZoneRecoveries, machine.Zone) || unreachableFor < p.evacuateAfter {
		return false
	}
	return slices.ContainsFunc(machine.Bindings, func(binding statecache.TaskBinding) bool {
		job := view.Jobs[binding.Job]
		return job != nil && job.Active() && job.Spec.IsService()
	})
}

// SecondsUntilAdmitted returns, for each schedulable machine that is not admitted yet, the seconds
// until it is.
func (p *ScalingPolicy) SecondsUntilAdmitted(now time.Time, view *statecache.View) map[wire.MachineID]float64 {
	if p == nil || !Recovering(view.ZoneRecoveries) {
		return nil
	}
	schedules := p.admissionSchedules(now, view)
	seconds := map[wire.MachineID]float64{}
	for name, machine := range view.Machines {
		schedule, recorded := schedules[machine.Zone]
		if !recorded || !machine.Schedulable() {
			continue
		}
		if s := schedule.secondsUntilAdmitted(admissionRank(name)); s > 0 {
			seconds[name] = s
		}
	}
	return seconds
}

// admissionSchedules returns the schedules of the zones that are in the recovery record.
func (p *ScalingPolicy) admissionSchedules(now time.Time, view *statecache.View) map[wire.Zone]admissionSchedule {
	ranks := map[wire.Zone][]uint64{}
	for name, machine := range view.Machines {
		if machine.Schedulable() {
			ranks[machine.Zone] = append(ranks[machine.Zone], admissionRank(name))
		}
	}
	schedules := map[wire.Zone]admissionSchedule{}
	for zone := range ranks {
		if record := view.ZoneRecoveries.Find(zone); record != nil {
			slices.Sort(ranks[zone])
			schedules[zone] = p.admissionSchedule(now, record, ranks[zone])
		}
	}
	return schedules
}

// admissionSchedule is when the machines of a zone are admitted for services.
type admissionSchedule struct {
	thresholds           []uint64 // highest ranks admitted now, after one more step, and so on
	stepSeconds          float64
	fullAdmissionSeconds float64 // seconds until the machines beyond all thresholds are admitted
}

// admissionSchedule returns a zone's schedule. The machines of a lost zone count as admitted once
// MaxHoldDown has passed, when its reachable machines accept arrays in any case.
func (p *ScalingPolicy) admissionSchedule(now time.Time, record *statecache.ZoneRecovery, ranks []uint64) admissionSchedule {
	phase, err := zonehealth.ParsePhase(record.Phase)
	if err != nil {
		return admissionSchedule{}
	}
	switch phase {
	case zonehealth.Lost:
		return admissionSchedule{fullAdmissionSeconds: max(0, (p.policy.MaxHoldDown - now.Sub(record.Since.Time())).Seconds())}
	case zonehealth.Returning:
		steps := p.policy.AdmissionSteps
		schedule := admissionSchedule{stepSeconds: p.policy.StepDuration.Seconds()}
		for step := record.Step; step < len(steps); step++ {
			schedule.thresholds = append(schedule.thresholds, rankThreshold(ranks, steps[step]))
		}
		schedule.fullAdmissionSeconds = float64(len(steps)-record.Step) * schedule.stepSeconds
		return schedule
	}
	return admissionSchedule{}
}

// secondsUntilAdmitted returns the seconds until a machine with the given rank is admitted.
func (s *admissionSchedule) secondsUntilAdmitted(rank uint64) float64 {
	for stepsAhead, threshold := range s.thresholds {
		if rank <= threshold {
			return float64(stepsAhead) * s.stepSeconds
		}
	}
	return s.fullAdmissionSeconds
}
