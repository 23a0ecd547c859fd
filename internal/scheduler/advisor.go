package scheduler

import (
	"time"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Advisor advises each scheduling cycle on placement while zones recover.
type Advisor interface {
	// Advise returns nil when no zone is recovering.
	Advise(now time.Time, cluster placement.ClusterState) placement.Advice
}

// advisory holds the advice that scheduling cycles follow.
type advisory struct {
	advisor       Advisor           // nil: recovering zones are treated like any other
	current       placement.Advice  // given for the last cycle; nil: no zone is recovering
	reservedNodes []*placement.Node // nodes with reserved capacity
}

// consult gets new advice from the advisor, and replaces the reservations on nodes accordingly.
func (a *advisory) consult(now time.Time, cluster placement.ClusterState) {
	a.current = a.advisor.Advise(now, cluster)
	for _, n := range a.reservedNodes {
		n.Reserved = resources.Vector{}
	}
	a.reservedNodes = a.reservedNodes[:0]
	if a.current == nil {
		return
	}
	for n, reserved := range a.current.ReservedCapacity() {
		n.Reserved = reserved
		a.reservedNodes = append(a.reservedNodes, n)
	}
}

// admits reports whether the current advice, if any, lets a node take a task of a job.
func (a *advisory) admits(n *placement.Node, job *wire.Job) bool {
	return a.current == nil || a.current.Admits(n, job)
}

// appliesTo reports whether there is advice on the placement of a job, which must be a service.
func (a *advisory) appliesTo(job *wire.Job) bool { return a.current != nil && job.IsService() }

// clusterState returns the current state of the cluster for an advisor.
func (s *schedulingState) clusterState() placement.ClusterState {
	return placement.ClusterState{View: s.view, ActiveJobs: s.jobs.active, Nodes: s.nodes.all, Usage: s.nodes.usage, TeamQuota: s.teamQuota}
}

// consultAdvisor updates the advice for this scheduling cycle, if there is an advisor.
func (s *schedulingState) consultAdvisor(now time.Time) {
	if s.advice.advisor != nil {
		s.advice.consult(now, s.clusterState())
	}
}
