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
	// maxServiceRank and maxArrayRank are up to which admission rank tasks are admitted.
	maxServiceRank, maxArrayRank uint64
	// admitArraysWhileLost: the zone was lost so long ago that its reachable machines take
	// arrays again, whatever became of the others.
	admitArraysWhileLost bool
}

// admissionRank is a machine's place in the order of admission.
func admissionRank(machine wire.MachineID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(machine)) // never fails
	return max(1, hash.Sum64())        // 0 admits none
}

// admits tells whether a machine takes tasks of services, or of arrays.
func (a *Admission) admits(machine wire.MachineID, service bool) bool {
	switch {
	case a.Phase == zonehealth.Lost:
		return !service && a.admitArraysWhileLost
	case service:
		return admissionRank(machine) <= a.maxServiceRank
	}
	return admissionRank(machine) <= a.maxArrayRank
}

// admissionsOf works out the admission of every zone that is recovering.
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

// admissionRanks are those of a zone's schedulable machines, sorted.
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

// rankThreshold is the rank up to which a share of the machines lies, rounded up.
func rankThreshold(ranks []uint64, share float64) uint64 {
	switch count := int(math.Ceil(share * float64(len(ranks)))); {
	case share >= 1:
		return math.MaxUint64 // those that come up meanwhile too
	case count == 0:
		return 0
	default:
		return ranks[count-1]
	}
}
