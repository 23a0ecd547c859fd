package place

import (
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Advisor is asked before each round how to place while zones recover.
type Advisor interface {
	// Advise returns nil when there is nothing to take care of.
	Advise(now time.Time, cluster Cluster) Advice
}

// Cluster is what an advisor looks at. It belongs to the placer.
type Cluster struct {
	View   *statecache.View
	Active map[string]*statecache.Job
	Nodes  []*Node
	Usage  Usage
	Team   func(name string) config.TeamQuota
}

// Advice is what a recovery asks of placing. It only narrows or orders the choice: what
// may be bound where is decided by the rules and the guards as ever.
type Advice interface {
	// Admits tells whether a machine may take a task of a job.
	Admits(n *Node, j *wire.Job) bool
	// LastResort tells whether a machine may take a task that has no room elsewhere.
	LastResort(n *Node, j *wire.Job) bool
	// Preferred are machines with room for the waiting replicas of a service.
	Preferred(service string) []*Node
	// Position is a service's place in the order in which services are made whole.
	Position(service string) int
	// Reserved is the room kept for replicas that are about to be placed anew.
	Reserved() map[*Node]Resources
}

// AskBeforeRounds sets the advisor. To be called before the ledger runs.
func (p *Placer) AskBeforeRounds(a Advisor) { p.advisor = a }

// advise asks for advice, and marks the room that is reserved.
func (p *Placer) advise(now time.Time) {
	if p.advisor == nil {
		return
	}
	p.advice = p.advisor.Advise(now, p.cluster())
	for _, n := range p.reserved {
		n.Reserved = Resources{}
	}
	p.reserved = p.reserved[:0]
	if p.advice == nil {
		return
	}
	for n, room := range p.advice.Reserved() {
		n.Reserved = room
		p.reserved = append(p.reserved, n)
	}
}

// admitted tells whether a machine may take a task of a job as far as advice goes.
func (p *Placer) admitted(n *Node, j *wire.Job) bool { return p.advice == nil || p.advice.Admits(n, j) }

// withPreferred adds the machines that are preferred for a service to a sample.
func (p *Placer) withPreferred(r *round, list []*Node, j *wire.Job, usable func(*Node) bool) []*Node {
	if p.advice == nil || !j.IsService() {
		return list
	}
	known := make(map[*Node]bool, len(list))
	for _, n := range list {
		known[n] = true
	}
	for _, n := range p.advice.Preferred(j.ID) {
		written := r.drafts[n.Group] != nil
		if known[n] || p.nodes[n.Name] != n || !usable(n) || r.full() && !written {
			continue
		}
		known[n] = true
		n.NeedsOwnWrite = !written
		list = append(list, n)
	}
	return list
}

// zonesInRound counts a job's bound tasks by zone. While zones recover, replicas that the
// round proves gone count no more: the room that they leave is for the service itself
// before it is for arrays.
func (p *Placer) zonesInRound(r *round, job string) Zones {
	zones := ZonesOf(p.view, job)
	if j := p.active[job]; p.advice == nil || j == nil || !j.Spec.IsService() {
		return zones
	}
	for n, name := range p.view.Bindings[job] {
		row := p.view.Machines[name]
		if d := r.drafts[row.Group]; d != nil && !d.binds(name, job, n) {
			zones[row.Zone]--
		}
	}
	return zones
}

// binds tells whether the group's next record still binds a task to a machine.
func (d *draft) binds(machine, job string, n int) bool {
	return slices.ContainsFunc(d.Machines, func(m *statecache.Machine) bool {
		return m.Name == machine && m.FindBinding(job, n) != nil
	})
}

// lastResort are machines for a task that has no room where it should go.
func (p *Placer) lastResort(r *round, j *wire.Job) []*Node {
	if p.advice == nil || !j.IsService() {
		return nil
	}
	var list []*Node
	add := func(n *Node) {
		if p.advice.LastResort(n, j) && p.takes(r, n, j) {
			list = append(list, n)
		}
	}
	for _, n := range p.near(r) {
		add(n)
	}
	if r.full() {
		return list
	}
	for _, n := range p.roomy {
		if r.drafts[n.Group] == nil {
			add(n)
		}
	}
	return Sample(list, p.rng)
}

// WithCluster runs a function in the placer's actor that looks at all that is placed;
// false if the placer is too busy.
func (p *Placer) WithCluster(f func(Cluster)) bool { return p.Post(func() { f(p.cluster()) }) }

func (p *Placer) cluster() Cluster {
	return Cluster{View: p.view, Active: p.active, Nodes: p.all, Usage: p.tally, Team: p.team}
}
