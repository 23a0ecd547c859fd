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
// req-000001. freshPeer and isolated are returned by its Callbacks.
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
	localScheduler := scheduler.Start(ctx, scheduler.Options{Config: cfg, Incarnation: 1, Cache: cache, OnCommandResponse: func(*wire.Heartbeat) {}})
	c.receiver = Start(ctx, Options{Config: cfg, Cache: cache, Callbacks: Callbacks{
		FreshPeer:      func() string { return c.freshPeer },
		Isolated:       func() bool { return c.isolated },
		HandleEvidence: localScheduler.HandleEvidence,
		SendEvidence:   func(string, reconcile.Evidence) bool { return false },
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

// withController runs test in a synctest bubble with a controller, which ends with the test.
func withController(t *testing.T, machine *statecache.Machine, job *statecache.Job, test func(t *testing.T, c *controller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		test(t, newController(ctx, t, machine, job))
	})
}

// send sends a heartbeat of the machine and returns the response.
func (c *controller) send(heartbeat wire.Heartbeat) Response {
	return c.sendAfter(func(*Receiver) {}, heartbeat)
}

// sendAtViewAge is like send, with a view of the given age. The same message to the actor sets the
// age and handles the heartbeat.
func (c *controller) sendAtViewAge(age time.Duration, heartbeat wire.Heartbeat) Response {
	return c.sendAfter(func(r *Receiver) { r.freshAsOf = time.Now().Add(-age) }, heartbeat)
}

// sendAfter runs prepare and handles a heartbeat in one message to the actor. It first waits for
// pending work, such as the watch event of an earlier commit, which could refresh the view after
// prepare.
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

// sendAndSettle is like send, but also waits long enough for the evidence to be written.
func (c *controller) sendAndSettle(heartbeat wire.Heartbeat) Response {
	response := c.send(heartbeat)
	time.Sleep(time.Second)
	return response
}

// inActor runs f in the receiver's actor and returns its result.
func inActor[T any](c *controller, f func(r *Receiver) T) T {
	values := make(chan T)
	c.receiver.Send(func() { values <- f(c.receiver) })
	return <-values
}

// machine returns the machine's record in the receiver's view.
func (c *controller) machine() statecache.Machine {
	return inActor(c, func(r *Receiver) statecache.Machine { return *r.view.Machines["i-1"] })
}

// reachable reports whether the machine was marked reachable since the last announcement.
func (c *controller) reachable() bool {
	return inActor(c, func(r *Receiver) bool { return r.reachable["i-1"] })
}

// A machine that was partitioned while a job on it was cancelled is refused while its old
// incarnation may still run, so that its lease expires in time. It must not be refused forever:
// a heartbeat of its next incarnation proves that the old one has ended.
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
			t.Error("refused though the cancelled task has terminated")
		}
	})
}

// If evidence can't be forwarded to the active scheduler, the worker is redirected there, once. If
// the worker returns, this controller writes the evidence after a while. Guards against controllers
// that can't reach each other and delay each other with conflicting writes of evidence.
func TestWorkerRedirectedToUnreachableScheduler(t *testing.T) {
	withController(t, &statecache.Machine{Incarnation: 1, FencingToken: 9, Bindings: []statecache.TaskBinding{{Job: "req-000001", Attempt: 1}}}, &statecache.Job{TaskCount: 9}, func(t *testing.T, c *controller) {
		c.cache.Commit(statecache.Commit{Puts: []statecache.Put{
			{Key: statecache.Key(statecache.KindAssignment, "red"), Record: &statecache.Assignment{Member: "n1", Incarnation: 4}},
			{Key: statecache.Key(statecache.KindMember, "n1"), Record: &statecache.Member{Incarnation: 4}},
		}}, func(statecache.Outcome) {})
		time.Sleep(time.Second)
		exited := []wire.TaskStatus{{Task: "req-000001/0", Attempt: 1, State: wire.TaskExited, ExitReason: wire.ReasonCompleted}}
		if r := c.send(wire.Heartbeat{Incarnation: 1, Sequence: 1, FencingToken: 9, Tasks: exited}); r.Outcome == Accepted || r.RedirectTo != "n1" {
			t.Errorf("not redirected to the active scheduler: %+v", r)
		}
		if r := c.send(wire.Heartbeat{Incarnation: 1, Sequence: 2, FencingToken: 9, Tasks: exited}); r.Outcome != Accepted {
			t.Error("redirected a second time")
		}
		time.Sleep(10 * time.Second)
		if n := len(c.machine().Bindings); n > 0 {
			t.Error("termination not written")
		}
	})
}

