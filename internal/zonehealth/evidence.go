package zonehealth

import (
	"fmt"
	"strings"

	"lynxledge/wire"
)

// Evidence is what is known of a zone at one time. Recent means within about the policy's
// UnreachableAfter.
type Evidence struct {
	Expected        int // machines that should send heartbeats
	Unreachable     int // of these, without a recent heartbeat to any controller
	Failed          int // machines that recently failed or were drained as unreachable
	ReachableFrom   int // controllers with recent heartbeats from any of its machines
	Controllers     int // of the deployment that are in this zone
	ControllersDown int // of these, not members of the cluster
	Pools           int // machine pools that the cloud offers in the zone
	PoolsExhausted  int // of these, in which the cloud has no machines for now
}

// Counts returns the fields in declaration order, the format of the recovery record.
func (e Evidence) Counts() []int {
	return []int{e.Expected, e.Unreachable, e.Failed, e.ReachableFrom, e.Controllers, e.ControllersDown, e.Pools, e.PoolsExhausted}
}

// EvidenceFromCounts is the inverse of Counts. Missing counts are 0, and extra ones are ignored.
func EvidenceFromCounts(counts []int) Evidence {
	var c [8]int
	copy(c[:], counts)
	return Evidence{
		Expected: c[0], Unreachable: c[1], Failed: c[2], ReachableFrom: c[3],
		Controllers: c[4], ControllersDown: c[5], Pools: c[6], PoolsExhausted: c[7],
	}
}

// Machines returns the number of expected and failed machines.
func (e Evidence) Machines() int { return e.Expected + e.Failed }

// Down returns how many of the Machines are unreachable or failed.
func (e Evidence) Down() int { return e.Unreachable + e.Failed }

// Reachable returns how many expected machines are reachable; new ones count as such.
func (e Evidence) Reachable() int { return e.Expected - e.Unreachable }

// DownShare returns the share of the machines that are down; 0 if there are no machines.
func (e Evidence) DownShare() float64 {
	if e.Machines() == 0 {
		return 0
	}
	return float64(e.Down()) / float64(e.Machines())
}

// allControllersDown reports whether the zone has controllers, and none is a member.
func (e Evidence) allControllersDown() bool {
	return e.Controllers > 0 && e.ControllersDown == e.Controllers
}

// allPoolsExhausted reports whether the zone has pools, and the cloud has no machines in any.
func (e Evidence) allPoolsExhausted() bool { return e.Pools > 0 && e.PoolsExhausted == e.Pools }

// String describes the evidence for operators, in the zone status and in log lines.
func (e Evidence) String() string {
	parts := []string{
		fmt.Sprintf("%d of %d machines down (%d silent, %d failed)", e.Down(), e.Machines(), e.Unreachable, e.Failed),
		fmt.Sprintf("heard by %d controllers", e.ReachableFrom),
	}
	if e.Controllers > 0 {
		parts = append(parts, fmt.Sprintf("%d of %d controllers there gone", e.ControllersDown, e.Controllers))
	}
	if e.PoolsExhausted > 0 {
		parts = append(parts, fmt.Sprintf("%d of %d pools refused", e.PoolsExhausted, e.Pools))
	}
	return strings.Join(parts, ", ")
}

// NoneReachable reports whether there are machines, but none is reachable in any zone. Nothing can
// be concluded from such evidence: it is more likely that this controller is partitioned from all
// machines than that all zones are lost, and if they are, no zone is left to place replicas in.
func NoneReachable(evidence map[wire.Zone]Evidence) bool {
	machines := 0
	for _, e := range evidence {
		machines += e.Machines()
		if e.Reachable() > 0 {
			return false
		}
	}
	return machines > 0
}
