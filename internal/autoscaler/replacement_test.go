package autoscaler

import (
	"testing"

	"lynxledge/internal/config"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// replacementView returns a view with a service of four replicas: two on an unreachable machine of
// zone a, and one each on machines of zones b and c.
func replacementView() *statecache.View {
	view := statecache.NewUnfinishedView(8)
	spec := &wire.Job{
		ID: "req-000001", Team: "red", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 4,
		CPUs: 1, MemoryGB: 1, SpreadZones: true,
	}
	view.Apply(statecache.Change{Kind: statecache.KindJob, Name: "req-000001", Record: &statecache.Job{Spec: spec, TaskCount: 4}})
	for zone, tasks := range map[wire.Zone][]int{"a": {0, 1}, "b": {2}, "c": {3}} {
		machine := &statecache.Machine{Name: wire.MachineID("i-" + zone), Group: string(zone), MachineType: "s", Zone: zone, Incarnation: 1, Suspected: zone == "a"}
		for _, task := range tasks {
			machine.Bindings = append(machine.Bindings, statecache.TaskBinding{Job: "req-000001", TaskIndex: task, Attempt: 1})
		}
		view.Apply(statecache.Change{Kind: statecache.KindMachineGroup, Name: string(zone), Record: &statecache.MachineGroup{
			Name: string(zone), MachineType: "s", Zone: zone, Machines: []*statecache.Machine{machine},
		}})
	}
	return view
}

func replacementAutoscaler(view *statecache.View) *Autoscaler {
	cfg := &config.Config{}
	cfg.Params.Store.MaxValueKB = 1
	return &Autoscaler{config: cfg, view: view, machineTypes: machineCatalog{types: []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 16}}}}
}

// Guards against scaling in an unreachable machine with two replicas of a service when only one of
// them can be placed elsewhere: each replacement counts towards the zone spread of the next.
func TestReplacementsCountTowardsZoneSpread(t *testing.T) {
	for _, test := range []struct {
		freeInC     float64
		replaceable bool
	}{{0, false}, {1, true}} {
		view := replacementView()
		a := replacementAutoscaler(view)
		finder := &replacementFinder{autoscaler: a, nodes: a.replicaNodes()}
		for _, n := range finder.nodes {
			if n.Zone == "c" {
				n.Used = resources.Vector{CPUs: 4 - test.freeInC}
			}
		}
		if got := finder.canReplaceReplicas(view.Machines["i-a"]); got != test.replaceable {
			t.Errorf("%v CPUs free in zone c: replaceable %v", test.freeInC, got)
		}
	}
}

// An unreachable machine isn't scaled in for the sake of a machine with free CPUs whose record small
// tasks have filled, so that no replica can be bound to it.
func TestMachinesWithFullRecordsReplaceNothing(t *testing.T) {
	for _, test := range []struct {
		smallTasks  int
		replaceable bool
	}{{0, true}, {60, false}} {
		view := replacementView()
		view.Apply(statecache.Change{Kind: statecache.KindJob, Name: "req-000002", Record: &statecache.Job{TaskCount: 60, Spec: &wire.Job{ID: "req-000002", CPUs: 0.01}}})
		for _, name := range []string{"b", "c"} {
			group := *view.Groups[name]
			machine := *group.Machines[0]
			for n := range test.smallTasks {
				machine.Bindings = append(machine.Bindings, statecache.TaskBinding{Job: "req-000002", TaskIndex: n, Attempt: 1})
			}
			group.Machines = []*statecache.Machine{&machine}
			view.Apply(statecache.Change{Kind: statecache.KindMachineGroup, Name: name, Record: &group})
		}
		finder := &replacementFinder{autoscaler: replacementAutoscaler(view)}
		if got := finder.canReplaceReplicas(view.Machines["i-a"]); got != test.replaceable {
			t.Errorf("%d small tasks: replaceable %v", test.smallTasks, got)
		}
	}
}
