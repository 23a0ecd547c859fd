package place

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "lynxledge/internal/seeded"

	"lynxledge/internal/ledger"
	"lynxledge/wire"
)

// Only an ended entry, a later session, or absence under a fencing token
// proves that a bound task is gone; what is proved gone is never launched by
// the same answer, and cancelled work is never launched at all.
func TestReconcileProvesOnlyWhatIsCertain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rec := &ledger.Machine{Session: 2, Token: 50}
		rep := &wire.Report{Session: uint64(rapid.IntRange(1, 3).Draw(t, "session")), Token: uint64(rapid.IntRange(30, 60).Draw(t, "token"))}
		cancelled := map[string]bool{}
		entries := map[string]wire.TaskReport{}
		for i := range rapid.IntRange(1, 6).Draw(t, "tasks") {
			b := ledger.BoundTask{Job: fmt.Sprintf("req-%06d", i), Attempt: 7}
			if rapid.Bool().Draw(t, "stopped") {
				b.Stop = uint64(rapid.IntRange(31, 50).Draw(t, "stop"))
			}
			cancelled[b.Job] = rapid.Bool().Draw(t, "cancelled")
			rec.Tasks = append(rec.Tasks, b)
			if rapid.Bool().Draw(t, "reported") {
				e := wire.TaskReport{Task: b.Name(), Attempt: uint64(rapid.IntRange(6, 7).Draw(t, "attempt")), State: rapid.SampledFrom([]string{wire.TaskFetching, wire.TaskRunning, wire.TaskExited}).Draw(t, "state")}
				if e.State == wire.TaskExited {
					e.Why = wire.WhyDone
				}
				entries[e.Task] = e
				rep.Tasks = append(rep.Tasks, e)
			}
		}
		p := Reconcile(rec, rep, func(j string) bool { return !cancelled[j] })
		gone := map[string]bool{}
		for _, g := range p.Gone {
			gone[g.Task()] = true
		}
		launched := map[string]bool{}
		for _, o := range p.Orders {
			if o.Op == wire.OpStart {
				launched[o.Task] = true
			}
		}
		for _, b := range rec.Tasks {
			e, seen := entries[b.Name()]
			same := seen && e.Attempt == b.Attempt
			proved := rep.Session > rec.Session ||
				rep.Session == rec.Session && (same && e.State == wire.TaskExited || !same && b.Stop > 0 && rep.Token >= b.Stop)
			if gone[b.Name()] != proved {
				t.Fatalf("%+v with %+v: gone is %v", b, e, gone[b.Name()])
			}
			if launched[b.Name()] && (proved || cancelled[b.Job] || b.Stop > 0 || same || rep.Session != rec.Session) {
				t.Fatalf("%+v with %+v launched", b, e)
			}
		}
	})
}
