package config

import (
	"log/slog"
	"sync"
	"time"
)

// StoreRates tells which of the state service's rates is in force, the present one or
// the one to come. Nobody gives notice: a size that is refused says it for good, and
// refusals for the rate that go on and on say it for a while. Their own bursts are
// refused, too, now and then, so one refusal says nothing.
type StoreRates struct {
	mu                sync.Mutex
	sizeLimitsLowered bool
	lowerRateUntil    time.Time // the lower rate is kept to until
	lastThrottled     time.Time // of the last second with a refusal
	throttledSeconds  int       // with refusals, one after another
}

const (
	throttledSecondsToLower = 5                // seconds in a row with refusals that lower the rate
	loweredRateDuration     = 60 * time.Second // then the present one is tried again
)

// ObserveThrottled notes that the service refused a write for its rate.
func (r *StoreRates) ObserveThrottled(now time.Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch since := now.Sub(r.lastThrottled); {
	case since < time.Second:
		return
	case since < 2*time.Second:
		r.throttledSeconds++
	default:
		r.throttledSeconds = 1
	}
	r.lastThrottled = now
	if r.throttledSeconds >= throttledSecondsToLower {
		r.lowerRateUntil = now.Add(loweredRateDuration)
	}
}

// ObserveLowerSizeLimit notes that the service refused a size that it used to take.
func (r *StoreRates) ObserveLowerSizeLimit() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.sizeLimitsLowered {
		slog.Info("the state service has its lower limits")
	}
	r.sizeLimitsLowered = true
}

// LowerLimitsInForce tells whether the limits to come are certainly in force.
func (r *StoreRates) LowerLimitsInForce() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sizeLimitsLowered
}

func (r *StoreRates) writeRate(s *StoreLimits) float64 {
	if r == nil || s.Upcoming == nil {
		return s.WriteRate
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sizeLimitsLowered || time.Now().Before(r.lowerRateUntil) {
		return min(s.WriteRate, s.Upcoming.WriteRate)
	}
	return s.WriteRate
}
