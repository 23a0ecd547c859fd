package apiserver

import (
	"sync"
	"time"
)

// Bounds of Retry-After. The upper bound is low because a client that is rejected again after a
// long delay waits longest of all; a few seconds suffice to keep many clients from retrying every
// second.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// retryOversubscription is the number of retries scheduled for each submission that can be served.
// Some clients retry later than told or at another controller, and an unused slot delays all
// others.
const retryOversubscription = 3

// retrySchedule spreads the retries of rejected submissions over the time that it takes to serve
// them. If all were told to retry after a second, they would do so again and again, and each
// rejection takes CPU time that serving them needs.
type retrySchedule struct {
	mu            sync.Mutex
	lastScheduled time.Time // time of the latest scheduled retry
}

// nextDelay schedules one more retry and returns the delay until then, given the number of
// submissions served per second.
func (r *retrySchedule) nextDelay(now time.Time, perSecond float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastScheduled.Before(now) {
		r.lastScheduled = now
	}
	r.lastScheduled = r.lastScheduled.Add(time.Duration(float64(time.Second) / (perSecond * retryOversubscription)))
	if latest := now.Add(maxRetryAfter); r.lastScheduled.After(latest) {
		r.lastScheduled = latest
	}
	return max(minRetryAfter, r.lastScheduled.Sub(now))
}
