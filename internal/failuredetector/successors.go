package failuredetector

import (
	"cmp"
	"slices"
	"strings"

	"lynxledge/wire"
)

// SuccessorOrder sorts the controllers that may take over the role of a failed one: those in
// other zones than the failed one's first, and among these those that do not hold the other role.
func SuccessorOrder(members []string, zoneOf func(string) wire.Zone, failedZone wire.Zone, holderOfOtherRole string) []string {
	rank := func(member string) int {
		n := 0
		if zoneOf(member) == failedZone {
			n += 2
		}
		if member == holderOfOtherRole {
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
