package placement

import (
	"cmp"
	"maps"
	"slices"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// maxMoveTargetSearches limits the search for a replica to move: a target is looked for only for
// this many replicas.
const maxMoveTargetSearches = 16

// replicaMove is a replica that would make room for another task if it were moved.
type replicaMove struct {
	node  *Node
	index int // into node.Tasks
}

func (m *replicaMove) task() *RunningTask { return &m.node.Tasks[m.index] }

// MayMoveReplicasFor reports whether replicas may be moved to make room for a job: only for a
// service whose zones are constrained.
func MayMoveReplicasFor(job *wire.Job) bool {
	return job.IsService() && (job.Zone != "" || job.SpreadZones || job.SingleZone)
}

// FindReplicaToMove finds a replica to move to another zone, where there is capacity for it, to
// make room for a task that must run in the zone it leaves; nil if there is none. The replica is to
// be stopped and placed again; the capacity on its target is claimed for it.
func FindReplicaToMove(job *wire.Job, zones ZoneCounts, nodes []*Node) *Victims {
	if !MayMoveReplicasFor(job) {
		return nil
	}
	targets := slices.DeleteFunc(slices.Clone(nodes), func(n *Node) bool { return !n.hasFreeCapacity() })
	if len(targets) == 0 {
		return nil
	}
	moves := replicaMoves(job, zones, nodes)
	moves = moves[:min(len(moves), maxMoveTargetSearches)]
	if victims := claimFirstMove(moves, targets, true); victims != nil {
		return victims
	}
	return claimFirstMove(moves, targets, false)
}

// claimFirstMove returns the first of the moves that has a target, and claims capacity there; nil
// if none has. With requireImage, only nodes that have the replica's image can be targets.
func claimFirstMove(moves []replicaMove, targets []*Node, requireImage bool) *Victims {
	for i := range moves {
		move := &moves[i]
		target := move.findTarget(targets, requireImage)
		if target == nil {
			continue
		}
		spec := move.task().Job
		target.Claims = append(target.Claims, Claim{Service: spec.ID, Need: resources.OfTask(spec)})
		return &Victims{Node: move.node, Tasks: []int{move.index}, Target: target}
	}
	return nil
}

// ReleaseClaim removes the claim of the move on its target. It must be the last claim made there.
func (v *Victims) ReleaseClaim() {
	last := len(v.Target.Claims) - 1
	v.Target.Claims = v.Target.Claims[:last]
}

// replicaMoves returns the replicas on nodes that would make room for a task of a job if they were
// moved, whether or not there is a target. Those whose service suffers least from the move come
// first: of the lowest priority, then of the service with the most replicas.
func replicaMoves(job *wire.Job, zones ZoneCounts, nodes []*Node) []replicaMove {
	var moves []replicaMove
	need := resources.OfTask(job)
	for _, n := range nodes {
		if !n.AllowedFor(job) || !zones.Allows(job, n.Zone) {
			continue
		}
		used := n.usedWithClaims(job).AddScaled(need, 1)
		for i := range n.Tasks {
			t := &n.Tasks[i]
			if t.isMovable() && used.AddScaled(resources.OfTask(t.Job), -1).Fits(n.capacity()) {
				moves = append(moves, replicaMove{n, i})
			}
		}
	}
	slices.SortStableFunc(moves, func(a, b replicaMove) int {
		first, second := a.task().Job, b.task().Job
		return cmp.Or(cmp.Compare(first.Priority, second.Priority), cmp.Compare(second.TaskCount, first.TaskCount))
	})
	return moves
}

// isMovable reports whether a task is a replica that may run in another zone, loses no progress by
// a restart, and whose service keeps all its other replicas running meanwhile.
func (t *RunningTask) isMovable() bool {
	if t.Job == nil || t.Stopping || !t.Job.IsService() || t.Job.Zone != "" || t.Job.CheckpointInterval > 0 {
		return false
	}
	if t.Service == nil {
		return t.Job.TaskCount == 1 // a single replica has no others whose zones matter
	}
	return !t.Service.Immovable
}

// findTarget returns the best of the targets in other zones that can take the replica, given the
// zones of its service's other replicas; nil if there is none. With requireImage, targets must have
// the replica's image.
func (m *replicaMove) findTarget(targets []*Node, requireImage bool) *Node {
	t := m.task()
	zones := ZoneCounts{}
	if t.Service != nil {
		maps.Copy(zones, t.Service.Zones)
		zones[m.node.Zone]--
	}
	elsewhere := slices.DeleteFunc(slices.Clone(targets), func(n *Node) bool {
		return n.Zone == m.node.Zone || requireImage && !n.HasImage(t.Job.Image)
	})
	return PickNode(t.Job, zones, ZoneOffers{}, elsewhere)
}
