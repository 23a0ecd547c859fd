package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	_ "lynxledge/internal/rapidseed"
	"lynxledge/internal/resources"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

var testTypes = []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 8}, {Name: "l", CPUs: 16, GPUs: 2, MemoryGB: 64}}

// genJob draws a job with any combination of constraints.
func genJob(t *rapid.T, id int) *wire.Job {
	return &wire.Job{
		ID: wire.JobID(fmt.Sprintf("req-%06d", id)), Team: rapid.SampledFrom([]wire.TeamName{"a", "b"}).Draw(t, "team"), Kind: wire.KindArray,
		Priority: wire.Priority(rapid.IntRange(0, 3).Draw(t, "priority")), TaskCount: rapid.IntRange(1, 9).Draw(t, "tasks"),
		CPUs: rapid.Float64Range(0.1, 6).Draw(t, "cpus"), GPUs: float64(rapid.IntRange(0, 1).Draw(t, "gpus")),
		MemoryGB: rapid.Float64Range(0, 20).Draw(t, "memory"), Image: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "image"),
		SingleZone: rapid.Bool().Draw(t, "singleZone"), SpreadZones: rapid.Bool().Draw(t, "spread"), AllowSpot: rapid.Bool().Draw(t, "spot"),
	}
}

// genNodes draws nodes with running tasks.
func genNodes(t *rapid.T) []*Node {
	var nodes []*Node
	for i := range rapid.IntRange(0, 8).Draw(t, "nodes") {
		n := &Node{
			Name: wire.MachineID(fmt.Sprint(i)), MachineType: &testTypes[rapid.IntRange(0, 1).Draw(t, "type")],
			Zone: rapid.SampledFrom([]wire.Zone{"p", "q"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spotMachine"),
			HasImage: func(string) bool { return i%2 == 0 },
		}
		for k := range rapid.IntRange(0, 4).Draw(t, "running") {
			job := genJob(t, 100+k)
			if n.Used.AddScaled(resources.OfTask(job), 1).Fits(resources.OfMachineType(n.MachineType)) {
				n.Used = n.Used.AddScaled(resources.OfTask(job), 1)
				n.Tasks = append(n.Tasks, RunningTask{Job: job, TaskIndex: i, WithinGuarantee: rapid.Bool().Draw(t, "guaranteed")})
			}
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// The picked node is allowed and has capacity; none is picked only if no node meets both.
func TestPickNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job, nodes := genJob(t, 1), genNodes(t)
		zones := ZoneCounts{"p": rapid.IntRange(0, 2).Draw(t, "inP"), "q": rapid.IntRange(0, 2).Draw(t, "inQ")}
		ok := func(n *Node) bool {
			inOther := zones["p"] + zones["q"] - zones[n.Zone]
			return (job.AllowSpot || !n.Spot) && (!job.SingleZone || inOther == 0) && (!job.SpreadZones || 2*zones[n.Zone] < job.TaskCount) &&
				n.Used.AddScaled(resources.OfTask(job), 1).Fits(resources.OfMachineType(n.MachineType))
		}
		got := PickNode(job, zones, ZoneOffers{}, nodes)
		if got != nil && !ok(got) {
			t.Fatalf("picked %+v for %+v", got, job)
		}
		for _, n := range nodes {
			if got == nil && ok(n) {
				t.Fatalf("no node picked, but %+v can take %+v", n, job)
			}
		}
	})
}

// Only tasks that may be preempted for the job are, and its task fits once they are stopped.
func TestFindVictims(t *testing.T) {
	teams := map[wire.TeamName]config.TeamQuota{"a": {Name: "a", GuaranteedCPUs: 6}, "b": {Name: "b", GuaranteedCPUs: 3}}
	quotaOf := func(name wire.TeamName) config.TeamQuota { return teams[name] }
	rapid.Check(t, func(t *rapid.T) {
		job, nodes := genJob(t, 1), genNodes(t)
		usage := resources.Usage{}
		for _, n := range nodes {
			for _, task := range n.Tasks {
				usage[task.Job.Team] = usage[task.Job.Team].AddScaled(resources.OfTask(task.Job), 1)
			}
		}
		victims := FindVictims(job, ZoneCounts{}, ZoneOffers{}, nodes, Quotas{Usage: usage, TeamQuota: quotaOf})
		if victims == nil {
			return
		}
		used := victims.Node.Used
		remainingCPUs := usage["a"].CPUs
		if job.Team == "a" {
			remainingCPUs = usage["b"].CPUs
		}
		for _, i := range victims.Tasks {
			victim := victims.Node.Tasks[i]
			used = used.AddScaled(resources.OfTask(victim.Job), -1)
			if victim.Job.Priority < job.Priority {
				continue
			}
			if victim.WithinGuarantee {
				t.Fatal("preempted a task within its team's guarantee")
			}
			if victim.Job.Team == job.Team {
				t.Fatal("preempted a task of the same team and of equal or higher priority")
			}
			if !usage.WithinGuarantee(quotaOf(job.Team), resources.OfTask(job)) {
				t.Fatal("preempted a task of no lower priority for a team beyond its guarantee")
			}
			if remainingCPUs <= teams[victim.Job.Team].GuaranteedCPUs {
				t.Fatal("preempted a task of a team that has no more than its guarantee")
			}
			remainingCPUs -= victim.Job.CPUs
		}
		if !used.AddScaled(resources.OfTask(job), 1).Fits(resources.OfMachineType(victims.Node.MachineType)) {
			t.Fatal("the task does not fit once the victims are stopped")
		}
	})
}

// If another zone has capacity for one replica, only one is moved there.
func TestReplicaMoveCountsCapacity(t *testing.T) {
	replica := func(n int, spread bool) *wire.Job {
		return &wire.Job{ID: wire.JobID(fmt.Sprintf("req-%06d", n)), Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 1 + n%2, CPUs: 4, Image: "x", SpreadZones: spread}
	}
	has := func(string) bool { return true }
	full := &Node{Name: "f", MachineType: &testTypes[0], Zone: "p", HasImage: has, Used: resources.Vector{CPUs: 4}, Tasks: []RunningTask{{Job: replica(2, false)}}}
	other := &Node{Name: "g", MachineType: &testTypes[0], Zone: "p", HasImage: has, Used: resources.Vector{CPUs: 4}, Tasks: []RunningTask{{Job: replica(4, false)}}}
	free := &Node{Name: "h", MachineType: &testTypes[0], Zone: "q", HasImage: has}
	nodes := []*Node{full, other, free}
	first := FindReplicaToMove(replica(1, true), ZoneCounts{"q": 1}, nodes)
	if first == nil || first.Node != full {
		t.Fatalf("not moved: %+v", first)
	}
	full.Tasks[0].Stopping = true
	if second := FindReplicaToMove(replica(3, true), ZoneCounts{"q": 1}, nodes); second != nil {
		t.Fatalf("moved without capacity: %+v", second)
	}
}

// A sample of many nodes has MaxSample nodes, all different.
func TestSampleIsBounded(t *testing.T) {
	nodes := make([]*Node, 500)
	for i := range nodes {
		nodes[i] = &Node{Name: wire.MachineID(fmt.Sprint(i))}
	}
	got := Sample(nodes, rand.New(rand.NewPCG(1, 1)))
	seen := map[*Node]bool{}
	for _, n := range got {
		seen[n] = true
	}
	if len(got) != MaxSample || len(seen) != MaxSample {
		t.Fatalf("%d nodes, %d different", len(got), len(seen))
	}
}
