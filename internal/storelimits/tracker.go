// Package storelimits tracks which of the key-value store's configured limits are in force.
package storelimits

import (
	"log/slog"
	"sync"
	"time"

	"lynxledge/internal/config"
)

// Tracker infers which of the store's limits are in force, the present or the upcoming ones:
// the store gives no notice of the change. A value rejected for its size proves the upcoming
// ones for good. Throttling that persists has their write rate assumed for a while; a single
// throttled write proves nothing, as bursts within the rate are throttled now and then.
//
// The nil Tracker observes nothing and has the present limits in force.
type Tracker struct {
	mu                sync.Mutex
	sizeLimitsLowered bool
	lowerRateUntil    time.Time // end of the time for which the lower rate is assumed
	lastThrottled     time.Time // start of the last second with a throttled write
	throttledSeconds  int       // consecutive seconds with throttled writes
}

const (
	throttledSecondsToLower = 5                // consecutive seconds of throttling after which the lower rate is assumed
	loweredRateDuration     = 60 * time.Second // after which the present rate is tried again
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
	if t.throttledSeconds >= throttledSecondsToLower {
		t.lowerRateUntil = now.Add(loweredRateDuration)
	}
}

// ObserveLowerSizeLimit records that the store rejected a size within the present limits.
func (t *Tracker) ObserveLowerSizeLimit() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.sizeLimitsLowered {
		slog.Info("lower store limits in force")
	}
	t.sizeLimitsLowered = true
}

// LowerLimitsInForce tells whether the upcoming limits are proved to be in force.
func (t *Tracker) LowerLimitsInForce() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sizeLimitsLowered
}

// WriteRate returns the write rate that is in force as far as is known now.
func (t *Tracker) WriteRate(limits *config.StoreLimits) float64 {
	if t == nil || limits.Upcoming == nil {
		return limits.WriteRate
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sizeLimitsLowered || time.Now().Before(t.lowerRateUntil) {
		return min(limits.WriteRate, limits.Upcoming.WriteRate)
	}
	return limits.WriteRate
}
