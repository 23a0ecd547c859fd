package zonehealth

import (
	"fmt"
	"testing"
	"time"

	"lynxledge/wire"
)

// names makes machine names of a zone.
func names(zone wire.Zone, n int) []wire.MachineID {
	var out []wire.MachineID
	for i := range n {
		out = append(out, wire.MachineID(fmt.Sprintf("%s-%d", zone, i)))
	}
	return out
}

func expect(c *ReachabilityTracker, zone wire.Zone, machines []wire.MachineID) {
	for _, m := range machines {
		c.AddMachine(m, zone)
	}
}

// pass lets the census' time go by.
func pass(c *ReachabilityTracker, now *time.Time, ticks int, each func()) {
	for range ticks {
		*now = now.Add(tick)
		c.Advance(*now, tick, tick)
		each()
	}
}

// A machine is silent when no controller has heard it for the time of silence; what
// several controllers hear counts together.
func TestCensusOfSeveralControllers(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewReachabilityTracker(now, 9*tick)
	a, b := names("a", 10), names("b", 4)
	expect(c, "a", a)
	expect(c, "b", b)
	pass(c, &now, 20, func() {
		c.MachinesReachable("n0", a[:4])
		c.MachinesReachable("n1", a[2:7])
		c.MachinesReachable("n1", []wire.MachineID{"stranger"})
	})
	if e := c.Evidence()["a"]; e.Unreachable != 3 || e.ReachableFrom != 2 || e.Expected != 10 {
		t.Errorf("a: %v", e)
	}
	if e := c.Evidence()["b"]; e.Unreachable != 4 || e.ReachableFrom != 0 {
		t.Errorf("b: %v", e)
	}
	if NoneReachable(c.Evidence()) {
		t.Error("blind though a is heard")
	}
	pass(c, &now, 8, func() {})
	if e := c.Evidence()["a"]; e.Unreachable != 3 {
		t.Errorf("a, before the time of silence: %v", e)
	}
	pass(c, &now, 5, func() {})
	if e := c.Evidence()["a"]; e.Unreachable != 10 || !NoneReachable(c.Evidence()) {
		t.Errorf("a, after it: %v", e)
	}
}

// Machines that failed count as down for a while; those that went in an orderly way
// don't. A new machine is not silent before it had its time.
func TestCensusOfChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewReachabilityTracker(now, 9*tick)
	a := names("a", 10)
	expect(c, "a", a)
	for i, m := range a[:6] {
		c.RemoveMachine(m, i%2 == 0)
	}
	if e := c.Evidence()["a"]; e.Expected != 4 || e.Failed != 3 || e.Unreachable != 0 {
		t.Errorf("at once: %v", e)
	}
	pass(c, &now, 20, func() { c.MachinesReachable("n0", a) })
	if e := c.Evidence()["a"]; e.Expected != 4 || e.Failed != 0 || e.Unreachable != 0 {
		t.Errorf("later: %v", e)
	}
	c.AddMachine("a-new", "a")
	if e := c.Evidence()["a"]; e.Expected != 5 || e.Unreachable != 0 {
		t.Errorf("with a new one: %v", e)
	}
}

// A process that stood still has missed what was heard meanwhile, and trusts nothing
// until it has listened for long enough.
func TestCensusAfterAStall(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewReachabilityTracker(now, 9*tick)
	if c.Complete(now) {
		t.Error("complete at the beginning")
	}
	pass(c, &now, 10, func() {})
	if !c.Complete(now) {
		t.Error("not complete after the time of silence")
	}
	now = now.Add(30 * tick)
	c.Advance(now, tick, 30*tick)
	if c.Complete(now) {
		t.Error("complete after a stall")
	}
	pass(c, &now, 9, func() {})
	if !c.Complete(now) {
		t.Error("not complete again")
	}
}

// What a report costs does not depend on the size of the fleet; what a look costs does
// little.
func BenchmarkCensus(b *testing.B) {
	for _, machines := range []int{50, 500, 4000} {
		now := time.Unix(1000, 0)
		c := NewReachabilityTracker(now, 9*tick)
		all := names("a", machines)
		expect(c, "a", all)
		b.Run(fmt.Sprintf("report/%d", machines), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				c.MachinesReachable("n0", all[i%machines:i%machines+1])
			}
		})
		b.Run(fmt.Sprintf("look/%d", machines), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				now = now.Add(tick)
				c.Advance(now, tick, tick)
				c.MachinesReachable("n1", all[:machines/2])
				c.Evidence()
			}
		})
	}
}
