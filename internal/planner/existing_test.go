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

// findByScan does what onExisting does by looking at every slot for every task.
func findByScan(p *planning, d Demand, count int, need resources.Vector, zones placement.ZoneCounts, run float64) int {
	choices, _ := p.poolChoices(d, need, run)
	for found := range count {
		var best *capacitySlot
		bestAt := math.Inf(1)
		for _, s := range p.room {
			choice := &choices[s.pool]
			if !choice.allowed || !zones.Allows(d.Job, s.machine.Pool.Zone) {
				continue
			}
			at := s.free(choice.share)
			if at > choice.latest(s) || math.IsInf(at, 1) {
				continue
			}
			if best == nil || at < bestAt || at == bestAt && choice.kind && !choices[best.pool].kind {
				best, bestAt = s, at
			}
		}
		if best == nil {
			return found
		}
		best.add(bestAt+run, choices[best.pool].share)
		zones[best.machine.Pool.Zone]++
	}
	return count
}

func newPass(in Input) *planning {
	p := &planning{Input: in, machineTypes: map[string]*wire.MachineType{}, offer: map[wire.Zone]int{}, heldIndex: map[resources.Pool]int{}, queues: map[demandShape]*slotQueue{}}
	for i := range in.Types {
		p.machineTypes[in.Types[i].Name] = &in.Types[i]
	}
	p.slots()
	p.pools()
	return p
}

// Queues that demands share find the same room as a look at every machine for each task,
// also when there are more shapes than queues.
func TestSharedQueuesFindWhatAScanFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := base()
		pools := []resources.Pool{{MachineType: "s", Zone: "a", Spot: false}, {MachineType: "s", Zone: "a", Spot: true}, {MachineType: "s", Zone: "b", Spot: true}, {MachineType: "l", Zone: "a", Spot: false}}
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			m := Machine{Name: wire.MachineID(fmt.Sprintf("i-%03d", i)), Pool: rapid.SampledFrom(pools).Draw(t, "pool"), Schedulable: true}
			m.ReadyIn = float64(rapid.SampledFrom([]int{0, 0, 20, 70}).Draw(t, "ready"))
			for range rapid.IntRange(0, 3).Draw(t, "held") {
				m.Tasks = append(m.Tasks, RunningTask{Job: job(1, true), Remaining: float64(rapid.IntRange(0, 100).Draw(t, "left"))})
			}
			in.Machines = append(in.Machines, m)
		}
		shared, scanned := newPass(in), newPass(in)
		for i := range rapid.IntRange(1, 40).Draw(t, "demands") {
			j := job(float64(rapid.IntRange(1, 20).Draw(t, "cpus"))/2, rapid.Bool().Draw(t, "spot"))
			j.ID, j.TaskCount = wire.JobID(fmt.Sprintf("req-%06d", i)), 6
			j.SingleZone = rapid.IntRange(0, 3).Draw(t, "oneZone") == 0
			j.SpreadZones = !j.SingleZone && rapid.IntRange(0, 3).Draw(t, "spread") == 0
			d := Demand{Job: j, Deadline: float64(rapid.IntRange(-20, 200).Draw(t, "deadline")), Runtime: float64(rapid.IntRange(1, 60).Draw(t, "run"))}
			need, count := resources.OfTask(j), rapid.IntRange(1, 6).Draw(t, "count")
			got := shared.onExisting(d, count, need, placement.ZoneCounts{}, d.Runtime)
			want := findByScan(scanned, d, count, need, placement.ZoneCounts{}, d.Runtime)
			if got != want {
				t.Fatalf("demand %d: room for %d tasks, a scan finds %d", i, got, want)
			}
		}
	})
}
