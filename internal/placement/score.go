package placement

import (
	"math"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// ZoneOffers tells how many machine types can be provisioned in a zone, as a share of the
// zone that offers most.
type ZoneOffers map[wire.Zone]float64

// PickNode returns the node with capacity that suits a task of the job best, or nil. Urgent
// work goes where its image is; the rest packs machines that are in use already, and spot
// machines before on-demand ones.
func PickNode(job *wire.Job, zones ZoneCounts, offers ZoneOffers, nodes []*Node) *Node {
	var best *Node
	bestScore := math.Inf(1)
	need := resources.OfTask(job)
	for _, n := range nodes {
		if !n.CanTake(job, need, zones) {
			continue
		}
		if s := score(job, zones, offers, n); s < bestScore {
			best, bestScore = n, s
		}
	}
	return best
}

// score orders the nodes that have capacity; the lowest is best. Its parts are shares of one
// machine.
func score(job *wire.Job, zones ZoneCounts, offers ZoneOffers, n *Node) float64 {
	s := 1 - n.Used.Share(n.capacity())
	if !n.HasImage(job.Image) {
		if job.Priority >= wire.PriorityHigh {
			s += 4
		} else {
			s += 0.3
		}
	}
	if job.AllowSpot && !n.Spot {
		s += 2 // keep on-demand machines for those that need them
	}
	if !n.Spot && !(job.SpreadZones && job.TaskCount > 1) {
		// Capacity in a zone that offers few machine types is for those that must go there.
		s += 6 * (1 - offers[n.Zone])
	}
	if job.SpreadZones {
		s += 8 * float64(zones[n.Zone]) / float64(job.TaskCount)
	}
	if n.NeedsOwnWrite {
		s += 0.25
	}
	return s
}
