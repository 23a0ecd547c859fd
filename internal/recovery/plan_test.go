package recovery

import (
	"fmt"
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	_ "lynxledge/internal/rapidseed"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

var testTypes = []*wire.MachineType{
	{Name: "s", CPUs: 4, MemoryGB: 16},
	{Name: "l", CPUs: 16, MemoryGB: 32},
}

func generateService(t *rapid.T, id int) *Service {
	j := &wire.Job{
		ID: wire.JobID(fmt.Sprintf("req-%06d", id)), Team: rapid.SampledFrom([]wire.TeamName{"red", "blue"}).Draw(t, "team"), Kind: wire.KindService,
		Priority: wire.Priority(rapid.IntRange(0, 3).Draw(t, "rank")), TaskCount: rapid.IntRange(1, 6).Draw(t, "replicas"),
		CPUs: float64(rapid.IntRange(1, 5).Draw(t, "cpus")), MemoryGB: float64(rapid.IntRange(1, 12).Draw(t, "memory")),
		AllowSpot: rapid.Bool().Draw(t, "spot"), SpreadZones: rapid.Bool().Draw(t, "spread"),
	}
	switch rapid.IntRange(0, 5).Draw(t, "only") {
	case 0:
		j.Zone = rapid.SampledFrom([]wire.Zone{"a", "b", "c"}).Draw(t, "zone")
	case 1:
		j.MachineTypes = []string{"l"}
	case 2:
		j.SingleZone, j.SpreadZones = true, false
	}
	s := &Service{Job: j, AtRisk: map[wire.Zone]int{}, BoundByZone: placement.ZoneCounts{}, RunnableSince: statecache.Timestamp(id)}
	left := j.TaskCount
	for _, zone := range []wire.Zone{"a", "b", "c"} {
		if !s.BoundByZone.Allows(j, zone) || j.Zone != "" && j.Zone != zone {
			continue
		}
		n := rapid.IntRange(0, left).Draw(t, "bound")
		if j.SpreadZones {
			n = min(n, (j.TaskCount+1)/2)
		}
		left -= n
		if s.BoundByZone[zone] += n; zone == "a" && n > 0 {
			s.AtRisk["a"] = rapid.IntRange(0, n).Draw(t, "atRisk")
		}
	}
	s.Pending = left
	return s
}

func generateInput(t *rapid.T) Input {
	in := Input{Usage: resources.Usage{}, TeamQuota: func(name wire.TeamName) config.TeamQuota {
		if name == "red" {
			return config.TeamQuota{Name: name, MaxCPUs: 24}
		}
		return config.TeamQuota{Name: name}
	}}
	for i := range rapid.IntRange(0, 8).Draw(t, "nodes") {
		n := &placement.Node{
			Name: wire.MachineID(fmt.Sprintf("i-%02d", i)), MachineType: rapid.SampledFrom(testTypes).Draw(t, "type"), Schedulable: true,
			Zone: rapid.SampledFrom([]wire.Zone{"a", "b", "b", "c", "c"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spot"),
		}
		n.Used = resources.Vector{CPUs: float64(rapid.IntRange(0, 4).Draw(t, "used")), MemoryGB: float64(rapid.IntRange(0, 8).Draw(t, "usedMemory"))}
		if n.Zone == "a" {
			in.Fallback = append(in.Fallback, n)
		} else {
			in.Nodes = append(in.Nodes, n)
		}
	}
	for i := range rapid.IntRange(0, 16).Draw(t, "services") {
		in.Services = append(in.Services, generateService(t, i))
	}
	SortByRecoveryOrder(in.Services)
	return in
}

// checkPlan checks that a plan's placements are valid and that it accounts for every replica.
func checkPlan(t *rapid.T, in *Input, plan Plan) {
	accounted := checkPlacements(t, in, plan.Placements)
	for _, shortfall := range plan.Shortfalls {
		accounted[shortfall.Service] += shortfall.Count
		if shortfall.Cause == "" {
			t.Fatalf("%s has a shortfall without a cause", shortfall.Service.Job.ID)
		}
	}
	for _, s := range in.Services {
		if accounted[s] != s.Pending+s.AtRiskCount() {
			t.Fatalf("%s: %d of %d replicas are accounted for", s.Job.ID, accounted[s], s.Pending+s.AtRiskCount())
		}
	}
}

// checkPlacements checks placements against job constraints, machine capacities and the team's
// CPU limit, and counts them by service.
func checkPlacements(t *rapid.T, in *Input, placements []Placement) map[*Service]int {
	used := map[*placement.Node]resources.Vector{}
	teams := resources.Usage{}
	zones := zoneCountsByRisk(in)
	placed := map[*Service]int{}
	for _, p := range placements {
		job, node := p.Service.Job, p.Node
		need := resources.OfTask(job)
		if !placement.Allowed(job, node.MachineType.Name, node.Zone, node.Spot) {
			t.Fatalf("%s may not be on %s", job.ID, node.Name)
		}
		if z := zones[p.Service][p.AtRisk]; !z.Allows(job, node.Zone) {
			t.Fatalf("%s may not be in %s: %v", job.ID, node.Zone, z)
		}
		zones[p.Service][p.AtRisk][node.Zone]++
		used[node] = used[node].AddScaled(need, 1)
		if !node.Used.AddScaled(used[node], 1).Fits(resources.OfMachineType(node.MachineType)) {
			t.Fatalf("%s is over capacity", node.Name)
		}
		if !p.AtRisk {
			teams[job.Team] = teams[job.Team].AddScaled(need, 1)
		}
		placed[p.Service]++
	}
	if u := teams["red"].CPUs; u > 24 {
		t.Fatalf("team red uses %v CPUs", u)
	}
	return placed
}

// zoneCountsByRisk counts the bound replicas of each service by zone, keyed by whether those at
// risk are left out.
func zoneCountsByRisk(in *Input) map[*Service]map[bool]placement.ZoneCounts {
	zones := map[*Service]map[bool]placement.ZoneCounts{}
	for _, s := range in.Services {
		bound := placement.ZoneCounts{}
		maps.Copy(bound, s.BoundByZone)
		zones[s] = map[bool]placement.ZoneCounts{false: bound, true: s.boundAfterLoss()}
	}
	return zones
}

// Every plan respects job constraints, capacities and team limits and accounts for every replica;
// its total weight is at least that of first-fit; and planning is deterministic.
func TestPlansKeepProtocolRules(t *testing.T) {
	solved := 0
	rapid.Check(t, func(t *rapid.T) {
		in := generateInput(t)
		plan := Compute(in)
		checkPlan(t, &in, plan)
		firstFit := newBinPacker(&in, nil)
		firstFit.pack()
		value := 0.0
		for _, p := range plan.Placements {
			value += priorityWeight(p.Service.Job)
		}
		if value < firstFit.value {
			t.Fatalf("total weight %v, of first-fit %v", value, firstFit.value)
		}
		if plan.ImprovedBySolver {
			solved++
		}
		if again := Compute(in); !reflect.DeepEqual(again, plan) {
			t.Fatal("the same input gave a different plan")
		}
	})
	if solved == 0 {
		t.Error("the solver found nothing in any of the generated inputs")
	}
}

// First-fit in recovery order gives the only node of zone b to a service that may run in any
// zone, which leaves none for one restricted to b. The solver must place both.
func TestSolverPlacesServiceRestrictedToOneZone(t *testing.T) {
	node := func(name wire.MachineID, zone wire.Zone) *placement.Node {
		return &placement.Node{Name: name, MachineType: testTypes[0], Zone: zone, Schedulable: true}
	}
	service := func(id wire.JobID, zone wire.Zone) *Service {
		j := &wire.Job{ID: id, Team: "blue", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 1, CPUs: 4, MemoryGB: 1, Zone: zone}
		return &Service{Job: j, Pending: 1, AtRisk: map[wire.Zone]int{}, BoundByZone: placement.ZoneCounts{}}
	}
	in := Input{
		Services:  []*Service{service("req-000001", ""), service("req-000002", "b")},
		Nodes:     []*placement.Node{node("i-1", "b"), node("i-2", "c")},
		TeamQuota: func(wire.TeamName) config.TeamQuota { return config.TeamQuota{} },
	}
	if plan := Compute(in); !plan.ImprovedBySolver || len(plan.Placements) != 2 {
		t.Errorf("%+v", plan)
	}
}

// Services beyond the limits of the linear program are still placed.
func TestSolverIsBounded(t *testing.T) {
	in := Input{TeamQuota: func(wire.TeamName) config.TeamQuota { return config.TeamQuota{} }}
	for i := range 40 {
		in.Nodes = append(in.Nodes, &placement.Node{Name: wire.MachineID(fmt.Sprintf("i-%02d", i)), MachineType: testTypes[i%2], Zone: []wire.Zone{"b", "c", "d"}[i%3], Spot: i%4 == 0, Schedulable: true})
	}
	for i := range 60 {
		j := &wire.Job{ID: wire.JobID(fmt.Sprintf("req-%06d", i)), Team: "blue", Kind: wire.KindService, TaskCount: 9, CPUs: 1 + float64(i)/30, MemoryGB: 1, SpreadZones: true}
		in.Services = append(in.Services, &Service{Job: j, Pending: 9, AtRisk: map[wire.Zone]int{}, BoundByZone: placement.ZoneCounts{}})
	}
	program := buildProgram(&in, newFreeCapacity(in.Nodes))
	if len(program.constraints) == 0 || len(program.constraints) > maxConstraints || len(program.variables) > maxVariables {
		t.Errorf("%d constraints, %d variables", len(program.constraints), len(program.variables))
	}
	if plan := Compute(in); len(plan.Placements) == 0 {
		t.Error("nothing is placed")
	}
}

// A larger share never admits fewer machines than a smaller one; each share is rounded up to
// whole machines.
func TestAdmissionGrowsWithShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []*placement.Node
		for i := range rapid.IntRange(1, 50).Draw(t, "machines") {
			nodes = append(nodes, &placement.Node{Name: wire.MachineID(fmt.Sprintf("i-%06d", i*7)), Zone: "a", Schedulable: true})
		}
		ranks := admissionRanks("a", nodes)
		count := func(share float64) (n int) {
			a := Admission{Phase: 3, maxServiceRank: rankThreshold(ranks, share)}
			for _, node := range nodes {
				if a.admits(node.Name, true) {
					n++
				}
			}
			return n
		}
		small := rapid.Float64Range(0, 1).Draw(t, "share")
		large := rapid.Float64Range(small, 1).Draw(t, "larger")
		if a, b := count(small), count(large); a > b || float64(a) < small*float64(len(nodes))-1e-9 || float64(a) > small*float64(len(nodes))+1 {
			t.Fatalf("%d and %d of %d at %v and %v", a, b, len(nodes), small, large)
		}
	})
}

