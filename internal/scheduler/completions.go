package scheduler

import (
	"log/slog"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// finishCompletedJobs marks the jobs whose tasks are all completed as done. A process without
// assigned teams leaves that to the others for one heartbeat interval.
func (c *cycle) finishCompletedJobs(hasAssignments bool) {
	for job, since := range c.completedJobs.since {
		if !c.view.AllTasksCompleted(job) {
			delete(c.completedJobs.since, job)
		} else if hasAssignments || c.now.Sub(since) > c.config.Params.Workers.Heartbeats(1) {
			c.finishJob(job)
		}
	}
}

// storeDependencyCancellations stores the cancellation of jobs that are cancelled because a
// dependency was, in at most half of a cycle's writes and only in a process with assigned teams. It
// isn't urgent, since every process derives the cancellation itself, but a job whose end is stored
// need not be tracked any more.
func (c *cycle) storeDependencyCancellations(hasAssignments bool) {
	for id, job := range c.cancelledDependents {
		if !hasAssignments || c.ops() >= c.limit/2 || !c.canAddPrecondition() {
			return
		}
		c.cancellations[id] = job.AsCancelled(job.FinishedAt)
		c.jobPreconditions[id] = job.ModRevision
	}
}

// finishJob marks a job as done if all its tasks are completed and the transaction has room.
func (c *cycle) finishJob(id wire.JobID) {
	job := c.view.Jobs[id]
	if !c.view.Active(id) || c.finishedJobs[id] > 0 || c.view.CompletedCount(id)+c.completed[id] < job.TaskCount {
		return
	}
	chunks := len(c.view.CompletionChunks[id])
	if c.ops()+1+min(chunks, c.limits.txnOps()/2) > c.limit || !c.canAddPrecondition() {
		return
	}
	c.finishedJobs[id] = 1 + min(chunks, c.limit-c.ops()-1)
	c.jobPreconditions[id] = job.ModRevision
	submittedAt := job.SubmittedAt.Time()
	c.onCommitted = append(c.onCommitted, func() {
		slog.Debug("job completed", "job", id, "age_seconds", int(time.Since(submittedAt).Seconds()))
	})
}

// compactCompletions moves completions from a group's record that is nearly full to the jobs'
// completion chunks. Terminations don't count towards the record's size: the next write drops
// them, and they are omitted if they don't fit. When they counted, a group in which many tasks
// ended at once used up all writes of a cycle for completion chunks.
func (c *cycle) compactCompletions(update *groupUpdate) {
	if c.splitParts[update.Name] > 0 {
		return // the split makes room for the completions
	}
	for update.RetainedSize() > c.limits.valueBytes(compactionFillShare) && c.ops() < c.limit && c.canAddPrecondition() {
		job := c.mostCompletedJob(update)
		if job == "" {
			return
		}
		c.moveToChunk(update, job)
	}
}

// mostCompletedJob returns the job with the most completions in a group's record, except those that
// this cycle marks as done; "" if there is none.
func (c *cycle) mostCompletedJob(update *groupUpdate) wire.JobID {
	most := wire.JobID("")
	for job, tasks := range update.Completions {
		if c.finishedJobs[job] == 0 && len(tasks) > len(update.Completions[most]) {
			most = job
		}
	}
	return most
}

// moveToChunk moves the first of a job's completions in a group's record, and all others that
// belong to the same chunk, to that chunk.
func (c *cycle) moveToChunk(update *groupUpdate, job wire.JobID) {
	id := c.completionChunkFor(job, update.Completions[job][0])
	var bits, others []int
	for _, task := range update.Completions[job] {
		if c.completionChunkFor(job, task) == id {
			_, bit := c.view.CompletionChunkOf(task)
			bits = append(bits, bit-max(0, id.FirstTask))
		} else {
			others = append(others, task)
		}
	}
	key := statecache.CompletionChunkKey(job, id)
	chunk := c.completionChunks[key]
	if chunk == nil {
		chunk = c.view.CompletionChunks[job][id]
	}
	c.completionChunks[key] = chunk.With(bits...)
	c.jobPreconditions[job] = c.view.Jobs[job].ModRevision
	if update.Completions[job] = others; len(others) == 0 {
		delete(update.Completions, job)
	}
}

// completionChunkFor returns the chunk to which a task's completion is added. Until the upcoming
// store limits are known to be in force that is a whole chunk, because a software version that does
// not know parts of chunks may be running. After that it is a whole chunk only if the chunk then
// fits the limit of a value, otherwise a part.
func (c *cycle) completionChunkFor(job wire.JobID, task int) statecache.CompletionChunkID {
	chunk, bit := c.view.CompletionChunkOf(task)
	id := statecache.CompletionChunkID{Chunk: chunk, FirstTask: statecache.WholeChunk}
	if !c.storeLimits.UpcomingLimitsInForce() {
		return id
	}
	capacity := bit + 1
	if whole := c.completionChunks[statecache.CompletionChunkKey(job, id)]; whole != nil {
		capacity = max(capacity, whole.Capacity())
	} else if whole := c.view.CompletionChunks[job][id]; whole != nil {
		capacity = max(capacity, whole.Capacity())
	}
	if limit := c.limits.valueBytes(1); statecache.CompletionValueBytes(capacity) > limit {
		part := statecache.TasksPerCompletionPart(limit)
		id.FirstTask = bit / part * part
	}
	return id
}
