package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"lynxledge/internal/placement"
	_ "lynxledge/internal/rapidseed"
	"lynxledge/internal/resources"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

var testTypes = []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 8}, {Name: "l", CPUs: 16, GPUs: 2, MemoryGB: 64}}

func genSpec(t *rapid.T, id int) *wire.Job {
	return &wire.Job{
		ID: wire.JobID(fmt.Sprintf("req-%06d", id)), Team: rapid.SampledFrom([]wire.TeamName{"a", "b"}).Draw(t, "team"), Kind: wire.KindArray,
		Priority: wire.Priority(rapid.IntRange(0, 3).Draw(t, "rank")), TaskCount: rapid.IntRange(1, 9).Draw(t, "tasks"),
		CPUs: rapid.Float64Range(0.1, 6).Draw(t, "cpus"), GPUs: float64(rapid.IntRange(0, 1).Draw(t, "gpus")),
		MemoryGB: rapid.Float64Range(0, 20).Draw(t, "mem"), Image: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "image"),
		SingleZone: rapid.Bool().Draw(t, "one"), SpreadZones: rapid.Bool().Draw(t, "spread"), AllowSpot: rapid.Bool().Draw(t, "spot"),
	}
}

func genNodes(t *rapid.T) []*Node {
	var nodes []*Node
	for i := range rapid.IntRange(0, 8).Draw(t, "nodes") {
		n := &Node{
			Name: wire.MachineID(fmt.Sprint(i)), MachineType: &testTypes[rapid.IntRange(0, 1).Draw(t, "type")],
			Zone: rapid.SampledFrom([]wire.Zone{"p", "q"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spotm"),
			HasImage: func(string) bool { return i%2 == 0 },
		}
		for k := range rapid.IntRange(0, 4).Draw(t, "held") {
			j := genSpec(t, 100+k)
			if n.Used.Plus(resources.OfTask(j), 1).Fits(resources.OfMachineType(n.MachineType)) {
				n.Used = n.Used.Plus(resources.OfTask(j), 1)
				n.Tasks = append(n.Tasks, RunningTask{Job: j, TaskIndex: i, WithinGuarantee: rapid.Bool().Draw(t, "guaranteed")})
			}
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// A pick is always allowed and has room, and there is one if any node would do.
func TestPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j, nodes := genSpec(t, 1), genNodes(t)
		zones := placement.ZoneCounts{"p": rapid.IntRange(0, 2).Draw(t, "inP"), "q": rapid.IntRange(0, 2).Draw(t, "inQ")}
		ok := func(n *Node) bool {
			inOther := zones["p"] + zones["q"] - zones[n.Zone]
			return (j.AllowSpot || !n.Spot) && (!j.SingleZone || inOther == 0) && (!j.SpreadZones || 2*zones[n.Zone] < j.TaskCount) &&
				n.Used.Plus(resources.OfTask(j), 1).Fits(resources.OfMachineType(n.MachineType))
		}
		got := PickNode(j, zones, ZoneOffers{}, nodes)
		if got != nil && !ok(got) {
			t.Fatalf("picked %+v for %+v", got, j)
		}
		for _, n := range nodes {
			if got == nil && ok(n) {
				t.Fatalf("left out %+v for %+v", n, j)
			}
		}
	})
}

// Preemption stops only what the protocol lets it, and makes room.
func TestPreempt(t *testing.T) {
	teams := map[wire.TeamName]config.TeamQuota{"a": {Name: "a", GuaranteedCPUs: 6}, "b": {Name: "b", GuaranteedCPUs: 3}}
	team := func(n wire.TeamName) config.TeamQuota { return teams[n] }
	rapid.Check(t, func(t *rapid.T) {
		j, nodes := genSpec(t, 1), genNodes(t)
		tally := resources.Usage{}
		for _, n := range nodes {
			for _, task := range n.Tasks {
				tally[task.Job.Team] = tally[task.Job.Team].Plus(resources.OfTask(task.Job), 1)
			}
		}
		v := FindVictims(j, placement.ZoneCounts{}, ZoneOffers{}, nodes, tally, team)
		if v == nil {
			return
		}
		used := v.Node.Used
		left := tally["a"].CPUs
		if j.Team == "a" {
			left = tally["b"].CPUs
		}
		for _, i := range v.Tasks {
			victim := v.Node.Tasks[i]
			used = used.Plus(resources.OfTask(victim.Job), -1)
			if victim.Job.Priority < j.Priority {
				continue
			}
			if victim.WithinGuarantee {
				t.Fatal("what a team is guaranteed is taken from it")
			}
			if victim.Job.Team == j.Team {
				t.Fatal("equal or higher rank of the same team stopped")
			}
			if !tally.WithinGuarantee(team(j.Team), resources.OfTask(j)) {
				t.Fatal("taken back beyond the guarantee")
			}
			if left <= teams[victim.Job.Team].GuaranteedCPUs {
				t.Fatal("another team loses what it is guaranteed")
			}
			left -= victim.Job.CPUs
		}
		if !used.Plus(resources.OfTask(j), 1).Fits(resources.OfMachineType(v.Node.MachineType)) {
			t.Fatal("victims make no room")
		}
	})
}

// A team's early replicas are guaranteed to it however much batch work it borrows
// room for later: they were stopped for other teams' replicas.
func TestEarlierJobsAreGuaranteed(t *testing.T) {
	team := func(wire.TeamName) config.TeamQuota { return config.TeamQuota{Name: "a", GuaranteedCPUs: 10} }
	job := func(id wire.JobID, cpus float64) *wire.Job { return &wire.Job{ID: id, Team: "a", CPUs: cpus} }
	guaranteed := JobsWithinGuarantee([]QuotaClaim{
		{job("req-000003", 4), 30, 20}, {job("req-000001", 2), 10, 2}, {job("req-000004", 2), 40, 1}, {job("req-000002", 2), 20, 3},
	}, team)
	for id, want := range map[wire.JobID]bool{"req-000001": true, "req-000002": true, "req-000003": false, "req-000004": false} {
		if guaranteed[id] != want {
			t.Errorf("%s guaranteed: %v", id, guaranteed[id])
		}
	}
}

// Room for one replica elsewhere lets one be moved, not two.
func TestMoveCountsTheRoom(t *testing.T) {
	replica := func(n int, spread bool) *wire.Job {
		return &wire.Job{ID: wire.JobID(fmt.Sprintf("req-%06d", n)), Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 1 + n%2, CPUs: 4, Image: "x", SpreadZones: spread}
	}
	has := func(string) bool { return true }
	full := &Node{Name: "f", MachineType: &testTypes[0], Zone: "p", HasImage: has, Used: resources.Vector{CPUs: 4}, Tasks: []RunningTask{{Job: replica(2, false)}}}
	other := &Node{Name: "g", MachineType: &testTypes[0], Zone: "p", HasImage: has, Used: resources.Vector{CPUs: 4}, Tasks: []RunningTask{{Job: replica(4, false)}}}
	free := &Node{Name: "h", MachineType: &testTypes[0], Zone: "q", HasImage: has}
	nodes := []*Node{full, other, free}
	first := FindReplicaToMove(replica(1, true), placement.ZoneCounts{"q": 1}, nodes)
	if first == nil || first.Node != full {
		t.Fatalf("not moved: %+v", first)
	}
	full.Tasks[0].Stopping = true
	if second := FindReplicaToMove(replica(3, true), placement.ZoneCounts{"q": 1}, nodes); second != nil {
		t.Fatalf("moved without room: %+v", second)
	}
}

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
	if len(got) != maxSample || len(seen) != maxSample {
		t.Fatalf("%d nodes, %d different", len(got), len(seen))
	}
}
