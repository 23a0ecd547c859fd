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

// Admission determines which machines of a recovering zone accept new tasks. Machines are
// ordered by a hash of their names, so that every controller computes the same order, and a
// share of them is admitted from the front: a later step admits a superset of an earlier one.
type Admission struct {
	Phase zonehealth.Phase
	// maxServiceRank and maxArrayRank are the highest admission ranks at which machines accept
	// tasks of services and of arrays.
	maxServiceRank, maxArrayRank uint64
	// admitArraysWhileLost is set once the zone has been lost for longer than the policy's
	// MaxHoldDown: its reachable machines then accept arrays, whatever the state of the others.
	admitArraysWhileLost bool
}

// admissionRank returns the hash by which machines are ordered for admission; the lowest is
// admitted first.
func admissionRank(machine wire.MachineID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(machine)) // never fails
	return max(1, hash.Sum64())        // a threshold of 0 admits no machine
}

// admits reports whether a machine accepts tasks of services, or of arrays.
func (a *Admission) admits(machine wire.MachineID, service bool) bool {
	switch {
	case a.Phase == zonehealth.Lost:
		return !service && a.admitArraysWhileLost
	case service:
		return admissionRank(machine) <= a.maxServiceRank
	}
	return admissionRank(machine) <= a.maxArrayRank
}

// admissionsOf computes the admission of every recovering zone.
func admissionsOf(now time.Time, record *statecache.ZoneRecoveries, policy *zonehealth.Policy, nodes []*placement.Node) map[wire.Zone]*Admission {
	admissions := map[wire.Zone]*Admission{}
	for i := range record.Zones {
		zone := &record.Zones[i]
		phase := phaseOf(record, zone.Zone)
		if !phase.Recovering() {
			continue
		}
		status := zonehealth.Status{Phase: phase, Step: zone.Step}
		ranks := admissionRanks(zone.Zone, nodes)
		admissions[zone.Zone] = &Admission{
			Phase:                phase,
			maxServiceRank:       rankThreshold(ranks, status.AdmittedShare(policy.AdmissionSteps, true)),
			maxArrayRank:         rankThreshold(ranks, status.AdmittedShare(policy.AdmissionSteps, false)),
			admitArraysWhileLost: now.Sub(zone.Since.Time()) > policy.MaxHoldDown,
		}
	}
	return admissions
}

// admissionRanks returns the ranks of a zone's schedulable machines, sorted.
func admissionRanks(zone wire.Zone, nodes []*placement.Node) []uint64 {
	var ranks []uint64
	for _, n := range nodes {
		if n.Zone == zone && n.Schedulable {
			ranks = append(ranks, admissionRank(n.Name))
		}
	}
	slices.Sort(ranks)
	return ranks
}

// rankThreshold returns the highest rank among the given share of the machines, rounded up to
// whole machines.
func rankThreshold(ranks []uint64, share float64) uint64 {
	switch count := int(math.Ceil(share * float64(len(ranks)))); {
	case share >= 1:
		return math.MaxUint64 // includes machines that are added later
	case count == 0:
		return 0
	default:
		return ranks[count-1]
	}
}
