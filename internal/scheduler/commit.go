package scheduler

import (
	"log/slog"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// commit commits a planned scheduling cycle, unless it has nothing to write.
func (s *Scheduler) commit(c *cycle) {
	machines := c.machines()
	txn := statecache.Commit{RetryUntilCertain: true, RetryFor: s.config.Params.Workers.Heartbeats(0.5)}
	if !c.addTo(&txn) {
		s.nodes.reset(machines)
		return
	}
	if txn.Ops() == 0 {
		return
	}
	s.writes.commitStarted(txn.Ops(), c.now)
	s.commitInFlight = true
	c.log(txn.Ops())
	s.cache.Commit(txn, func(outcome statecache.Outcome) {
		s.Send(func() { s.commitEnded(c, machines, outcome) })
	})
}

// commitEnded handles the outcome of a cycle's commit. machines are the machines of all groups
// that the cycle updated.
func (s *Scheduler) commitEnded(c *cycle, machines []wire.MachineID, outcome statecache.Outcome) {
	s.commitInFlight = false
	s.writes.commitEnded()
	s.nodes.reset(machines)
	switch outcome {
	case statecache.Committed:
		for _, f := range c.onCommitted {
			f()
		}
		s.launch(c)
	case statecache.OutcomeUnknown:
		s.rememberUncertain(c)
	}
	s.schedule()
}

// addTo adds the transaction's writes and preconditions to a commit. It returns false if a group's
// record can't be written; the commit must then be dropped as a whole.
func (c *cycle) addTo(txn *statecache.Commit) bool {
	if !c.splitGroups(txn) {
		return false
	}
	c.mergeGroups(txn)
	txn.RequireAssignments(c.assignmentPreconditions)
	for id, revision := range c.jobPreconditions {
		txn.Preconditions = append(txn.Preconditions, wire.Precondition{Key: statecache.Key(statecache.KindJob, string(id)), ModRevision: revision})
	}
	for key, chunk := range c.completionChunks {
		txn.Preconditions = append(txn.Preconditions, wire.Precondition{Key: key, ModRevision: chunk.ModRevision})
		txn.Puts = append(txn.Puts, statecache.Put{Key: key, Record: chunk})
	}
	for id, job := range c.cancellations {
		txn.Puts = append(txn.Puts, statecache.Put{Key: statecache.Key(statecache.KindJob, string(id)), Record: job})
	}
	c.addFinishedJobsTo(txn)
	return c.addGroupsTo(txn)
}

// addFinishedJobsTo adds the final records of jobs that are done. It also deletes their completion
// chunks, as far as the writes counted for each job allow.
func (c *cycle) addFinishedJobsTo(txn *statecache.Commit) {
	for id, writes := range c.finishedJobs {
		job := c.view.Jobs[id]
		txn.Puts = append(txn.Puts, statecache.Put{Key: statecache.Key(statecache.KindJob, string(id)), Record: &statecache.Job{
			State: wire.JobDone, TaskCount: job.TaskCount, SubmittedAt: job.SubmittedAt, FinishedAt: statecache.TimestampOf(c.now),
		}})
		for chunk := range c.view.CompletionChunks[id] {
			if writes--; writes > 0 {
				txn.Deletes = append(txn.Deletes, statecache.CompletionChunkKey(id, chunk))
			}
		}
	}
}

// addGroupsTo adds the groups' next records. It returns false if one is too large.
func (c *cycle) addGroupsTo(txn *statecache.Commit) bool {
	for _, update := range c.groupUpdates {
		for job := range c.finishedJobs {
			delete(update.Completions, job)
		}
		if !update.TrimToFit(c.limits.valueBytes(1)) {
			slog.Error("group record too large, nothing written", "group", update.Name, "bytes", update.EncodedSize(), "machines", len(update.Machines))
			// Machine entries grow when they are rewritten in a later term. The next cycle has to
			// split the group, or every retry would fail in the same way.
			c.layout.oversized[update.Name] = true
			return false
		}
		update.AddTo(txn)
	}
	return true
}

// log logs a summary of the cycle's writes.
func (c *cycle) log(writes int) {
	placed := 0
	for _, n := range c.placed {
		placed += n
	}
	slog.Debug("scheduling cycle planned",
		"writes", writes,
		"write_limit", c.limit,
		"groups", len(c.groupUpdates),
		"groups_total", len(c.view.Groups),
		"completion_chunks", len(c.completionChunks),
		"jobs_completed", len(c.finishedJobs),
		"cancellations", len(c.cancellations),
		"tasks_placed", placed,
		"tasks_terminated", c.terminated,
		"groups_pending", c.evidence.groupCount())
}
