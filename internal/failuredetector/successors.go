package failuredetector

import (
	"cmp"
	"slices"
	"strings"

	"lynxledge/wire"
)

// SuccessorOrder sorts the members that may take over from a failed leader: first those outside
// the failed leader's zone, then those in it; in each group the active scheduler comes last, and
// the others are sorted by name.
func SuccessorOrder(members []string, zoneOf func(string) wire.Zone, failedZone wire.Zone, activeScheduler string) []string {
	rank := func(member string) int {
		n := 0
		if zoneOf(member) == failedZone {
			n += 2
		}
		if member == activeScheduler {
			n++
		}
		return n
	}
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(rank(a)-rank(b), strings.Compare(a, b))
	})
	return order
}
