package plan

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"lynxledge/internal/place"
	"lynxledge/wire"
)

// findByScan does what onExisting does by looking at every slot for every task.
func findByScan(p *pass, d Demand, count int, need place.Resources, zones place.Zones, run float64) int {
	choices, _ := p.poolChoices(d, need, run)
	for found := range count {
		var best *slot
		bestAt := math.Inf(1)
		for _, s := range p.room {
			choice := &choices[s.pool]
			if !choice.allowed || !zones.Allows(d.Job, s.m.Pool.Zone) {
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
		zones[best.m.Pool.Zone]++
	}
	return count
}

func newPass(in Input) *pass {
	p := &pass{Input: in, types: map[string]*wire.MachineType{}, offer: map[string]int{}, heldIndex: map[Pool]int{}, queues: map[demandShape]*slotQueue{}}
	for i := range in.Types {
		p.types[in.Types[i].Name] = &in.Types[i]
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
		pools := []Pool{{"s", "a", false}, {"s", "a", true}, {"s", "b", true}, {"l", "a", false}}
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			m := Machine{Name: fmt.Sprintf("i-%03d", i), Pool: rapid.SampledFrom(pools).Draw(t, "pool"), Open: true}
			m.ReadyS = float64(rapid.SampledFrom([]int{0, 0, 20, 70}).Draw(t, "ready"))
			for range rapid.IntRange(0, 3).Draw(t, "held") {
				m.Tasks = append(m.Tasks, Held{Job: job(1, true), LeftS: float64(rapid.IntRange(0, 100).Draw(t, "left"))})
			}
			in.Machines = append(in.Machines, m)
		}
		shared, scanned := newPass(in), newPass(in)
		for i := range rapid.IntRange(1, 40).Draw(t, "demands") {
			j := job(float64(rapid.IntRange(1, 20).Draw(t, "cpus"))/2, rapid.Bool().Draw(t, "spot"))
			j.ID, j.TaskCount = fmt.Sprintf("req-%06d", i), 6
			j.SingleZone = rapid.IntRange(0, 3).Draw(t, "oneZone") == 0
			j.SpreadZones = !j.SingleZone && rapid.IntRange(0, 3).Draw(t, "spread") == 0
			d := Demand{Job: j, DeadlineS: float64(rapid.IntRange(-20, 200).Draw(t, "deadline")), RunS: float64(rapid.IntRange(1, 60).Draw(t, "run"))}
			need, count := place.RequestOf(j), rapid.IntRange(1, 6).Draw(t, "count")
			got := shared.onExisting(d, count, need, place.Zones{}, d.RunS)
			want := findByScan(scanned, d, count, need, place.Zones{}, d.RunS)
			if got != want {
				t.Fatalf("demand %d: room for %d tasks, a scan finds %d", i, got, want)
			}
		}
	})
}
