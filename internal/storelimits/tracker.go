// Package storelimits infers which of the key-value store's configured limits are in force.
package storelimits

import (
	"log/slog"
	"sync"
	"time"

	"lynxledge/internal/config"
)

// Tracker infers whether the store's present or upcoming limits are in force, since the store
// does not announce the change. A value that is rejected for its size proves, permanently, that
// the upcoming limits are. Persistent throttling only suggests it: the upcoming write rate is
// then assumed for a while. A single throttled write is no evidence, since the store now and
// then throttles bursts within the rate.
//
// A nil Tracker records nothing and reports the present limits.
type Tracker struct {
	mu                sync.Mutex
	upcomingProven    bool      // the upcoming limits are in force
	upcomingRateUntil time.Time // end of the time for which the upcoming write rate is assumed
	lastThrottled     time.Time // last throttled write that was counted; at most one a second is
	throttledSeconds  int       // consecutive seconds with throttled writes
}

const (
	minThrottledSeconds  = 5                // consecutive seconds of throttling after which the upcoming rate is assumed
	upcomingRateDuration = 60 * time.Second // after which the present rate is tried again
)

// ObserveThrottled records that the store throttled a write.
func (t *Tracker) ObserveThrottled(now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch since := now.Sub(t.lastThrottled); {
	case since < time.Second:
		return
	case since < 2*time.Second:
		t.throttledSeconds++
	default:
		t.throttledSeconds = 1
	}
	t.lastThrottled = now
	if t.throttledSeconds >= minThrottledSeconds {
		t.upcomingRateUntil = now.Add(upcomingRateDuration)
	}
}

// ObserveSizeRejected records that the store rejected a value whose size is within the present
// limits, which proves that the upcoming ones are in force.
func (t *Tracker) ObserveSizeRejected() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.upcomingProven {
		slog.Info("upcoming store limits in force")
	}
	t.upcomingProven = true
}

// UpcomingLimitsInForce reports whether the upcoming limits are proven to be in force.
func (t *Tracker) UpcomingLimitsInForce() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.upcomingProven
}

// WriteRate returns the write rate that is currently assumed to be in force.
func (t *Tracker) WriteRate(limits *config.StoreLimits) float64 {
	if t == nil || limits.Upcoming == nil {
		return limits.WriteRate
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.upcomingProven || time.Now().Before(t.upcomingRateUntil) {
		return min(limits.WriteRate, limits.Upcoming.WriteRate)
	}
	return limits.WriteRate
}
