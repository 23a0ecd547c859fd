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

// controller is a Receiver with a cache of a store that holds one machine, i-1, and one job,
// req-000001.
type controller struct {
	cache     *statecache.Cache
	receiver  *Receiver
	freshPeer string
	isolated  bool
}

func newController(ctx context.Context, t *testing.T, machine *statecache.Machine, job *statecache.Job) *controller {
	t.Helper()
	cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
	cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 3 * time.Second, LeaseDuration: 34 * time.Second, CancellationDeadline: 64 * time.Second}
	cfg.Params.Store = config.StoreLimits{MaxValueKB: 8, MaxTxnOps: 8, RequestRate: 150, WriteRate: 50}
	store := &simulation.StoreConn{Store: simulation.NewStore(), Network: simulation.NewNetwork(1, time.Millisecond), Member: "n0", Timeout: time.Second}
	cache := statecache.Start(ctx, store, statecache.Options{ChunkTasks: statecache.ChunkTasks(8), WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond})
	c := &controller{cache: cache}
	active := scheduler.Start(ctx, scheduler.Options{Config: cfg, Incarnation: 1, Cache: cache, OnCommandResponse: func(*wire.Heartbeat) {}})
	c.receiver = Start(ctx, Options{Config: cfg, Cache: cache, Routes: Routes{
		FreshPeer:     func() string { return c.freshPeer },
		Isolated:      func() bool { return c.isolated },
		ApplyEvidence: active.HandleEvidence,
		SendEvidence:  func(string, reconcile.Evidence) bool { return false },
	}})
	cache.Run()
	time.Sleep(time.Second)
	machine.Name = "i-1"
	committed := make(chan statecache.Outcome, 1)
	cache.Commit(statecache.Commit{Puts: []statecache.Put{
		{Key: statecache.Key(statecache.KindMachineGroup, "g"), Record: &statecache.MachineGroup{MachineType: "t", Zone: "z", Machines: []*statecache.Machine{machine}}},
		{Key: statecache.Key(statecache.KindJob, "req-000001"), Record: job},
	}}, func(outcome statecache.Outcome) { committed <- outcome })
	if outcome := <-committed; outcome != statecache.Committed {
		t.Fatal(outcome)
	}
	return c
}

// send has the machine send a heartbeat, and waits for the response alone.
func (c *controller) send(heartbeat wire.Heartbeat) Response {
	return c.sendAfter(func(*Receiver) {}, heartbeat)
}

// sendAtViewAge is send at a moment at which the controller's view is as old as age. One message
// sets the age and handles the heartbeat.
func (c *controller) sendAtViewAge(age time.Duration, heartbeat wire.Heartbeat) Response {
	return c.sendAfter(func(r *Receiver) { r.freshAsOf = time.Now().Add(-age) }, heartbeat)
}

// sendAfter has the receiver handle a heartbeat in the message that prepares for it. What was under
// way at this instant, as the watch that repeats what was just committed, is over before: it
// would refresh the view in between.
func (c *controller) sendAfter(prepare func(r *Receiver), heartbeat wire.Heartbeat) Response {
	heartbeat.Machine, heartbeat.Address, heartbeat.MachineType, heartbeat.Zone = "i-1", "i-1:1", "t", "z"
	responses := make(chan Response, 1)
	synctest.Wait()
	c.receiver.Send(func() {
		prepare(c.receiver)
		c.receiver.HandleHeartbeat(&heartbeat, func(r Response) { responses <- r })
	})
	return <-responses
}

// sendAndSettle is send, with time for what the heartbeat proves to be written.
func (c *controller) sendAndSettle(heartbeat wire.Heartbeat) Response {
	response := c.send(heartbeat)
	time.Sleep(time.Second)
	return response
}

// inActor evaluates f in the receiver's actor.
func inActor[T any](c *controller, f func(r *Receiver) T) T {
	values := make(chan T)
	c.receiver.Send(func() { values <- f(c.receiver) })
	return <-values
}

