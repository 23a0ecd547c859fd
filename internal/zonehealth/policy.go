package zonehealth

import (
	"time"

	"lynxledge/internal/config"
)

// Policy is when a zone goes from one phase to another.
type Policy struct {
	DegradedShare      float64 // of its machines down: degraded
	LostShare          float64 // of its machines down: lost
	ReturnShare        float64 // no more than this down: may return
	MinMachines        int     // with fewer, a zone is never lost
	UnreachableAfter   time.Duration
	LossConfirmation   time.Duration // for which a verdict needs its evidence
	ReturnConfirmation time.Duration // for which a return needs its evidence
	AdmissionSteps     []float64     // shares of the machines admitted while returning
	StepDuration       time.Duration
	HoldDown           time.Duration // from a loss to the return; doubles with each flap
	MaxHoldDown        time.Duration
	FlapWindow         time.Duration
}

// PolicyOf is the policy that settings ask for; their ZoneRecovery section is set.
func PolicyOf(cfg *config.Config) Policy {
	section, workers := cfg.Operator.ZoneRecovery, cfg.Params.Workers
	return Policy{
		DegradedShare:      section.DegradedShare,
		LostShare:          section.LostShare,
		ReturnShare:        section.ReturnShare,
		MinMachines:        section.MinMachines,
		UnreachableAfter:   workers.Heartbeats(section.UnreachableHeartbeats),
		LossConfirmation:   workers.Heartbeats(section.ConfirmHeartbeats),
		ReturnConfirmation: workers.Heartbeats(section.ReturnHeartbeats),
		AdmissionSteps:     section.Steps,
		StepDuration:       section.StepTime(workers),
		HoldDown:           workers.Leases(section.HoldDownLeases),
		MaxHoldDown:        workers.Leases(section.HoldDownMaxLeases),
		FlapWindow:         workers.Leases(section.FlapMemoryLeases),
	}
}

// holdDownAfter is the time from the n-th loss in a row until a return may begin.
func (p *Policy) holdDownAfter(losses int) time.Duration {
	hold := p.HoldDown
	for range losses - 1 {
		if hold >= p.MaxHoldDown {
			break
		}
		hold *= 2
	}
	return min(hold, p.MaxHoldDown)
}
