package planner

import (
	"fmt"
	"testing"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// fleetOf is what a pass looks at on a deployment of many machines, all in use, and a queue
// in front of them that grows with the machines.
func fleetOf(machines int) Input {
	in := Input{
		Types: []wire.MachineType{
			{Name: "s", CPUs: 4, MemoryGB: 32, HourlyPrice: 0.19, HourlySpotPrice: 0.05, BootTime: 50, Zones: []wire.Zone{"a", "b"}},
			{Name: "b", CPUs: 16, MemoryGB: 128, HourlyPrice: 0.78, HourlySpotPrice: 0.2, BootTime: 30, Zones: []wire.Zone{"b", "c"}},
		},
		BootLag: 45, PlanningInterval: 5, BillingPeriod: 30, HeadroomShare: 0.1, MaxPriceMultiple: 2, Refused: func(resources.Pool) bool { return false },
	}
	scan := &wire.Job{ID: "req-000001", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: 80, CPUs: 4, MemoryGB: 29, AllowSpot: true}
	for i := range machines {
		pool := resources.Pool{MachineType: "s", Zone: "a", Spot: true}
		if i%3 == 0 {
			pool = resources.Pool{MachineType: "b", Zone: "c", Spot: true}
		}
		in.Machines = append(in.Machines, Machine{Name: wire.MachineID(fmt.Sprintf("i-%06d", i)), Pool: pool, Age: float64(i), Schedulable: true, Tasks: []RunningTask{{Job: scan, Remaining: float64(i % 15)}}})
	}
	for i := range max(1, machines/30) {
		job := *scan
		job.ID = wire.JobID(fmt.Sprintf("req-%06d", 100+i))
		in.Demands = append(in.Demands, Demand{Job: &job, Count: 80, Deadline: float64(2 * i), Runtime: 15, Zones: placement.ZoneCounts{}})
	}
	return in
}

// BenchmarkPass is one pass of the planner.
func BenchmarkPass(b *testing.B) {
	for _, machines := range []int{250, 1830, 4000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			in := fleetOf(machines)
			b.ReportAllocs()
			for b.Loop() {
				Compute(in)
			}
		})
	}
}

// maxPassAllocations is a fifth above what was measured.
const maxPassAllocations = 8400

// A pass allocates for each machine and each demand, not for each pair of them: a list of
// all machines for each job was 20 MB a pass.
func TestAllocationsOfAPass(t *testing.T) {
	in := fleetOf(1830)
	if allocations := testing.AllocsPerRun(5, func() { Compute(in) }); allocations > maxPassAllocations {
		t.Errorf("%v allocations for %d machines and %d jobs", allocations, len(in.Machines), len(in.Demands))
	}
}
