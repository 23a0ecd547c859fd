package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Guards against a stuck boot of a pool's only machine blocking the pool: it used to do so for three
// boot times, while every replica of the zone was pending.
func TestStuckBootFreesItsPool(t *testing.T) {
	withLeader(t, 1, func(f *leaderFixture) {
		c := f.cloud
		c.StallBoots(1)
		time.Sleep(75 * time.Second) // 1.6 boot times, a planning cycle, and another boot time
		if len(c.RunningMachines()) != 1 {
			t.Errorf("%d machines up", len(c.RunningMachines()))
		}
	})
}

// Guards against scaling in an unreachable machine when only half of its replicas fit on others and
// the cloud has no machine left: it may only be partitioned, so it is kept for two leases. One that
// runs only arrays is scaled in soon.
func TestIrreplaceableMachineIsKept(t *testing.T) {
	withLeader(t, 0, func(f *leaderFixture) {
		cache, a := f.cache, f.autoscaler
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
		reachable := []wire.MachineID{"i-1", "i-2", "i-3"}
		for _, m := range reachable {
			c.Puts = append(c.Puts, group(m, statecache.TaskBinding{Job: "req-000001", TaskIndex: len(c.Puts), Attempt: 1})) // leaves no capacity on m
		}
		cache.Commit(c, func(statecache.Outcome) {})
		exist := func() (array, replica bool) {
			ch := make(chan bool, 2)
			a.Send(func() { ch <- a.view.Machines["i-8"] != nil; ch <- a.view.Machines["i-9"] != nil })
			return <-ch, <-ch
		}
		wait := func(s int) {
			for range s {
				a.MachinesReachable(reachable)
				time.Sleep(time.Second)
			}
		}
		wait(5)
		if array, replica := exist(); !array || !replica {
			t.Errorf("scaled in after 5 s: array %v, replica %v", !array, !replica)
		}
		wait(20)
		if array, replica := exist(); array || !replica {
			t.Errorf("after 25 s: array kept %v, replica kept %v", array, replica)
		}
		wait(60)
		if _, replica := exist(); replica {
			t.Error("kept beyond two leases")
		}
	})
}

// After a shortfall of a pool, the remaining demand is planned again at once and provisioned from
// other pools. If that is planned before the intent of the exhausted pool is deleted, its machines
// count as provisioned, and pending work gets none until the next planning cycle or the one after.
func TestReplansWithoutExhaustedPoolAtOnce(t *testing.T) {
	expensive := wire.MachineType{Name: "l", CPUs: 16, MemoryGB: 64, HourlyPrice: 5, BootTime: 25, Zones: []wire.Zone{"a"}}
	withLeader(t, 2, func(f *leaderFixture) {
		cache, a := f.cache, f.autoscaler
		job := func(id wire.JobID, tasks int, types ...string) statecache.Put {
			return statecache.Put{Key: statecache.Key(statecache.KindJob, string(id)), Record: &statecache.Job{TaskCount: tasks, SubmittedAt: statecache.TimestampOf(time.Now()), Spec: &wire.Job{
				ID: id, Team: "red", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: tasks, CPUs: 4, MemoryGB: 1, MachineTypes: types,
			}}}
		}
		cache.Commit(statecache.Commit{Puts: []statecache.Put{job("req-000002", 5), job("req-000003", 1, "l")}}, func(statecache.Outcome) {})
		time.Sleep(6 * time.Second) // one planning cycle, and the plans that follow its shortfalls
		ch := make(chan map[string]int)
		a.Send(func() {
			counts := map[string]int{}
			for _, m := range a.view.Machines {
				counts[m.MachineType]++
			}
			ch <- counts
		})
		if counts := <-ch; counts["s"] != 2 || counts["l"] != 2 {
			t.Errorf("provisioned %v for 7 replicas, where there are two of each type", counts)
		}
	}, expensive)
}

// An update of a group whose record is full stays pending until the record is smaller. It used to
// count as written if updates of other groups were in the same transaction, so that a machine to be
// scaled in was kept.
func TestUpdateOfFullRecordWaits(t *testing.T) {
	withLeader(t, 0, func(f *leaderFixture) {
		cache, a := f.cache, f.autoscaler
		machine := func(name wire.MachineID, tasks int) *statecache.Machine {
			m := &statecache.Machine{Name: name, Address: "x:1", Incarnation: 1, FencingToken: 1 << 33}
			for n := range tasks {
				m.Bindings = append(m.Bindings, statecache.TaskBinding{Job: "req-000001", TaskIndex: n, Attempt: 1})
			}
			return m
		}
		put := func(group string, m *statecache.Machine) statecache.Put {
			return statecache.Put{Key: statecache.Key(statecache.KindMachineGroup, group), Record: &statecache.MachineGroup{Name: group, MachineType: "s", Zone: "a", Machines: []*statecache.Machine{m}}}
		}
		limit := int(a.config.Params.Store.MaxValueKB * 1024)
		full := machine("i-8", 1)
		for n := 2; (&statecache.MachineGroup{MachineType: "s", Zone: "a", Machines: []*statecache.Machine{full}}).EncodedSize() < limit; n++ {
			full = machine("i-8", n)
		}
		cache.Commit(statecache.Commit{Puts: []statecache.Put{put("full", full), put("small", machine("i-9", 0))}}, func(statecache.Outcome) {})
		time.Sleep(time.Second)
		drainReasons := func(m wire.MachineID) (written, pending string) {
			ch := make(chan string, 2)
			a.Send(func() { ch <- a.view.Machines[m].DrainReason; ch <- a.updates.pending[m].drainReason })
			return <-ch, <-ch
		}
		a.Send(func() {
			a.enqueueUpdate("i-8", machineUpdate{drainReason: "faulty"})
			a.enqueueUpdate("i-9", machineUpdate{drainReason: "faulty"})
		})
		time.Sleep(time.Second)
		if written, pending := drainReasons("i-9"); written != "faulty" || pending != "" {
			t.Errorf("the small record: %q written, %q pending", written, pending)
		}
		if written, pending := drainReasons("i-8"); written != "" || pending != "faulty" {
			t.Errorf("the full record: %q written, %q pending", written, pending)
		}
	})
}