// BenchmarkPlan measures one plan after the loss of a zone with a third of the machines.
func BenchmarkPlan(b *testing.B) {
	for _, machines := range []int{48, 400, 4000} {
		in := Input{TeamQuota: func(wire.TeamName) config.TeamQuota { return config.TeamQuota{} }}
		for i := range machines * 2 / 3 {
			n := &placement.Node{Name: wire.MachineID(fmt.Sprintf("i-%06d", i)), MachineType: testTypes[i%2], Zone: []wire.Zone{"b", "c"}[i/2%2], Spot: i%5 == 0, Schedulable: true}
			n.Used = resources.Vector{CPUs: float64(i % 4), MemoryGB: float64(i % 9)}
			in.Nodes = append(in.Nodes, n)
		}
		for i := range machines / 6 {
			j := &wire.Job{
				ID: wire.JobID(fmt.Sprintf("req-%06d", i)), Team: "blue", Kind: wire.KindService, Priority: wire.PriorityProduction,
				TaskCount: 4, CPUs: 1 + float64(i%3), MemoryGB: 2, SpreadZones: true,
			}
			in.Services = append(in.Services, &Service{Job: j, Pending: 1, AtRisk: map[wire.Zone]int{"a": 1}, BoundByZone: placement.ZoneCounts{"a": 1, "b": 1, "c": 1}})
		}
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				Compute(in)
			}
		})
	}
}
