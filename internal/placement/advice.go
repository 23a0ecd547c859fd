package placement

import (
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Advice guides placement while zones recover. It only restricts or orders the choice of nodes:
// placement constraints and the preconditions of transactions apply as usual.
type Advice interface {
	// Admits reports whether a node may take a task of a job.
	Admits(n *Node, job *wire.Job) bool
	// IsFallback reports whether a node may take a task that finds no capacity elsewhere.
	IsFallback(n *Node, job *wire.Job) bool
	// PreferredNodes returns nodes with capacity for the pending replicas of a service.
	PreferredNodes(service wire.JobID) []*Node
	// RecoveryOrder returns a service's position in the order in which services are restored.
	RecoveryOrder(service wire.JobID) int
	// ReservedCapacity returns the capacity to reserve for replicas that may soon have to be
	// placed again.
	ReservedCapacity() map[*Node]resources.Vector
}
