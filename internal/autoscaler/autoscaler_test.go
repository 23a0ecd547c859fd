package autoscaler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// lead runs a renter that leads, over a cloud that has limit machines of one
// type, with a service that waits for one.
func lead(t *testing.T, limit int, f func(l *statecache.Cache, c *simulation.Cloud, r *Autoscaler), more ...wire.MachineType) {
	leadOver(t, simulation.NewNetwork(1, time.Millisecond), limit, f, more...)
}

func leadOver(t *testing.T, net *simulation.Network, limit int, f func(l *statecache.Cache, c *simulation.Cloud, r *Autoscaler), more ...wire.MachineType) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
		cfg.Operator.HeadroomShare = 0
		cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 3 * time.Second, LeaseDuration: 34 * time.Second, CancellationDeadline: 64 * time.Second}
		cfg.Params.Store = config.StoreLimits{MaxValueKB: 8, MaxTxnOps: 8, RequestRate: 150, WriteRate: 50}
		cfg.Params.Cloud = config.CloudLimits{RequestRate: 3, ListLag: 10 * time.Second}
		cfg.Params.Teams = []config.TeamQuota{{Name: "red"}}
		types := []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 16, HourlyPrice: 1, BootTime: 25, Zones: []wire.Zone{"a"}}}
		types = append(types, more...)
		conn := &simulation.StoreConn{Store: simulation.NewStore(), Net: net, Node: "n0", Timeout: time.Second}
		chunk := statecache.ChunkTasks(8)
		l := statecache.Start(ctx, conn, statecache.Options{ChunkTasks: chunk, WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond})
		cloud := simulation.NewCloud(1, types, limit, 10*time.Second, func(h wire.Instance) *simulation.Worker {
			return simulation.NewWorker(ctx, h, simulation.WorkerOptions{
				HeartbeatInterval: 3 * time.Second, LeaseDuration: 34 * time.Second, Nodes: []string{"n0"}, Net: net, Checker: simulation.NewInvariantChecker(cfg.Params),
				Post: func(string) simulation.Post { return nil },
			}, 0)
		})
		r := Start(ctx, Options{Config: cfg, Incarnation: 7, Cache: l, Cloud: &simulation.CloudConn{Cloud: cloud, Net: net, Node: "n0", Timeout: 4 * time.Second, World: ctx},
			Prober: &simulation.WorkerConn{Cloud: cloud, Net: net, Node: "n0", Timeout: time.Second}, OnProbeResponse: func(*wire.Heartbeat) {}})
		r.SetMachineTypes(types)
		l.Run()
		time.Sleep(time.Second)
		l.Commit(statecache.Commit{Puts: []statecache.Put{
			{Key: statecache.LeaderKey, Record: &statecache.Leader{Member: "n0", Incarnation: 7, Term: 1}},
			{Key: statecache.TermKey, Record: &statecache.Term{Number: 1}},
			{Key: statecache.Key(statecache.KindJob, "req-000001"), Record: &statecache.Job{TaskCount: 1, SubmittedAt: statecache.TimestampOf(time.Now()), Spec: &wire.Job{
				ID: "req-000001", Team: "red", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 1, CPUs: 4, MemoryGB: 1,
			}}},
		}}, func(statecache.Outcome) {})
		f(l, cloud, r)
		cancel()
		time.Sleep(time.Minute)
	})
}

// The only machine of a pool that never comes up must not block the pool: it
// did for three boot times, with every replica of the zone waiting.
func TestStuckBootFreesItsPool(t *testing.T) {
	lead(t, 1, func(_ *statecache.Cache, c *simulation.Cloud, _ *Autoscaler) {
		c.StickBoots(1)
		time.Sleep(75 * time.Second) // 1.6 boots, a pass, and another boot
		if len(c.Up()) != 1 {
			t.Errorf("%d machines up", len(c.Up()))
		}
	})
}

