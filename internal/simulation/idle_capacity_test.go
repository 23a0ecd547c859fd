package simulation

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lynxledge/internal/config"
	_ "lynxledge/internal/rapidseed"
	"lynxledge/wire"
)

// The least of a window is what a look through all of its samples finds.
func TestSlidingMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 200).Draw(t, "values")
		back := rapid.IntRange(0, int(maxIdleWait/time.Second)).Draw(t, "back")
		begin := time.Now()
		var window slidingMinimum
		for i, v := range values {
			now := begin.Add(time.Duration(i) * time.Second)
			window.add(now, float64(v))
			want := slices.Min(values[max(0, i-back) : i+1])
			if got := window.since(now.Add(-time.Duration(back) * time.Second)); got != float64(want) {
				t.Fatalf("least of %v: %v", values[max(0, i-back):i+1], got)
			}
		}
	})
}

// A job that waits beside a machine that is free all the time is left waiting; where
// machines only take turns at being free, it is not.
func TestIdleNeedsOneMachinesRoom(t *testing.T) {
	types := []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 16}}
	up := []wire.Instance{{ID: "i-1", MachineType: "s", Zone: "a"}, {ID: "i-2", MachineType: "s", Zone: "a"}}
	for _, test := range []struct {
		name  string
		inUse func(second int) wire.Instance
		left  bool
	}{
		{"one stays free", func(int) wire.Instance { return up[0] }, true},
		{"they take turns", func(second int) wire.Instance { return up[second/80%2] }, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := NewInvariantChecker(config.Params{Teams: []config.TeamQuota{{Name: "red"}}})
			array := func(id wire.JobID) {
				r.Submitted(&wire.Job{ID: id, Team: "red", Kind: wire.KindArray, TaskCount: 2, CPUs: 4, MemoryGB: 1}, time.Hour)
				r.JobAnswered(id, 201, wire.JobQueued)
			}
			array("req-000001") // runs
			array("req-000002") // waits
			r.TaskStarted(up[0], "req-000001/0")
			r.FaultsOver()
			for second := range 300 {
				r.TaskEnded("i-1", "req-000001/0")
				r.TaskEnded("i-2", "req-000001/0")
				r.TaskStarted(test.inUse(second), "req-000001/0")
				r.CheckIdleCapacity(up, types)
				time.Sleep(time.Second)
			}
			if left := len(r.Violations()) > 0; left != test.left {
				t.Errorf("%s: %v", test.name, r.Violations())
			}
		})
	}
}
