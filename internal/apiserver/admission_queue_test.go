package apiserver

import (
	"testing"
	"time"
)

// Users who come at once are told to come back one after another, as fast as they can be served;
// later ones are not kept waiting for places that have passed.
func TestAdmissionQueueSpreadsUsers(t *testing.T) {
	const perSecond = 8
	var queue admissionQueue
	now := time.Now()
	inSecond := map[int]int{}
	const users = perSecond * retryRateFactor * int(maxRetryAfter/time.Second)
	for range users {
		wait := queue.next(now, perSecond)
		if wait < minRetryAfter || wait > maxRetryAfter {
			t.Fatalf("told to wait %v", wait)
		}
		inSecond[int(wait/time.Second)]++
	}
	for second, users := range inSecond {
		if users > 2*retryRateFactor*perSecond { // the first second's have to wait for the second one
			t.Errorf("%d users told to come back in second %d", users, second)
		}
	}
	for range 1000 {
		if wait := queue.next(now, perSecond); wait > maxRetryAfter {
			t.Fatalf("told to wait %v", wait)
		}
	}
	if wait := queue.next(now.Add(time.Hour), perSecond); wait != minRetryAfter {
		t.Errorf("told to wait %v when nobody else does", wait)
	}
}
