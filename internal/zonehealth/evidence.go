package zonehealth

import (
	"fmt"
	"strings"

	"lynxledge/wire"
)

// Evidence is what is known of a zone at one time.
type Evidence struct {
	Expected        int // machines that should send heartbeats
	Unreachable     int // of these, without a heartbeat to any controller lately
	Failed          int // machines that failed, or were drained as unreachable, lately
	ReachableFrom   int // controllers that received heartbeats of any of its machines lately
	Controllers     int // of the deployment that are in this zone
	ControllersDown int // of these, not members
	Pools           int // machine pools that the cloud offers there
	PoolsExhausted  int // of these, without machines lately
}

// Counts returns the fields in their order, as records hold them.
func (e Evidence) Counts() []int {
	return []int{e.Expected, e.Unreachable, e.Failed, e.ReachableFrom, e.Controllers, e.ControllersDown, e.Pools, e.PoolsExhausted}
}

// EvidenceFromCounts is the inverse of Counts; missing counts are 0, and surplus ones are
// ignored.
func EvidenceFromCounts(counts []int) Evidence {
	var c [8]int
	copy(c[:], counts)
	return Evidence{
		Expected: c[0], Unreachable: c[1], Failed: c[2], ReachableFrom: c[3],
		Controllers: c[4], ControllersDown: c[5], Pools: c[6], PoolsExhausted: c[7],
	}
}

// Machines is how many machines the evidence is about.
func (e Evidence) Machines() int { return e.Expected + e.Failed }

// Down is how many of them are down.
func (e Evidence) Down() int { return e.Unreachable + e.Failed }

// Reachable is how many machines had heartbeats lately.
func (e Evidence) Reachable() int { return e.Expected - e.Unreachable }

// DownShare is the share of the machines that are down; 0 when there are none.
func (e Evidence) DownShare() float64 {
	if e.Machines() == 0 {
		return 0
	}
	return float64(e.Down()) / float64(e.Machines())
}

// allControllersDown tells whether the zone has controllers, and none is a member.
func (e Evidence) allControllersDown() bool {
	return e.Controllers > 0 && e.ControllersDown == e.Controllers
}

// allPoolsExhausted tells whether the cloud has no machines in the zone.
func (e Evidence) allPoolsExhausted() bool { return e.Pools > 0 && e.PoolsExhausted == e.Pools }

// String describes the evidence to operators, on the status page and in log lines.
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

// NoneReachable tells whether no machine of any zone is reachable, though there are machines.
// Then nothing can be concluded: it is more likely that this controller is partitioned from all
// machines than that all zones are lost, and if they are, there is nowhere else to go.
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
