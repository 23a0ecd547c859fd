package scheduler

import (
	"log/slog"

	"lynxledge/internal/placement"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// bind adds a task to the record of a node's machine. It returns false if the record or the
// transaction has no room for it.
func (c *cycle) bind(node *placement.Node, entry queuedJob, task int) bool {
	update := c.openGroup(node.Group)
	if update == nil {
		return false
	}
	if !c.hasRoomForBinding(update, entry, 0) {
		c.markRecordFull(update, node, entry)
		return false
	}
	rec := update.UpdateMachine(node.Name)
	if rec == nil {
		return false
	}
	// The attempt must be unique on the machine, or the end of an earlier attempt would be taken
	// for this one's. The record's new fencing token is. The view's revision is not: it does not
	// advance between this process's own commit and the watch event for it.
	binding := statecache.TaskBinding{Job: entry.id, TaskIndex: task, Attempt: rec.FencingToken}
	rec.Bindings = append(rec.Bindings, binding)
	update.size += statecache.BindingBytes(entry.id)
	c.jobPreconditions[entry.id] = entry.job.ModRevision
	c.assignmentPreconditions[entry.job.Spec.Team] = entry.assignment
	c.placed[entry.id]++
	c.commands.addLaunch(rec, &binding)
	return true
}

// hasRoomForBinding reports whether a group's next record and the transaction have room for one
// more binding of a job and moreBytes besides.
func (c *cycle) hasRoomForBinding(update *groupUpdate, entry queuedJob, moreBytes int) bool {
	share := bindingFillShare
	if entry.job.Spec.Priority >= wire.PriorityHigh {
		share = highPriorityFillShare
	}
	return update.size+moreBytes+statecache.BindingBytes(entry.id) <= c.limits.valueBytes(share) &&
		c.bytes()+moreBytes <= statecache.MaxTxnRecordBytes
}

// hasRoomAfterStops reports whether a record has room to stop the victims and bind their successor,
// so that nothing is stopped for a task that can't be bound.
func (p *jobPlacement) hasRoomAfterStops(update *groupUpdate, victims *placement.Victims) bool {
	if p.hasRoomForBinding(update, p.queuedJob, stopBytes*len(victims.Tasks)) {
		return true
	}
	p.markRecordFull(update, victims.Node, p.queuedJob)
	return false
}

// markRecordFull makes a node unschedulable for the rest of the cycle because its group's record
// has no room for a task of a job.
func (c *cycle) markRecordFull(update *groupUpdate, node *placement.Node, entry queuedJob) {
	node.Schedulable = false
	if len(update.Machines) > 1 && update.RetainedSize() > c.limits.valueBytes(fullSplitFillShare) {
		c.layout.full[update.Name] = true
	}
	slog.Debug("group record full",
		"group", update.Name,
		"job", entry.id,
		"priority", entry.job.Spec.Priority,
		"bytes", update.size,
		"limit_bytes", c.limits.valueBytes(1),
		"machines", len(update.Machines),
		"groups_to_split", len(c.layout.full),
		"groups_oversized", len(c.layout.oversized))
}
