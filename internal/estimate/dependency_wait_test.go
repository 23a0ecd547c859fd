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
	asked := 0
	left := func(id wire.JobID) float64 { asked++; return map[wire.JobID]float64{"a": 10, "x": 3}[id] }
	run := func(id wire.JobID) float64 { return map[wire.JobID]float64{"b": 5, "c": 7}[id] }
	got := DependencyWaits(blocked, func(wire.JobID) bool { return true }, left, run)
	for id, want := range map[wire.JobID]DependencyWait{"b": {10, "a"}, "c": {10, "a"}, "d": {17, "a"}} {
		if got[id] != want {
			t.Errorf("%s: %+v, want %+v", id, got[id], want)
		}
	}
	// Layers in which each job depends on all jobs of the previous layer.
	clear(blocked)
	var above []wire.JobID
	for layer := range 40 {
		var names []wire.JobID
		for i := range 12 {
			names = append(names, wire.JobID(fmt.Sprintf("%d-%d", layer, i)))
			if layer > 0 {
				job(names[i], above...)
			}
		}
		above = names
	}
	asked = 0
	left = func(wire.JobID) float64 { asked++; return 1 }
	got = DependencyWaits(blocked, func(wire.JobID) bool { return true }, left, func(wire.JobID) float64 { return 1 })
	if got["39-0"].WaitSeconds != 39 || asked > 40*12*12 {
		t.Errorf("39-0 waits %v s, %d calls", got["39-0"].WaitSeconds, asked)
	}
}
