package scheduler

import (
	"fmt"
	"testing"
	"time"

	"lynxledge/internal/placement"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

const (
	benchReplicas        = 4  // per service
	benchShortServices   = 64 // services without any bound replica
	replicasPerBenchNode = 2
)

var benchZones = []wire.Zone{"a", "b", "c"}

// replicaScheduler returns a scheduler that doesn't run, for a fleet that is full of replicas of
// services that spread over zones. Some more services find no node for their replicas.
func replicaScheduler(machines int) *Scheduler {
	s := busyScheduler(0)
	s.nodes.setMachineTypes([]wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 32, Zones: benchZones}})
	submittedAt := statecache.TimestampOf(time.Now())
	var changes []statecache.Change
	services := machines*replicasPerBenchNode/benchReplicas + benchShortServices
	for i := range services {
		id := wire.JobID(fmt.Sprintf("req-1%05d", i))
		spec := &wire.Job{
			ID: id, Class: "live", Team: "red", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: benchReplicas,
			CPUs: 2, MemoryGB: 1, Image: "img", SpreadZones: true,
		}
		changes = append(changes, statecache.Change{Kind: statecache.KindJob, Name: string(id), Record: &statecache.Job{Spec: spec, TaskCount: benchReplicas, SubmittedAt: submittedAt}})
	}
	for first := 0; first < machines; first += benchGroupSize {
		zone := benchZones[first/benchGroupSize%len(benchZones)]
		group := &statecache.MachineGroup{Name: fmt.Sprintf("g%05d", first), MachineType: "s", Zone: zone, ProvisionedAt: submittedAt}
		for i := first; i < min(first+benchGroupSize, machines); i++ {
			machine := &statecache.Machine{Name: wire.MachineID(fmt.Sprintf("i-%06d", i)), Group: group.Name, MachineType: "s", Zone: zone, Address: "10.0.0.1:9", Incarnation: 1, FencingToken: 9}
			for replica := range replicasPerBenchNode {
				task := i*replicasPerBenchNode + replica
				machine.Bindings = append(machine.Bindings, statecache.TaskBinding{
					Job: wire.JobID(fmt.Sprintf("req-1%05d", task/benchReplicas)), TaskIndex: task % benchReplicas, Attempt: 1,
				})
			}
			group.Machines = append(group.Machines, machine)
		}
		changes = append(changes, statecache.Change{Kind: statecache.KindMachineGroup, Name: group.Name, Record: group})
	}
	s.apply(statecache.Update{Revision: 2, FreshAsOf: time.Now(), Changes: changes})
	return s
}

// BenchmarkSchedulingCycleShortOfReplicas measures a scheduling cycle in which many services lack
// replicas, and search for other replicas to preempt or to move.
func BenchmarkSchedulingCycleShortOfReplicas(b *testing.B) {
	for _, machines := range benchFleets {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			s := replicaScheduler(machines)
			b.ReportAllocs()
			for b.Loop() {
				if c := s.planCycle(time.Now(), benchCycleLimit, true); len(c.placed) > 0 {
					b.Fatalf("placed %v", c.placed)
				}
			}
		})
	}
}

// A search for a replica to move considers two samples, of all nodes and of those with capacity,
// however many nodes there are.
func TestMoveSearchIsBounded(t *testing.T) {
	s := replicaScheduler(2000)
	c := s.newCycle(time.Now(), 8, s.nodes.usage)
	p := &jobPlacement{cycle: c, spec: s.jobs.active["req-100000"].Spec}
	if nodes := len(p.moveNodes()); nodes > 2*placement.MaxSample {
		t.Errorf("%d nodes considered", nodes)
	}
}
