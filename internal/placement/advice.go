package placement

import (
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Advice is what a recovery asks of placing. It only narrows or orders the choice: what may be
// bound where is decided by the rules and the preconditions as ever.
type Advice interface {
	// Admits tells whether a node may take a task of a job.
	Admits(n *Node, job *wire.Job) bool
	// IsFallback tells whether a node may take a task that finds no capacity elsewhere.
	IsFallback(n *Node, job *wire.Job) bool
	// PreferredNodes are nodes with capacity for the pending replicas of a service.
	PreferredNodes(service wire.JobID) []*Node
	// RecoveryOrder is a service's place in the order in which services are made whole.
	RecoveryOrder(service wire.JobID) int
	// ReservedCapacity is what is kept for replicas that are about to be placed anew.
	ReservedCapacity() map[*Node]resources.Vector
}
