package zonehealth

import (
	"fmt"
	"testing"
	"time"

	"lynxledge/wire"
)

// machineNames returns n machine names for a zone.
func machineNames(zone wire.Zone, n int) []wire.MachineID {
	var out []wire.MachineID
	for i := range n {
		out = append(out, wire.MachineID(fmt.Sprintf("%s-%d", zone, i)))
	}
	return out
}

func addMachines(tracker *ReachabilityTracker, zone wire.Zone, machines []wire.MachineID) {
	for _, m := range machines {
		tracker.AddMachine(m, zone)
	}
}

// advance advances the time by a number of ticks, and calls each after every tick.
func advance(tracker *ReachabilityTracker, now *time.Time, ticks int, each func()) {
	for range ticks {
		*now = now.Add(tick)
		tracker.Advance(*now, tick, tick)
		each()
	}
}

// A machine is unreachable only once no controller has received a heartbeat from it for
// unreachableAfter.
func TestReachabilityFromSeveralControllers(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewReachabilityTracker(now, 9*tick)
	a, b := machineNames("a", 10), machineNames("b", 4)
	addMachines(tracker, "a", a)
	addMachines(tracker, "b", b)
	advance(tracker, &now, 20, func() {
		tracker.MachinesReachable("n0", a[:4])
		tracker.MachinesReachable("n1", a[2:7])
		tracker.MachinesReachable("n1", []wire.MachineID{"unknown"})
	})
	if e := tracker.Evidence()["a"]; e.Unreachable != 3 || e.ReachableFrom != 2 || e.Expected != 10 {
		t.Errorf("a: %v", e)
	}
	if e := tracker.Evidence()["b"]; e.Unreachable != 4 || e.ReachableFrom != 0 {
		t.Errorf("b: %v", e)
	}
	if NoneReachable(tracker.Evidence()) {
		t.Error("none reachable though a is")
	}
	advance(tracker, &now, 8, func() {})
	if e := tracker.Evidence()["a"]; e.Unreachable != 3 {
		t.Errorf("a, before unreachableAfter: %v", e)
	}
	advance(tracker, &now, 5, func() {})
	if e := tracker.Evidence()["a"]; e.Unreachable != 10 || !NoneReachable(tracker.Evidence()) {
		t.Errorf("a, after it: %v", e)
	}
}

// Failed machines count as down until they leave the window; those removed for another reason
// don't. A new machine counts as reachable at first.
func TestReachabilityOfAddedAndRemovedMachines(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewReachabilityTracker(now, 9*tick)
	a := machineNames("a", 10)
	addMachines(tracker, "a", a)
	for i, m := range a[:6] {
		tracker.RemoveMachine(m, i%2 == 0)
	}
	if e := tracker.Evidence()["a"]; e.Expected != 4 || e.Failed != 3 || e.Unreachable != 0 {
		t.Errorf("at once: %v", e)
	}
	advance(tracker, &now, 20, func() { tracker.MachinesReachable("n0", a) })
	if e := tracker.Evidence()["a"]; e.Expected != 4 || e.Failed != 0 || e.Unreachable != 0 {
		t.Errorf("later: %v", e)
	}
	tracker.AddMachine("a-new", "a")
	if e := tracker.Evidence()["a"]; e.Expected != 5 || e.Unreachable != 0 {
		t.Errorf("with a new one: %v", e)
	}
}

// A process that stalled may have missed heartbeats, so its evidence is incomplete until
// unreachableAfter has passed.
func TestReachabilityIsIncompleteAfterStall(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewReachabilityTracker(now, 9*tick)
	if tracker.Complete(now) {
		t.Error("complete at the beginning")
	}
	advance(tracker, &now, 10, func() {})
	if !tracker.Complete(now) {
		t.Error("not complete after unreachableAfter")
	}
	now = now.Add(30 * tick)
	tracker.Advance(now, tick, 30*tick)
	if tracker.Complete(now) {
		t.Error("complete after a stall")
	}
	advance(tracker, &now, 9, func() {})
	if !tracker.Complete(now) {
		t.Error("not complete again")
	}
}

// The cost of a heartbeat should not depend on the size of the fleet, that of Evidence only a
// little.
func BenchmarkReachability(b *testing.B) {
	for _, machines := range []int{50, 500, 4000} {
		now := time.Unix(1000, 0)
		tracker := NewReachabilityTracker(now, 9*tick)
		all := machineNames("a", machines)
		addMachines(tracker, "a", all)
		b.Run(fmt.Sprintf("heartbeat/%d", machines), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				tracker.MachinesReachable("n0", all[i%machines:i%machines+1])
			}
		})
		b.Run(fmt.Sprintf("evidence/%d", machines), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				now = now.Add(tick)
				tracker.Advance(now, tick, tick)
				tracker.MachinesReachable("n1", all[:machines/2])
				tracker.Evidence()
			}
		})
	}
}
