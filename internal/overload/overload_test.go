package overload

import (
	"testing"
	"time"
)

// A late timer raises the level at once. Timers in time lower it only after
// checksBeforeLowering of them.
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
	for range checksBeforeLowering {
		g.observe(0)
	}
	expect(Overloaded, "checksBeforeLowering timers in time")
	g.observe(0)
	expect(Normal, "one more timer in time")
	var nilGauge *Gauge
	if nilGauge.Level() != Normal {
		t.Error("the level of a nil gauge is not Normal")
	}
}
