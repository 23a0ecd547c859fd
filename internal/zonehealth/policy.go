package zonehealth

import (
	"time"

	"lynxledge/internal/config"
)

// Policy is when a zone goes from one phase to another.
type Policy struct {
	DegradedShare float64 // of its machines down: degraded
	LostShare     float64 // of its machines down: lost
	ReturnShare   float64 // no more than this down: may return
	MinMachines   int     // with fewer, a zone is never lost
	Silence       time.Duration
	Confirm       time.Duration // for which a verdict needs its evidence
	Proof         time.Duration // for which a return needs its evidence
	Steps         []float64     // shares of the machines admitted while returning
	StepTime      time.Duration
	HoldDown      time.Duration // from a loss to the return; doubles with each flap
	HoldDownMax   time.Duration
	FlapMemory    time.Duration
}

// PolicyOf is the policy that settings ask for; their ZoneRecovery section is set.
func PolicyOf(cfg *config.Config) Policy {
	section, workers := cfg.Operator.ZoneRecovery, cfg.Params.Workers
	return Policy{
		DegradedShare: section.DegradedShare,
		LostShare:     section.LostShare,
		ReturnShare:   section.ReturnShare,
		MinMachines:   section.MinMachines,
		Silence:       workers.Heartbeats(section.UnreachableHeartbeats),
		Confirm:       workers.Heartbeats(section.ConfirmHeartbeats),
		Proof:         workers.Heartbeats(section.ReturnHeartbeats),
		Steps:         section.Steps,
		StepTime:      section.StepTime(workers),
		HoldDown:      workers.Leases(section.HoldDownLeases),
		HoldDownMax:   workers.Leases(section.HoldDownMaxLeases),
		FlapMemory:    workers.Leases(section.FlapMemoryLeases),
	}
}

// holdDown is the time from the n-th loss in a row until a return may begin.
func (p *Policy) holdDown(losses int) time.Duration {
	hold := p.HoldDown
	for range losses - 1 {
		if hold >= p.HoldDownMax {
			break
		}
		hold *= 2
	}
	return min(hold, p.HoldDownMax)
}
