package apiserver

import (
	"sync"
	"time"
)

// The shortest and the longest time after which a user is told to come back. Who is told to come
// back late and is refused again waits longest of all: a few seconds are enough to keep a crowd
// from coming every second.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// retryRateFactor is how many users are told to come back for each that can be served then. Some
// come later than they were told or go to another controller, and a place that nobody takes makes
// all others wait longer.
const retryRateFactor = 3

// admissionQueue spreads users who were refused over the time that it takes to serve them. Told
// to come back in a second, all of them would do so again and again, and each refusal takes
// processor time that serving them needs.
type admissionQueue struct {
	mu        sync.Mutex
	lastPlace time.Time // the latest time that a user was told to come back at
}

// next is the time until one more user may come back, where so many are served a second.
func (q *admissionQueue) next(now time.Time, perSecond float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.lastPlace.Before(now) {
		q.lastPlace = now
	}
	q.lastPlace = q.lastPlace.Add(time.Duration(float64(time.Second) / (perSecond * retryRateFactor)))
	if latest := now.Add(maxRetryAfter); q.lastPlace.After(latest) {
		q.lastPlace = latest
	}
	return max(minRetryAfter, q.lastPlace.Sub(now))
}
