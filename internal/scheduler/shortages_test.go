package scheduler

import (
	"testing"
	"time"

	"lynxledge/internal/placement"
	"lynxledge/wire"
)

// A shortage is reported after it has lasted for a while, then at intervals, always with the time at
// which it began. After its end a new one begins.
func TestShortageIsReportedAtIntervals(t *testing.T) {
	start := time.Now()
	s := newShortages(8*time.Second, 44*time.Second)
	for _, step := range []struct {
		after time.Duration
		due   bool
	}{{0, false}, {7 * time.Second, false}, {8 * time.Second, true}, {9 * time.Second, false}, {51 * time.Second, false}, {52 * time.Second, true}} {
		since, due := s.record(blockedService, start.Add(step.after))
		if due != step.due || !since.Equal(start) {
			t.Errorf("after %v: due %v, since %v", step.after, due, since.Sub(start))
		}
	}
	s.forget(blockedService)
	if since, due := s.record(blockedService, start.Add(time.Minute)); due || !since.Equal(start.Add(time.Minute)) {
		t.Error("a shortage continues after its end")
	}
}

// The logged reason of a preemption depends on the target of a move, then on the priorities.
func TestPreemptionReason(t *testing.T) {
	job := func(priority wire.Priority) *wire.Job { return &wire.Job{Priority: priority} }
	moved := &placement.Victims{Target: &placement.Node{}}
	for _, test := range []struct {
		victims           *placement.Victims
		victim, successor wire.Priority
		reason            preemptionReason
	}{
		{&placement.Victims{}, wire.PriorityNormal, wire.PriorityHigh, preemptedForPriority},
		{&placement.Victims{}, wire.PriorityHigh, wire.PriorityHigh, preemptedForGuarantee},
		{moved, wire.PriorityNormal, wire.PriorityHigh, preemptedForMove},
		{moved, wire.PriorityHigh, wire.PriorityNormal, preemptedForMove},
	} {
		if got := preemptionReasonOf(test.victims, job(test.victim), job(test.successor)); got != test.reason {
			t.Errorf("%+v: %s", test, got)
		}
	}
}

// Nodes that can't take a replica are counted by the reason.
func TestObstaclesOfABlockedReplica(t *testing.T) {
	f := newMoveFixture()
	f.bindTo("i-b2", "b", "")
	f.view.Machines["i-b2"].Suspected = true
	f.nodes.refresh("i-b2", f.view.Machines["i-b2"])
	c := f.newCycle(f.now, 8, f.nodes.usage)
	c.updateVictimFacts(f.nodes.all)
	available := func(n *placement.Node) bool { return n.Schedulable }
	got := placement.FindObstacles(f.view.Jobs[blockedService].Spec, c.zoneCounts(blockedService), f.nodes.all, available)
	if want := (placement.Obstacles{Unavailable: 1, ZoneExcluded: 1, Full: 2, MovableReplicas: 4}); got != want {
		t.Errorf("%+v, not %+v", got, want)
	}
}
