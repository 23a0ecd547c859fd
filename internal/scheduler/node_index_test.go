package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// The allocations caused by one changed machine do not grow with the fleet.
func TestMachineChangeCostIsIndependentOfFleet(t *testing.T) {
	allocs := func(machines int) (n float64) {
		withScheduler(t, map[string]int{"z": 50}, func(cache *statecache.Cache, s *Scheduler) {
			addLoad(cache, machines, 10)
			inActor(s, func() {
				group := *s.view.Groups["z"]
				other := *group.Machines[7]
				other.Bindings = nil
				versions := [2]*statecache.Machine{group.Machines[7], &other}
				turn := 0
				n = testing.AllocsPerRun(20, func() {
					turn++
					next := group
					next.Machines = slices.Clone(group.Machines)
					next.Machines[7], next.ModRevision = versions[turn%2], group.ModRevision+uint64(turn)
					s.apply(statecache.Update{Revision: next.ModRevision, FreshAsOf: time.Now(), Changes: []statecache.Change{
						{Key: statecache.Key(statecache.KindMachineGroup, "z"), Kind: statecache.KindMachineGroup, Name: "z", Record: &next, ModRevision: next.ModRevision},
					}})
				})
			})
		})
		return n
	}
	if few, many := allocs(100), allocs(2000); many > few+2 {
		t.Errorf("%v allocations among 150 machines, %v among 2050", few, many)
	}
}

// A task that is bound to its node again counts as bound since then, also if no record in between was
// seen. Guards against a failed task's age that makes its next attempt look like one that runs on.
func TestReboundTaskHasItsOwnAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEmptyFixture()
		f.submit("req-000001", wire.KindService, 1)
		ageAfter := func(attempt uint64) time.Duration {
			f.bind("a", "req-000001", 0)
			rec := *f.view.Machines["i-a"]
			rec.Bindings[0].Attempt = attempt
			f.nodes.refresh("i-a", &rec)
			return time.Since(f.nodes.node("i-a").FindTask("req-000001", 0).BoundSince)
		}
		ageAfter(1)
		time.Sleep(time.Minute)
		if age := ageAfter(1); age != time.Minute {
			t.Errorf("the same attempt is bound for %v", age)
		}
		if age := ageAfter(2); age != 0 {
			t.Errorf("another attempt is bound for %v", age)
		}
	})
}

// When a machine changes or is removed, the index's sums no longer include its former record, and
// the ordinals and list positions of all nodes stay correct.
func TestNodeIndexFollowsMachines(t *testing.T) {
	view := statecache.NewUnfinishedView(8)
	view.Jobs["req-000001"] = &statecache.Job{Spec: &wire.Job{ID: "req-000001", Team: "red", Kind: wire.KindService, CPUs: 3, MemoryGB: 1}}
	x := newNodeIndex(view, recordLimits{&config.StoreLimits{MaxValueKB: 4}}, newImageCaches())
	x.setMachineTypes([]wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 16, Zones: []wire.Zone{"a", "b"}}, {Name: "l", CPUs: 8, MemoryGB: 16, Zones: []wire.Zone{"a"}}})
	set := func(name wire.MachineID, rec *statecache.Machine) {
		t.Helper()
		if view.Machines[name] = rec; rec == nil {
			delete(view.Machines, name)
		}
		x.refresh(name, rec)
		for i, n := range x.all {
			if n.Ordinal != i+1 || x.node(n.Name) != n {
				t.Errorf("%s is at %d, its ordinal is %d", n.Name, i+1, n.Ordinal)
			}
		}
		for i, n := range x.withCapacity {
			if x.byName[n.Name].capacityPosition != i+1 || !n.HasCapacity() {
				t.Errorf("%s is at %d with capacity, not %d", n.Name, i+1, x.byName[n.Name].capacityPosition)
			}
		}
	}
	machine := func(name wire.MachineID, tasks ...int) *statecache.Machine {
		rec := &statecache.Machine{Name: name, MachineType: "s", Zone: "a", Incarnation: 1}
		for _, task := range tasks {
			rec.Bindings = append(rec.Bindings, statecache.TaskBinding{Job: "req-000001", TaskIndex: task, Attempt: 1})
		}
		return rec
	}
	pool := resources.Pool{MachineType: "s", Zone: "a"}
	set("i-1", machine("i-1", 0))
	set("i-2", &statecache.Machine{Name: "i-2", MachineType: "s", Zone: "a"})
	set("i-3", machine("i-3", 1))
	set("i-4", &statecache.Machine{Name: "i-4", MachineType: "unknown", Zone: "a"})
	if len(x.all) != 3 || x.node("i-4") != nil || x.usage["red"].CPUs != 6 || x.pools[pool].serviceUsage.CPUs != 6 || len(x.booting) != 1 {
		t.Errorf("%d nodes, %d booting, usage %v, pool %+v", len(x.all), len(x.booting), x.usage, x.pools[pool])
	}
	set("i-2", machine("i-2"))
	set("i-1", nil)
	if len(x.all) != 2 || x.usage["red"].CPUs != 3 || x.pools[pool].schedulableNodes != len(x.withCapacity) || len(x.booting) != 0 {
		t.Errorf("%d nodes, %d booting, usage %v, pool %+v", len(x.all), len(x.booting), x.usage, x.pools[pool])
	}
	if x.offers["a"] != 1 || x.offers["b"] != 0.5 {
		t.Errorf("offers %v", x.offers)
	}
}

// Nodes are ordered by machine name when the machine types become known after the machines. Guards
// against ties that are decided differently after each start of a process.
func TestOrdinalsFollowMachineNames(t *testing.T) {
	view := statecache.NewUnfinishedView(8)
	for i := range 40 {
		name := wire.MachineID(fmt.Sprintf("i-%02d", i))
		view.Machines[name] = &statecache.Machine{Name: name, MachineType: "s", Zone: "a", Incarnation: 1}
	}
	x := newNodeIndex(view, recordLimits{&config.StoreLimits{MaxValueKB: 4}}, newImageCaches())
	x.setMachineTypes([]wire.MachineType{{Name: "s", CPUs: 4, Zones: []wire.Zone{"a"}}})
	if !slices.IsSortedFunc(x.all, func(a, b *placement.Node) int { return strings.Compare(string(a.Name), string(b.Name)) }) {
		t.Error("nodes are in another order than their machines' names")
	}
}
