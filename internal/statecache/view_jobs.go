package statecache

import "lynxledge/wire"

// JobTable is the part of a view that holds jobs and their completed tasks.
type JobTable struct {
	Jobs             map[wire.JobID]*Job
	CompletionChunks map[wire.JobID]map[CompletionChunkID]*CompletionChunk

	completions    map[wire.JobID]*completionSet // of active jobs
	chunkTasks     int
	unfinishedOnly bool // done jobs are not kept
}

func newJobTable(chunkTasks int) JobTable {
	return JobTable{
		Jobs:             map[wire.JobID]*Job{},
		CompletionChunks: map[wire.JobID]map[CompletionChunkID]*CompletionChunk{},
		completions:      map[wire.JobID]*completionSet{},
		chunkTasks:       chunkTasks,
	}
}

// completionSet is the set of a job's completed tasks. It only grows.
type completionSet struct {
	bits  CompletionChunk
	count int
}

func (s *completionSet) add(task int) {
	if !s.bits.Has(task) {
		s.bits.set(task)
		s.count++
	}
}

// Active reports whether a job is known and has not ended.
func (t *JobTable) Active(job wire.JobID) bool {
	j := t.Jobs[job]
	return j != nil && j.Active()
}

// jobReplaced drops what the view does not keep of a job that has ended.
func (t *JobTable) jobReplaced(id wire.JobID) {
	j := t.Jobs[id]
	if j == nil || !j.Active() {
		delete(t.completions, id)
	}
	if t.unfinishedOnly && j != nil && j.State == wire.JobDone {
		delete(t.Jobs, id)
	}
}

// completionsOf returns the set of a job's completed tasks, or nil if the job is unknown or has
// ended.
func (t *JobTable) completionsOf(job wire.JobID) *completionSet {
	if !t.Active(job) {
		return nil
	}
	set := t.completions[job]
	if set == nil {
		set = &completionSet{}
		t.completions[job] = set
	}
	return set
}

// replaceCompletionChunk replaces the record of a chunk; nil removes it.
func (t *JobTable) replaceCompletionChunk(job wire.JobID, id CompletionChunkID, chunk *CompletionChunk) {
	if chunk == nil {
		delete(t.CompletionChunks[job], id)
		if len(t.CompletionChunks[job]) == 0 {
			delete(t.CompletionChunks, job)
		}
		return
	}
	if t.CompletionChunks[job] == nil {
		t.CompletionChunks[job] = map[CompletionChunkID]*CompletionChunk{}
	}
	t.CompletionChunks[job][id] = chunk
	set := t.completionsOf(job)
	if set == nil {
		return
	}
	first := id.Chunk*t.chunkTasks + max(0, id.FirstTask)
	for i := range chunk.Capacity() {
		if chunk.Has(i) {
			set.add(first + i)
		}
	}
}

// CompletionChunkOf returns the number of the chunk that holds a task, and the task's bit in it.
func (t *JobTable) CompletionChunkOf(task int) (chunk, bit int) {
	return task / t.chunkTasks, task % t.chunkTasks
}

// IsCompleted reports whether a task of an active job has completed. It returns false for jobs
// that have ended.
func (t *JobTable) IsCompleted(job wire.JobID, task int) bool {
	set := t.completions[job]
	return set != nil && set.bits.Has(task)
}

// CompletedCount returns the number of completed tasks of an active job, and 0 for other jobs.
func (t *JobTable) CompletedCount(job wire.JobID) int {
	if set := t.completions[job]; set != nil {
		return set.count
	}
	return 0
}

// AllTasksCompleted reports whether all tasks of a job have completed although its record still
// says that it is active.
func (t *JobTable) AllTasksCompleted(job wire.JobID) bool {
	return t.Active(job) && t.CompletedCount(job) >= t.Jobs[job].TaskCount
}
