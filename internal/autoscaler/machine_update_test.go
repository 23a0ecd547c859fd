package autoscaler

import (
	"testing"

	"lynxledge/internal/statecache"
)

// An update replaces a pending one only if it goes further.
func TestUpdateSupersedesLesserOnes(t *testing.T) {
	none := machineUpdate{}
	suspected := machineUpdate{suspected: true}
	drained := machineUpdate{drainReason: drainReasonFaulty}
	scaledIn := machineUpdate{drainReason: drainReasonIdle, scaleIn: true}
	terminated := machineUpdate{terminated: true}
	for _, c := range []struct {
		pending, update machineUpdate
		want            bool
	}{
		{none, suspected, true},
		{suspected, drained, true},
		{drained, suspected, false},
		{drained, scaledIn, true},
		{scaledIn, suspected, false},
		{scaledIn, drained, false},
		{scaledIn, terminated, true},
		{terminated, scaledIn, false},
		{terminated, suspected, false},
	} {
		queue := newUpdateQueue()
		queue.pending["i-1"] = c.pending
		if got := queue.add("i-1", c.update); got != c.want || (queue.pending["i-1"] == c.update) != c.want {
			t.Errorf("%+v after %+v: added %v, want %v", c.update, c.pending, got, c.want)
		}
	}
}

// An update that was written is dropped, unless another has replaced it meanwhile.
func TestCommittedUpdatesAreDropped(t *testing.T) {
	queue := newUpdateQueue()
	suspected := machineUpdate{suspected: true}
	queue.add("i-1", suspected)
	queue.add("i-2", suspected)
	batch := newGroupUpdates(nil)
	batch.machines["i-1"], batch.machines["i-2"] = suspected, suspected
	queue.add("i-2", machineUpdate{drainReason: drainReasonIdle, scaleIn: true})
	queue.removeCommitted(batch.machines)
	if _, pending := queue.pending["i-1"]; pending || !queue.pending["i-2"].scaleIn {
		t.Errorf("pending: %v", queue.pending)
	}
}

// A machine that got a task after it was found idle is not scaled in; an unreachable one with a task
// is.
func TestIdleMachineWithTasksIsKept(t *testing.T) {
	inUse := &statecache.Machine{Incarnation: 1, Bindings: []statecache.TaskBinding{{Job: "req-000001"}}}
	if (machineUpdate{drainReason: drainReasonIdle, scaleIn: true}).stillNeeded(inUse) {
		t.Error("a machine with a task is scaled in as idle")
	}
	if !(machineUpdate{drainReason: statecache.DrainUnreachable, scaleIn: true}).stillNeeded(inUse) {
		t.Error("an unreachable machine is kept for its task")
	}
}
