package zonehealth

import "time"

// Status is the state of one zone. All of it except StepStartedAt is recorded, so that another
// leader continues from it.
type Status struct {
	Phase Phase
	Since time.Time
	// Losses counts the losses that followed each other within the policy's FlapWindow.
	Losses int
	// HoldUntil is when a return may begin at the earliest.
	HoldUntil time.Time
	// Step is the index of the policy's admission step that a returning zone is at.
	Step int
	// StepStartedAt is from when the step's duration counts.
	StepStartedAt time.Time
	// Evidence is that of the last transition.
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