// One waiting replica rents one machine, however many passes its boot takes.
func TestRentsOnce(t *testing.T) {
	lead(t, 5, func(_ *statecache.Cache, c *simulation.Cloud, _ *Autoscaler) {
		time.Sleep(24 * time.Second)
		if n := len(c.Up()); n != 1 {
			t.Errorf("%d machines up for one replica", n)
		}
	})
}

// A silent machine whose replicas have no room elsewhere was returned when half
// of them had, though the cloud had no other: it is kept for two leases, since
// it may only be cut off. One that holds batch work alone is returned soon.
func TestIrreplaceableMachineIsKept(t *testing.T) {
	lead(t, 0, func(l *statecache.Cache, _ *simulation.Cloud, r *Autoscaler) {
		group := func(m wire.MachineID, tasks ...statecache.TaskBinding) statecache.Put {
			return statecache.Put{Key: statecache.Key(statecache.KindMachineGroup, "g."+string(m)), Record: &statecache.MachineGroup{
				MachineType: "s", Zone: "a", ProvisionedAt: statecache.TimestampOf(time.Now()),
				Machines: []*statecache.Machine{{Name: m, Address: "x:1", Incarnation: 1, Bindings: tasks}},
			}}
		}
		c := statecache.Commit{Puts: []statecache.Put{
			{Key: statecache.Key(statecache.KindJob, "req-000002"), Record: &statecache.Job{TaskCount: 1, SubmittedAt: statecache.TimestampOf(time.Now()), Spec: &wire.Job{
				ID: "req-000002", Team: "red", Kind: wire.KindArray, TaskCount: 1, CPUs: 4, MemoryGB: 1, EstimatedRuntime: 500,
			}}},
			group("i-8", statecache.TaskBinding{Job: "req-000002", Attempt: 1}),
			group("i-9", statecache.TaskBinding{Job: "req-000001", Attempt: 1}),
		}}
		heard := []wire.MachineID{"i-1", "i-2", "i-3"}
		for _, m := range heard {
			c.Puts = append(c.Puts, group(m, statecache.TaskBinding{Job: "req-000001", TaskIndex: len(c.Puts), Attempt: 1})) // no room here
		}
		l.Commit(c, func(statecache.Outcome) {})
		there := func() (batch, replica bool) {
			ch := make(chan bool, 2)
			r.Send(func() { ch <- r.view.Machines["i-8"] != nil; ch <- r.view.Machines["i-9"] != nil })
			return <-ch, <-ch
		}
		wait := func(s int) {
			for range s {
				r.MachinesReachable(heard)
				time.Sleep(time.Second)
			}
		}
		wait(5)
		if batch, replica := there(); !batch || !replica {
			t.Errorf("returned after 5 s: batch %v, replica %v", !batch, !replica)
		}
		wait(20)
		if batch, replica := there(); batch || !replica {
			t.Errorf("after 25 s: batch kept %v, replica kept %v", batch, replica)
		}
		wait(60)
		if _, replica := there(); replica {
			t.Error("kept beyond two leases")
		}
	})
}

// When a pool runs short, the rest is rented elsewhere at once, and counted
// anew: while the intent of the short pool stood, its machines counted as
// rented, and waiting work got none until the next pass or the one after.
func TestShortPoolIsPlannedWithoutAtOnce(t *testing.T) {
	dear := wire.MachineType{Name: "l", CPUs: 16, MemoryGB: 64, HourlyPrice: 5, BootTime: 25, Zones: []wire.Zone{"a"}}
	lead(t, 2, func(l *statecache.Cache, c *simulation.Cloud, r *Autoscaler) {
		job := func(id wire.JobID, tasks int, types ...string) statecache.Put {
			return statecache.Put{Key: statecache.Key(statecache.KindJob, string(id)), Record: &statecache.Job{TaskCount: tasks, SubmittedAt: statecache.TimestampOf(time.Now()), Spec: &wire.Job{
				ID: id, Team: "red", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: tasks, CPUs: 4, MemoryGB: 1, MachineTypes: types,
			}}}
		}
		l.Commit(statecache.Commit{Puts: []statecache.Put{job("req-000002", 5), job("req-000003", 1, "l")}}, func(statecache.Outcome) {})
		time.Sleep(6 * time.Second) // one pass, and what follows from its refusals
		ch := make(chan map[string]int)
		r.Send(func() {
			n := map[string]int{}
			for _, b := range r.view.Machines {
				n[b.MachineType]++
			}
			ch <- n
		})
		if n := <-ch; n["s"] != 2 || n["l"] != 2 {
			t.Errorf("rented %v for 7 replicas, where there are two of each type", n)
		}
	}, dear)
}

