package scheduler

import (
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Advisor is asked before each scheduling cycle how to place while zones recover.
type Advisor interface {
	// Advise returns nil when there is nothing to take care of.
	Advise(now time.Time, cluster ClusterState) Advice
}

// ClusterState is what an advisor looks at. It belongs to the scheduler's actor: it must
// neither be changed nor kept.
type ClusterState struct {
	View       *statecache.View
	ActiveJobs map[wire.JobID]*statecache.Job
	Nodes      []*placement.Node
	Usage      resources.Usage
	TeamQuota  func(name wire.TeamName) config.TeamQuota
}

// Advice is what a recovery asks of placing. It only narrows or orders the choice: what may be
// bound where is decided by the rules and the preconditions as ever.
type Advice interface {
	// Admits tells whether a node may take a task of a job.
	Admits(n *placement.Node, job *wire.Job) bool
	// IsFallback tells whether a node may take a task that finds no capacity elsewhere.
	IsFallback(n *placement.Node, job *wire.Job) bool
	// PreferredNodes are nodes with capacity for the pending replicas of a service.
	PreferredNodes(service wire.JobID) []*placement.Node
	// RecoveryOrder is a service's place in the order in which services are made whole.
	RecoveryOrder(service wire.JobID) int
	// ReservedCapacity is what is kept for replicas that are about to be placed anew.
	ReservedCapacity() map[*placement.Node]resources.Vector
}

// advisory is the advice that a scheduling cycle follows.
type advisory struct {
	advisor       Advisor           // nil: zones that recover are treated like any other
	current       Advice            // of the last cycle; nil: no zone recovers
	reservedNodes []*placement.Node // those with reserved capacity
}

// consult asks the advisor, and reserves capacity on nodes by its advice.
func (a *advisory) consult(now time.Time, cluster ClusterState) {
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
func (s *schedulingState) clusterState() ClusterState {
	return ClusterState{View: s.view, ActiveJobs: s.jobs.active, Nodes: s.nodes.all, Usage: s.nodes.usage, TeamQuota: s.teamQuota}
}

// consultAdvisor asks the advisor, if there is one, how to place in this scheduling cycle.
func (s *schedulingState) consultAdvisor(now time.Time) {
	if s.advice.advisor != nil {
		s.advice.consult(now, s.clusterState())
	}
}
