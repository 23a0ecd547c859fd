package heartbeat

import (
	"context"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/reconcile"
	"lynxledge/internal/scheduler"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// bench is a Reports actor over a state service that holds one machine.
type bench struct {
	ledger    *statecache.Cache
	reports   *Receiver
	elsewhere string
	alone     bool
}

func newBench(ctx context.Context, t *testing.T, bind *statecache.Machine, job *statecache.Job) *bench {
	cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
	cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 3 * time.Second, LeaseDuration: 34 * time.Second, CancellationDeadline: 64 * time.Second}
	cfg.Params.Store = config.StoreLimits{MaxValueKB: 8, MaxTxnOps: 8, RequestRate: 150, WriteRate: 50}
	conn := &simulation.StoreConn{Store: simulation.NewStore(), Net: simulation.NewNetwork(1, time.Millisecond), Node: "n0", Timeout: time.Second}
	chunk := statecache.ChunkTasks(8)
	l := statecache.Start(ctx, conn, statecache.Options{ChunkTasks: chunk, WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond})
	b := &bench{ledger: l}
	placer := scheduler.Start(ctx, scheduler.Options{Config: cfg, Incarnation: 1, Cache: l, OnCommandResponse: func(*wire.Heartbeat) {}})
	b.reports = Start(ctx, cfg, 1, l, Routes{
		FreshPeer: func() string { return b.elsewhere }, Isolated: func() bool { return b.alone },
		ApplyEvidence: placer.HandleEvidence, SendEvidence: func(string, reconcile.Evidence) bool { return false },
	})
	l.Run()
	time.Sleep(time.Second)
	bind.Name = "i-1"
	ok := make(chan statecache.Outcome, 1)
	l.Commit(statecache.Commit{Puts: []statecache.Put{
		{Key: statecache.Key(statecache.KindMachineGroup, "g"), Record: &statecache.MachineGroup{MachineType: "t", Zone: "z", Machines: []*statecache.Machine{bind}}}, {Key: statecache.Key(statecache.KindJob, "req-000001"), Record: job},
	}}, func(out statecache.Outcome) { ok <- out })
	if out := <-ok; out != statecache.Committed {
		t.Fatal(out)
	}
	return b
}

func (b *bench) report(rep wire.Heartbeat) Response {
	rep.Machine, rep.Address, rep.MachineType, rep.Zone = "i-1", "i-1:1", "t", "z"
	ch := make(chan Response, 1)
	b.reports.Send(func() { b.reports.HandleHeartbeat(&rep, func(r Response) { ch <- r }) })
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
			&statecache.Machine{Incarnation: 1, FencingToken: 9, Bindings: []statecache.TaskBinding{{Job: "req-000001", Attempt: 1}}},
			&statecache.Job{State: wire.JobCancelled, TaskCount: 1, FinishedAt: statecache.TimestampOf(time.Now().Add(-40 * time.Second))})
		running := []wire.TaskStatus{{Task: "req-000001/0", Attempt: 1, State: wire.TaskRunning}}
		if r := b.report(wire.Heartbeat{Incarnation: 1, Sequence: 1, Tasks: running}); r.Accepted {
			t.Error("lease renewed for work cancelled long ago")
		}
		b.report(wire.Heartbeat{Incarnation: 2, Sequence: 2})
		if r := b.report(wire.Heartbeat{Incarnation: 2, Sequence: 3}); !r.Accepted {
			t.Error("refused though the cancelled work is gone")
		}
	})
}

// stale makes the node's view as old as d.
func (b *bench) stale(d time.Duration) {
	ch := make(chan bool)
	b.reports.Send(func() { b.reports.freshAsOf = time.Now().Add(-d); ch <- true })
	<-ch
}

// ask reports once and waits only for the answer.
func (b *bench) ask(rep wire.Heartbeat) Response {
	rep.Machine, rep.Address, rep.MachineType, rep.Zone = "i-1", "i-1:1", "t", "z"
	ch := make(chan Response, 1)
	b.reports.Send(func() { b.reports.HandleHeartbeat(&rep, func(r Response) { ch <- r }) })
	return <-ch
}

