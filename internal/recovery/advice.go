package recovery

import (
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// advice implements placement.Advice. It is immutable once Advise has returned it.
type advice struct {
	admissions map[wire.Zone]*Admission
	preferred  map[wire.JobID][]*placement.Node
	reserved   map[*placement.Node]resources.Vector
	order      map[wire.JobID]int // index in recovery order
}

// newAdvice returns advice for services, which must be in recovery order. It has no preferred
// nodes or reservations until a plan is applied.
func newAdvice(admissions map[wire.Zone]*Admission, services []*Service) *advice {
	a := &advice{
		admissions: admissions,
		preferred:  map[wire.JobID][]*placement.Node{},
		reserved:   map[*placement.Node]resources.Vector{},
		order:      map[wire.JobID]int{},
	}
	for i, service := range services {
		a.order[service.Job.ID] = i
	}
	return a
}

// applyPlan makes a plan's nodes preferred for pending replicas, and reserves capacity on them
// for replicas at risk.
func (a *advice) applyPlan(plan Plan) {
	for _, p := range plan.Placements {
		if p.AtRisk {
			a.reserved[p.Node] = a.reserved[p.Node].AddScaled(resources.OfTask(p.Service.Job), 1)
			continue
		}
		id := p.Service.Job.ID
		a.preferred[id] = append(a.preferred[id], p.Node)
	}
}

// Admits reports whether a node accepts tasks of a job.
func (a *advice) Admits(n *placement.Node, job *wire.Job) bool { return a.admits(n, job.IsService()) }

func (a *advice) admits(n *placement.Node, service bool) bool {
	admission := a.admissions[n.Zone]
	return admission == nil || admission.admits(n.Name, service)
}

// IsFallback reports whether a node may take a replica that finds no capacity on admitted nodes:
// any node that is not admitted may, if it is reachable. Otherwise the admission steps of a
// returning zone could leave a service short of replicas.
func (a *advice) IsFallback(n *placement.Node, job *wire.Job) bool {
	return job.IsService() && !a.admits(n, true)
}

// PreferredNodes returns nodes with capacity for the pending replicas of a service.
func (a *advice) PreferredNodes(service wire.JobID) []*placement.Node { return a.preferred[service] }

// RecoveryOrder returns a service's index in recovery order; a service that became affected
// after the advice was computed comes last.
func (a *advice) RecoveryOrder(service wire.JobID) int {
	if i, known := a.order[service]; known {
		return i
	}
	return len(a.order)
}

// ReservedCapacity returns the capacity reserved for replicas at risk, by node.
func (a *advice) ReservedCapacity() map[*placement.Node]resources.Vector { return a.reserved }
