package scheduler

import (
	"log/slog"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// finishCompletedJobs makes done the jobs whose tasks are all completed already. Who doesn't
// place leaves that to the others for a heartbeat.
func (c *cycle) finishCompletedJobs(placing bool) {
	for job, since := range c.completedJobs.since {
		if !c.view.AllTasksCompleted(job) {
			delete(c.completedJobs.since, job)
		} else if placing || c.now.Sub(since) > c.config.Params.Workers.Heartbeats(1) {
			c.finishJob(job)
		}
	}
}

// storeDependencyCancellations stores that jobs are cancelled with a dependency, a few at a
// time: everybody derives it, so there is no haste, but what is over for good need not be
// followed any more.
func (c *cycle) storeDependencyCancellations(placing bool) {
	for id, job := range c.cancelledDependent {
		if !placing || c.ops() >= c.limit/2 || !c.canAddPrecondition() {
			return
		}
		c.cancellations[id] = job.Cancelled(job.FinishedAt)
		c.jobPreconditions[id] = job.ModRevision
	}
}

// finishJob makes a job done once all its tasks are completed, as far as the transaction has
// room.
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

// compactCompletions moves completions from a group's record that fills up into the jobs'
// completion chunks. What the record says of terminated tasks doesn't count: it is gone with the
// next write, and left out where there is no room. Counted, a group in which many tasks ended at
// once took all writes of a cycle for its completions.
func (c *cycle) compactCompletions(update *groupUpdate) {
	if c.splitParts[update.Name] > 0 {
		return // there is room for the completions elsewhere
	}
	for update.RetainedSize() > c.limits.valueBytes(compactionFillShare) && c.ops() < c.limit && c.canAddPrecondition() {
		job := c.mostCompletedJob(update)
		if job == "" {
			return
		}
		c.moveToChunk(update, job)
	}
}

// mostCompletedJob is the job with the most completions in a group's record, of those that stay
// active; "" if there is none.
func (c *cycle) mostCompletedJob(update *groupUpdate) wire.JobID {
	most := wire.JobID("")
	for job, tasks := range update.Completions {
		if c.finishedJobs[job] == 0 && len(tasks) > len(update.Completions[most]) {
			most = job
		}
	}
	return most
}

// moveToChunk moves a job's completions that belong to the same chunk as the first one out of a
// group's record.
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

// completionChunkFor is the chunk that takes the completion of a task. A whole chunk takes what
// fits into it under the store's limit. While nothing says that the limit has fallen it takes
// everything, since a version that doesn't know parts of chunks may serve.
func (c *cycle) completionChunkFor(job wire.JobID, task int) statecache.CompletionChunkID {
	chunk, bit := c.view.CompletionChunkOf(task)
	id := statecache.CompletionChunkID{Chunk: chunk, FirstTask: statecache.WholeChunk}
	if !c.storeLimits.LowerLimitsInForce() {
		return id
	}
	reach := bit + 1
	if whole := c.completionChunks[statecache.CompletionChunkKey(job, id)]; whole != nil {
		reach = max(reach, whole.Capacity())
	} else if whole := c.view.CompletionChunks[job][id]; whole != nil {
		reach = max(reach, whole.Capacity())
	}
	if limit := c.limits.valueBytes(1); statecache.CompletionValueBytes(reach) > limit {
		part := statecache.TasksPerCompletionPart(limit)
		id.FirstTask = bit / part * part
	}
	return id
}
