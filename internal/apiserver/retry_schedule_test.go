package apiserver

import (
	"testing"
	"time"
)

// Submissions that are rejected at the same time get retry delays that are spread at the rate at
// which they can be served. Slots in the past do not delay later submissions.
func TestRetryScheduleSpreadsRetries(t *testing.T) {
	const perSecond = 8
	var schedule retrySchedule
	now := time.Now()
	inSecond := map[int]int{}
	const rejections = perSecond * retryOversubscription * int(maxRetryAfter/time.Second)
	for range rejections {
		delay := schedule.nextDelay(now, perSecond)
		if delay < minRetryAfter || delay > maxRetryAfter {
			t.Fatalf("retry delay %v", delay)
		}
		inSecond[int(delay/time.Second)]++
	}
	for second, rejections := range inSecond {
		if rejections > 2*retryOversubscription*perSecond { // minRetryAfter moves retries of the first second to the next
			t.Errorf("%d retries scheduled in second %d", rejections, second)
		}
	}
	for range 1000 {
		if delay := schedule.nextDelay(now, perSecond); delay > maxRetryAfter {
			t.Fatalf("retry delay %v", delay)
		}
	}
	if delay := schedule.nextDelay(now.Add(time.Hour), perSecond); delay != minRetryAfter {
		t.Errorf("retry delay %v without other retries", delay)
	}
}
