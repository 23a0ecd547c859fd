package recovery

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// room is what is free on the machines that may take replicas, as a plan uses it up.
// Machines of one kind form a bucket, so that placing a replica looks at buckets and not
// at every machine.
type room struct {
	buckets []*bucket
}

// bucket is the machines of one type, zone and kind, the fullest first.
type bucket struct {
	machineType *wire.MachineType
	zone        wire.Zone
	spot        bool
	slots       []*slot
	// first is, for a request, the first slot that may still have room for it. A plan
	// only fills slots, so one without room never gets it back.
	first map[resources.Vector]int
}

type slot struct {
	node *placement.Node
	used resources.Vector
}

func newRoom(nodes []*placement.Node) *room {
	type kind struct {
		name string
		zone wire.Zone
		spot bool
	}
	byKind := map[kind]*bucket{}
	r := &room{}
	for _, n := range nodes {
		k := kind{n.MachineType.Name, n.Zone, n.Spot}
		b := byKind[k]
		if b == nil {
			b = &bucket{machineType: n.MachineType, zone: n.Zone, spot: n.Spot, first: map[resources.Vector]int{}}
			byKind[k] = b
			r.buckets = append(r.buckets, b)
		}
		if n.HasCapacity() { // a full machine still says that there are machines of its kind
			b.slots = append(b.slots, &slot{n, n.Used})
		}
	}
	for _, b := range r.buckets {
		limit := resources.OfMachineType(b.machineType)
		slices.SortFunc(b.slots, func(x, y *slot) int {
			return cmp.Or(cmp.Compare(y.used.Share(limit), x.used.Share(limit)), strings.Compare(string(x.node.Name), string(y.node.Name)))
		})
	}
	slices.SortFunc(r.buckets, func(x, y *bucket) int {
		return cmp.Or(strings.Compare(string(x.zone), string(y.zone)), strings.Compare(x.machineType.Name, y.machineType.Name), compareBool(x.spot, y.spot))
	})
	return r
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// allows tells whether the bucket's machines are ones that a job may use at all.
func (b *bucket) allows(j *wire.Job) bool {
	return placement.Allowed(j, b.machineType.Name, b.zone, b.spot)
}

// fit finds a machine with room for a request, or nil.
func (b *bucket) fit(need resources.Vector) *slot {
	limit := resources.OfMachineType(b.machineType)
	i := b.first[need]
	for i < len(b.slots) && !b.slots[i].used.Plus(need, 1).Fits(limit) {
		i++
	}
	b.first[need] = i
	if i == len(b.slots) {
		return nil
	}
	return b.slots[i]
}

// free is the sum of what is free on machines that have room for a request at all.
func (b *bucket) free(need resources.Vector) resources.Vector {
	limit := resources.OfMachineType(b.machineType)
	var sum resources.Vector
	for _, s := range b.slots {
		if s.used.Plus(need, 1).Fits(limit) {
			sum = sum.Plus(limit, 1).Plus(s.used, -1)
		}
	}
	return sum
}

// whole is how many replicas with a request the bucket has room for.
func (b *bucket) whole(need resources.Vector) int {
	limit := resources.OfMachineType(b.machineType)
	n := 0
	for _, s := range b.slots {
		left := limit.Plus(s.used, -1)
		if share := need.Share(left); share > 0 && !math.IsInf(share, 1) {
			n += int(1/share + roundingSlack)
		}
	}
	return n
}

// roundingSlack makes up for sums of decimal amounts.
const roundingSlack = 1e-6
