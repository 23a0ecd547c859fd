package zonehealth

import (
	"time"

	"lynxledge/wire"
)

// Transition is a change of a zone's phase, step or losses.
type Transition struct {
	Zone     wire.Zone
	From, To Status
}

// PhaseTracker runs the state machines of all zones.
type PhaseTracker struct {
	policy Policy
	zones  map[wire.Zone]*zoneState
}

// zoneState is the state machine of one zone.
type zoneState struct {
	Status
	heldSince map[timedCondition]time.Time
}

// timedCondition is something that has to hold for a while before anything follows from it.
type timedCondition int

const (
	conditionLost timedCondition = iota
	conditionRecovered
	conditionEmpty
)

// NewPhaseTracker returns a tracker with all zones healthy.
func NewPhaseTracker(policy Policy) *PhaseTracker {
	return &PhaseTracker{policy: policy, zones: map[wire.Zone]*zoneState{}}
}

// Status returns the state of a zone.
func (t *PhaseTracker) Status(zone wire.Zone) Status { return t.zone(zone).Status }

// Statuses returns the states of all zones known.
func (t *PhaseTracker) Statuses() map[wire.Zone]Status {
	statuses := make(map[wire.Zone]Status, len(t.zones))
	for name, zone := range t.zones {
		statuses[name] = zone.Status
	}
	return statuses
}

// Restore takes recorded states over. What has to hold for a while begins anew.
func (t *PhaseTracker) Restore(now time.Time, recorded map[wire.Zone]Status) {
	clear(t.zones)
	for name, status := range recorded {
		t.zone(name).Status = status
	}
	t.Suspend(now)
}

// Suspend is called when there is no evidence: what has to hold for a while begins anew, and so
// does the duration of a step.
func (t *PhaseTracker) Suspend(now time.Time) {
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

// Evaluate advances the state machine of every zone by its evidence, and returns the
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
		// A zone without any machine is tried again, or it would stay lost for ever:
		// no machines are provisioned in it while it is.
		if (recovered || empty) && !now.Before(zone.HoldUntil) {
			zone.enter(Returning, now)
			zone.Step, zone.StepStartedAt = 0, now
		}
	case Returning:
		t.evaluateReturn(zone, now, e, lost)
	}
}

// evaluateReturn advances a returning zone, or undoes its return.
func (t *PhaseTracker) evaluateReturn(zone *zoneState, now time.Time, e Evidence, lost bool) {
	switch {
	case lost:
		t.markLost(zone, now)
	case !t.indicatesRecovery(e) && e.Machines() > 0:
		zone.StepStartedAt = now // held: the duration of the step begins anew
	case now.Sub(zone.StepStartedAt) >= t.policy.StepDuration:
		t.advanceStep(zone, now)
	}
}

// hasHeldFor tells whether a condition, which holds now or doesn't, has held for a duration.
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

// indicatesLoss tells whether the evidence is that of a lost zone. Where all controllers of
// the zone are down too, the lower share is enough: two kinds of evidence agree.
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

// indicatesRecovery tells whether the evidence is that of a zone that is back.
func (t *PhaseTracker) indicatesRecovery(e Evidence) bool {
	return e.Reachable() > 0 && e.DownShare() <= t.policy.ReturnShare && !t.indicatesLoss(e)
}

// markLost takes the zone for lost. Losses that follow each other closely are held down longer.
func (t *PhaseTracker) markLost(zone *zoneState, now time.Time) {
	zone.enter(Lost, now)
	zone.Losses++
	zone.HoldUntil = now.Add(t.policy.holdDownAfter(zone.Losses))
	zone.Step, zone.StepStartedAt = 0, time.Time{}
}

// updateDegraded tells degraded from healthy. Timers run on: a zone that is degraded may be on
// its way to being lost.
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

// forgetLosses drops losses that are older than the flap window.
func (t *PhaseTracker) forgetLosses(zone *zoneState, now time.Time) {
	if zone.Losses > 0 && now.Sub(zone.HoldUntil) >= t.policy.FlapWindow {
		zone.Losses = 0
		zone.HoldUntil = time.Time{}
	}
}

// advanceStep admits more of a returning zone, or all of it.
func (t *PhaseTracker) advanceStep(zone *zoneState, now time.Time) {
	if zone.Step+1 < len(t.policy.AdmissionSteps) {
		zone.Step++
		zone.StepStartedAt = now
		return
	}
	zone.enter(Healthy, now)
	zone.Step, zone.StepStartedAt = 0, time.Time{}
}
