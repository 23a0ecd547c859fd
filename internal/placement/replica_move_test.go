package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

var moveTestZones = []wire.Zone{"p", "q", "r"}

// moveTestCluster is a cluster in three zones with replicas of services on its nodes.
type moveTestCluster struct {
	nodes    []*Node
	services map[wire.JobID]*wire.Job
	sets     map[wire.JobID]*ReplicaSet
}

// genMoveTestCluster draws nodes and services, and places the replicas where their zone constraints
// allow.
func genMoveTestCluster(t *rapid.T) *moveTestCluster {
	cluster := &moveTestCluster{services: map[wire.JobID]*wire.Job{}, sets: map[wire.JobID]*ReplicaSet{}}
	for i := range rapid.IntRange(3, 9).Draw(t, "nodes") {
		hasImage := rapid.IntRange(0, 3).Draw(t, "hasImage") > 0
		cluster.nodes = append(cluster.nodes, &Node{
			Name: wire.MachineID(fmt.Sprint(i)), MachineType: &testTypes[0], Zone: moveTestZones[i%3],
			HasImage: func(string) bool { return hasImage },
		})
	}
	for i := range rapid.IntRange(1, 8).Draw(t, "services") {
		job := genMoveService(t, i)
		set := &ReplicaSet{Zones: ZoneCounts{}}
		cluster.services[job.ID], cluster.sets[job.ID] = job, set
		for replica := range job.TaskCount {
			n := rapid.SampledFrom(cluster.nodes).Draw(t, "node")
			if !n.CanTake(job, resources.OfTask(job), set.Zones) {
				set.Immovable = true // the replica is pending
				continue
			}
			cluster.place(n, job, replica)
		}
	}
	return cluster
}

func genMoveService(t *rapid.T, id int) *wire.Job {
	job := &wire.Job{
		ID: wire.JobID(fmt.Sprintf("req-%06d", id)), Kind: wire.KindService, Priority: wire.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
		TaskCount: rapid.IntRange(1, 5).Draw(t, "replicas"), CPUs: float64(rapid.IntRange(1, 2).Draw(t, "cpus")), Image: "x",
	}
	switch rapid.IntRange(0, 5).Draw(t, "constraint") {
	case 0:
		job.Zone = rapid.SampledFrom(moveTestZones).Draw(t, "zone")
	case 1:
		job.SingleZone = true
	case 2:
		job.CheckpointInterval = 10
	default:
		job.SpreadZones = true
	}
	return job
}

func (c *moveTestCluster) place(n *Node, job *wire.Job, replica int) {
	n.Used = n.Used.AddScaled(resources.OfTask(job), 1)
	n.Tasks = append(n.Tasks, RunningTask{Job: job, TaskIndex: replica, Service: c.sets[job.ID]})
	c.sets[job.ID].Zones[n.Zone]++
}

// checkMove checks that the replica may run on the target once it is stopped on its node, and that
// the target has capacity for everything claimed there.
func (c *moveTestCluster) checkMove(t *rapid.T, move *Victims) {
	task := &move.Node.Tasks[move.Tasks[0]]
	job, set := task.Job, task.Service
	if len(move.Tasks) != 1 || set.Immovable || task.Stopping || job.Zone != "" || job.CheckpointInterval > 0 {
		t.Fatalf("replica must not be moved: %+v of %+v", task, job)
	}
	after := ZoneCounts{}
	for zone, count := range set.Zones {
		after[zone] = count
	}
	after[move.Node.Zone]--
	after[move.Target.Zone]++
	for zone, count := range after {
		if job.SpreadZones && 2*count > job.TaskCount+1 {
			t.Fatalf("%d of %d replicas in zone %s", count, job.TaskCount, zone)
		}
		if job.SingleZone && count > 0 && count < job.TaskCount {
			t.Fatalf("replicas of a single-zone service in several zones: %v", after)
		}
	}
	used := move.Target.Used
	for _, claim := range move.Target.Claims {
		used = used.AddScaled(claim.Need, 1)
	}
	if !used.Fits(resources.OfMachineType(move.Target.MachineType)) {
		t.Fatalf("capacity counted twice: %v used and claimed", used)
	}
}

// Moves respect the zone constraints of the moved service, never count the same capacity twice,
// make room for the waiting replica, and end: there is at most one per service that has all its
// replicas. Guards against moves without a target, and against services whose replicas displace
// one another back and forth.
func TestReplicaMovesAreSafeAndEnd(t *testing.T) {
	moved := 0
	rapid.Check(t, func(t *rapid.T) {
		cluster := genMoveTestCluster(t)
		moves := 0
		for i := 0; i < 20; i++ {
			job := genMoveService(t, 100+i)
			move := FindReplicaToMove(job, ZoneCounts{}, cluster.nodes)
			if move == nil {
				continue
			}
			cluster.checkMove(t, move)
			moves++
			task := &move.Node.Tasks[move.Tasks[0]]
			task.Stopping, task.Service.Immovable = true, true
			move.Node.Used = move.Node.Used.AddScaled(resources.OfTask(task.Job), -1)
			if !move.Node.HasCapacityFor(job, resources.OfTask(job)) {
				t.Fatal("the waiting replica does not fit after the move")
			}
			move.Node.Used = move.Node.Used.AddScaled(resources.OfTask(job), 1)
		}
		if moves > len(cluster.services) {
			t.Fatalf("%d moves with %d services", moves, len(cluster.services))
		}
		moved += moves
	})
	if moved == 0 {
		t.Error("no replica was moved in any cluster")
	}
}

// The moved replica is of the service with the lowest priority, then the most replicas.
func TestReplicaMovePrefersLeastImportantService(t *testing.T) {
	for _, other := range []struct {
		priority wire.Priority
		replicas int
	}{{wire.PriorityHigh, 4}, {wire.PriorityNormal, 2}} {
		cluster := &moveTestCluster{sets: map[wire.JobID]*ReplicaSet{}}
		has := func(string) bool { return true }
		full := &Node{Name: "f", MachineType: &testTypes[0], Zone: "p", HasImage: has}
		cluster.nodes = []*Node{full, {Name: "g", MachineType: &testTypes[0], Zone: "q", HasImage: has}}
		important := &wire.Job{ID: "req-000001", Kind: wire.KindService, SpreadZones: true, CPUs: 2, Priority: other.priority, TaskCount: other.replicas}
		lesser := &wire.Job{ID: "req-000002", Kind: wire.KindService, SpreadZones: true, CPUs: 2, Priority: wire.PriorityNormal, TaskCount: 4}
		for _, job := range []*wire.Job{important, lesser} {
			cluster.sets[job.ID] = &ReplicaSet{Zones: ZoneCounts{}}
			cluster.place(full, job, 0)
		}
		blocked := &wire.Job{ID: "req-000003", Kind: wire.KindService, SpreadZones: true, CPUs: 2, Priority: wire.PriorityNormal, TaskCount: 2}
		move := FindReplicaToMove(blocked, ZoneCounts{"q": 1}, cluster.nodes)
		if move == nil || full.Tasks[move.Tasks[0]].Job != lesser {
			t.Errorf("beside %+v: moved %+v", other, move)
		}
	}
}
