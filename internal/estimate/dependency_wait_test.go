package estimate

import (
	"fmt"
	"testing"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// A blocked job can run once the longest path through its dependencies has ended, and is blocked by
// the first job on that path. Shared dependencies are not evaluated again for each path.
func TestDependencyWaits(t *testing.T) {
	blocked := map[wire.JobID]*statecache.Job{}
	job := func(id wire.JobID, dependencies ...wire.JobID) {
		blocked[id] = &statecache.Job{Spec: &wire.Job{ID: id, Dependencies: dependencies}}
	}
	job("b", "a", "x")
	job("c", "a")
	job("d", "b", "c")
	calls := 0
	remainingSeconds := func(id wire.JobID) float64 { calls++; return map[wire.JobID]float64{"a": 10, "x": 3}[id] }
	runtimeSeconds := func(id wire.JobID) float64 { return map[wire.JobID]float64{"b": 5, "c": 7}[id] }
	got := DependencyWaits(blocked, func(wire.JobID) bool { return true }, remainingSeconds, runtimeSeconds)
	for id, want := range map[wire.JobID]DependencyWait{"b": {10, "a"}, "c": {10, "a"}, "d": {17, "a"}} {
		if got[id] != want {
			t.Errorf("%s: %+v, want %+v", id, got[id], want)
		}
	}
	// Layers in which each job depends on all jobs of the previous layer.
	clear(blocked)
	var previousLayer []wire.JobID
	for layer := range 40 {
		var names []wire.JobID
		for i := range 12 {
			names = append(names, wire.JobID(fmt.Sprintf("%d-%d", layer, i)))
			if layer > 0 {
				job(names[i], previousLayer...)
			}
		}
		previousLayer = names
	}
	calls = 0
	remainingSeconds = func(wire.JobID) float64 { calls++; return 1 }
	got = DependencyWaits(blocked, func(wire.JobID) bool { return true }, remainingSeconds, func(wire.JobID) float64 { return 1 })
	if got["39-0"].WaitSeconds != 39 || calls > 40*12*12 {
		t.Errorf("39-0 waits %v s, %d calls", got["39-0"].WaitSeconds, calls)
	}
}