// row is the machine's row as the reports actor knows it.
func (b *bench) row() statecache.Machine {
	ch := make(chan statecache.Machine)
	b.reports.Send(func() { ch <- *b.reports.view.Machines["i-1"] })
	return <-ch
}

// heard tells whether the machine counts as heard since the last beat.
func (b *bench) heard() bool {
	ch := make(chan bool)
	b.reports.Send(func() { ch <- b.reports.reachable["i-1"] })
	return <-ch
}

// What a report proves is told to the controller that writes it; if that is out
// of reach, the worker is sent there, once. Controllers that each wrote their
// own part while they refused each other held each other up.
func TestWorkerTellsTheWriterWhenTheMeshCant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b := newBench(ctx, t, &statecache.Machine{Incarnation: 1, FencingToken: 9, Bindings: []statecache.TaskBinding{{Job: "req-000001", Attempt: 1}}}, &statecache.Job{TaskCount: 9})
		b.ledger.Commit(statecache.Commit{Puts: []statecache.Put{
			{Key: statecache.Key(statecache.KindAssignment, "red"), Record: &statecache.Assignment{Member: "n1", Incarnation: 4}},
			{Key: statecache.Key(statecache.KindMember, "n1"), Record: &statecache.Member{Incarnation: 4}},
		}}, func(statecache.Outcome) {})
		time.Sleep(time.Second)
		ended := []wire.TaskStatus{{Task: "req-000001/0", Attempt: 1, State: wire.TaskExited, ExitReason: wire.ReasonCompleted}}
		if r := b.ask(wire.Heartbeat{Incarnation: 1, Sequence: 1, FencingToken: 9, Tasks: ended}); r.Accepted || r.RedirectTo != "n1" {
			t.Errorf("not sent to the controller that writes: %+v", r)
		}
		if r := b.ask(wire.Heartbeat{Incarnation: 1, Sequence: 2, FencingToken: 9, Tasks: ended}); !r.Accepted {
			t.Error("sent away again at once")
		}
		time.Sleep(10 * time.Second)
		if n := len(b.row().Bindings); n > 0 {
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
		b := newBench(ctx, t, &statecache.Machine{Incarnation: 1, FencingToken: 9}, &statecache.Job{TaskCount: 1})
		half := b.reports.renewalWindow() * 3 / 4
		b.stale(half)
		if r := b.ask(wire.Heartbeat{Incarnation: 1, Sequence: 1}); !r.Accepted {
			t.Error("refused in an outage that all see")
		}
		b.alone = true
		b.stale(half)
		if r := b.ask(wire.Heartbeat{Incarnation: 1, Sequence: 2}); r.Accepted {
			t.Error("held by a node that hears no other")
		}
		if r := b.ask(wire.Heartbeat{Incarnation: 1, Sequence: 3}); !r.Accepted {
			t.Error("refused though it found no better node")
		}
		b.alone, b.elsewhere = false, "n1"
		b.stale(half)
		if r := b.ask(wire.Heartbeat{Incarnation: 1, Sequence: 4}); r.Accepted || r.RedirectTo != "n1" {
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
		b := newBench(ctx, t, &statecache.Machine{Incarnation: 2, FencingToken: 9, Suspected: true, DrainReason: "faulty"}, &statecache.Job{TaskCount: 1})
		before := b.row()
		b.report(wire.Heartbeat{Incarnation: 2, Sequence: 7, FencingToken: 8}) // from before the mark
		b.report(wire.Heartbeat{Incarnation: 1, Sequence: 3, FencingToken: 8}) // from an earlier session
		if now := b.row(); !reflect.DeepEqual(now, before) {
			t.Errorf("late copies made %+v of %+v", now, before)
		}
		b.report(wire.Heartbeat{Incarnation: 2, Sequence: 8, FencingToken: 9}) // it has seen the mark
		if now := b.row(); now.Suspected || now.DrainReason != "faulty" {
			t.Errorf("heard again, but %+v", now)
		}
		time.Sleep(5 * time.Second) // beats pass
		b.ask(wire.Heartbeat{Incarnation: 2, Sequence: 8, FencingToken: 9})
		b.ask(wire.Heartbeat{Incarnation: 1, Sequence: 3, FencingToken: 8})
		if b.heard() {
			t.Error("a copy counts as hearing the machine")
		}
		b.ledger.Commit(statecache.Commit{Deletes: []string{statecache.Key(statecache.KindMachineGroup, "g")}}, func(statecache.Outcome) {})
		time.Sleep(time.Second)
		if r := b.report(wire.Heartbeat{Incarnation: 2, Sequence: 9, FencingToken: 9}); r.Accepted {
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
		b := newBench(ctx, t, &statecache.Machine{Incarnation: 1, FencingToken: 9}, &statecache.Job{TaskCount: 1})
		for seq := range uint64(6) {
			b.ask(wire.Heartbeat{Incarnation: 1, Sequence: seq + 1, FencingToken: 5})
			time.Sleep(3 * time.Second)
		}
		b.ask(wire.Heartbeat{Incarnation: 1, Sequence: 7, FencingToken: 5})
		if b.heard() {
			t.Error("a machine that hears nothing counts as heard")
		}
		b.ask(wire.Heartbeat{Incarnation: 1, Sequence: 8, FencingToken: 9})
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
		b := newBench(ctx, t, &statecache.Machine{Incarnation: 1, FencingToken: 9}, &statecache.Job{TaskCount: 1})
		if r := b.report(wire.Heartbeat{Incarnation: 1, Sequence: 1}); !r.Accepted {
			t.Fatal("refused with a fresh view")
		}
		b.stale(b.reports.renewalWindow() + time.Second)
		if r := b.ask(wire.Heartbeat{Incarnation: 1, Sequence: 2}); r.Accepted {
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
		b := newBench(ctx, t, &statecache.Machine{Incarnation: 1, FencingToken: 9, Bindings: []statecache.TaskBinding{{Job: "req-000001", Attempt: 8}}}, &statecache.Job{TaskCount: 1})
		left := []wire.TaskStatus{{Task: "req-000002/0", Attempt: 1, State: wire.TaskExited, ExitReason: wire.ReasonCompleted}}
		verbs := func(seq uint64) (out []wire.CommandOp) {
			r := b.ask(wire.Heartbeat{Incarnation: 1, Sequence: seq, Tasks: left})
			if !r.Accepted {
				t.Error("refused")
			}
			for _, o := range r.Body.Commands {
				out = append(out, o.Op)
			}
			return out
		}
		if got := verbs(1); !reflect.DeepEqual(got, []wire.CommandOp{wire.OpAcknowledge, wire.OpLaunch}) {
			t.Errorf("on a fresh view: %v", got)
		}
		b.stale(2900 * time.Millisecond)
		if got := verbs(2); !reflect.DeepEqual(got, []wire.CommandOp{wire.OpAcknowledge}) {
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
		b := newBench(ctx, t, &statecache.Machine{Incarnation: 1, FencingToken: 9}, &statecache.Job{TaskCount: 1})
		b.reports.HandleCommandResponse(&wire.Heartbeat{Machine: "i-1", Address: "i-1:1", MachineType: "t", Zone: "z", Incarnation: 1, Sequence: 5, FencingToken: 9})
		if b.heard() {
			t.Error("an answer to a command passes for a report")
		}
		b.ask(wire.Heartbeat{Incarnation: 1, Sequence: 6, FencingToken: 9})
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
		b := newBench(ctx, t, &statecache.Machine{Incarnation: 1, FencingToken: 9}, &statecache.Job{TaskCount: 1})
		time.Sleep(100 * time.Millisecond) // the watch repeats what was just committed
		b.stale(40 * time.Second)
		if r := b.ask(wire.Heartbeat{Incarnation: 1, Sequence: 1, FencingToken: 9}); r.Accepted || !b.heard() {
			t.Errorf("accepted %v, heard %v", r.Accepted, b.heard())
		}
	})
}
