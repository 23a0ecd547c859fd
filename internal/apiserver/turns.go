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

// eagerness is how many users are told to come back for each that can be served then. Some
// come later than they were told or go to another controller, and a turn that nobody takes
// makes all others wait longer.
const eagerness = 3

// turnList spreads users who were refused over the time that it takes to serve them.
// Told to come back in a second, all of them would do so again and again, and each
// refusal takes processor time that serving them needs.
type turnList struct {
	mu   sync.Mutex
	last time.Time // turn that was given last
}

// next is the time until the turn of one more user, where so many are served a second.
func (t *turnList) next(now time.Time, perSecond float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last.Before(now) {
		t.last = now
	}
	t.last = t.last.Add(time.Duration(float64(time.Second) / (perSecond * eagerness)))
	if latest := now.Add(maxRetryAfter); t.last.After(latest) {
		t.last = latest
	}
	return max(minRetryAfter, t.last.Sub(now))
}
