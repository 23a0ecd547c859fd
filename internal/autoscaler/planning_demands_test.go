package autoscaler

import (
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/planner"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// The first deadline that a machine provisioned now can meet is chosen, or else the last one.
func TestFirstFeasibleDeadline(t *testing.T) {
	deadlines := []time.Duration{10 * time.Second, 60 * time.Second, 100 * time.Second}
	for _, c := range []struct{ age, leadTime, want time.Duration }{
		{0, 5 * time.Second, 10 * time.Second},
		{0, 20 * time.Second, 60 * time.Second},
		{20 * time.Second, 40 * time.Second, 40 * time.Second},
		{90 * time.Second, 40 * time.Second, 10 * time.Second},
	} {
		if got := firstFeasible(deadlines, c.age, c.leadTime); got != c.want {
			t.Errorf("at %v with a lead time of %v: %v, want %v", c.age, c.leadTime, got, c.want)
		}
	}
}

// A team's quota limits the tasks that machines are provisioned for.
func TestDemandIsLimitedByQuota(t *testing.T) {
	cfg := &config.Config{}
	cfg.Params.Teams = []config.TeamQuota{{Name: "red", MaxCPUs: 20, MaxGPUs: 2}, {Name: "blue"}}
	gatherer := inputGatherer{config: cfg}
	for _, c := range []struct {
		job  wire.Job
		want int
	}{
		{wire.Job{Team: "red", CPUs: 4}, 5},
		{wire.Job{Team: "red", CPUs: 4, GPUs: 1}, 2},
		{wire.Job{Team: "red", CPUs: 1}, 10},
		{wire.Job{Team: "blue", CPUs: 4}, 10},
	} {
		if got := gatherer.limitByQuota(&c.job, 10); got != c.want {
			t.Errorf("%+v: %d tasks, want %d", c.job, got, c.want)
		}
	}
}

// Machines are provisioned only for the one task of a job that may be tried while the others are held
// back. Guards against machines that stay empty for a job that fails on every machine.
func TestDemandOfHeldBackJob(t *testing.T) {
	view := statecache.NewView(statecache.ChunkTasks(8))
	gatherer := inputGatherer{view: view, heldBack: map[wire.JobID]bool{"req-000001": true, "req-000002": false}}
	if got := gatherer.limitHeldBack("req-000001", 10); got != 1 {
		t.Errorf("%d tasks of a job that is held back", got)
	}
	for _, id := range []wire.JobID{"req-000002", "req-000003"} {
		if got := gatherer.limitHeldBack(id, 10); got != 10 {
			t.Errorf("%s: %d of 10 tasks, though it is not held back", id, got)
		}
	}
	view.Bindings["req-000001"] = map[int]wire.MachineID{3: "i-1"}
	if got := gatherer.limitHeldBack("req-000001", 10); got != 0 {
		t.Errorf("%d tasks beside the one that is tried", got)
	}
}

// A machine suits a job if the job allows its pool, the cloud offers the pool, and its type is large
// enough.
func TestSuitableMachine(t *testing.T) {
	catalog := machineCatalog{types: []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 16, Zones: []wire.Zone{"a"}}}}
	pools := map[resources.Pool]bool{{MachineType: "s", Zone: "a", Spot: true}: true}
	gatherer := inputGatherer{machineTypes: &catalog, schedulablePools: pools}
	for _, c := range []struct {
		job  wire.Job
		want bool
	}{
		{wire.Job{CPUs: 4, MemoryGB: 1, AllowSpot: true}, true},
		{wire.Job{CPUs: 4, MemoryGB: 1}, false},
		{wire.Job{CPUs: 5, MemoryGB: 1, AllowSpot: true}, false},
		{wire.Job{CPUs: 4, MemoryGB: 1, AllowSpot: true, Zone: "b"}, false},
	} {
		if got := gatherer.hasSuitableMachine(&c.job); got != c.want {
			t.Errorf("%+v: %v", c.job, got)
		}
	}
	delete(pools, resources.Pool{MachineType: "s", Zone: "a", Spot: true})
	pools[resources.Pool{MachineType: "s", Zone: "b", Spot: true}] = true // the type is no longer offered in zone b
	if gatherer.hasSuitableMachine(&wire.Job{CPUs: 4, MemoryGB: 1, AllowSpot: true}) {
		t.Error("a pool that is not offered suits")
	}
}

// A machine counts as room for as many tasks as its record can be given: alone, since full records are
// split, but with the other machines of its group while there are more teams than a split may have
// preconditions on.
func TestMachinesCountWithTheRoomOfTheirRecords(t *testing.T) {
	const smallTask = "req-000002"
	for _, test := range []struct {
		name            string
		machines, tasks int // machines of the group, and tasks on the first of them
		teams           int
		first, last     func(maxTasks int) bool // whether the machines' limits are right
	}{
		{"empty", 1, 0, 1, atLeast(20), nil},
		{"some tasks", 1, 20, 1, atLeast(30), nil},
		{"alone and full", 1, 60, 1, exactly(60), nil},
		{"beside an empty one", 2, 60, 1, exactly(60), atLeast(20)},
		{"that can't be split", 2, 60, 9, exactly(60), exactly(planner.NoTasks)},
	} {
		cfg := &config.Config{}
		cfg.Params.Store = config.StoreLimits{MaxValueKB: 1, MaxTxnOps: 8}
		view := statecache.NewUnfinishedView(8)
		for team := range test.teams {
			view.Assignments[wire.TeamName(rune('a'+team))] = &statecache.Assignment{}
		}
		view.Apply(statecache.Change{Kind: statecache.KindJob, Name: smallTask, Record: &statecache.Job{TaskCount: 100, Spec: &wire.Job{ID: smallTask, CPUs: 0.01}}})
		group := statecache.NewMachineGroup(statecache.GroupOptions{Name: "g", MachineType: "s", Zone: "a", Machines: []wire.MachineID{"i-1", "i-2"}[:test.machines], FencingToken: 9})
		for _, m := range group.Machines {
			m.Group, m.MachineType, m.Zone, m.Incarnation = "g", "s", "a", 1
		}
		for n := range test.tasks {
			group.Machines[0].Bindings = append(group.Machines[0].Bindings, statecache.TaskBinding{Job: smallTask, TaskIndex: n, Attempt: 9})
		}
		view.Apply(statecache.Change{Kind: statecache.KindMachineGroup, Name: "g", Record: group})
		gatherer := inputGatherer{config: cfg, view: view, jobs: newJobTracker(), machineTypes: &machineCatalog{}}
		limits := map[wire.MachineID]int{}
		for _, m := range gatherer.machines(nil) {
			limits[m.Name] = m.MaxTasks
		}
		if !test.first(limits["i-1"]) || test.last != nil && !test.last(limits["i-2"]) {
			t.Errorf("%s: %v", test.name, limits)
		}
	}
}

func exactly(want int) func(int) bool { return func(got int) bool { return got == want } }

func atLeast(least int) func(int) bool { return func(got int) bool { return got >= least } }