// The commits that record a provisioned machine are duplicated, with a delay of up to a minute and a
// half. By then their group has been merged into another: a duplicate must not restore the machine
// with nothing bound to it, or its task would be placed a second time.
func TestLateCommitDoesNotUndoAMerge(t *testing.T) {
	withLeader(t, 1, func(f *leaderFixture) {
		net, cache, a := f.network, f.cache, f.autoscaler
		time.Sleep(time.Second)
		net.SetLossAndDuplication(0, 1)
		time.Sleep(8 * time.Second)
		net.SetLossAndDuplication(0, 0)
		onlyMachine := func() (only statecache.Machine) {
			ch := make(chan bool)
			a.Send(func() {
				for _, m := range a.view.Machines {
					only = *m
				}
				ch <- true
			})
			<-ch
			return only
		}
		m := onlyMachine()
		if m.Name == "" {
			t.Fatal("nothing provisioned")
		}
		inUse := &statecache.Machine{Name: m.Name, Address: "x:1", Incarnation: 1, FencingToken: m.FencingToken + 1, Bindings: []statecache.TaskBinding{{Job: "req-000001", Attempt: m.FencingToken}}}
		cache.Commit(statecache.Commit{
			Puts:    []statecache.Put{{Key: statecache.Key(statecache.KindMachineGroup, "other"), Record: &statecache.MachineGroup{MachineType: m.MachineType, Zone: m.Zone, ProvisionedAt: m.ProvisionedAt, Machines: []*statecache.Machine{inUse}}}},
			Deletes: []string{statecache.Key(statecache.KindMachineGroup, m.Group)},
		}, func(statecache.Outcome) {})
		for range 100 {
			a.MachinesReachable([]wire.MachineID{m.Name})
			time.Sleep(time.Second)
		}
		if m := onlyMachine(); m.Group != "other" || len(m.Bindings) != 1 {
			t.Errorf("in group %s with %d tasks", m.Group, len(m.Bindings))
		}
	})
}

// The updates of many machines of one group may make its record too large, though it was far from
// full: each machine entry that is rewritten in a later term grows. They must be written
// nevertheless, or unreachable machines are never scaled in.
func TestUpdatesThatFillARecordAreWritten(t *testing.T) {
	withLeader(t, 0, func(f *leaderFixture) {
		cache, a := f.cache, f.autoscaler
		time.Sleep(time.Second) // term 1 is recorded; the test goes on in term 2
		limit := a.config.Params.Store.ValueSizeLimit()
		g := &statecache.MachineGroup{Name: "g", MachineType: "s", Zone: "a"}
		for i := 0; g.EncodedSize() < limit*17/20; i++ {
			m := &statecache.Machine{Name: wire.MachineID(fmt.Sprintf("i-%06d", 100+i)), Address: "x:1", Incarnation: 1, FencingToken: statecache.FirstToken(1) + 9}
			for n := range 4 {
				m.Bindings = append(m.Bindings, statecache.TaskBinding{Job: "req-000001", TaskIndex: 4*i + n, Attempt: statecache.FirstToken(1) + 8})
			}
			g.Machines = append(g.Machines, m)
		}
		cache.Commit(statecache.Commit{Puts: []statecache.Put{
			{Key: statecache.LeaderKey, Record: &statecache.Leader{Member: "n0", Incarnation: 7, Term: 2}}, {Key: statecache.TermKey, Record: &statecache.Term{Number: 2}},
			{Key: statecache.Key(statecache.KindMachineGroup, "g"), Record: g},
		}}, func(statecache.Outcome) {})
		time.Sleep(time.Second)
		a.Send(func() {
			for _, m := range g.Machines {
				a.enqueueUpdate(m.Name, machineUpdate{suspected: true})
			}
		})
		time.Sleep(10 * time.Second)
		suspected := make(chan int)
		a.Send(func() {
			count := 0
			for _, m := range g.Machines {
				if a.view.Machines[m.Name] != nil && a.view.Machines[m.Name].Suspected {
					count++
				}
			}
			suspected <- count
		})
		if count := <-suspected; count != len(g.Machines) {
			t.Errorf("%d of %d machines suspected", count, len(g.Machines))
		}
	})
}
