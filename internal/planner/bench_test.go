package planner

import (
	"fmt"
	"testing"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// benchmarkInput returns the input of a cluster whose machines are all in use, and in which the
// number of waiting jobs grows with that of the machines.
func benchmarkInput(machines int) Input {
	in := Input{
		MachineTypes: []wire.MachineType{
			{Name: "s", CPUs: 4, MemoryGB: 32, HourlyPrice: 0.19, HourlySpotPrice: 0.05, BootTime: 50, Zones: []wire.Zone{"a", "b"}},
			{Name: "b", CPUs: 16, MemoryGB: 128, HourlyPrice: 0.78, HourlySpotPrice: 0.2, BootTime: 30, Zones: []wire.Zone{"b", "c"}},
		},
		BootLagSeconds: 45, PlanningIntervalSeconds: 5, BillingPeriodSeconds: 30, HeadroomShare: 0.1, MaxPriceMultiple: 2, Exhausted: func(resources.Pool) bool { return false },
	}
	scan := &wire.Job{ID: "req-000001", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: 80, CPUs: 4, MemoryGB: 29, AllowSpot: true}
	for i := range machines {
		pool := resources.Pool{MachineType: "s", Zone: "a", Spot: true}
		if i%3 == 0 {
			pool = resources.Pool{MachineType: "b", Zone: "c", Spot: true}
		}
		in.Machines = append(in.Machines, Machine{Name: wire.MachineID(fmt.Sprintf("i-%06d", i)), Pool: pool, AgeSeconds: float64(i), Schedulable: true, Tasks: []RunningTask{{Job: scan, RemainingSeconds: float64(i % 15)}}})
	}
	for i := range max(1, machines/30) {
		job := *scan
		job.ID = wire.JobID(fmt.Sprintf("req-%06d", 100+i))
		in.Demands = append(in.Demands, Demand{Job: &job, Count: 80, DeadlineSeconds: float64(2 * i), RuntimeSeconds: 15, Zones: placement.ZoneCounts{}})
	}
	return in
}

// BenchmarkPlanningCycle measures one planning cycle.
func BenchmarkPlanningCycle(b *testing.B) {
	for _, machines := range []int{250, 1830, 4000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			in := benchmarkInput(machines)
			b.ReportAllocs()
			for b.Loop() {
				Compute(in)
			}
		})
	}
}

// maxCycleAllocations is 20% above the measured number of allocations.
const maxCycleAllocations = 8400

// A planning cycle allocates per machine and per demand, not per pair of them: a list of all
// machines for each job allocated 20 MB per cycle.
func TestAllocationsOfAPlanningCycle(t *testing.T) {
	in := benchmarkInput(1830)
	if allocations := testing.AllocsPerRun(5, func() { Compute(in) }); allocations > maxCycleAllocations {
		t.Errorf("%v allocations for %d machines and %d jobs", allocations, len(in.Machines), len(in.Demands))
	}
}