// An edit of a group whose record is full was taken for written when edits of
// other groups were in the same transaction: a machine that was to be returned
// stayed. It waits until the record is smaller.
func TestEditOfFullRecordWaits(t *testing.T) {
	lead(t, 0, func(l *statecache.Cache, _ *simulation.Cloud, r *Autoscaler) {
		bind := func(m wire.MachineID, tasks int) *statecache.Machine {
			b := &statecache.Machine{Name: m, Address: "x:1", Incarnation: 1, FencingToken: 1 << 33}
			for n := range tasks {
				b.Bindings = append(b.Bindings, statecache.TaskBinding{Job: "req-000001", TaskIndex: n, Attempt: 1})
			}
			return b
		}
		put := func(g string, b *statecache.Machine) statecache.Put {
			return statecache.Put{Key: statecache.Key(statecache.KindMachineGroup, g), Record: &statecache.MachineGroup{Name: g, MachineType: "s", Zone: "a", Machines: []*statecache.Machine{b}}}
		}
		limit := int(r.config.Params.Store.MaxValueKB * 1024)
		full := bind("i-8", 1)
		for n := 2; (&statecache.MachineGroup{MachineType: "s", Zone: "a", Machines: []*statecache.Machine{full}}).EncodedSize() < limit; n++ {
			full = bind("i-8", n)
		}
		l.Commit(statecache.Commit{Puts: []statecache.Put{put("full", full), put("small", bind("i-9", 0))}}, func(statecache.Outcome) {})
		time.Sleep(time.Second)
		drains := func(m wire.MachineID) (row, waits string) {
			ch := make(chan string, 2)
			r.Send(func() { ch <- r.view.Machines[m].DrainReason; ch <- r.pendingUpdates[m].drainReason })
			return <-ch, <-ch
		}
		r.Send(func() {
			r.enqueueUpdate("i-8", machineUpdate{drainReason: "faulty"})
			r.enqueueUpdate("i-9", machineUpdate{drainReason: "faulty"})
		})
		time.Sleep(time.Second)
		if row, waits := drains("i-9"); row != "faulty" || waits != "" {
			t.Errorf("the small record: %q written, %q waits", row, waits)
		}
		if row, waits := drains("i-8"); row != "" || waits != "faulty" {
			t.Errorf("the full record: %q written, %q waits", row, waits)
		}
	})
}

