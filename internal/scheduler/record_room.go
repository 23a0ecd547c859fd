package scheduler

import (
	"log/slog"
	"slices"

	"lynxledge/internal/placement"
	"lynxledge/internal/statecache"
)

// fullRecords holds what a cycle knows of records that have no room for bindings.
type fullRecords struct {
	nextBytes map[string]int  // size of the next record of groups whose present one is full, by group
	blocking  map[string]bool // groups that keep tasks of the job being placed from nodes with capacity
}

func newFullRecords() fullRecords {
	return fullRecords{nextBytes: map[string]int{}, blocking: map[string]bool{}}
}

// recordTakes reports whether the record of a node's group has room for one more binding of the job
// and moreBytes besides. If not, it remembers that the group blocks the job.
func (p *jobPlacement) recordTakes(n *placement.Node, moreBytes int) bool {
	maxBytes := p.limits.bindingBytes(p.spec.Priority) - moreBytes - statecache.BindingBytes(p.id)
	if p.recordBytes(n.Group, maxBytes) <= maxBytes {
		return true
	}
	p.fullRecords.blocking[n.Group] = true
	return false
}

// pickWithRecordRoom returns the best of the nodes that can take a task of the job and whose group's
// record has room for its binding, or nil. It also returns the nodes without those of groups that it
// found to be full.
func (p *jobPlacement) pickWithRecordRoom(nodes []*placement.Node) (best *placement.Node, rest []*placement.Node) {
	for {
		best = placement.PickNode(p.spec, p.zones, p.nodes.offers, nodes)
		if best == nil || p.recordTakes(best, 0) {
			return best, nodes
		}
		nodes = slices.DeleteFunc(nodes, func(n *placement.Node) bool { return n.Group == best.Group })
	}
}

// recordBytes returns an upper bound on the size of a group's next record. It is exact only if it
// exceeds maxBytes: completions of jobs that have ended count towards the present record alone.
func (c *cycle) recordBytes(group string, maxBytes int) int {
	if update := c.groupUpdates[group]; update != nil {
		return update.size
	}
	bytes := c.layout.bytes[group]
	current := c.view.Groups[group]
	if bytes <= maxBytes || current == nil || len(current.Completions) == 0 {
		return bytes
	}
	next, known := c.fullRecords.nextBytes[group]
	if !known {
		next = c.view.UpdateGroup(group).RetainedSize()
		c.fullRecords.nextBytes[group] = next
	}
	return next
}

// requestRecordRoom has the full record that blocks the job relieved by the next cycle: one record
// for each job and cycle, since a split costs writes and makes room for many bindings.
func (p *jobPlacement) requestRecordRoom() {
	group := p.recordToRelieve()
	if group == nil {
		return
	}
	p.layout.full[group.Name] = true
	slog.Debug("group record full",
		"group", group.Name,
		"job", p.id,
		"priority", p.spec.Priority,
		"bytes", group.RetainedSize(),
		"limit_bytes", p.limits.valueBytes(1),
		"machines", len(group.Machines),
		"groups_blocking", len(p.fullRecords.blocking))
}

// awaitsSplit reports whether a node will take a task of the job once the next cycle has split its
// group's record, so that nothing need be stopped for it.
func (p *jobPlacement) awaitsSplit() bool {
	group := p.recordToRelieve()
	return group != nil && len(group.Machines) > 1 && p.ownsAllTeams()
}

// recordToRelieve returns the group with the most machines among those that block the job and that
// openFullGroups relieves; nil if there is none.
func (p *jobPlacement) recordToRelieve() *statecache.MachineGroup {
	var best *statecache.MachineGroup
	for name := range p.fullRecords.blocking {
		group := p.view.Groups[name]
		if group == nil || !p.layout.isFull(name) || len(group.Machines) < 2 && len(group.Completions) == 0 {
			continue
		}
		if best == nil || len(group.Machines) > len(best.Machines) || len(group.Machines) == len(best.Machines) && name < best.Name {
			best = group
		}
	}
	return best
}

// preemptForRecordRoom stops a task that may be preempted for the job on a machine that has capacity for
// the job but whose full record can't be split. The job's task can be bound once the
// stopped one has ended. One task at a time is stopped on a machine.
func (p *jobPlacement) preemptForRecordRoom() {
	if !p.searchesVictims || !p.mayStopOthers() || p.awaitsSplit() {
		return
	}
	var nodes []*placement.Node
	for _, n := range p.victimSearchNodes() {
		if p.isBlockedForGood(n) {
			nodes = append(nodes, n)
		}
	}
	victims := placement.FindOneVictim(p.spec, p.zones, p.nodes.offers, nodes, p.quotas())
	if victims == nil {
		return
	}
	if update := p.openGroup(victims.Node.Group); update != nil {
		p.preempt(update, victims, p.spec)
	}
}

// isBlockedForGood reports whether a node could take a task of the job but for its record, which can't be
// split and has room to stop a task, and none of its tasks is being stopped.
func (p *jobPlacement) isBlockedForGood(n *placement.Node) bool {
	if !n.RecordFull && !p.fullRecords.blocking[n.Group] || !n.HasCapacityFor(p.spec, p.need) {
		return false
	}
	group := p.view.Groups[n.Group]
	if group == nil || len(group.Machines) > 1 && p.mayMoveMachines() || p.recordTakes(n, 0) {
		return false
	}
	if slices.ContainsFunc(n.Tasks, func(task placement.RunningTask) bool { return task.Stopping }) {
		return false
	}
	next := p.view.UpdateGroup(n.Group)
	next.UpdateMachine(n.Name) // rewritten entries may be longer
	return max(next.RetainedSize(), p.recordBytes(n.Group, 0))+stopBytes <= p.limits.valueBytes(1)
}
