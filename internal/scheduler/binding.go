package scheduler

import (
	"lynxledge/internal/placement"
	"lynxledge/internal/statecache"
)

// bind adds a task to the record of a node's machine. It returns false if the record or the
// transaction has no room for it.
func (c *cycle) bind(node *placement.Node, entry queuedJob, task int) bool {
	update := c.openGroup(node.Group)
	if update == nil {
		return false
	}
	if !c.hasRoomForBinding(update, entry, 0) {
		node.Schedulable = false // for the rest of the cycle
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
	return update.size+moreBytes+statecache.BindingBytes(entry.id) <= c.limits.bindingBytes(entry.job.Spec.Priority) &&
		c.bytes()+moreBytes <= statecache.MaxTxnRecordBytes
}
