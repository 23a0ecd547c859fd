package reports

import (
	"context"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/fakes"
	"lynxledge/internal/ledger"
	"lynxledge/internal/place"
	"lynxledge/wire"
)

// bench is a Reports actor over a state service that holds one machine.
type bench struct {
	ledger    *ledger.Ledger
	reports   *Reports
	elsewhere string
	alone     bool
}

func newBench(ctx context.Context, t *testing.T, bind *ledger.Machine, job *ledger.Job) *bench {
	cfg := &config.Config{Ops: config.DefaultOps()}
	cfg.Params.Workers = config.Workers{ReportS: 3, LeaseS: 34, CancelS: 64}
	cfg.Params.State = config.State{ValueKB: 8, TxnOps: 8, RPS: 150, WriteRPS: 50}
	conn := &fakes.Conn{State: fakes.NewState(), Net: fakes.NewNet(1, time.Millisecond), Node: "n0", Timeout: time.Second}
	chunk := ledger.ChunkTasks(8)
	l := ledger.Start(ctx, conn, ledger.Options{ChunkTasks: chunk, Hold: time.Second, MaxAge: time.Second, Backoff: 100 * time.Millisecond})
	b := &bench{ledger: l}
	placer := place.Start(ctx, cfg, 1, l, nil, func(*wire.Report) {})
	b.reports = Start(ctx, cfg, 1, l, Links{
		Elsewhere: func() string { return b.elsewhere }, Alone: func() bool { return b.alone },
		Note: placer.Observe, Tell: func(string, place.Observation) bool { return false },
	})
	l.Run()
	time.Sleep(time.Second)
	bind.Name = "i-1"
	ok := make(chan ledger.Outcome, 1)
	l.Commit(ledger.Commit{Puts: []ledger.Put{
		{Key: ledger.Key(ledger.KindBind, "g"), Rec: &ledger.Group{Type: "t", Zone: "z", Machines: []*ledger.Machine{bind}}}, {Key: ledger.Key(ledger.KindJob, "req-000001"), Rec: job},
	}}, func(out ledger.Outcome) { ok <- out })
	if out := <-ok; out != ledger.Committed {
		t.Fatal(out)
	}
	return b
}

func (b *bench) report(rep wire.Report) Reply {
	rep.Machine, rep.Addr, rep.Type, rep.Zone = "i-1", "i-1:1", "t", "z"
	ch := make(chan Reply, 1)
	b.reports.Send(func() { b.reports.Report(&rep, func(r Reply) { ch <- r }) })
	r := <-ch
	time.Sleep(time.Second)
	return r
}

// A machine that was cut off while a job on it was cancelled is refused while
// its old session may run, so that its lease ends in time. It must not be
// refused for ever: the report of its next session proves the old one over.
func TestMachineServesAgainAfterOverdueCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b := newBench(ctx, t,
			&ledger.Machine{Session: 1, Token: 9, Tasks: []ledger.BoundTask{{Job: "req-000001", Attempt: 1}}},
			&ledger.Job{State: wire.JobCancelled, Tasks: 1, EndAt: time.Now().Add(-40 * time.Second).UnixMilli()})
		running := []wire.TaskReport{{Task: "req-000001/0", Attempt: 1, State: wire.TaskRunning}}
		if r := b.report(wire.Report{Session: 1, Seq: 1, Tasks: running}); r.Accept {
			t.Error("lease renewed for work cancelled long ago")
		}
		b.report(wire.Report{Session: 2, Seq: 2})
		if r := b.report(wire.Report{Session: 2, Seq: 3}); !r.Accept {
			t.Error("refused though the cancelled work is gone")
		}
	})
}

// stale makes the node's view as old as d.
func (b *bench) stale(d time.Duration) {
	ch := make(chan bool)
	b.reports.Send(func() { b.reports.fresh = time.Now().Add(-d); ch <- true })
	<-ch
}

// ask reports once and waits only for the answer.
func (b *bench) ask(rep wire.Report) Reply {
	rep.Machine, rep.Addr, rep.Type, rep.Zone = "i-1", "i-1:1", "t", "z"
	ch := make(chan Reply, 1)
	b.reports.Send(func() { b.reports.Report(&rep, func(r Reply) { ch <- r }) })
	return <-ch
}

// row is the machine's row as the reports actor knows it.
func (b *bench) row() ledger.Machine {
	ch := make(chan ledger.Machine)
	b.reports.Send(func() { ch <- *b.reports.view.Machines["i-1"] })
	return <-ch
}

