package recovery

import (
	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Input is what a plan looks at.
type Input struct {
	Services []*Service // in order
	// Nodes are the machines that may take replicas.
	Nodes []*placement.Node
	// LastResort are machines of lost zones that are still heard. They take only what
	// has no room on Nodes.
	LastResort []*placement.Node
	Usage      resources.Usage
	TeamQuota  func(name wire.TeamName) config.TeamQuota
}

// Placement is one replica and a machine with room for it.
type Placement struct {
	Service *Service
	Node    *placement.Node
	// AtRisk: the replica is bound to a machine that nobody hears; the room is for the
	// time at which it is proved gone.
	AtRisk bool
}

// Shortfall is the replicas of a service that a plan finds no room for.
type Shortfall struct {
	Service *Service
	Count   int
	Cause   Cause
}

// Plan is an order and a preference, no more: who places decides by its guards.
type Plan struct {
	Placements []Placement
	Shortfalls []Shortfall
	// Solved tells that the order alone left replicas without room which the solver
	// then found.
	Solved bool
}

// maxReplicas bounds the replicas of one plan. Those beyond follow in the next.
const maxReplicas = 2048

// Compute finds room for the replicas of services. It takes them in their order, each
// where it fits first; only if that leaves some without room does the solver look for
// a better distribution.
func Compute(in Input) Plan {
	first := newAssigner(&in, nil)
	first.run()
	if first.blocked == 0 {
		return first.plan
	}
	shares := solve(&in)
	if shares == nil {
		return first.plan
	}
	second := newAssigner(&in, shares)
	second.run()
	if second.value <= first.value {
		return first.plan
	}
	second.plan.Solved = true
	return second.plan
}
