package overload

import (
	"testing"
	"time"
)

// The level follows the latest timers at once upwards, and downwards only after a while.
func TestLevels(t *testing.T) {
	const heartbeatInterval = 8 * time.Second
	late := func(share float64) time.Duration { return time.Duration(share * float64(heartbeatInterval)) }
	g := &Gauge{heartbeatInterval: heartbeatInterval}
	expect := func(want Level, after string) {
		t.Helper()
		if got := g.Level(); got != want {
			t.Fatalf("level %d after %s, want %d", got, after, want)
		}
	}
	g.observe(late(behindLatenessShare / 2))
	expect(Normal, "timers in time")
	g.observe(late(behindLatenessShare * 1.1))
	expect(Behind, "a late timer")
	g.observe(late(overloadedLatenessShare * 1.1))
	expect(Overloaded, "a very late timer")
	for range calmChecksToRecover {
		g.observe(0)
	}
	expect(Overloaded, "a short calm")
	g.observe(0)
	expect(Normal, "a long calm")
	var none *Gauge
	if none.Level() != Normal {
		t.Error("no gauge: not at normal")
	}
}
