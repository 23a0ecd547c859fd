package recovery

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"lynxledge/internal/placement"
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// Admission is which machines of a recovering zone take new tasks. The machines are in a
// fixed order that every controller works out for itself, and a share of them is
// admitted from the front: a later step admits those of the earlier ones, and more.
type Admission struct {
	Phase zonehealth.Phase
	// services and arrays are up to which order number tasks are admitted.
	services, arrays uint64
	// arraysAnyway: the zone was lost so long ago that its machines that are heard
	// take arrays again, whatever became of the others.
	arraysAnyway bool
}

// orderNumber is a machine's place in the order of admission.
func orderNumber(machine wire.MachineID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(machine)) // never fails
	return max(1, h.Sum64())        // 0 admits none
}

// admits tells whether a machine takes tasks of services, or of arrays.
func (a *Admission) admits(machine wire.MachineID, service bool) bool {
	switch {
	case a.Phase == zonehealth.Lost:
		return !service && a.arraysAnyway
	case service:
		return orderNumber(machine) <= a.services
	}
	return orderNumber(machine) <= a.arrays
}

// admissions works out the admission of every zone that is recovering.
func admissions(now time.Time, record *statecache.ZoneRecoveries, policy *zonehealth.Policy, nodes []*placement.Node) map[wire.Zone]*Admission {
	out := map[wire.Zone]*Admission{}
	for i := range record.Zones {
		z := &record.Zones[i]
		phase := phaseOf(record, z.Zone)
		if !phase.Recovering() {
			continue
		}
		status := zonehealth.Status{Phase: phase, Step: z.Step}
		order := orderNumbers(z.Zone, nodes)
		out[z.Zone] = &Admission{
			Phase:        phase,
			services:     threshold(order, status.AdmittedShare(policy.Steps, true)),
			arrays:       threshold(order, status.AdmittedShare(policy.Steps, false)),
			arraysAnyway: now.Sub(z.Since.Time()) > policy.HoldDownMax,
		}
	}
	return out
}

// orderNumbers are those of a zone's machines that take tasks, sorted.
func orderNumbers(zone wire.Zone, nodes []*placement.Node) []uint64 {
	var order []uint64
	for _, n := range nodes {
		if n.Zone == zone && n.Schedulable {
			order = append(order, orderNumber(n.Name))
		}
	}
	slices.Sort(order)
	return order
}

// threshold is the order number up to which a share of the machines lies, rounded up.
func threshold(order []uint64, share float64) uint64 {
	switch n := int(math.Ceil(share * float64(len(order)))); {
	case share >= 1:
		return math.MaxUint64 // those that come up meanwhile too
	case n == 0:
		return 0
	default:
		return order[n-1]
	}
}
