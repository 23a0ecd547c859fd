package apiserver

import (
	"sync"
	"time"
)

// The shortest and the longest time after which a user is told to come back. Who is told
// to come back late and is refused again waits longest of all: a few seconds are enough to
// keep a crowd from coming every second.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// retryRateFactor is how many users are told to come back for each that can be served then. Some
// come later than they were told or go to another controller, and a turn that nobody takes
// makes all others wait longer.
const retryRateFactor = 3

// admissionQueue spreads users who were refused over the time that it takes to serve them.
// Told to come back in a second, all of them would do so again and again, and each
// refusal takes processor time that serving them needs.
type admissionQueue struct {
	mu       sync.Mutex
	lastTurn time.Time // turn that was given last
}

// next is the time until the turn of one more user, where so many are served a second.
func (t *admissionQueue) next(now time.Time, perSecond float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastTurn.Before(now) {
		t.lastTurn = now
	}
	t.lastTurn = t.lastTurn.Add(time.Duration(float64(time.Second) / (perSecond * retryRateFactor)))
	if latest := now.Add(maxRetryAfter); t.lastTurn.After(latest) {
		t.lastTurn = latest
	}
	return max(minRetryAfter, t.lastTurn.Sub(now))
}
