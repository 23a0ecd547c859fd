package zonehealth

import (
	"time"

	"lynxledge/wire"
)

// Status is the state of one zone. All of it but the time of the step is recorded, so
// that another leader goes on from it.
type Status struct {
	Phase Phase
	Since time.Time
	// Losses counts the losses that followed each other within the memory for flaps.
	Losses int
	// HoldUntil is when a return may begin at the earliest.
	HoldUntil time.Time
	// Step is which of the policy's steps a returning zone is at, and StepSince from
	// when its time counts.
	Step          int
	StepStartedAt time.Time
	// Evidence is that of the last change of phase or step.
	Evidence Evidence
}

// AdmittedShare is the share of the zone's machines that take tasks: those of services,
// or of arrays, which follow one step behind.
func (s *Status) AdmittedShare(steps []float64, service bool) float64 {
	switch {
	case s.Phase == Lost:
		return 0
	case s.Phase != Returning || len(steps) == 0:
		return 1
	}
	step := min(s.Step, len(steps)-1)
	if !service {
		step--
	}
	if step < 0 {
		return 0
	}
	return steps[step]
}

// Transition is a change of a zone's phase or step.
type Transition struct {
	Zone     wire.Zone
	From, To Status
}

// PhaseTracker runs the state machines of all zones.
type PhaseTracker struct {
	policy Policy
	zones  map[wire.Zone]*zoneState
}

type zoneState struct {
	Status
	heldSince map[timedCondition]time.Time // since when a condition holds
}

// timedCondition is something that has to hold for a while before anything follows from it.
type timedCondition int

const (
	conditionLost timedCondition = iota
	conditionRecovered
	conditionEmpty
)

// NewPhaseTracker begins with all zones healthy.
func NewPhaseTracker(policy Policy) *PhaseTracker {
	return &PhaseTracker{policy: policy, zones: map[wire.Zone]*zoneState{}}
}

// Status is the state of a zone.
func (t *PhaseTracker) Status(zone wire.Zone) Status { return t.zone(zone).Status }

// Statuses are the states of all zones known.
func (t *PhaseTracker) Statuses() map[wire.Zone]Status {
	out := make(map[wire.Zone]Status, len(t.zones))
	for name, z := range t.zones {
		out[name] = z.Status
	}
	return out
}

// Restore takes recorded states over. What has to hold for a while begins anew.
func (t *PhaseTracker) Restore(now time.Time, recorded map[wire.Zone]Status) {
	clear(t.zones)
	for name, status := range recorded {
		t.zone(name).Status = status
	}
	t.Suspend(now)
}

// Suspend notes that there is no evidence for now: what has to hold for a while begins
// anew, and a step's time too.
func (t *PhaseTracker) Suspend(now time.Time) {
	for _, z := range t.zones {
		clear(z.heldSince)
		if z.Phase == Returning {
			z.StepStartedAt = now
		}
	}
}

func (t *PhaseTracker) zone(name wire.Zone) *zoneState {
	z := t.zones[name]
	if z == nil {
		z = &zoneState{heldSince: map[timedCondition]time.Time{}}
		t.zones[name] = z
	}
	return z
}

// NoneReachable tells whether nothing can be concluded: no machine of any zone is heard. Then
// it is more likely that this controller hears nothing than that all zones are lost,
// and if they are, there is nowhere else to go.
func NoneReachable(evidence map[wire.Zone]Evidence) bool {
	expected := 0
	for _, e := range evidence {
		expected += e.Machines()
		if e.Reachable() > 0 {
			return false
		}
	}
	return expected > 0
}

// Evaluate goes on with every zone by its evidence, and returns what has changed.
func (t *PhaseTracker) Evaluate(now time.Time, evidence map[wire.Zone]Evidence) []Transition {
	var changes []Transition
	for name, e := range evidence {
		z := t.zone(name)
		before := z.Status
		t.evaluate(z, now, e)
		if z.Phase != before.Phase || z.Step != before.Step || z.Losses != before.Losses {
			z.Evidence = e
			changes = append(changes, Transition{Zone: name, From: before, To: z.Status})
		}
	}
	return changes
}

// hasHeldFor tells whether a condition has held for a time.
func (z *zoneState) hasHeldFor(c timedCondition, now time.Time, is bool, long time.Duration) bool {
	if !is {
		delete(z.heldSince, c)
		return false
	}
	if _, running := z.heldSince[c]; !running {
		z.heldSince[c] = now
	}
	return now.Sub(z.heldSince[c]) >= long
}

func (z *zoneState) enter(p Phase, now time.Time) {
	z.Phase, z.Since = p, now
	clear(z.heldSince)
}

func (t *PhaseTracker) evaluate(z *zoneState, now time.Time, e Evidence) {
	lost := z.hasHeldFor(conditionLost, now, t.indicatesLoss(e), t.policy.LossConfirmation)
	recovered := z.hasHeldFor(conditionRecovered, now, t.indicatesRecovery(e), t.policy.ReturnConfirmation)
	empty := z.hasHeldFor(conditionEmpty, now, e.Machines() == 0 && !e.allPoolsExhausted(), t.policy.ReturnConfirmation)
	switch z.Phase {
	case Healthy, Degraded:
		if lost {
			t.markLost(z, now)
			return
		}
		t.updateDegraded(z, now, e)
	case Lost:
		// A zone without any machine is tried again, or it would stay lost for ever:
		// nothing is rented in it while it is.
		if (recovered || empty) && !now.Before(z.HoldUntil) {
			z.enter(Returning, now)
			z.Step, z.StepStartedAt = 0, now
		}
	case Returning:
		switch {
		case lost:
			t.markLost(z, now)
		case !t.indicatesRecovery(e) && e.Machines() > 0:
			z.StepStartedAt = now // held: the time of the step begins anew
		case now.Sub(z.StepStartedAt) >= t.policy.StepDuration:
			t.advanceStep(z, now)
		}
	}
}

// indicatesLoss tells whether the evidence is that of a lost zone. Where all controllers of
// the zone are gone too, the lower share is enough: two kinds of evidence agree.
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

// markLost takes the zone for lost. Losses that follow each other closely are held longer.
func (t *PhaseTracker) markLost(z *zoneState, now time.Time) {
	z.enter(Lost, now)
	z.Losses++
	z.HoldUntil = now.Add(t.policy.holdDownAfter(z.Losses))
	z.Step, z.StepStartedAt = 0, time.Time{}
}

// updateDegraded tells healthy from degraded, and forgets losses of long ago.
func (t *PhaseTracker) updateDegraded(z *zoneState, now time.Time, e Evidence) {
	share := e.DownShare()
	enough := e.Machines() >= t.policy.MinMachines
	// Timers run on: a zone that is degraded may be on its way to being lost.
	switch {
	case z.Phase == Healthy && enough && share >= t.policy.DegradedShare:
		z.Phase, z.Since = Degraded, now
	case z.Phase == Degraded && (!enough || share < t.policy.DegradedShare/2):
		z.Phase, z.Since = Healthy, now
	}
	if z.Losses > 0 && now.Sub(z.HoldUntil) >= t.policy.FlapWindow {
		z.Losses = 0
		z.HoldUntil = time.Time{}
	}
}

// advanceStep admits more of a returning zone, or all of it.
func (t *PhaseTracker) advanceStep(z *zoneState, now time.Time) {
	if z.Step+1 < len(t.policy.AdmissionSteps) {
		z.Step++
		z.StepStartedAt = now
		return
	}
	z.enter(Healthy, now)
	z.Step, z.StepStartedAt = 0, time.Time{}
}
