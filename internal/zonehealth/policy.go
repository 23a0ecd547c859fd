package zonehealth

import (
	"time"

	"lynxledge/internal/config"
)

// Policy sets when a zone goes from one phase to another. Shares are parts of a zone's
// machines, from 0 to 1.
type Policy struct {
	DegradedShare      float64       // down: degraded
	LostShare          float64       // down: lost
	ReturnShare        float64       // at most this down: may return
	MinMachines        int           // with fewer, a zone is never lost
	UnreachableAfter   time.Duration // without a heartbeat
	LossConfirmation   time.Duration // for which a loss needs its evidence
	ReturnConfirmation time.Duration // for which a return needs its evidence
	AdmissionSteps     []float64     // shares admitted while returning
	StepDuration       time.Duration
	HoldDown           time.Duration // from a loss to the return; doubles with each flap
	MaxHoldDown        time.Duration
	FlapWindow         time.Duration // after a hold-down, for which a loss is remembered
}

// PolicyOf returns the policy of the settings, whose ZoneRecovery section must be set.
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
	holdDown := p.HoldDown
	for range losses - 1 {
		if holdDown >= p.MaxHoldDown {
			break
		}
		holdDown *= 2
	}
	return min(holdDown, p.MaxHoldDown)
}
