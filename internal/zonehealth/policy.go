package zonehealth

import (
	"time"

	"lynxledge/internal/config"
)

// Policy sets when a zone goes from one phase to another. Shares are fractions of a zone's
// machines, from 0 to 1.
type Policy struct {
	DegradedShare      float64       // a zone is degraded if at least this share is down
	LostShare          float64       // a zone is lost if at least this share is down
	ReturnShare        float64       // a lost zone may return if at most this share is down
	MinMachines        int           // a zone with fewer machines is never degraded or lost
	UnreachableAfter   time.Duration // time without a heartbeat until a machine is unreachable
	LossConfirmation   time.Duration // how long the evidence of a loss must hold
	ReturnConfirmation time.Duration // how long the evidence of a return must hold
	AdmissionSteps     []float64     // shares of a returning zone's machines that are admitted
	StepDuration       time.Duration
	HoldDown           time.Duration // minimum time from a loss to the return; doubles with each loss in a row
	MaxHoldDown        time.Duration
	FlapWindow         time.Duration // time after a hold-down until losses are forgotten
}

// PolicyOf returns the policy of the settings; cfg.Operator.ZoneRecovery must be set.
func PolicyOf(cfg *config.Config) Policy {
	section, workers := cfg.Operator.ZoneRecovery, cfg.Params.Workers
	return Policy{
		DegradedShare:      section.DegradedShare,
		LostShare:          section.LostShare,
		ReturnShare:        section.ReturnShare,
		MinMachines:        section.MinMachines,
		UnreachableAfter:   workers.Heartbeats(section.UnreachableHeartbeats),
		LossConfirmation:   workers.Heartbeats(section.LossConfirmationHeartbeats),
		ReturnConfirmation: workers.Heartbeats(section.ReturnConfirmationHeartbeats),
		AdmissionSteps:     section.AdmissionSteps,
		StepDuration:       section.StepDuration(workers),
		HoldDown:           workers.Leases(section.HoldDownLeases),
		MaxHoldDown:        workers.Leases(section.MaxHoldDownLeases),
		FlapWindow:         workers.Leases(section.FlapWindowLeases),
	}
}

// holdDownAfter returns the hold-down after a number of losses in a row.
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
