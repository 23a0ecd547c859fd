package scheduler

import (
	"time"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Advisor is asked before each scheduling cycle how to place while zones recover.
type Advisor interface {
	// Advise returns nil when there is nothing to take care of.
	Advise(now time.Time, cluster placement.ClusterState) placement.Advice
}

// advisory is the advice that a scheduling cycle follows.
type advisory struct {
	advisor       Advisor           // nil: zones that recover are treated like any other
	current       placement.Advice  // of the last cycle; nil: no zone recovers
	reservedNodes []*placement.Node // those with reserved capacity
}

// consult asks the advisor, and reserves capacity on nodes by its advice.
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

// admits tells whether a node may take a task of a job as far as advice goes.
func (a *advisory) admits(n *placement.Node, job *wire.Job) bool {
	return a.current == nil || a.current.Admits(n, job)
}

// appliesTo tells whether advice concerns the placing of a job.
func (a *advisory) appliesTo(job *wire.Job) bool { return a.current != nil && job.IsService() }

// clusterState is what an advisor looks at now.
func (s *schedulingState) clusterState() placement.ClusterState {
	return placement.ClusterState{View: s.view, ActiveJobs: s.jobs.active, Nodes: s.nodes.all, Usage: s.nodes.usage, TeamQuota: s.teamQuota}
}

// consultAdvisor asks the advisor, if there is one, how to place in this scheduling cycle.
func (s *schedulingState) consultAdvisor(now time.Time) {
	if s.advice.advisor != nil {
		s.advice.consult(now, s.clusterState())
	}
}
