package scheduler

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// RunningTask is one task on a node, as far as the choice cares.
type RunningTask struct {
	Job             *wire.Job // nil when its job is unknown
	TaskIndex       int
	Stopping        bool      // ordered to stop
	WithinGuarantee bool      // its job fits its team's guarantee with the team's earlier jobs
	LastOfJob       bool      // its job has no task waiting: stopping it delays the job
	BoundSince      time.Time // when it was first seen bound
	RuntimeSoFar    float64   // seconds since then
}

// Node is a machine that may take tasks.
type Node struct {
	Name        wire.MachineID
	Group       string
	MachineType *wire.MachineType
	Zone        wire.Zone
	Spot        bool
	Schedulable bool             // tasks may be bound to it
	Used        resources.Vector // of tasks that are to stay
	Tasks       []RunningTask
	HasImage    func(image string) bool
	// Reserved is kept for replicas that are about to be placed anew: work that may wait
	// leaves it alone.
	Reserved resources.Vector
	// NeedsOwnWrite: using it takes a write of its own. Few groups are written at once.
	NeedsOwnWrite bool

	capacityIndex int         // place in the index of nodes with room, from 1
	nodeIndex     int         // place among all nodes, from 1
	countedTasks  []*wire.Job // one for each task that the sums count
	countedPool   *nodePool   // the pool that counts it as open
}

// HasCapacity tells whether the node has any of its processors and memory left.
func (n *Node) HasCapacity() bool {
	return n.Schedulable && n.Used.CPUs < n.MachineType.CPUs-resources.RoundingTolerance && (n.MachineType.MemoryGB == 0 || n.Used.MemoryGB < n.MachineType.MemoryGB-resources.RoundingTolerance)
}

// maxSample bounds a choice: beyond it a random sample of the machines is
// looked at in place of all of them.
const maxSample = 64

// Sample returns at most maxSample of the nodes. Those left out are found by
// later samples: each round draws anew.
func Sample(nodes []*Node, rng *rand.Rand) []*Node {
	if len(nodes) <= maxSample {
		return slices.Clone(nodes)
	}
	out := make([]*Node, 0, maxSample)
	if len(nodes) > 4*maxSample { // drawn one by one: no work that grows with the machines
		seen := make(map[int]bool, maxSample)
		for len(out) < maxSample {
			if i := rng.IntN(len(nodes)); !seen[i] {
				seen[i] = true
				out = append(out, nodes[i])
			}
		}
		return out
	}
	for _, i := range rng.Perm(len(nodes))[:maxSample] {
		out = append(out, nodes[i])
	}
	return out
}

// CanTake tells whether the node has room for one more task of a job, which needs that
// much, and the job allows it, given the zones of its other tasks.
func (n *Node) CanTake(j *wire.Job, need resources.Vector, zones placement.ZoneCounts) bool {
	return placement.Allowed(j, n.MachineType.Name, n.Zone, n.Spot) && zones.Allows(j, n.Zone) && n.hasCapacityFor(j, need)
}

// hasCapacityFor tells whether one more task of a job fits into what the node has free for it.
func (n *Node) hasCapacityFor(j *wire.Job, need resources.Vector) bool {
	used := n.Used
	if !j.IsService() && j.Priority < wire.PriorityHigh {
		used = used.Plus(n.Reserved, 1)
	}
	return used.Plus(need, 1).Fits(resources.OfMachineType(n.MachineType))
}

// ZoneOffers tells how many machine types can be rented in a zone, as a share of
// the zone that offers most.
type ZoneOffers map[wire.Zone]float64

// PickNode returns the node with room that suits a task of the job best, or nil.
// Urgent work goes where its image is; the rest packs machines that are in
// use already, and spot machines before ordinary ones.
func PickNode(j *wire.Job, zones placement.ZoneCounts, offers ZoneOffers, nodes []*Node) *Node {
	var best *Node
	bestScore := math.Inf(1)
	need := resources.OfTask(j)
	for _, n := range nodes {
		if !n.CanTake(j, need, zones) {
			continue
		}
		if s := score(j, zones, offers, n, resources.OfMachineType(n.MachineType)); s < bestScore {
			best, bestScore = n, s
		}
	}
	return best
}

// score orders the nodes that have room; the lowest is best. Its parts are
// shares of one machine.
func score(j *wire.Job, zones placement.ZoneCounts, offers ZoneOffers, n *Node, limit resources.Vector) float64 {
	s := 1 - n.Used.Share(limit)
	if !n.HasImage(j.Image) {
		if j.Priority >= wire.PriorityHigh {
			s += 4
		} else {
			s += 0.3
		}
	}
	if j.AllowSpot && !n.Spot {
		s += 2 // keep ordinary machines for those that need them
	}
	if !n.Spot && !(j.SpreadZones && j.TaskCount > 1) {
		// Room in a zone with few types to rent is for those that must go there.
		s += 6 * (1 - offers[n.Zone])
	}
	if j.SpreadZones {
		s += 8 * float64(zones[n.Zone]) / float64(j.TaskCount)
	}
	if n.NeedsOwnWrite {
		s += 0.25
	}
	return s
}
