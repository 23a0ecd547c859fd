package placement

import (
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Obstacles counts nodes by the reason why they cannot take a task.
type Obstacles struct {
	NotAllowed      int // excluded by the job's machine types, zone or lack of AllowSpot
	Unavailable     int // unschedulable, avoided after failures, not admitted while zones recover, or with a full record
	ZoneExcluded    int // excluded by the zones of the job's other tasks
	Full            int // without capacity for the task
	Free            int // none: the node can take the task now
	MovableReplicas int // replicas on full nodes that would make room if they were moved
}

// FindObstacles classifies the nodes by why they cannot take a task of a job. isAvailable reports
// whether a node currently takes tasks of the job at all.
func FindObstacles(job *wire.Job, zones ZoneCounts, nodes []*Node, isAvailable func(*Node) bool) Obstacles {
	var found Obstacles
	var full []*Node
	need := resources.OfTask(job)
	for _, n := range nodes {
		switch {
		case !n.AllowedFor(job):
			found.NotAllowed++
		case !isAvailable(n):
			found.Unavailable++
		case !zones.Allows(job, n.Zone):
			found.ZoneExcluded++
		case !n.HasCapacityFor(job, need):
			found.Full++
			full = append(full, n)
		default:
			found.Free++
		}
	}
	found.MovableReplicas = len(replicaMoves(job, zones, full))
	return found
}
