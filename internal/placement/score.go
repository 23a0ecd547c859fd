package placement

import (
	"math"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// ZoneOffers is the number of machine types offered in each zone, as a share of the largest such
// number.
type ZoneOffers map[wire.Zone]float64

// PickNode returns the best node that can take a task of the job, or nil if none can. Urgent jobs
// prefer nodes that have their image; others are packed onto machines already in use, and onto
// spot machines before on-demand ones.
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

// score rates a node for a task of the job; the lowest is best. The unit of its terms is the share
// of one machine.
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
		s += 2 // keep on-demand machines for jobs that need them
	}
	if !n.Spot && !(job.SpreadZones && job.TaskCount > 1) {
		// Keep capacity in zones that offer few machine types for jobs that must run there.
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