// heard tells whether the machine counts as heard since the last beat.
func (b *bench) heard() bool {
	ch := make(chan bool)
	b.reports.Send(func() { ch <- b.reports.heard["i-1"] })
	return <-ch
}

// What a report proves is told to the controller that writes it; if that is out
// of reach, the worker is sent there, once. Controllers that each wrote their
// own part while they refused each other held each other up.
func TestWorkerTellsTheWriterWhenTheMeshCant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b := newBench(ctx, t, &ledger.Machine{Session: 1, Token: 9, Tasks: []ledger.BoundTask{{Job: "req-000001", Attempt: 1}}}, &ledger.Job{Tasks: 9})
		b.ledger.Commit(ledger.Commit{Puts: []ledger.Put{
			{Key: ledger.Key(ledger.KindAssignment, "red"), Rec: ledger.Assignment{Member: "n1", Boot: 4}},
			{Key: ledger.Key(ledger.KindMember, "n1"), Rec: ledger.Member{Boot: 4}},
		}}, func(ledger.Outcome) {})
		time.Sleep(time.Second)
		ended := []wire.TaskReport{{Task: "req-000001/0", Attempt: 1, State: wire.TaskExited, Why: wire.WhyDone}}
		if r := b.ask(wire.Report{Session: 1, Seq: 1, Token: 9, Tasks: ended}); r.Accept || r.ReportTo != "n1" {
			t.Errorf("not sent to the controller that writes: %+v", r)
		}
		if r := b.ask(wire.Report{Session: 1, Seq: 2, Token: 9, Tasks: ended}); !r.Accept {
			t.Error("sent away again at once")
		}
		time.Sleep(10 * time.Second)
		if n := len(b.row().Tasks); n > 0 {
			t.Error("nobody has written it")
		}
	})
}

// Without state, a node hands its workers over while there is time: to one that
// has state, or, when it hears no other, anywhere else. In an outage for all,
// they come back and keep their leases: a node that refused them then cost
// 1,400 sessions in an outage of 50 s (docs/incidents/inc-ec15-gebeya-grown.md).
func TestNodeWithoutStateLetsItsWorkersGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b := newBench(ctx, t, &ledger.Machine{Session: 1, Token: 9}, &ledger.Job{Tasks: 1})
		half := b.reports.renewalWindow() * 3 / 4
		b.stale(half)
		if r := b.ask(wire.Report{Session: 1, Seq: 1}); !r.Accept {
			t.Error("refused in an outage that all see")
		}
		b.alone = true
		b.stale(half)
		if r := b.ask(wire.Report{Session: 1, Seq: 2}); r.Accept {
			t.Error("held by a node that hears no other")
		}
		if r := b.ask(wire.Report{Session: 1, Seq: 3}); !r.Accept {
			t.Error("refused though it found no better node")
		}
		b.alone, b.elsewhere = false, "n1"
		b.stale(half)
		if r := b.ask(wire.Report{Session: 1, Seq: 4}); r.Accept || r.ReportTo != "n1" {
			t.Errorf("not sent to the node that has state: %+v", r)
		}
	})
}

// Copies of reports that come late, over a lease or after an answer, don't
// count as hearing the machine, take no quiet mark away and undo nothing; a
// report of a machine whose record went adopts nothing.
func TestLateCopiesChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b := newBench(ctx, t, &ledger.Machine{Session: 2, Token: 9, Suspected: true, Drain: "faulty"}, &ledger.Job{Tasks: 1})
		before := b.row()
		b.report(wire.Report{Session: 2, Seq: 7, Token: 8}) // from before the mark
		b.report(wire.Report{Session: 1, Seq: 3, Token: 8}) // from an earlier session
		if now := b.row(); !reflect.DeepEqual(now, before) {
			t.Errorf("late copies made %+v of %+v", now, before)
		}
		b.report(wire.Report{Session: 2, Seq: 8, Token: 9}) // it has seen the mark
		if now := b.row(); now.Suspected || now.Drain != "faulty" {
			t.Errorf("heard again, but %+v", now)
		}
		time.Sleep(5 * time.Second) // beats pass
		b.ask(wire.Report{Session: 2, Seq: 8, Token: 9})
		b.ask(wire.Report{Session: 1, Seq: 3, Token: 8})
		if b.heard() {
			t.Error("a copy counts as hearing the machine")
		}
		b.ledger.Commit(ledger.Commit{Delete: []string{ledger.Key(ledger.KindBind, "g")}}, func(ledger.Outcome) {})
		time.Sleep(time.Second)
		if r := b.report(wire.Report{Session: 2, Seq: 9, Token: 9}); r.Accept {
			t.Error("lease renewed without a record")
		}
		ch := make(chan int)
		b.reports.Send(func() { ch <- len(b.reports.view.Groups) })
		if n := <-ch; n > 0 {
			t.Error("adopted by a report alone")
		}
	})
}

