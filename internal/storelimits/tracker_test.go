package storelimits

import (
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
)

// The upcoming write rate is assumed for a minute when throttling persists, and permanently once
// a value was rejected for its size. Short bursts of throttled writes change nothing, and
// without upcoming limits the present rate always applies.
func TestLowerRateIsAssumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := &Tracker{}
		limits := config.StoreLimits{WriteRate: 50, Upcoming: &config.UpcomingStoreLimits{WriteRate: 35}}
		throttled := func(seconds int) {
			for range 3 * seconds {
				tracker.ObserveThrottled(time.Now())
				time.Sleep(time.Second / 3)
			}
		}
		want := func(when string, rate float64) {
			if got := tracker.WriteRate(&limits); got != rate {
				t.Errorf("%s: %v", when, got)
			}
		}
		want("at first", 50)
		throttled(3)
		want("after a burst", 50)
		time.Sleep(10 * time.Second)
		throttled(3)
		want("after another", 50)
		time.Sleep(10 * time.Second)
		throttled(6)
		want("after persistent throttling", 35)
		time.Sleep(time.Minute)
		want("a minute later", 50)
		tracker.ObserveSizeRejected()
		want("after a size was rejected", 35)
		limits.Upcoming = nil
		want("without upcoming limits", 50)
	})
}