// What a rental asks arrives once more, up to a minute and a half late. By then the
// group that a rental made has been merged into another: the copy must not bring
// its machine back as one with nothing bound to it, or its task would be placed
// once more.
func TestLateRentalDoesNotUndoAMerge(t *testing.T) {
	net := simulation.NewNetwork(1, time.Millisecond)
	leadOver(t, net, 1, func(l *statecache.Cache, _ *simulation.Cloud, r *Autoscaler) {
		time.Sleep(time.Second)
		net.SetLossAndDuplication(0, 1)
		time.Sleep(8 * time.Second)
		net.SetLossAndDuplication(0, 0)
		row := func() (b statecache.Machine) {
			ch := make(chan bool)
			r.Send(func() {
				for _, x := range r.view.Machines {
					b = *x
				}
				ch <- true
			})
			<-ch
			return b
		}
		b := row()
		if b.Name == "" {
			t.Fatal("nothing rented")
		}
		held := &statecache.Machine{Name: b.Name, Address: "x:1", Incarnation: 1, FencingToken: b.FencingToken + 1, Bindings: []statecache.TaskBinding{{Job: "req-000001", Attempt: b.FencingToken}}}
		l.Commit(statecache.Commit{
			Puts:    []statecache.Put{{Key: statecache.Key(statecache.KindMachineGroup, "other"), Record: &statecache.MachineGroup{MachineType: b.MachineType, Zone: b.Zone, ProvisionedAt: b.ProvisionedAt, Machines: []*statecache.Machine{held}}}},
			Deletes: []string{statecache.Key(statecache.KindMachineGroup, b.Group)},
		}, func(statecache.Outcome) {})
		for range 100 {
			r.MachinesReachable([]wire.MachineID{b.Name})
			time.Sleep(time.Second)
		}
		if b := row(); b.Group != "other" || len(b.Bindings) != 1 {
			t.Errorf("in group %s with %d tasks", b.Group, len(b.Bindings))
		}
	})
}

// What the leader wants written of many machines of one group may make its record
// too large, though it is far from full: in a later term each row that is rewritten
// grows. It has to be written all the same, or silent machines are never returned.
func TestEditsThatFillARecordAreWritten(t *testing.T) {
	lead(t, 0, func(l *statecache.Cache, _ *simulation.Cloud, r *Autoscaler) {
		time.Sleep(time.Second) // the first term is written, and this one comes after it
		limit := r.config.Params.Store.ValueSizeLimit()
		g := &statecache.MachineGroup{Name: "g", MachineType: "s", Zone: "a"}
		for i := 0; g.EncodedSize() < limit*17/20; i++ {
			b := &statecache.Machine{Name: wire.MachineID(fmt.Sprintf("i-%06d", 100+i)), Address: "x:1", Incarnation: 1, FencingToken: statecache.FirstToken(1) + 9}
			for n := range 4 {
				b.Bindings = append(b.Bindings, statecache.TaskBinding{Job: "req-000001", TaskIndex: 4*i + n, Attempt: statecache.FirstToken(1) + 8})
			}
			g.Machines = append(g.Machines, b)
		}
		l.Commit(statecache.Commit{Puts: []statecache.Put{
			{Key: statecache.LeaderKey, Record: &statecache.Leader{Member: "n0", Incarnation: 7, Term: 2}}, {Key: statecache.TermKey, Record: &statecache.Term{Number: 2}},
			{Key: statecache.Key(statecache.KindMachineGroup, "g"), Record: g},
		}}, func(statecache.Outcome) {})
		time.Sleep(time.Second)
		r.Send(func() {
			for _, b := range g.Machines {
				r.enqueueUpdate(b.Name, machineUpdate{suspected: true})
			}
		})
		time.Sleep(10 * time.Second)
		marked := make(chan int)
		r.Send(func() {
			n := 0
			for _, b := range g.Machines {
				if r.view.Machines[b.Name] != nil && r.view.Machines[b.Name].Suspected {
					n++
				}
			}
			marked <- n
		})
		if n := <-marked; n != len(g.Machines) {
			t.Errorf("%d of %d machines marked", n, len(g.Machines))
		}
	})
}

// Reading the list of a large fleet leaves most of the cloud's calls for rentals; that of a
// small one is read in every pass.
func TestListLeavesCallsForRentals(t *testing.T) {
	for _, rps := range []float64{3, 10} {
		cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
		cfg.Params.Cloud.RequestRate = rps
		r := &Autoscaler{config: cfg}
		if pause := r.listInterval(250); pause > cfg.Operator.PlanningInterval {
			t.Errorf("at %v calls a second a list of one page is read every %v", rps, pause)
		}
		const pages = 9
		calls := pages / r.listInterval(4000).Seconds()
		if most := rps * cfg.Operator.CloudRateShare / 3; calls > most {
			t.Errorf("%.2f of %v calls a second go to the list", calls, rps)
		}
	}
}
