package placement

import (
	"time"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// RunningTask is a task bound to a node, with the facts that preemption considers.
type RunningTask struct {
	Job                  *wire.Job // nil if its job is unknown
	TaskIndex            int
	Attempt              uint64
	Stopping             bool          // a stop has been decided
	WithinGuarantee      bool          // its job and the team's earlier ones fit the team's guarantee
	JobHasNoPendingTasks bool          // stopping this task delays its job
	BoundSince           time.Time     // when it was first observed to be bound
	RuntimeSoFar         time.Duration // since BoundSince
	Service              *ReplicaSet   // of a replica: the state of its service; nil if unknown
}

// ReplicaSet is the state of a service that the choice of victims considers. All replicas of the
// service share it.
type ReplicaSet struct {
	Zones ZoneCounts // bound replicas by zone, including those that are stopping
	// Running is the number of replicas on schedulable machines that are not being stopped or
	// terminated.
	Running int
	// Immovable reports whether no replica may be stopped to be moved: for example, because another
	// one is pending, stopping, or on a machine that is about to be removed.
	Immovable bool
}

// Claim reserves capacity of a node for a replica that is being moved there.
type Claim struct {
	Service wire.JobID
	Need    resources.Vector
}

// Node is a machine that tasks may be placed on.
type Node struct {
	Name        wire.MachineID
	Group       string // machine group whose record holds its bindings
	MachineType *wire.MachineType
	Zone        wire.Zone
	Spot        bool
	Schedulable bool             // tasks may be bound to it
	RecordFull  bool             // the store has no room for one more task on it, however its group is split
	Used        resources.Vector // by the tasks, except those stopped without a grace period
	Tasks       []RunningTask
	HasImage    func(image string) bool
	// Reserved is capacity for replicas that may soon have to be placed again. Arrays below
	// priority high must not use it.
	Reserved resources.Vector
	// Claims reserve capacity for replicas that are being moved to the node. Tasks of other jobs
	// must not use it.
	Claims []Claim
	// NeedsOwnWrite reports whether the scheduling cycle does not write the node's group otherwise.
	// Such nodes are worse candidates, since a transaction can write only a few groups.
	NeedsOwnWrite bool
	// Ordinal is the node's position among all nodes. Candidates are sorted by it, whichever index
	// they come from, so that ties between scores are resolved deterministically. It is a field of
	// the node because this sorting is on the scheduler's hot path.
	Ordinal int
}

// FindTask returns a task on the node, or nil.
func (n *Node) FindTask(job wire.JobID, index int) *RunningTask {
	for i := range n.Tasks {
		if task := &n.Tasks[i]; task.TaskIndex == index && task.Job != nil && task.Job.ID == job {
			return task
		}
	}
	return nil
}

// HasCapacity reports whether tasks may be bound to the node, it has CPUs and memory left, and the
// store has room for one more task on it.
func (n *Node) HasCapacity() bool {
	return n.Schedulable && !n.RecordFull && n.hasFreeCapacity()
}

// hasFreeCapacity reports whether the node has CPUs and memory left.
func (n *Node) hasFreeCapacity() bool {
	return n.Used.CPUs < n.MachineType.CPUs-resources.RoundingTolerance &&
		(n.MachineType.MemoryGB == 0 || n.Used.MemoryGB < n.MachineType.MemoryGB-resources.RoundingTolerance)
}

// CanTake reports whether one more task of a job, which needs the given resources, may run on the
// node: the job's constraints allow it, given the zones of its other tasks, and there is capacity.
func (n *Node) CanTake(job *wire.Job, need resources.Vector, zones ZoneCounts) bool {
	return n.AllowedFor(job) && zones.Allows(job, n.Zone) && n.HasCapacityFor(job, need)
}

// AllowedFor reports whether a job's constraints allow the node, regardless of its free capacity.
func (n *Node) AllowedFor(job *wire.Job) bool {
	return Allowed(job, n.MachineType.Name, n.Zone, n.Spot)
}

// HasCapacityFor reports whether one more task of a job fits into the capacity that is free for it.
func (n *Node) HasCapacityFor(job *wire.Job, need resources.Vector) bool {
	used := n.usedWithClaims(job)
	if !job.IsService() && job.Priority < wire.PriorityHigh {
		used = used.AddScaled(n.Reserved, 1)
	}
	return used.AddScaled(need, 1).Fits(n.capacity())
}

// usedWithClaims returns what is used of the node, plus what is claimed for jobs other than job.
func (n *Node) usedWithClaims(job *wire.Job) resources.Vector {
	used := n.Used
	for _, claim := range n.Claims {
		if claim.Service != job.ID {
			used = used.AddScaled(claim.Need, 1)
		}
	}
	return used
}

// capacity returns the total resources of the node.
func (n *Node) capacity() resources.Vector { return resources.OfMachineType(n.MachineType) }