// machine is the machine's record as the receiver knows it.
func (c *controller) machine() statecache.Machine {
	return inActor(c, func(r *Receiver) statecache.Machine { return *r.view.Machines["i-1"] })
}

// reachable tells whether the machine counts as reachable since the last announcement.
func (c *controller) reachable() bool {
	return inActor(c, func(r *Receiver) bool { return r.reachable["i-1"] })
}

// A machine that was partitioned while a job on it was cancelled is refused while its old
// incarnation may run, so that its lease expires in time. It must not be refused for ever: the
// heartbeat of its next incarnation proves that the old one ended.
func TestMachineServesAgainAfterOverdueCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newController(ctx, t,
			&statecache.Machine{Incarnation: 1, FencingToken: 9, Bindings: []statecache.TaskBinding{{Job: "req-000001", Attempt: 1}}},
			&statecache.Job{State: wire.JobCancelled, TaskCount: 1, FinishedAt: statecache.TimestampOf(time.Now().Add(-40 * time.Second))})
		running := []wire.TaskStatus{{Task: "req-000001/0", Attempt: 1, State: wire.TaskRunning}}
		if r := c.sendAndSettle(wire.Heartbeat{Incarnation: 1, Sequence: 1, Tasks: running}); r.Outcome == Accepted {
			t.Error("lease renewed for a job cancelled long ago")
		}
		c.sendAndSettle(wire.Heartbeat{Incarnation: 2, Sequence: 2})
		if r := c.sendAndSettle(wire.Heartbeat{Incarnation: 2, Sequence: 3}); r.Outcome != Accepted {
			t.Error("refused though the cancelled task is terminated")
		}
	})
}

// What a heartbeat proves is forwarded to the controller that writes it; if that is out of
// reach, the worker is redirected there, once. Controllers that each wrote their own part while
// they could not reach each other held each other up with conflicts.
func TestWorkerRedirectedToUnreachedWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newController(ctx, t, &statecache.Machine{Incarnation: 1, FencingToken: 9, Bindings: []statecache.TaskBinding{{Job: "req-000001", Attempt: 1}}}, &statecache.Job{TaskCount: 9})
		c.cache.Commit(statecache.Commit{Puts: []statecache.Put{
			{Key: statecache.Key(statecache.KindAssignment, "red"), Record: &statecache.Assignment{Member: "n1", Incarnation: 4}},
			{Key: statecache.Key(statecache.KindMember, "n1"), Record: &statecache.Member{Incarnation: 4}},
		}}, func(statecache.Outcome) {})
		time.Sleep(time.Second)
		exited := []wire.TaskStatus{{Task: "req-000001/0", Attempt: 1, State: wire.TaskExited, ExitReason: wire.ReasonCompleted}}
		if r := c.send(wire.Heartbeat{Incarnation: 1, Sequence: 1, FencingToken: 9, Tasks: exited}); r.Outcome == Accepted || r.RedirectTo != "n1" {
			t.Errorf("not redirected to the controller that writes: %+v", r)
		}
		if r := c.send(wire.Heartbeat{Incarnation: 1, Sequence: 2, FencingToken: 9, Tasks: exited}); r.Outcome != Accepted {
			t.Error("redirected again at once")
		}
		time.Sleep(10 * time.Second)
		if n := len(c.machine().Bindings); n > 0 {
			t.Error("termination not written")
		}
	})
}

