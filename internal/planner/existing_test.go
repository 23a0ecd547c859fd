package planner

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// coverByScan is a reference implementation of coverByExisting that scans all bins for each task.
func coverByScan(c *cycle, d *pendingDemand, count int) (covered int) {
	fits, _ := c.poolFits(d)
	for covered := range count {
		var best *machineBin
		bestAt := math.Inf(1)
		for _, bin := range c.bins {
			fit := &fits[bin.pool]
			if !fit.allowed || !d.zones.Allows(d.Job, bin.machine.Pool.Zone) {
				continue
			}
			at := bin.freeAtSeconds(fit.share)
			if at > fit.latestStartSecondsOn(bin) || math.IsInf(at, 1) {
				continue
			}
			if best == nil || at < bestAt || at == bestAt && fit.preferred && !fits[best.pool].preferred {
				best, bestAt = bin, at
			}
		}
		if best == nil {
			return covered
		}
		best.addTask(bestAt+d.occupiedSeconds, fits[best.pool].share)
		d.zones[best.machine.Pool.Zone]++
	}
	return count
}

// Demands that share queues get as much capacity as they would by a scan of all bins for each
// task, also when there are more shapes than queues.
func TestSharedQueuesMatchScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := testInput()
		pools := []resources.Pool{{MachineType: "s", Zone: "a", Spot: false}, {MachineType: "s", Zone: "a", Spot: true}, {MachineType: "s", Zone: "b", Spot: true}, {MachineType: "l", Zone: "a", Spot: false}}
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			m := Machine{Name: wire.MachineID(fmt.Sprintf("i-%03d", i)), Pool: rapid.SampledFrom(pools).Draw(t, "pool"), Schedulable: true}
			m.ReadyInSeconds = float64(rapid.SampledFrom([]int{0, 0, 20, 70}).Draw(t, "ready"))
			for range rapid.IntRange(0, 3).Draw(t, "held") {
				m.Tasks = append(m.Tasks, RunningTask{Job: testJob(1, true), RemainingSeconds: float64(rapid.IntRange(0, 100).Draw(t, "left"))})
			}
			m.MaxTasks = rapid.SampledFrom([]int{0, 0, NoTasks, len(m.Tasks), len(m.Tasks) + 2}).Draw(t, "max")
			in.Machines = append(in.Machines, m)
		}
		shared, scanned := newCycle(in), newCycle(in)
		for i := range rapid.IntRange(1, 40).Draw(t, "demands") {
			j := testJob(float64(rapid.IntRange(1, 20).Draw(t, "cpus"))/2, rapid.Bool().Draw(t, "spot"))
			j.ID, j.TaskCount = wire.JobID(fmt.Sprintf("req-%06d", i)), 6
			j.SingleZone = rapid.IntRange(0, 3).Draw(t, "oneZone") == 0
			j.SpreadZones = !j.SingleZone && rapid.IntRange(0, 3).Draw(t, "spread") == 0
			d := Demand{Job: j, DeadlineSeconds: float64(rapid.IntRange(-20, 200).Draw(t, "deadline")), RuntimeSeconds: float64(rapid.IntRange(1, 60).Draw(t, "run"))}
			count := rapid.IntRange(1, 6).Draw(t, "count")
			forQueues, forScan := newPendingDemand(&d, placement.ZoneCounts{}), newPendingDemand(&d, placement.ZoneCounts{})
			got := shared.coverByExisting(&forQueues, count)
			want := coverByScan(scanned, &forScan, count)
			if got != want {
				t.Fatalf("demand %d: %d tasks covered, a scan covers %d", i, got, want)
			}
		}
	})
}
