package reconcile

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "lynxledge/internal/rapidseed"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Only an ended entry, a later session, or absence under a fencing token
// proves that a bound task is gone; what is proved gone is never launched by
// the same answer, and cancelled work is never launched at all.
func TestReconcileProvesOnlyWhatIsCertain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rec := &statecache.Machine{Incarnation: 2, FencingToken: 50}
		rep := &wire.Heartbeat{Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "session")), FencingToken: uint64(rapid.IntRange(30, 60).Draw(t, "token"))}
		cancelled := map[wire.JobID]bool{}
		entries := map[wire.TaskID]wire.TaskStatus{}
		for i := range rapid.IntRange(1, 6).Draw(t, "tasks") {
			b := statecache.TaskBinding{Job: wire.JobID(fmt.Sprintf("req-%06d", i)), Attempt: 7}
			if rapid.Bool().Draw(t, "stopped") {
				b.StopToken = uint64(rapid.IntRange(31, 50).Draw(t, "stop"))
			}
			cancelled[b.Job] = rapid.Bool().Draw(t, "cancelled")
			rec.Bindings = append(rec.Bindings, b)
			if rapid.Bool().Draw(t, "reported") {
				e := wire.TaskStatus{Task: b.TaskID(), Attempt: uint64(rapid.IntRange(6, 7).Draw(t, "attempt")), State: rapid.SampledFrom([]wire.TaskState{wire.TaskFetchingImage, wire.TaskRunning, wire.TaskExited}).Draw(t, "state")}
				if e.State == wire.TaskExited {
					e.ExitReason = wire.ReasonCompleted
				}
				entries[e.Task] = e
				rep.Tasks = append(rep.Tasks, e)
			}
		}
		p := Heartbeat(rec, rep, func(j wire.JobID) bool { return !cancelled[j] })
		gone := map[wire.TaskID]bool{}
		for _, g := range p.Terminated {
			gone[g.TaskID()] = true
		}
		launched := map[wire.TaskID]bool{}
		for _, o := range p.Commands {
			if o.Op == wire.OpLaunch {
				launched[o.Task] = true
			}
		}
		for _, b := range rec.Bindings {
			e, seen := entries[b.TaskID()]
			same := seen && e.Attempt == b.Attempt
			proved := rep.Incarnation > rec.Incarnation ||
				rep.Incarnation == rec.Incarnation && (same && e.State == wire.TaskExited || !same && b.StopToken > 0 && rep.FencingToken >= b.StopToken)
			if gone[b.TaskID()] != proved {
				t.Fatalf("%+v with %+v: gone is %v", b, e, gone[b.TaskID()])
			}
			if launched[b.TaskID()] && (proved || cancelled[b.Job] || b.StopToken > 0 || same || rep.Incarnation != rec.Incarnation) {
				t.Fatalf("%+v with %+v launched", b, e)
			}
		}
	})
}
