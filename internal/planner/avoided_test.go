package planner

import (
	"testing"

	"lynxledge/wire"
)

// Machines are provisioned in an avoided zone only for jobs that cannot run elsewhere.
func TestAvoidedZone(t *testing.T) {
	anywhere, pinned := testJob(4, false), testJob(4, false)
	pinned.ID, pinned.Zone = "req-000002", "a"
	in := testInput(
		Demand{Job: anywhere, Count: 3, DeadlineSeconds: 10, RuntimeSeconds: 25},
		Demand{Job: pinned, Count: 1, DeadlineSeconds: 10, RuntimeSeconds: 25},
	)
	in.AvoidedZone = func(zone wire.Zone) bool { return zone == "a" }
	counts := map[wire.Zone]int{}
	for _, r := range Compute(in).ScaleOut {
		counts[r.Zone] += r.Count
	}
	if counts["b"] != 3 || counts["a"] != 1 {
		t.Errorf("provisioned %v", counts)
	}
	in.AvoidedZone = func(wire.Zone) bool { return true }
	if p := Compute(in); p.UnmetTasks != 0 {
		t.Errorf("%d tasks unmet with every zone avoided", p.UnmetTasks)
	}
}
