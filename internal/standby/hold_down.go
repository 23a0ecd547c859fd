package standby

import (
	"log/slog"
	"time"
)

// holdDown suppresses actions on verdicts on a member after a verdict was refuted, with exponential
// backoff.
type holdDown struct {
	refutations int
	until       time.Time
}

// active reports whether verdicts are held down. It returns false for a nil holdDown.
func (h *holdDown) active(now time.Time) bool { return h != nil && now.Before(h.until) }

// maxHoldDownDoublings limits the exponent of the backoff to prevent an overflow.
const maxHoldDownDoublings = 30

// refuteVerdict starts a hold-down of verdicts on a member, longer after each refutation.
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

// holdDownAfter returns the duration of a hold-down that follows the given number of earlier ones.
func (s *Standby) holdDownAfter(refutations int) time.Duration {
	section := s.config.Operator.Standby
	doublings := min(refutations, maxHoldDownDoublings)
	heartbeats := min(section.HoldDownHeartbeats*float64(uint64(1)<<doublings), section.MaxHoldDownHeartbeats)
	return s.config.Params.Workers.Heartbeats(heartbeats)
}

// maxHoldDown returns the maximum duration of a hold-down.
func (s *Standby) maxHoldDown() time.Duration {
	return s.config.Params.Workers.Heartbeats(s.config.Operator.Standby.MaxHoldDownHeartbeats)
}
