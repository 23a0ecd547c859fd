package recovery

import (
	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Input is what a plan is computed from.
type Input struct {
	Services []*Service // in recovery order
	// Nodes are the nodes that may take replicas.
	Nodes []*placement.Node
	// Fallback are nodes of lost zones that are still reachable. They take only what
	// finds no capacity on Nodes.
	Fallback  []*placement.Node
	Usage     resources.Usage
	TeamQuota func(name wire.TeamName) config.TeamQuota
}

// Placement is one replica and a node with capacity for it.
type Placement struct {
	Service *Service
	Node    *placement.Node
	// AtRisk: the replica is bound to an unreachable machine; the capacity is for the
	// time at which it is proved terminated.
	AtRisk bool
}

// Shortfall is the replicas of a service for which a plan finds no capacity.
type Shortfall struct {
	Service *Service
	Count   int
	Cause   Cause
}

// Cause is why a replica finds no capacity, as the status page shows it.
type Cause string

// Causes, the least specific last.
const (
	CauseNoMachine      Cause = "no machine of an allowed kind is up"
	CauseZoneConstraint Cause = "the zones that its other replicas leave it have no machine up"
	CauseTeamQuota      Cause = "its team's limit is reached"
	CauseNoCapacity     Cause = "all allowed machines are full"
	CausePlanLimit      Cause = "others come first; it follows in the next plan"
)

// Plan is an order and a preference, no more: the scheduler decides by its preconditions.
type Plan struct {
	Placements []Placement
	Shortfalls []Shortfall
	// Solved tells that first-fit in recovery order left replicas without capacity, for which
	// the solver then found some.
	Solved bool
}

// maxPlannedReplicas bounds the replicas of one plan. Those beyond follow in the next.
const maxPlannedReplicas = 2048

// Compute finds capacity for the replicas of services. It takes them in their order, each
// where it fits first; only if that leaves some without capacity does the solver look for
// a better distribution.
func Compute(in Input) Plan {
	firstFit := newBinPacker(&in, nil)
	firstFit.pack()
	if firstFit.displaced == 0 {
		return firstFit.plan
	}
	allocation := solve(&in)
	if allocation == nil {
		return firstFit.plan
	}
	guided := newBinPacker(&in, allocation)
	guided.pack()
	if guided.value <= firstFit.value {
		return firstFit.plan
	}
	guided.plan.Solved = true
	return guided.plan
}
