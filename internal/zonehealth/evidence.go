package zonehealth

import (
	"fmt"
	"strings"
)

// Evidence is what is known of a zone at one time.
type Evidence struct {
	Expected        int // machines that should report
	Unreachable     int // of these, heard by no controller lately
	Failed          int // machines that failed, or were given up as silent, lately
	ReachableFrom   int // controllers that heard any of its machines lately
	Controllers     int // of the deployment that are in this zone
	ControllersDown int // of these, not members
	Pools           int // kinds of machines that the cloud rents there
	PoolsExhausted  int // of these, refused lately
}

// Counts are the fields in their order, as records hold them.
func (e Evidence) Counts() []int {
	return []int{e.Expected, e.Unreachable, e.Failed, e.ReachableFrom, e.Controllers, e.ControllersDown, e.Pools, e.PoolsExhausted}
}

// EvidenceFromCounts reads what Figures gave; missing figures are 0, and more are left out.
func EvidenceFromCounts(figures []int) Evidence {
	var f [8]int
	copy(f[:], figures)
	return Evidence{
		Expected: f[0], Unreachable: f[1], Failed: f[2], ReachableFrom: f[3],
		Controllers: f[4], ControllersDown: f[5], Pools: f[6], PoolsExhausted: f[7],
	}
}

// Machines is how many machines the verdict is about.
func (e Evidence) Machines() int { return e.Expected + e.Failed }

// Down is how many of them are down.
func (e Evidence) Down() int { return e.Unreachable + e.Failed }

// Reachable is how many machines were heard lately.
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

// allPoolsExhausted tells whether the cloud rents nothing in the zone.
func (e Evidence) allPoolsExhausted() bool { return e.Pools > 0 && e.PoolsExhausted == e.Pools }

// String says it for operators.
func (e Evidence) String() string {
	parts := []string{fmt.Sprintf("%d of %d machines down (%d silent, %d failed)", e.Down(), e.Machines(), e.Unreachable, e.Failed)}
	parts = append(parts, fmt.Sprintf("heard by %d controllers", e.ReachableFrom))
	if e.Controllers > 0 {
		parts = append(parts, fmt.Sprintf("%d of %d controllers there gone", e.ControllersDown, e.Controllers))
	}
	if e.PoolsExhausted > 0 {
		parts = append(parts, fmt.Sprintf("%d of %d pools refused", e.PoolsExhausted, e.Pools))
	}
	return strings.Join(parts, ", ")
}
