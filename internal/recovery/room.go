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

// freeCapacity is what is free on the machines that may take replicas, as a plan uses it up.
// Machines of one kind form a bucket, so that placing a replica looks at buckets and not
// at every machine.
type freeCapacity struct {
	pools []*nodePool
}

// nodePool is the machines of one type, zone and kind, the fullest first.
type nodePool struct {
	machineType *wire.MachineType
	zone        wire.Zone
	spot        bool
	nodes       []*nodeUsage
	// first is, for a request, the first slot that may still have room for it. A plan
	// only fills slots, so one without room never gets it back.
	firstFitIndex map[resources.Vector]int
}

type nodeUsage struct {
	node *placement.Node
	used resources.Vector
}

func newFreeCapacity(nodes []*placement.Node) *freeCapacity {
	type kind struct {
		name string
		zone wire.Zone
		spot bool
	}
	byKind := map[kind]*nodePool{}
	r := &freeCapacity{}
	for _, n := range nodes {
		k := kind{n.MachineType.Name, n.Zone, n.Spot}
		b := byKind[k]
		if b == nil {
			b = &nodePool{machineType: n.MachineType, zone: n.Zone, spot: n.Spot, firstFitIndex: map[resources.Vector]int{}}
			byKind[k] = b
			r.pools = append(r.pools, b)
		}
		if n.HasCapacity() { // a full machine still says that there are machines of its kind
			b.nodes = append(b.nodes, &nodeUsage{n, n.Used})
		}
	}
	for _, b := range r.pools {
		limit := resources.OfMachineType(b.machineType)
		slices.SortFunc(b.nodes, func(x, y *nodeUsage) int {
			return cmp.Or(cmp.Compare(y.used.Share(limit), x.used.Share(limit)), strings.Compare(string(x.node.Name), string(y.node.Name)))
		})
	}
	slices.SortFunc(r.pools, func(x, y *nodePool) int {
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
func (b *nodePool) allows(j *wire.Job) bool {
	return placement.Allowed(j, b.machineType.Name, b.zone, b.spot)
}

// firstFit finds a machine with room for a request, or nil.
func (b *nodePool) firstFit(need resources.Vector) *nodeUsage {
	limit := resources.OfMachineType(b.machineType)
	i := b.firstFitIndex[need]
	for i < len(b.nodes) && !b.nodes[i].used.Plus(need, 1).Fits(limit) {
		i++
	}
	b.firstFitIndex[need] = i
	if i == len(b.nodes) {
		return nil
	}
	return b.nodes[i]
}

// freeFor is the sum of what is free on machines that have room for a request at all.
func (b *nodePool) freeFor(need resources.Vector) resources.Vector {
	limit := resources.OfMachineType(b.machineType)
	var sum resources.Vector
	for _, s := range b.nodes {
		if s.used.Plus(need, 1).Fits(limit) {
			sum = sum.Plus(limit, 1).Plus(s.used, -1)
		}
	}
	return sum
}

// replicaCapacity is how many replicas with a request the bucket has room for.
func (b *nodePool) replicaCapacity(need resources.Vector) int {
	limit := resources.OfMachineType(b.machineType)
	n := 0
	for _, s := range b.nodes {
		left := limit.Plus(s.used, -1)
		if share := need.Share(left); share > 0 && !math.IsInf(share, 1) {
			n += int(1/share + replicaRoundingTolerance)
		}
	}
	return n
}

// replicaRoundingTolerance makes up for sums of decimal amounts.
const replicaRoundingTolerance = 1e-6
