package scheduler

import (
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Advisor is asked before each round how to place while zones recover.
type Advisor interface {
	// Advise returns nil when there is nothing to take care of.
	Advise(now time.Time, cluster ClusterState) Advice
}

// ClusterState is what an advisor looks at. It belongs to the placer.
type ClusterState struct {
	View       *statecache.View
	ActiveJobs map[wire.JobID]*statecache.Job
	Nodes      []*Node
	Usage      resources.Usage
	TeamQuota  func(name wire.TeamName) config.TeamQuota
}

// Advice is what a recovery asks of placing. It only narrows or orders the choice: what
// may be bound where is decided by the rules and the guards as ever.
type Advice interface {
	// Admits tells whether a machine may take a task of a job.
	Admits(n *Node, j *wire.Job) bool
	// LastResort tells whether a machine may take a task that has no room elsewhere.
	IsFallback(n *Node, j *wire.Job) bool
	// Preferred are machines with room for the waiting replicas of a service.
	PreferredNodes(service wire.JobID) []*Node
	// Position is a service's place in the order in which services are made whole.
	RecoveryOrder(service wire.JobID) int
	// Reserved is the room kept for replicas that are about to be placed anew.
	ReservedCapacity() map[*Node]resources.Vector
}

// SetAdvisor sets the advisor. To be called before the ledger runs.
func (p *Scheduler) SetAdvisor(a Advisor) { p.advisor = a }

// consultAdvisor asks for advice, and marks the room that is reserved.
func (p *Scheduler) consultAdvisor(now time.Time) {
	if p.advisor == nil {
		return
	}
	p.advice = p.advisor.Advise(now, p.clusterState())
	for _, n := range p.nodesWithReservation {
		n.Reserved = resources.Vector{}
	}
	p.nodesWithReservation = p.nodesWithReservation[:0]
	if p.advice == nil {
		return
	}
	for n, room := range p.advice.ReservedCapacity() {
		n.Reserved = room
		p.nodesWithReservation = append(p.nodesWithReservation, n)
	}
}

// advisorAdmits tells whether a machine may take a task of a job as far as advice goes.
func (p *Scheduler) advisorAdmits(n *Node, j *wire.Job) bool {
	return p.advice == nil || p.advice.Admits(n, j)
}

// withPreferred adds the machines that are preferred for a service to a sample.
func (p *Scheduler) withPreferred(r *cycle, list []*Node, j *wire.Job, usable func(*Node) bool) []*Node {
	if p.advice == nil || !j.IsService() {
		return list
	}
	known := make(map[*Node]bool, len(list))
	for _, n := range list {
		known[n] = true
	}
	for _, n := range p.advice.PreferredNodes(j.ID) {
		written := r.groupUpdates[n.Group] != nil
		if known[n] || p.nodes[n.Name] != n || !usable(n) || r.isFull() && !written {
			continue
		}
		known[n] = true
		n.NeedsOwnWrite = !written
		list = append(list, n)
	}
	return list
}

// zoneCountsInCycle counts a job's bound tasks by zone. While zones recover, replicas that the
// round proves gone count no more: the room that they leave is for the service itself
// before it is for arrays.
func (p *Scheduler) zoneCountsInCycle(r *cycle, job wire.JobID) placement.ZoneCounts {
	zones := placement.ZoneCountsOf(p.view, job)
	if j := p.activeJobs[job]; p.advice == nil || j == nil || !j.Spec.IsService() {
		return zones
	}
	for n, name := range p.view.Bindings[job] {
		row := p.view.Machines[name]
		if d := r.groupUpdates[row.Group]; d != nil && !d.hasBinding(name, job, n) {
			zones[row.Zone]--
		}
	}
	return zones
}

// hasBinding tells whether the group's next record still binds a task to a machine.
func (d *groupUpdate) hasBinding(machine wire.MachineID, job wire.JobID, n int) bool {
	return slices.ContainsFunc(d.Machines, func(m *statecache.Machine) bool {
		return m.Name == machine && m.FindBinding(job, n) != nil
	})
}

// fallbackNodes are machines for a task that has no room where it should go.
func (p *Scheduler) fallbackNodes(r *cycle, j *wire.Job) []*Node {
	if p.advice == nil || !j.IsService() {
		return nil
	}
	var list []*Node
	add := func(n *Node) {
		if p.advice.IsFallback(n, j) && p.canHost(r, n, j) {
			list = append(list, n)
		}
	}
	for _, n := range p.nodesInUpdatedGroups(r) {
		add(n)
	}
	if r.isFull() {
		return list
	}
	for _, n := range p.nodesWithCapacity {
		if r.groupUpdates[n.Group] == nil {
			add(n)
		}
	}
	return Sample(list, p.rng)
}

// WithClusterState runs a function in the placer's actor that looks at all that is placed;
// false if the placer is too busy.
func (p *Scheduler) WithClusterState(f func(ClusterState)) bool {
	return p.Post(func() { f(p.clusterState()) })
}

func (p *Scheduler) clusterState() ClusterState {
	return ClusterState{View: p.view, ActiveJobs: p.activeJobs, Nodes: p.allNodes, Usage: p.usage, TeamQuota: p.teamQuota}
}