// Without the store, a controller redirects its workers while there is time: to one with a fresh
// view, or, when it is isolated, anywhere else. In an outage for all, they come back and keep
// their leases: a controller that refused them then cost 1,400 worker incarnations in an outage
// of 50 s (docs/incidents/inc-ec15-gebeya-grown.md).
func TestControllerWithoutStoreRedirectsItsWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newController(ctx, t, &statecache.Machine{Incarnation: 1, FencingToken: 9}, &statecache.Job{TaskCount: 1})
		age := c.receiver.renewalWindow() * 3 / 4
		if r := c.sendAtViewAge(age, wire.Heartbeat{Incarnation: 1, Sequence: 1}); r.Outcome != Accepted {
			t.Error("refused in an outage for all")
		}
		c.isolated = true
		if r := c.sendAtViewAge(age, wire.Heartbeat{Incarnation: 1, Sequence: 2}); r.Outcome == Accepted {
			t.Error("kept by an isolated controller")
		}
		if r := c.sendAtViewAge(age, wire.Heartbeat{Incarnation: 1, Sequence: 3}); r.Outcome != Accepted {
			t.Error("refused though it found no better controller")
		}
		c.isolated, c.freshPeer = false, "n1"
		if r := c.sendAtViewAge(age, wire.Heartbeat{Incarnation: 1, Sequence: 4}); r.Outcome == Accepted || r.RedirectTo != "n1" {
			t.Errorf("not redirected to the controller with a fresh view: %+v", r)
		}
	})
}

// Copies of heartbeats that come late, over a lease or after a response, don't make the machine
// count as reachable or clear its suspicion, and undo nothing; a heartbeat of a machine whose
// record is gone adopts nothing.
func TestLateCopiesChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newController(ctx, t, &statecache.Machine{Incarnation: 2, FencingToken: 9, Suspected: true, DrainReason: "faulty"}, &statecache.Job{TaskCount: 1})
		before := c.machine()
		c.sendAndSettle(wire.Heartbeat{Incarnation: 2, Sequence: 7, FencingToken: 8}) // from before the suspicion
		c.sendAndSettle(wire.Heartbeat{Incarnation: 1, Sequence: 3, FencingToken: 8}) // from an earlier incarnation
		if now := c.machine(); !reflect.DeepEqual(now, before) {
			t.Errorf("late copies made %+v of %+v", now, before)
		}
		c.sendAndSettle(wire.Heartbeat{Incarnation: 2, Sequence: 8, FencingToken: 9}) // acknowledges the suspicion
		if now := c.machine(); now.Suspected || now.DrainReason != "faulty" {
			t.Errorf("reachable again, but %+v", now)
		}
		time.Sleep(5 * time.Second) // announcements pass
		c.send(wire.Heartbeat{Incarnation: 2, Sequence: 8, FencingToken: 9})
		c.send(wire.Heartbeat{Incarnation: 1, Sequence: 3, FencingToken: 8})
		if c.reachable() {
			t.Error("reachable by a copy")
		}
		c.cache.Commit(statecache.Commit{Deletes: []string{statecache.Key(statecache.KindMachineGroup, "g")}}, func(statecache.Outcome) {})
		time.Sleep(time.Second)
		if r := c.sendAndSettle(wire.Heartbeat{Incarnation: 2, Sequence: 9, FencingToken: 9}); r.Outcome == Accepted {
			t.Error("lease renewed without a record")
		}
		if n := inActor(c, func(r *Receiver) int { return len(r.view.Groups) }); n > 0 {
			t.Error("adopted by a heartbeat alone")
		}
	})
}

// A machine whose heartbeats arrive but which responses don't reach, as its heartbeats go on
// showing an old fencing token, stops counting as reachable, so the leader suspects and
// terminates it; it counts again when it acknowledges the response.
func TestInboundPartitionedMachineIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newController(ctx, t, &statecache.Machine{Incarnation: 1, FencingToken: 9}, &statecache.Job{TaskCount: 1})
		for sequence := range uint64(6) {
			c.send(wire.Heartbeat{Incarnation: 1, Sequence: sequence + 1, FencingToken: 5})
			time.Sleep(3 * time.Second)
		}
		c.send(wire.Heartbeat{Incarnation: 1, Sequence: 7, FencingToken: 5})
		if c.reachable() {
			t.Error("reachable though no response reaches it")
		}
		c.send(wire.Heartbeat{Incarnation: 1, Sequence: 8, FencingToken: 9})
		if !c.reachable() {
			t.Error("unreachable though it acknowledged")
		}
	})
}

