package zonehealth

import "time"

// Status is the state of one zone. All of it except StepStartedAt is recorded, so that a new
// leader continues from it.
type Status struct {
	Phase Phase
	Since time.Time
	// Losses counts the losses in a row. It is reset in a healthy or degraded zone once the
	// policy's FlapWindow has passed since HoldUntil.
	Losses int
	// HoldUntil is the end of the last hold-down, before which no return starts.
	HoldUntil time.Time
	// Step is the index of a returning zone's current step in the policy's AdmissionSteps.
	Step int
	// StepStartedAt is when the duration of the current step started, or last started over.
	StepStartedAt time.Time
	// Evidence is the evidence that caused the last transition.
	Evidence Evidence
}

// AdmittedShare returns the share of the zone's machines that accept new tasks of services, or of
// arrays, which are admitted one step later.
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
