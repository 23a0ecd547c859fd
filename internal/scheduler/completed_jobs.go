package scheduler

import (
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// completedJobs holds the jobs whose tasks are all completed but whose records don't say done yet.
type completedJobs struct {
	view  *statecache.View
	since map[wire.JobID]time.Time // when a job was first seen to be completed
}

func newCompletedJobs(view *statecache.View) *completedJobs {
	return &completedJobs{view: view, since: map[wire.JobID]time.Time{}}
}

// observe adds a job if all its tasks are completed and it isn't known yet.
func (j *completedJobs) observe(job wire.JobID, now time.Time) {
	if _, ok := j.since[job]; !ok && j.view.AllTasksCompleted(job) {
		j.since[job] = now
	}
}

func (j *completedJobs) forget(job wire.JobID) { delete(j.since, job) }

func (j *completedJobs) count() int { return len(j.since) }