// A controller that may not know every cancellation must not renew leases.
func TestStaleControllerRefusesHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newController(ctx, t, &statecache.Machine{Incarnation: 1, FencingToken: 9}, &statecache.Job{TaskCount: 1})
		if r := c.sendAndSettle(wire.Heartbeat{Incarnation: 1, Sequence: 1}); r.Outcome != Accepted {
			t.Fatal("refused with a fresh view")
		}
		if r := c.sendAtViewAge(c.receiver.renewalWindow()+time.Second, wire.Heartbeat{Incarnation: 1, Sequence: 2}); r.Outcome == Accepted {
			t.Error("lease renewed by a stale controller")
		}
	})
}

// A controller whose view is old launches nothing: the job may have been cancelled since, and its
// user told so. Stops and acknowledgements are sent all the same, and the lease is renewed.
func TestNothingLaunchedOnOldView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newController(ctx, t, &statecache.Machine{Incarnation: 1, FencingToken: 9, Bindings: []statecache.TaskBinding{{Job: "req-000001", Attempt: 8}}}, &statecache.Job{TaskCount: 1})
		unbound := []wire.TaskStatus{{Task: "req-000002/0", Attempt: 1, State: wire.TaskExited, ExitReason: wire.ReasonCompleted}}
		commands := func(viewAge time.Duration, sequence uint64) (ops []wire.CommandOp) {
			r := c.sendAtViewAge(viewAge, wire.Heartbeat{Incarnation: 1, Sequence: sequence, Tasks: unbound})
			if r.Outcome != Accepted {
				t.Error("refused")
			}
			for _, command := range r.Body.Commands {
				ops = append(ops, command.Op)
			}
			return ops
		}
		if got := commands(0, 1); !reflect.DeepEqual(got, []wire.CommandOp{wire.OpAcknowledge, wire.OpLaunch}) {
			t.Errorf("on a fresh view: %v", got)
		}
		if got := commands(2900*time.Millisecond, 2); !reflect.DeepEqual(got, []wire.CommandOp{wire.OpAcknowledge}) {
			t.Errorf("on a view almost a heartbeat interval old: %v", got)
		}
	})
}

// A machine that only answers direct commands is not reachable: its own heartbeats reach nobody,
// and its lease expires.
func TestCommandResponsesAreNoHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newController(ctx, t, &statecache.Machine{Incarnation: 1, FencingToken: 9}, &statecache.Job{TaskCount: 1})
		c.receiver.HandleCommandResponse(&wire.Heartbeat{Machine: "i-1", Address: "i-1:1", MachineType: "t", Zone: "z", Incarnation: 1, Sequence: 5, FencingToken: 9})
		if c.reachable() {
			t.Error("reachable by the response to a command")
		}
		c.send(wire.Heartbeat{Incarnation: 1, Sequence: 6, FencingToken: 9})
		if !c.reachable() {
			t.Error("unreachable after a heartbeat")
		}
	})
}

// In an outage so long that nobody may renew leases, heartbeats are sent all the same: the leader
// must not take all machines for unreachable when it is over.
func TestRefusedHeartbeatsCountAsReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newController(ctx, t, &statecache.Machine{Incarnation: 1, FencingToken: 9}, &statecache.Job{TaskCount: 1})
		time.Sleep(100 * time.Millisecond) // the watch repeats what was just committed
		if r := c.sendAtViewAge(40*time.Second, wire.Heartbeat{Incarnation: 1, Sequence: 1, FencingToken: 9}); r.Outcome == Accepted || !c.reachable() {
			t.Errorf("accepted %v, reachable %v", r.Outcome == Accepted, c.reachable())
		}
	})
}