// A controller that can't reach the store sends its workers elsewhere before it must stop renewing
// leases: to a controller with a fresh view, or to any other one if it is isolated. In an outage
// that affects all controllers, the workers return and keep their leases. Guards against refusing
// them then, which cost 1,400 worker incarnations in an outage of 50 s
// (docs/incidents/inc-ec15-gebeya-grown.md).
func TestControllerWithoutStoreRedirectsItsWorkers(t *testing.T) {
	withController(t, &statecache.Machine{Incarnation: 1, FencingToken: 9}, &statecache.Job{TaskCount: 1}, func(t *testing.T, c *controller) {
		age := c.receiver.renewalWindow() * 3 / 4
		if r := c.sendAtViewAge(age, wire.Heartbeat{Incarnation: 1, Sequence: 1}); r.Outcome != Accepted {
			t.Error("refused in an outage that affects all controllers")
		}
		c.isolated = true
		if r := c.sendAtViewAge(age, wire.Heartbeat{Incarnation: 1, Sequence: 2}); r.Outcome == Accepted {
			t.Error("accepted by an isolated controller")
		}
		if r := c.sendAtViewAge(age, wire.Heartbeat{Incarnation: 1, Sequence: 3}); r.Outcome != Accepted {
			t.Error("refused again after the worker found no other controller")
		}
		c.isolated, c.freshPeer = false, "n1"
		if r := c.sendAtViewAge(age, wire.Heartbeat{Incarnation: 1, Sequence: 4}); r.Outcome == Accepted || r.RedirectTo != "n1" {
			t.Errorf("not redirected to the controller with a fresh view: %+v", r)
		}
	})
}

// Delayed copies of heartbeats, from before a response or from an earlier incarnation, don't change
// the machine's record and don't mark the machine as reachable. A heartbeat of a machine whose
// record was deleted doesn't create one.
func TestLateCopiesChangeNothing(t *testing.T) {
	withController(t, &statecache.Machine{Incarnation: 2, FencingToken: 9, Suspected: true, DrainReason: "faulty"}, &statecache.Job{TaskCount: 1}, func(t *testing.T, c *controller) {
		before := c.machine()
		c.sendAndSettle(wire.Heartbeat{Incarnation: 2, Sequence: 7, FencingToken: 8}) // sent before the machine was suspected
		c.sendAndSettle(wire.Heartbeat{Incarnation: 1, Sequence: 3, FencingToken: 8}) // from an earlier incarnation
		if now := c.machine(); !reflect.DeepEqual(now, before) {
			t.Errorf("delayed copies changed the record to %+v from %+v", now, before)
		}
		c.sendAndSettle(wire.Heartbeat{Incarnation: 2, Sequence: 8, FencingToken: 9}) // has seen the record that suspects it
		if now := c.machine(); now.Suspected || now.DrainReason != "faulty" {
			t.Errorf("suspected or no longer draining after a new heartbeat: %+v", now)
		}
		time.Sleep(5 * time.Second) // reachable is announced and cleared
		c.send(wire.Heartbeat{Incarnation: 2, Sequence: 8, FencingToken: 9})
		c.send(wire.Heartbeat{Incarnation: 1, Sequence: 3, FencingToken: 8})
		if c.reachable() {
			t.Error("marked reachable by a delayed copy")
		}
		c.cache.Commit(statecache.Commit{Deletes: []string{statecache.Key(statecache.KindMachineGroup, "g")}}, func(statecache.Outcome) {})
		time.Sleep(time.Second)
		if r := c.sendAndSettle(wire.Heartbeat{Incarnation: 2, Sequence: 9, FencingToken: 9}); r.Outcome == Accepted {
			t.Error("lease renewed for a machine without a record")
		}
		if n := inActor(c, func(r *Receiver) int { return len(r.view.Groups) }); n > 0 {
			t.Error("machine adopted because of a heartbeat")
		}
	})
}

