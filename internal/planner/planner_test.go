package planner

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"lynxledge/internal/placement"
	_ "lynxledge/internal/rapidseed"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

var testMachineTypes = []wire.MachineType{
	{Name: "s", CPUs: 4, MemoryGB: 16, HourlyPrice: 1, HourlySpotPrice: 0.4, Zones: []wire.Zone{"a", "b"}},
	{Name: "l", CPUs: 16, MemoryGB: 64, HourlyPrice: 3.8, HourlySpotPrice: 1.7, Zones: []wire.Zone{"a"}},
}

func testInput(d ...Demand) Input {
	return Input{MachineTypes: testMachineTypes, Demands: d, Exhausted: func(resources.Pool) bool { return false }, BootLagSeconds: 45, PlanningIntervalSeconds: 5, BillingPeriodSeconds: 60}
}

func testJob(cpus float64, spot bool) *wire.Job {
	return &wire.Job{ID: "req-000001", Kind: wire.KindArray, CPUs: cpus, MemoryGB: 1, TaskCount: 100, AllowSpot: spot}
}

// The load that the design defines: share times runtime over window, capped at the share; the
// full share for empty and past windows and for services.
func TestLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share, run := rapid.Float64Range(0.01, 1).Draw(t, "share"), rapid.Float64Range(0, 500).Draw(t, "run")
		window := rapid.Float64Range(-100, 500).Draw(t, "window")
		l := Load(share, run, window, false)
		switch {
		case window <= 0 || run >= window:
			if l != share {
				t.Fatalf("past or short window: load %v, share %v", l, share)
			}
		case math.Abs(l-share*run/window) > 1e-9:
			t.Fatalf("load %v for runtime %v, window %v, share %v", l, run, window, share)
		}
		if Load(share, run, window, true) != share {
			t.Fatal("the load of a service is not its full share")
		}
	})
}

func TestCheapestPoolIsProvisioned(t *testing.T) {
	for _, c := range []struct {
		d    Demand
		in   func(*Input)
		want ScaleOutRequest
	}{
		{Demand{Job: testJob(4, true), Count: 10, DeadlineSeconds: 95, RuntimeSeconds: 25}, nil, ScaleOutRequest{resources.Pool{MachineType: "s", Zone: "a", Spot: true}, 5, 5, 1}},
		{Demand{Job: testJob(4, false), Count: 3, DeadlineSeconds: 10, RuntimeSeconds: 25}, nil, ScaleOutRequest{resources.Pool{MachineType: "l", Zone: "a", Spot: false}, 1, 0.75, 4}},
		{Demand{Job: testJob(4, true), Count: 2, DeadlineSeconds: 10, RuntimeSeconds: 25},
			func(in *Input) { in.Exhausted = func(p resources.Pool) bool { return p.Spot } }, ScaleOutRequest{resources.Pool{MachineType: "l", Zone: "a", Spot: false}, 1, 0.5, 4}},
		// Cheap pools exhausted: expensive ones are used only for demands that ignore the price
		// limit.
		{Demand{Job: testJob(4, true), Count: 2, DeadlineSeconds: 10, RuntimeSeconds: 25},
			func(in *Input) { in.MaxPriceMultiple = 2; in.Exhausted = func(p resources.Pool) bool { return p.Spot } }, ScaleOutRequest{}},
		{Demand{Job: testJob(4, true), Count: 2, DeadlineSeconds: 10, RuntimeSeconds: 25, IgnorePriceLimit: true},
			func(in *Input) { in.MaxPriceMultiple = 2; in.Exhausted = func(p resources.Pool) bool { return p.Spot } }, ScaleOutRequest{resources.Pool{MachineType: "l", Zone: "a", Spot: false}, 1, 0.5, 4}},
	} {
		in := testInput(c.d)
		if c.in != nil {
			c.in(&in)
		}
		got := Compute(in).ScaleOut
		if c.want.Count == 0 && len(got) == 0 {
			continue
		}
		if len(got) != 1 || got[0].Pool != c.want.Pool || got[0].Count != c.want.Count || math.Abs(got[0].Load-c.want.Load) > 1e-6 || got[0].TasksPerMachine != c.want.TasksPerMachine {
			t.Errorf("got %+v, want %+v", got, c.want)
		}
	}
}

