package zonehealth

import (
	"time"

	"lynxledge/wire"
)

// Transition is a change of a zone's phase, admission step or number of losses.
type Transition struct {
	Zone     wire.Zone
	From, To Status
}

// PhaseTracker runs one state machine per zone.
type PhaseTracker struct {
	policy Policy
	zones  map[wire.Zone]*zoneState
}

// zoneState is the state machine of one zone.
type zoneState struct {
	Status
	heldSince map[timedCondition]time.Time // since when each condition has held without a break
}

// timedCondition is a condition that causes a transition only once it has held for some time.
type timedCondition int

const (
	conditionLost timedCondition = iota
	conditionRecovered
	conditionEmpty // no machines, and not all pools exhausted
)

// NewPhaseTracker returns a tracker in which all zones are healthy.
func NewPhaseTracker(policy Policy) *PhaseTracker {
	return &PhaseTracker{policy: policy, zones: map[wire.Zone]*zoneState{}}
}

// Status returns the status of a zone.
func (t *PhaseTracker) Status(zone wire.Zone) Status { return t.zone(zone).Status }

// Statuses returns the statuses of all known zones.
func (t *PhaseTracker) Statuses() map[wire.Zone]Status {
	statuses := make(map[wire.Zone]Status, len(t.zones))
	for name, zone := range t.zones {
		statuses[name] = zone.Status
	}
	return statuses
}

// Restore replaces all statuses with recorded ones, and resets the timers.
func (t *PhaseTracker) Restore(now time.Time, recorded map[wire.Zone]Status) {
	clear(t.zones)
	for name, status := range recorded {
		t.zone(name).Status = status
	}
	t.ResetTimers(now)
}

// ResetTimers restarts the timers of conditions and of admission steps. It is called while there
// is no reliable evidence.
func (t *PhaseTracker) ResetTimers(now time.Time) {
	for _, zone := range t.zones {
		clear(zone.heldSince)
		if zone.Phase == Returning {
			zone.StepStartedAt = now
		}
	}
}

func (t *PhaseTracker) zone(name wire.Zone) *zoneState {
	zone := t.zones[name]
	if zone == nil {
		zone = &zoneState{heldSince: map[timedCondition]time.Time{}}
		t.zones[name] = zone
	}
	return zone
}

// Evaluate updates the state machine of every zone for which there is evidence, and returns the
// transitions.
func (t *PhaseTracker) Evaluate(now time.Time, evidence map[wire.Zone]Evidence) []Transition {
	var transitions []Transition
	for name, e := range evidence {
		zone := t.zone(name)
		before := zone.Status
		t.evaluate(zone, now, e)
		if zone.Phase != before.Phase || zone.Step != before.Step || zone.Losses != before.Losses {
			zone.Evidence = e
			transitions = append(transitions, Transition{Zone: name, From: before, To: zone.Status})
		}
	}
	return transitions
}

func (t *PhaseTracker) evaluate(zone *zoneState, now time.Time, e Evidence) {
	lost := zone.hasHeldFor(t.policy.LossConfirmation, conditionLost, t.indicatesLoss(e), now)
	recovered := zone.hasHeldFor(t.policy.ReturnConfirmation, conditionRecovered, t.indicatesRecovery(e), now)
	empty := zone.hasHeldFor(t.policy.ReturnConfirmation, conditionEmpty, e.Machines() == 0 && !e.allPoolsExhausted(), now)
	switch zone.Phase {
	case Healthy, Degraded:
		if lost {
			t.markLost(zone, now)
			return
		}
		t.updateDegraded(zone, now, e)
		t.forgetLosses(zone, now)
	case Lost:
		// A zone without any machine returns too. No machines are provisioned in a lost
		// zone, so it would otherwise stay lost forever.
		if (recovered || empty) && !now.Before(zone.HoldUntil) {
			zone.enter(Returning, now)
			zone.Step, zone.StepStartedAt = 0, now
		}
	case Returning:
		t.evaluateReturn(zone, now, e, lost)
	}
}

// evaluateReturn advances a returning zone to its next step, or marks it lost again.
func (t *PhaseTracker) evaluateReturn(zone *zoneState, now time.Time, e Evidence, lost bool) {
	switch {
	case lost:
		t.markLost(zone, now)
	case !t.indicatesRecovery(e) && e.Machines() > 0:
		zone.StepStartedAt = now // the step's duration starts over
	case now.Sub(zone.StepStartedAt) >= t.policy.StepDuration:
		t.advanceStep(zone, now)
	}
}

// hasHeldFor updates a condition by whether it holds now, and reports whether it has held for a
// duration.
func (z *zoneState) hasHeldFor(duration time.Duration, condition timedCondition, holds bool, now time.Time) bool {
	if !holds {
		delete(z.heldSince, condition)
		return false
	}
	if _, running := z.heldSince[condition]; !running {
		z.heldSince[condition] = now
	}
	return now.Sub(z.heldSince[condition]) >= duration
}

func (z *zoneState) enter(phase Phase, now time.Time) {
	z.Phase, z.Since = phase, now
	clear(z.heldSince)
}

// indicatesLoss reports whether the evidence indicates that the zone is lost. If all controllers
// of the zone are down too, DegradedShare is enough, since two kinds of evidence agree.
func (t *PhaseTracker) indicatesLoss(e Evidence) bool {
	if e.Machines() < t.policy.MinMachines {
		return false
	}
	share := t.policy.LostShare
	if e.allControllersDown() {
		share = t.policy.DegradedShare
	}
	return e.DownShare() >= share
}

// indicatesRecovery reports whether the evidence indicates that a lost zone is usable again.
func (t *PhaseTracker) indicatesRecovery(e Evidence) bool {
	return e.Reachable() > 0 && e.DownShare() <= t.policy.ReturnShare && !t.indicatesLoss(e)
}

// markLost enters phase Lost. Each loss that is not forgotten yet lengthens the hold-down.
func (t *PhaseTracker) markLost(zone *zoneState, now time.Time) {
	zone.enter(Lost, now)
	zone.Losses++
	zone.HoldUntil = now.Add(t.policy.holdDownAfter(zone.Losses))
	zone.Step, zone.StepStartedAt = 0, time.Time{}
}

// updateDegraded moves the zone between Healthy and Degraded. Unlike enter it keeps the timers
// of conditions, since a degraded zone may be about to be lost.
func (t *PhaseTracker) updateDegraded(zone *zoneState, now time.Time, e Evidence) {
	share := e.DownShare()
	enoughMachines := e.Machines() >= t.policy.MinMachines
	switch {
	case zone.Phase == Healthy && enoughMachines && share >= t.policy.DegradedShare:
		zone.Phase, zone.Since = Degraded, now
	case zone.Phase == Degraded && (!enoughMachines || share < t.policy.DegradedShare/2):
		zone.Phase, zone.Since = Healthy, now
	}
}

// forgetLosses resets the number of losses once the flap window has passed since the end of the
// last hold-down.
func (t *PhaseTracker) forgetLosses(zone *zoneState, now time.Time) {
	if zone.Losses > 0 && now.Sub(zone.HoldUntil) >= t.policy.FlapWindow {
		zone.Losses = 0
		zone.HoldUntil = time.Time{}
	}
}

// advanceStep moves a returning zone to its next admission step, or to Healthy after the last.
func (t *PhaseTracker) advanceStep(zone *zoneState, now time.Time) {
	if zone.Step+1 < len(t.policy.AdmissionSteps) {
		zone.Step++
		zone.StepStartedAt = now
		return
	}
	zone.enter(Healthy, now)
	zone.Step, zone.StepStartedAt = 0, time.Time{}
}
