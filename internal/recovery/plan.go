package recovery

import (
	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Input is the services and the capacity that a plan is computed from.
type Input struct {
	Services []*Service // in recovery order
	// Nodes are the nodes that accept replicas.
	Nodes []*placement.Node
	// Fallback are schedulable nodes of recovering zones that are not admitted. They take only
	// replicas that find no capacity on Nodes.
	Fallback  []*placement.Node
	Usage     resources.Usage
	TeamQuota func(name wire.TeamName) config.TeamQuota
}

// Placement assigns one replica to a node with capacity for it.
type Placement struct {
	Service *Service
	Node    *placement.Node
	// AtRisk reports whether the replica is at risk (see Service.AtRisk), and so still bound to
	// another machine. The node's capacity is needed once the replica is proved terminated.
	AtRisk bool
}

// Shortfall counts the replicas of a service for which a plan finds no capacity.
type Shortfall struct {
	Service *Service
	Count   int
	Cause   Cause
}

// Cause is the reason why a replica finds no capacity. The zone status shows its text unchanged.
type Cause string

// Causes of a shortfall, the least specific last.
const (
	CauseNoMachine      Cause = "no machine of an allowed kind is up"
	CauseZoneConstraint Cause = "the zones that its other replicas leave it have no machine up"
	CauseTeamQuota      Cause = "its team's limit is reached"
	CauseNoCapacity     Cause = "all allowed machines are full"
	CausePlanLimit      Cause = "others come first; it follows in the next plan"
)

// Plan is the result of Compute. It is only a recommendation: the scheduler decides, under its own
// preconditions.
type Plan struct {
	Placements []Placement
	Shortfalls []Shortfall
	// ImprovedBySolver reports whether first-fit in recovery order left replicas without capacity
	// and the plan from the solver's allocation has a higher total weight.
	ImprovedBySolver bool
}

// maxPlannedReplicas bounds the replicas considered by one plan. The rest follow in later plans.
const maxPlannedReplicas = 2048

// Compute finds capacity for the pending and at-risk replicas of services. It places them by
// first-fit in recovery order, and uses the solver only if replicas placed earlier have taken
// the capacity that a later one needs.
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
	solverGuided := newBinPacker(&in, allocation)
	solverGuided.pack()
	if solverGuided.value <= firstFit.value {
		return firstFit.plan
	}
	solverGuided.plan.ImprovedBySolver = true
	return solverGuided.plan
}
