package config

import (
	"log/slog"
	"sync"
	"time"
)

// Rates tells which of the state service's rates is in force, the present one or
// the one to come. Nobody gives notice: a size that is refused says it for good, and
// refusals for the rate that go on and on say it for a while. Their own bursts are
// refused, too, now and then, so one refusal says nothing.
type Rates struct {
	mu      sync.Mutex
	lowered bool
	until   time.Time // the lower rate is kept to until
	last    time.Time // of the last second with a refusal
	seconds int       // with refusals, one after another
}

const (
	refusedFor = 5                // seconds in a row with refusals that lower the rate
	lowerFor   = 60 * time.Second // then the present one is tried again
)

// Busy notes that the service refused a write for its rate.
func (r *Rates) Busy(now time.Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch since := now.Sub(r.last); {
	case since < time.Second:
		return
	case since < 2*time.Second:
		r.seconds++
	default:
		r.seconds = 1
	}
	r.last = now
	if r.seconds >= refusedFor {
		r.until = now.Add(lowerFor)
	}
}

// Lower notes that the service refused a size that it used to take.
func (r *Rates) Lower() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lowered {
		slog.Info("the state service has its lower limits")
	}
	r.lowered = true
}

// Lowered tells whether the limits to come are certainly in force.
func (r *Rates) Lowered() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lowered
}

func (r *Rates) writeRPS(s *State) float64 {
	if r == nil || s.Next == nil {
		return s.WriteRPS
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lowered || time.Now().Before(r.until) {
		return min(s.WriteRPS, s.Next.WriteRPS)
	}
	return s.WriteRPS
}
