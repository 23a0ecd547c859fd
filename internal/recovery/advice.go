package recovery

import (
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// advice is what an Advisor tells. It does not change after it was given.
type advice struct {
	admissions map[wire.Zone]*Admission
	preferred  map[wire.JobID][]*placement.Node
	reserved   map[*placement.Node]resources.Vector
	order      map[wire.JobID]int
}

// newAdvice returns advice on services, which are in recovery order, before their replicas are
// planned.
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

// follow prefers the nodes of a plan for pending replicas, and reserves capacity on them for
// replicas at risk.
func (a *advice) follow(plan Plan) {
	for _, p := range plan.Placements {
		if p.AtRisk {
			a.reserved[p.Node] = a.reserved[p.Node].Plus(resources.OfTask(p.Service.Job), 1)
			continue
		}
		id := p.Service.Job.ID
		a.preferred[id] = append(a.preferred[id], p.Node)
	}
}

// Admits tells whether a node may take a task of a job.
func (a *advice) Admits(n *placement.Node, job *wire.Job) bool { return a.admits(n, job.IsService()) }

func (a *advice) admits(n *placement.Node, service bool) bool {
	admission := a.admissions[n.Zone]
	return admission == nil || admission.admits(n.Name, service)
}

// IsFallback tells whether a node may take a replica that finds no capacity elsewhere: any
// that is reachable, or the steps of a return would leave a service short.
func (a *advice) IsFallback(n *placement.Node, job *wire.Job) bool {
	return job.IsService() && !a.admits(n, true)
}

// PreferredNodes are nodes with capacity for the pending replicas of a service.
func (a *advice) PreferredNodes(service wire.JobID) []*placement.Node { return a.preferred[service] }

// RecoveryOrder is a service's place in the order; one that was not known yet comes last.
func (a *advice) RecoveryOrder(service wire.JobID) int {
	if i, known := a.order[service]; known {
		return i
	}
	return len(a.order)
}

// ReservedCapacity is the capacity kept for replicas that are about to be placed anew.
func (a *advice) ReservedCapacity() map[*placement.Node]resources.Vector { return a.reserved }
