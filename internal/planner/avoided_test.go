package planner

import (
	"testing"

	"lynxledge/wire"
)

// Nothing is rented in an avoided zone, but for work that may go nowhere else.
func TestAvoidedZone(t *testing.T) {
	anywhere, pinned := job(4, false), job(4, false)
	pinned.ID, pinned.Zone = "req-000002", "a"
	in := base(
		Demand{Job: anywhere, Count: 3, Deadline: 10, Runtime: 25},
		Demand{Job: pinned, Count: 1, Deadline: 10, Runtime: 25},
	)
	in.Avoided = func(zone wire.Zone) bool { return zone == "a" }
	counts := map[wire.Zone]int{}
	for _, r := range Compute(in).ScaleOut {
		counts[r.Zone] += r.Count
	}
	if counts["b"] != 3 || counts["a"] != 1 {
		t.Errorf("rented %v", counts)
	}
	in.Avoided = func(wire.Zone) bool { return true }
	if p := Compute(in); p.Unmet != 0 {
		t.Errorf("%d tasks unmet with every zone avoided", p.Unmet)
	}
}
