package planner

import (
	"math"

	"lynxledge/wire"
)

// scaleInWindowCycles is how many planning cycles before the end of a billing period idle
// machines are scaled in: even if one cycle is missed, the next period does not begin.
const scaleInWindowCycles = 2

// scaleInCandidates returns the idle machines that no demand was assigned to and whose billing
// period is about to end.
func (c *cycle) scaleInCandidates() []wire.MachineID {
	var candidates []wire.MachineID
	for _, bin := range c.bins {
		if bin.inUse || len(bin.machine.Tasks) > 0 {
			continue
		}
		remainingSeconds := c.BillingPeriodSeconds - math.Mod(bin.machine.AgeSeconds, c.BillingPeriodSeconds)
		if remainingSeconds <= scaleInWindowCycles*c.PlanningIntervalSeconds {
			candidates = append(candidates, bin.machine.Name)
		}
	}
	return candidates
}
