package standby

import (
	"log/slog"
	"time"
)

// holdDown keeps verdicts on a member from being acted on after some were refuted, with an
// exponential backoff.
type holdDown struct {
	refutations int
	until       time.Time
}

// active tells whether verdicts are held down; on the nil holdDown they are not.
func (h *holdDown) active(now time.Time) bool { return h != nil && now.Before(h.until) }

// maxHoldDownDoublings keeps the doubling of a hold-down from overflowing.
const maxHoldDownDoublings = 30

// refuteVerdict holds verdicts on a member down, longer each time.
func (s *Standby) refuteVerdict(now time.Time, member string) {
	h := s.holdDowns[member]
	if h == nil {
		h = &holdDown{}
		s.holdDowns[member] = h
	}
	duration := s.holdDownAfter(h.refutations)
	h.refutations++
	h.until = now.Add(duration)
	slog.Warn("failure verdict refuted", "member", member, "refutations", h.refutations, "hold_seconds", int(duration.Seconds()))
}

// holdDownAfter is how long verdicts are held down after as many refutations before.
func (s *Standby) holdDownAfter(refutations int) time.Duration {
	section := s.config.Operator.Standby
	doublings := min(refutations, maxHoldDownDoublings)
	heartbeats := min(section.HoldDownHeartbeats*float64(uint64(1)<<doublings), section.HoldDownMaxHeartbeats)
	return s.config.Params.Workers.Heartbeats(heartbeats)
}

// maxHoldDown is the longest time for which verdicts on a member are held down.
func (s *Standby) maxHoldDown() time.Duration {
	return s.config.Params.Workers.Heartbeats(s.config.Operator.Standby.HoldDownMaxHeartbeats)
}
