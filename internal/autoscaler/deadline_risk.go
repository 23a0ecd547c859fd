package autoscaler

import (
	"log/slog"
	"math"
	"time"

	"lynxledge/internal/estimate"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// deadlineRisks predicts which pipelines will miss their deadline, and which stage delays them. It
// logs each change of the prediction once.
type deadlineRisks struct {
	blockedBy map[wire.JobID]wire.JobID // by last job of the late pipelines: the stage that delays them
}

func newDeadlineRisks() *deadlineRisks {
	return &deadlineRisks{blockedBy: map[wire.JobID]wire.JobID{}}
}

// forget drops a job that has ended.
func (d *deadlineRisks) forget(id wire.JobID) { delete(d.blockedBy, id) }

// check updates the prediction for the pipeline that ends with a blocked job, if the job has a
// deadline, and logs it if it has changed. runtimeSeconds is the expected runtime of the job.
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
func (a *Autoscaler) logDeadlineRisks(waits map[wire.JobID]estimate.DependencyWait, now time.Time) {
	for id, wait := range waits {
		job := a.jobs.blocked[id]
		a.risks.check(id, job, wait, a.jobs.runtimeSeconds(job.Spec), now)
	}
}
