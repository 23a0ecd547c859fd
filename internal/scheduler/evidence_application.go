package scheduler

import (
	"log/slog"
	"slices"

	"lynxledge/internal/reconcile"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// applyPendingEvidence applies the evidence from heartbeats, as far as the write limit allows, in
// the order of evidenceQueue.due. That order is by the total idle time of freed capacity, so when
// writes are scarce a group of one machine is seldom written for a single task, and one in which
// many tasks end is written often. Groups with evidence that has been due for more than a heartbeat
// interval come first. When jobs are queued, a quarter of the writes is left for groups that have
// capacity.
func (c *cycle) applyPendingEvidence(hasAssignments, queued bool) {
	groups := c.evidence.due(c.now, hasAssignments)
	limit := c.limit
	if queued {
		limit -= c.limit / 4
	}
	for _, group := range groups {
		if c.ops() >= limit || c.isFull() {
			return
		}
		c.applyGroupEvidence(group.name)
	}
}

// applyGroupEvidence applies the pending evidence of a group's machines.
func (c *cycle) applyGroupEvidence(group string) {
	pending := c.evidence.byGroup[group]
	for machine, evidence := range pending {
		rec := c.view.Machines[machine]
		result := reconcile.Heartbeat(rec, evidence.Heartbeat, c.view.Active)
		if !result.RequiresUpdate() {
			delete(pending, machine)
			continue
		}
		c.applyResult(rec, evidence, &result)
	}
	if update := c.groupUpdates[group]; update != nil {
		c.compactCompletions(update)
		update.size = update.RetainedSize() // smaller by terminated tasks and by compacted completions
	}
}

// applyResult updates a machine's record with the result of reconciling its heartbeat.
func (c *cycle) applyResult(rec *statecache.Machine, evidence *pendingEvidence, result *reconcile.Result) {
	update := c.openGroup(rec.Group)
	if update == nil {
		return
	}
	heartbeat := evidence.Heartbeat
	next := update.UpdateMachine(rec.Name)
	next.FencingToken = max(next.FencingToken, heartbeat.FencingToken+1)
	if result.NewIncarnation {
		next.Incarnation, next.Address = heartbeat.Incarnation, heartbeat.Address
		update.size += len(heartbeat.Address)
		c.onCommitted = append(c.onCommitted, func() {
			slog.Info("machine registered", "machine", next.Name, "incarnation", next.Incarnation, "machine_type", next.MachineType, "zone", next.Zone, "spot", next.Spot)
		})
	}
	next.Suspected = next.Suspected && !result.ReachableAgain
	if result.PreemptionNotice {
		next.DrainReason = "spot-notice"
	}
	for _, fenced := range result.ToFence {
		if binding := next.FindBinding(fenced.Job, fenced.TaskIndex); binding != nil {
			binding.StopToken = next.FencingToken
		}
	}
	for _, termination := range result.Terminated {
		termination.Runtime = evidence.TaskRuntimes[termination.TaskID()]
		c.applyTermination(update, next, termination)
	}
	if node := c.nodes.node(rec.Name); node != nil {
		c.nodes.loadRecord(node, next)
	}
}

// completionMarkBytes is the estimated size of one more completed task in a group's record.
const completionMarkBytes = 8

// applyTermination removes a task whose end is certain from its machine's next record.
func (c *cycle) applyTermination(update *groupUpdate, next *statecache.Machine, t statecache.Termination) {
	if t.Reason == wire.ReasonCompleted && c.view.Active(t.Job) && !c.view.IsCompleted(t.Job, t.TaskIndex) {
		update.MarkCompleted(t.Job, t.TaskIndex)
		c.completed[t.Job]++
		update.size += completionMarkBytes
	}
	next.Bindings = slices.DeleteFunc(next.Bindings, func(b statecache.TaskBinding) bool { return b.Job == t.Job && b.TaskIndex == t.TaskIndex })
	update.Terminations = append(update.Terminations, t)
	c.terminated++
	c.terminationBytes += statecache.TerminationBytes(&t)
	if job := c.view.Jobs[t.Job]; job != nil && job.Spec != nil {
		c.usage[job.Spec.Team] = c.usage[job.Spec.Team].AddScaled(resources.OfTask(job.Spec), -1)
	}
	if t.Reason != wire.ReasonCompleted {
		c.onCommitted = append(c.onCommitted, func() {
			slog.Info("task terminated", "task", t.TaskID(), "machine", next.Name, "reason", t.Reason)
		})
	}
}
