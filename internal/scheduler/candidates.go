package scheduler

import (
	"slices"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// updatedGroupNodes caches the nodes with capacity in groups that the cycle already writes.
type updatedGroupNodes struct {
	nodes  []*placement.Node
	groups int // number of groups in the transaction when the nodes were listed
}

// nodesInUpdatedGroups returns the nodes with capacity in groups that the cycle already writes.
// Some of them gain capacity only by this cycle's changes, so nodeIndex.withCapacity lacks them.
func (c *cycle) nodesInUpdatedGroups() []*placement.Node {
	list := &c.updatedGroups
	if list.groups == len(c.groupUpdates) {
		return list.nodes
	}
	list.nodes, list.groups = list.nodes[:0], len(c.groupUpdates)
	for group, update := range c.groupUpdates {
		for _, rec := range update.Machines {
			if n := c.nodes.node(rec.Name); n != nil && n.Group == group && n.HasCapacity() {
				list.nodes = append(list.nodes, n)
			}
		}
	}
	return list.nodes
}

// candidates returns nodes to choose from for a job: a sample of those in groups that the cycle
// already writes, a sample of all others with capacity while the transaction has room, and the
// job's preferred nodes.
func (c *cycle) candidates(job *wire.Job) []*placement.Node {
	var list []*placement.Node
	usable := func(n *placement.Node) bool { return c.canHost(n, job) && c.advice.admits(n, job) }
	for _, n := range c.nodesInUpdatedGroups() {
		if usable(n) {
			list = append(list, n)
		}
	}
	list = placement.Sample(list, c.rng)
	if !c.isFull() {
		for _, n := range placement.Sample(c.nodes.withCapacity, c.rng) {
			if c.groupUpdates[n.Group] == nil && usable(n) {
				n.NeedsOwnWrite = true
				list = append(list, n)
			}
		}
	}
	list = c.withPreferred(list, job, usable)
	sortByOrdinal(list)
	return list
}

// sortByOrdinal sorts nodes by their position among all nodes.
func sortByOrdinal(nodes []*placement.Node) {
	slices.SortFunc(nodes, func(a, b *placement.Node) int { return a.Ordinal - b.Ordinal })
}

// canHost reports whether a node could take a task of a job, regardless of the zones of the job's
// other tasks and of the room in its group's record.
func (c *cycle) canHost(n *placement.Node, job *wire.Job) bool {
	return n.HasCapacity() && !c.backoff.avoids(n.Name, c.now) && n.AllowedFor(job) && n.HasCapacityFor(job, resources.OfTask(job))
}

// preferredNodes returns the nodes that the advice prefers for a service, and the target node of
// its replica on the move.
func (c *cycle) preferredNodes(job *wire.Job) []*placement.Node {
	var preferred []*placement.Node
	if c.advice.appliesTo(job) {
		preferred = slices.Clip(c.advice.current.PreferredNodes(job.ID))
	}
	if target := c.moveTarget(job.ID); target != nil {
		preferred = append(preferred, target)
	}
	return preferred
}

// withPreferred appends a service's preferred nodes that are usable and not yet in the list.
func (c *cycle) withPreferred(list []*placement.Node, job *wire.Job, usable func(*placement.Node) bool) []*placement.Node {
	preferred := c.preferredNodes(job)
	if len(preferred) == 0 {
		return list
	}
	listed := make(map[*placement.Node]bool, len(list))
	for _, n := range list {
		listed[n] = true
	}
	for _, n := range preferred {
		written := c.groupUpdates[n.Group] != nil
		if listed[n] || c.nodes.node(n.Name) != n || !usable(n) || c.isFull() && !written {
			continue
		}
		listed[n] = true
		n.NeedsOwnWrite = !written
		list = append(list, n)
	}
	return list
}

// fallbackNodes returns a sample of the nodes with capacity that the advice allows for a replica
// that finds none elsewhere; nil if the job is not a service or there is no advice.
func (c *cycle) fallbackNodes(job *wire.Job) []*placement.Node {
	if !c.advice.appliesTo(job) {
		return nil
	}
	var list []*placement.Node
	add := func(n *placement.Node) {
		if c.advice.current.IsFallback(n, job) && c.canHost(n, job) {
			list = append(list, n)
		}
	}
	for _, n := range c.nodesInUpdatedGroups() {
		add(n)
	}
	if !c.isFull() {
		for _, n := range c.nodes.withCapacity {
			if c.groupUpdates[n.Group] == nil {
				add(n)
			}
		}
	}
	list = placement.Sample(list, c.rng)
	sortByOrdinal(list)
	return list
}

// preemptionCandidates returns nodes to preempt tasks on or to move replicas from for a job: those
// of a sample that are schedulable, not avoided, and admitted for the job by the advice. If the
// transaction is full, the sample is of the nodes in groups that are already in it.
func (c *cycle) preemptionCandidates(job *wire.Job) []*placement.Node {
	from := c.nodes.all
	if c.isFull() {
		from = nil
		for _, update := range c.groupUpdates {
			for _, rec := range update.Machines {
				if n := c.nodes.node(rec.Name); n != nil {
					from = append(from, n)
				}
			}
		}
		sortByOrdinal(from)
	}
	list := slices.DeleteFunc(placement.Sample(from, c.rng), func(n *placement.Node) bool {
		return !n.Schedulable || c.backoff.avoids(n.Name, c.now) || !c.advice.admits(n, job)
	})
	c.updateVictimFacts(list)
	return list
}

// zoneCounts counts a job's bound tasks by zone. While zones recover, replicas of a service whose
// termination this cycle writes don't count, so that the service can use the capacity that they
// free before arrays do.
func (c *cycle) zoneCounts(id wire.JobID) placement.ZoneCounts {
	counts := placement.ZoneCountsOf(c.view, id)
	if job := c.jobs.active[id]; job == nil || !c.advice.appliesTo(job.Spec) {
		return counts
	}
	for task, machine := range c.view.Bindings[id] {
		if !c.remainsBound(machine, id, task) {
			counts[c.view.Machines[machine].Zone]--
		}
	}
	return counts
}

// hasBinding reports whether the group's next record still binds a task to a machine.
func (u *groupUpdate) hasBinding(machine wire.MachineID, job wire.JobID, task int) bool {
	return slices.ContainsFunc(u.Machines, func(rec *statecache.Machine) bool {
		return rec.Name == machine && rec.FindBinding(job, task) != nil
	})
}