// For any input: nothing is provisioned from exhausted pools, only idle machines near the end of
// a billing period are scaled in, and tasks without capacity are counted as unmet.
func TestPlanIsSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := testInput()
		exhausted := map[resources.Pool]bool{}
		for _, p := range []resources.Pool{{MachineType: "s", Zone: "a", Spot: true}, {MachineType: "s", Zone: "a", Spot: false}, {MachineType: "s", Zone: "b", Spot: true}, {MachineType: "s", Zone: "b", Spot: false}, {MachineType: "l", Zone: "a", Spot: true}, {MachineType: "l", Zone: "a", Spot: false}} {
			exhausted[p] = rapid.Bool().Draw(t, "exhausted")
		}
		in.Exhausted = func(p resources.Pool) bool { return exhausted[p] }
		in.HeadroomShare = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "headroom")
		total := 0
		for i := range rapid.IntRange(0, 5).Draw(t, "jobs") {
			j := testJob(float64(rapid.IntRange(1, 20).Draw(t, "cpus")), rapid.Bool().Draw(t, "spot"))
			j.ID, j.SpreadZones, j.TaskCount = wire.JobID(fmt.Sprintf("req-%06d", i)), rapid.Bool().Draw(t, "spread"), rapid.IntRange(1, 30).Draw(t, "tasks")
			total += j.TaskCount
			in.Demands = append(in.Demands, Demand{Job: j, Count: j.TaskCount, DeadlineSeconds: rapid.Float64Range(-50, 300).Draw(t, "due"), RuntimeSeconds: 20, Zones: placement.ZoneCounts{}})
		}
		for i := range rapid.IntRange(0, 6).Draw(t, "machines") {
			m := Machine{Name: wire.MachineID(fmt.Sprint(i)), Pool: resources.Pool{MachineType: rapid.SampledFrom([]string{"s", "l"}).Draw(t, "type"), Zone: "a", Spot: rapid.Bool().Draw(t, "spotm")}, Schedulable: true, AgeSeconds: rapid.Float64Range(0, 300).Draw(t, "age")}
			if rapid.Bool().Draw(t, "busy") {
				m.Tasks = []RunningTask{{testJob(2, true), 10}}
			}
			in.Machines = append(in.Machines, m)
		}
		p := Compute(in)
		for _, r := range p.ScaleOut {
			if exhausted[r.Pool] || r.Count < 1 {
				t.Fatalf("scale out by %+v", r)
			}
		}
		for _, name := range p.ScaleIn {
			var i int
			fmt.Sscan(string(name), &i)
			m := in.Machines[i]
			if len(m.Tasks) > 0 || 60-math.Mod(m.AgeSeconds, 60) > 10 {
				t.Fatalf("scaled in: %+v", m)
			}
		}
		if len(p.ScaleOut) == 0 && len(in.Machines) == 0 && p.UnmetTasks < total {
			t.Fatalf("%d tasks, nothing provisioned, %d unmet", total, p.UnmetTasks)
		}
	})
}

// Guards against a machine whose type takes longer than the boot lag to boot being provisioned
// again by every planning cycle until it is nearly up.
func TestSlowBootIsProvisionedOnce(t *testing.T) {
	in := testInput(Demand{Job: &wire.Job{ID: "req-000001", Kind: wire.KindService, CPUs: 4, MemoryGB: 1, TaskCount: 1}, Count: 1})
	in.MachineTypes = []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 16, HourlyPrice: 1, BootTime: 80, Zones: []wire.Zone{"a"}}}
	if got := Compute(in).ScaleOut; len(got) != 1 || got[0].Count != 1 {
		t.Fatalf("first cycle scales out by %+v", got)
	}
	in.Machines = []Machine{{Name: "m", Pool: resources.Pool{MachineType: "s", Zone: "a", Spot: false}, Schedulable: true, ReadyInSeconds: 80}}
	if got := Compute(in).ScaleOut; len(got) != 0 {
		t.Fatalf("second cycle scales out by %+v", got)
	}
}
