package autoscaler

import (
	"testing"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// A machine that responds to probes counts as reachable, unless its lease expired nevertheless: then
// only a heartbeat makes it reachable again.
func TestProbesDoNotCountOnceLeaseExpired(t *testing.T) {
	tracker := newLivenessTracker()
	now := time.Now()
	l := tracker.of("i-1")
	if l.probeSucceeded(&wire.Heartbeat{Machine: "i-1", Incarnation: 1}, 1, now) || l.lastReachable != now {
		t.Fatalf("answer with a lease: %+v", l)
	}
	for i, detected := range []bool{true, false} {
		now = now.Add(time.Second)
		if got := l.probeSucceeded(&wire.Heartbeat{Machine: "i-1", Incarnation: 2}, 1, now); got != detected || l.lastReachable == now || l.lastFailedProbe != now {
			t.Fatalf("answer %d without a lease: partition detected %v, %+v", i, got, l)
		}
	}
	now = now.Add(time.Second)
	tracker.heartbeatsReceived([]wire.MachineID{"i-1"}, now)
	if l.outboundPartitioned || l.lastReachable != now {
		t.Errorf("after a heartbeat: %+v", l)
	}
}

// At the start of a term, machines that have been up count as reachable at that time; machines that
// have never been up don't.
func TestTermBeginsWithReachableMachines(t *testing.T) {
	tracker := newLivenessTracker()
	start := time.Now()
	tracker.of("i-1").applyRecord(nil, &statecache.Machine{Incarnation: 1}, start)
	tracker.of("i-2").applyRecord(nil, &statecache.Machine{}, start)
	later := start.Add(time.Hour)
	tracker.beginTerm(later)
	if got := tracker.of("i-1").lastReachable; got != later {
		t.Errorf("the machine that is up was reachable at %v", got)
	}
	if got := tracker.of("i-2").lastReachable; !got.IsZero() {
		t.Errorf("the booting machine was reachable at %v", got)
	}
}

// A zone counts as partitioned if most of its machines, and at least minPartitionedMachines, miss
// heartbeats.
func TestPartitionedZone(t *testing.T) {
	for _, c := range []struct {
		started, missed int
		want            bool
	}{
		{4, 4, false},
		{5, 5, true},
		{10, 5, false},
		{10, 6, true},
	} {
		s := livenessSurvey{startedByZone: map[wire.Zone]int{"a": c.started}, missedHeartbeatByZone: map[wire.Zone]int{"a": c.missed}}
		if got := s.zonePartitioned("a"); got != c.want {
			t.Errorf("%d of %d machines: %v", c.missed, c.started, got)
		}
	}
}
