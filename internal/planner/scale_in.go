package planner

import (
	"math"

	"lynxledge/wire"
)

// scaleInWindowCycles is how many planning cycles before the end of a billing period an idle
// machine is scaled in: the next period is not begun even if one cycle is missed.
const scaleInWindowCycles = 2

// scaleInCandidates returns the idle machines that no demand needs and whose billing period
// is about to end.
func (c *cycle) scaleInCandidates() []wire.MachineID {
	var candidates []wire.MachineID
	for _, slot := range c.slots {
		if slot.inUse || len(slot.machine.Tasks) > 0 {
			continue
		}
		remainingSeconds := c.BillingPeriodSeconds - math.Mod(slot.machine.AgeSeconds, c.BillingPeriodSeconds)
		if remainingSeconds <= scaleInWindowCycles*c.PlanningIntervalSeconds {
			candidates = append(candidates, slot.machine.Name)
		}
	}
	return candidates
}
