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

// The minimum of a window equals the one that a scan of all of its samples finds.
func TestSlidingMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 200).Draw(t, "values")
		back := rapid.IntRange(0, int(maxIdleWait/time.Second)).Draw(t, "back")
		begin := time.Now()
		var minimum slidingMinimum
		for i, v := range values {
			now := begin.Add(time.Duration(i) * time.Second)
			minimum.add(now, float64(v))
			want := slices.Min(values[max(0, i-back) : i+1])
			if got := minimum.minSince(now.Add(-time.Duration(back) * time.Second)); got != float64(want) {
				t.Fatalf("least of %v: %v", values[max(0, i-back):i+1], got)
			}
		}
	})
}

// A job that waits while one machine stays free is a violation; while two machines are free in
// turn, it is none.
func TestIdleCapacityMustBeOnOneMachine(t *testing.T) {
	types := []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 16}}
	up := []wire.Instance{{ID: "i-1", MachineType: "s", Zone: "a"}, {ID: "i-2", MachineType: "s", Zone: "a"}}
	for _, test := range []struct {
		name      string
		inUse     func(second int) wire.Instance
		violation bool
	}{
		{"one stays free", func(int) wire.Instance { return up[0] }, true},
		{"they take turns", func(second int) wire.Instance { return up[second/80%2] }, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			checker := NewInvariantChecker(config.Params{Teams: []config.TeamQuota{{Name: "red"}}})
			submitArray := func(id wire.JobID) {
				checker.Submitted(&wire.Job{ID: id, Team: "red", Kind: wire.KindArray, TaskCount: 2, CPUs: 4, MemoryGB: 1}, time.Hour)
				checker.JobAnswered(id, 201, wire.JobQueued)
			}
			submitArray("req-000001") // runs
			submitArray("req-000002") // waits
			checker.TaskStarted(up[0], "req-000001/0")
			checker.FaultsOver()
			for second := range 300 {
				checker.TaskEnded("i-1", "req-000001/0")
				checker.TaskEnded("i-2", "req-000001/0")
				checker.TaskStarted(test.inUse(second), "req-000001/0")
				checker.CheckIdleCapacity(up, types)
				time.Sleep(time.Second)
			}
			if violation := len(checker.Violations()) > 0; violation != test.violation {
				t.Errorf("%s: %v", test.name, checker.Violations())
			}
		})
	}
}
