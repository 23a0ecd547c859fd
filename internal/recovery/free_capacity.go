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

// freeCapacity tracks the free capacity of nodes while a plan is computed. Nodes are grouped
// by pool, so that placing a replica iterates over pools rather than over every node.
type freeCapacity struct {
	pools []*nodePool // sorted by zone, machine type and spot
}

// nodePool holds the nodes of one machine pool that are not full, initially the fullest first.
type nodePool struct {
	machineType *wire.MachineType
	zone        wire.Zone
	spot        bool
	nodes       []*nodeUsage
	// firstFitIndex maps a task's resource needs to the index of the first node that may have
	// capacity for them. A plan only adds usage, so earlier nodes need not be checked again.
	firstFitIndex map[resources.Vector]int
}

// nodeUsage is what is used of a node, including the plan's placements.
type nodeUsage struct {
	node *placement.Node
	used resources.Vector
}

func newFreeCapacity(nodes []*placement.Node) *freeCapacity {
	byPool := map[resources.Pool]*nodePool{}
	c := &freeCapacity{}
	for _, n := range nodes {
		key := resources.Pool{MachineType: n.MachineType.Name, Zone: n.Zone, Spot: n.Spot}
		pool := byPool[key]
		if pool == nil {
			pool = &nodePool{machineType: n.MachineType, zone: n.Zone, spot: n.Spot, firstFitIndex: map[resources.Vector]int{}}
			byPool[key] = pool
			c.pools = append(c.pools, pool)
		}
		if n.HasCapacity() { // shortfallCause needs the pool even if all its nodes are full
			pool.nodes = append(pool.nodes, &nodeUsage{n, n.Used})
		}
	}
	for _, pool := range c.pools {
		pool.sortFullestFirst()
	}
	slices.SortFunc(c.pools, func(a, b *nodePool) int {
		return cmp.Or(strings.Compare(string(a.zone), string(b.zone)), strings.Compare(a.machineType.Name, b.machineType.Name), compareBool(a.spot, b.spot))
	})
	return c
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

// zones returns the zones of the pools, in order.
func (c *freeCapacity) zones() []wire.Zone {
	var zones []wire.Zone
	for _, pool := range c.pools {
		if len(zones) == 0 || zones[len(zones)-1] != pool.zone { // pools are sorted by zone
			zones = append(zones, pool.zone)
		}
	}
	return zones
}

func (p *nodePool) sortFullestFirst() {
	limit := resources.OfMachineType(p.machineType)
	slices.SortFunc(p.nodes, func(a, b *nodeUsage) int {
		return cmp.Or(cmp.Compare(b.used.Share(limit), a.used.Share(limit)), strings.Compare(string(a.node.Name), string(b.node.Name)))
	})
}

// allows reports whether the job's constraints permit the pool's nodes.
func (p *nodePool) allows(job *wire.Job) bool {
	return placement.Allowed(job, p.machineType.Name, p.zone, p.spot)
}

// firstFit returns the first node with capacity for a task, or nil.
func (p *nodePool) firstFit(need resources.Vector) *nodeUsage {
	limit := resources.OfMachineType(p.machineType)
	i := p.firstFitIndex[need]
	for i < len(p.nodes) && !p.nodes[i].used.AddScaled(need, 1).Fits(limit) {
		i++
	}
	p.firstFitIndex[need] = i
	if i == len(p.nodes) {
		return nil
	}
	return p.nodes[i]
}

// freeFor returns the total free capacity of the nodes that can fit at least one such task.
func (p *nodePool) freeFor(need resources.Vector) resources.Vector {
	limit := resources.OfMachineType(p.machineType)
	var sum resources.Vector
	for _, node := range p.nodes {
		if node.used.AddScaled(need, 1).Fits(limit) {
			sum = sum.AddScaled(limit, 1).AddScaled(node.used, -1)
		}
	}
	return sum
}

// replicaRoundingTolerance compensates for floating-point errors in sums of decimal amounts.
const replicaRoundingTolerance = 1e-6

// replicaCapacity returns how many replicas with the given needs fit into the pool.
func (p *nodePool) replicaCapacity(need resources.Vector) int {
	limit := resources.OfMachineType(p.machineType)
	count := 0
	for _, node := range p.nodes {
		free := limit.AddScaled(node.used, -1)
		if share := need.Share(free); share > 0 && !math.IsInf(share, 1) {
			count += int(1/share + replicaRoundingTolerance)
		}
	}
	return count
}
