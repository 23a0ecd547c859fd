package autoscaler

import (
	"log/slog"
	"math"
	"time"

	"lynxledge/internal/estimate"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// deadlineRisks logs early that a pipeline will miss its deadline, and which stage makes it
// late: once for each change.
type deadlineRisks struct {
	blockedBy map[wire.JobID]wire.JobID // by last job of the late pipelines: the stage that makes them late
}

func newDeadlineRisks() *deadlineRisks {
	return &deadlineRisks{blockedBy: map[wire.JobID]wire.JobID{}}
}

// forget drops a job that has ended.
func (d *deadlineRisks) forget(id wire.JobID) { delete(d.blockedBy, id) }

// check logs whether the pipeline that ends with a blocked job is at risk, if that has changed.
// runtimeSeconds is the expected runtime of the job.
func (d *deadlineRisks) check(id wire.JobID, job *statecache.Job, wait estimate.DependencyWait, runtimeSeconds float64, now time.Time) {
	if job.Spec.Deadline == nil {
		return
	}
	endSeconds := float64(statecache.TimestampOf(now)-job.SubmittedAt)/1000 + wait.WaitSeconds + runtimeSeconds
	lateSeconds := endSeconds - float64(*job.Spec.Deadline)
	blockedBy := wire.JobID("")
	if lateSeconds > 0 {
		blockedBy = wait.BlockedBy
	}
	if d.blockedBy[id] == blockedBy {
		return
	}
	if blockedBy == "" {
		delete(d.blockedBy, id)
		slog.Info("pipeline deadline risk cleared", "job", id, "class", job.Spec.Class)
		return
	}
	d.blockedBy[id] = blockedBy
	slog.Info("pipeline deadline miss predicted",
		"job", id,
		"class", job.Spec.Class,
		"blocked_by", blockedBy,
		"late_seconds", math.Ceil(lateSeconds))
}

// logDeadlineRisks checks the pipelines that end with one of the blocked jobs.
func (r *Autoscaler) logDeadlineRisks(waits map[wire.JobID]estimate.DependencyWait, now time.Time) {
	for id, wait := range waits {
		job := r.jobs.blocked[id]
		r.risks.check(id, job, wait, r.jobs.runtimeSeconds(job.Spec), now)
	}
}
