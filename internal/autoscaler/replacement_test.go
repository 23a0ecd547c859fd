package autoscaler

import (
	"testing"

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

// Guards against scaling in an unreachable machine with two replicas of a service when only one of
// them can be placed elsewhere: each replacement counts towards the zone spread of the next.
func TestReplacementsCountTowardsZoneSpread(t *testing.T) {
	for _, test := range []struct {
		freeInC     float64
		replaceable bool
	}{{0, false}, {1, true}} {
		view := replacementView()
		a := &Autoscaler{view: view, machineTypes: machineCatalog{types: []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 16}}}}
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