// A machine that is heard but hears nothing, as its reports go on showing an
// old token, stops counting as heard, so the leader marks and returns it; it
// counts again when it shows what it was answered.
func TestDeafMachineIsNotHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b := newBench(ctx, t, &ledger.Machine{Session: 1, Token: 9}, &ledger.Job{Tasks: 1})
		for seq := range uint64(6) {
			b.ask(wire.Report{Session: 1, Seq: seq + 1, Token: 5})
			time.Sleep(3 * time.Second)
		}
		b.ask(wire.Report{Session: 1, Seq: 7, Token: 5})
		if b.heard() {
			t.Error("a machine that hears nothing counts as heard")
		}
		b.ask(wire.Report{Session: 1, Seq: 8, Token: 9})
		if !b.heard() {
			t.Error("not heard though it acknowledged")
		}
	})
}

// A node that has not known every cancellation lately must not renew leases.
func TestStaleNodeRefusesReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b := newBench(ctx, t, &ledger.Machine{Session: 1, Token: 9}, &ledger.Job{Tasks: 1})
		if r := b.report(wire.Report{Session: 1, Seq: 1}); !r.Accept {
			t.Fatal("refused with a fresh view")
		}
		b.stale(b.reports.renewalWindow() + time.Second)
		if r := b.ask(wire.Report{Session: 1, Seq: 2}); r.Accept {
			t.Error("lease renewed by a stale node")
		}
	})
}

// A node whose view is behind launches nothing: the job may have been cancelled
// since, and its user told so. What stops or clears is answered all the same, and
// the lease is renewed.
func TestNothingLaunchedOnAnOldView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b := newBench(ctx, t, &ledger.Machine{Session: 1, Token: 9, Tasks: []ledger.BoundTask{{Job: "req-000001", Attempt: 8}}}, &ledger.Job{Tasks: 1})
		left := []wire.TaskReport{{Task: "req-000002/0", Attempt: 1, State: wire.TaskExited, Why: wire.WhyDone}}
		verbs := func(seq uint64) (out []string) {
			r := b.ask(wire.Report{Session: 1, Seq: seq, Tasks: left})
			if !r.Accept {
				t.Error("refused")
			}
			for _, o := range r.Body.Orders {
				out = append(out, o.Op)
			}
			return out
		}
		if got := verbs(1); !reflect.DeepEqual(got, []string{wire.OpForget, wire.OpStart}) {
			t.Errorf("on a fresh view: %v", got)
		}
		b.stale(2900 * time.Millisecond)
		if got := verbs(2); !reflect.DeepEqual(got, []string{wire.OpForget}) {
			t.Errorf("on a view almost a report old: %v", got)
		}
	})
}

// A machine that only answers what it is asked is not heard: its own reports
// reach nobody, and its lease runs out.
func TestAnswersAreNoReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b := newBench(ctx, t, &ledger.Machine{Session: 1, Token: 9}, &ledger.Job{Tasks: 1})
		b.reports.Handle(&wire.Report{Machine: "i-1", Addr: "i-1:1", Type: "t", Zone: "z", Session: 1, Seq: 5, Token: 9})
		if b.heard() {
			t.Error("an answer to a command passes for a report")
		}
		b.ask(wire.Report{Session: 1, Seq: 6, Token: 9})
		if !b.heard() {
			t.Error("a report is not heard")
		}
	})
}

// In an outage so long that nobody may renew leases, machines report all the
// same: the leader must not take them all for silent when it is over.
func TestRefusedReportsAreHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b := newBench(ctx, t, &ledger.Machine{Session: 1, Token: 9}, &ledger.Job{Tasks: 1})
		time.Sleep(100 * time.Millisecond) // the watch repeats what was just committed
		b.stale(40 * time.Second)
		if r := b.ask(wire.Report{Session: 1, Seq: 1, Token: 9}); r.Accept || !b.heard() {
			t.Errorf("accepted %v, heard %v", r.Accept, b.heard())
		}
	})
}