// A machine whose heartbeats arrive but keep an old fencing token, because responses don't reach
// it, stops counting as reachable, so that the leader suspects and terminates it. It counts as
// reachable again once it acknowledges a response.
func TestInboundPartitionedMachineIsUnreachable(t *testing.T) {
	withController(t, &statecache.Machine{Incarnation: 1, FencingToken: 9}, &statecache.Job{TaskCount: 1}, func(t *testing.T, c *controller) {
		for sequence := range uint64(6) {
			c.send(wire.Heartbeat{Incarnation: 1, Sequence: sequence + 1, FencingToken: 5})
			time.Sleep(3 * time.Second)
		}
		c.send(wire.Heartbeat{Incarnation: 1, Sequence: 7, FencingToken: 5})
		if c.reachable() {
			t.Error("reachable though responses do not reach it")
		}
		c.send(wire.Heartbeat{Incarnation: 1, Sequence: 8, FencingToken: 9})
		if !c.reachable() {
			t.Error("unreachable though it acknowledged a response")
		}
	})
}

// A controller whose view may lack cancellations must not renew leases.
func TestStaleControllerRefusesHeartbeats(t *testing.T) {
	withController(t, &statecache.Machine{Incarnation: 1, FencingToken: 9}, &statecache.Job{TaskCount: 1}, func(t *testing.T, c *controller) {
		if r := c.sendAndSettle(wire.Heartbeat{Incarnation: 1, Sequence: 1}); r.Outcome != Accepted {
			t.Fatal("refused with a fresh view")
		}
		if r := c.sendAtViewAge(c.receiver.renewalWindow()+time.Second, wire.Heartbeat{Incarnation: 1, Sequence: 2}); r.Outcome == Accepted {
			t.Error("lease renewed by a stale controller")
		}
	})
}

// A controller with an old view launches nothing: the job may have been cancelled since, and the
// cancellation confirmed to its user. Other commands are still sent, and the lease is renewed.
func TestNothingLaunchedOnOldView(t *testing.T) {
	withController(t, &statecache.Machine{Incarnation: 1, FencingToken: 9, Bindings: []statecache.TaskBinding{{Job: "req-000001", Attempt: 8}}}, &statecache.Job{TaskCount: 1}, func(t *testing.T, c *controller) {
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

// A machine that only answers direct commands is not marked reachable: its own heartbeats reach no
// controller, so its lease expires.
func TestCommandResponsesAreNoHeartbeats(t *testing.T) {
	withController(t, &statecache.Machine{Incarnation: 1, FencingToken: 9}, &statecache.Job{TaskCount: 1}, func(t *testing.T, c *controller) {
		c.receiver.HandleCommandResponse(&wire.Heartbeat{Machine: "i-1", Address: "i-1:1", MachineType: "t", Zone: "z", Incarnation: 1, Sequence: 5, FencingToken: 9})
		if c.reachable() {
			t.Error("marked reachable by the response to a command")
		}
		c.send(wire.Heartbeat{Incarnation: 1, Sequence: 6, FencingToken: 9})
		if !c.reachable() {
			t.Error("unreachable after a heartbeat")
		}
	})
}

// In an outage so long that no controller may renew leases, refused heartbeats still mark machines
// reachable. Otherwise the leader would consider all machines unreachable after the outage.
func TestRefusedHeartbeatsCountAsReachable(t *testing.T) {
	withController(t, &statecache.Machine{Incarnation: 1, FencingToken: 9}, &statecache.Job{TaskCount: 1}, func(t *testing.T, c *controller) {
		time.Sleep(100 * time.Millisecond) // until the watch has returned the commit, which refreshes the view
		if r := c.sendAtViewAge(40*time.Second, wire.Heartbeat{Incarnation: 1, Sequence: 1, FencingToken: 9}); r.Outcome == Accepted || !c.reachable() {
			t.Errorf("accepted %v, reachable %v", r.Outcome == Accepted, c.reachable())
		}
	})
}
