package estimate

import (
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
)

// Deadlines returns the times by which a job must finish, in ascending order. They are measured
// from job.RunnableSince, like now and start, the time at which the job can start at the earliest.
// A job whose dependents have a deadline is a stage of a pipeline: of the time left until that
// deadline it gets the share that its runtime has of all the runtimes on the path there. This is how
// Mao and Humphrey split a workflow's deadline over its stages (SC11; see docs/design.md).
func Deadlines(cfg *config.Config, job *statecache.Job, runtime, now, start time.Duration) []time.Duration {
	spec := job.Spec
	deadlines := ownDeadlines(cfg, job, runtime, start)
	if job.InheritedDeadline == 0 {
		return deadlines
	}
	stageDeadline := config.Milliseconds(int64(job.InheritedDeadline - job.RunnableSince()))
	from := max(now, start)
	if stageDeadline > from {
		runtimeSeconds := runtime.Seconds()
		stageDeadline = from + config.Seconds((stageDeadline-from).Seconds()*runtimeSeconds/max(runtimeSeconds+float64(job.DownstreamRuntime), 1e-9))
	}
	if !cfg.HasCompletionObjective(spec.Class) && spec.Deadline == nil {
		return []time.Duration{stageDeadline} // neither its class nor its owner sets one
	}
	deadlines = append(deadlines, stageDeadline)
	slices.Sort(deadlines)
	return slices.Compact(deadlines)
}

// ownDeadlines returns the deadlines that a job does not inherit: its owner's, and those of the
// objectives for its class.
func ownDeadlines(cfg *config.Config, job *statecache.Job, runtime, start time.Duration) []time.Duration {
	var deadline *time.Duration
	if job.Spec.Deadline != nil {
		d := job.Spec.Deadline.Duration()
		deadline = &d
	}
	if !job.Blocked {
		return cfg.Deadlines(job.Spec.Class, deadline, runtime, config.Milliseconds(int64(job.RunnableSince()-job.SubmittedAt)))
	}
	// cfg.Deadlines counts from when the job becomes runnable, at start; the result counts from
	// its submission.
	deadlines := cfg.Deadlines(job.Spec.Class, deadline, runtime, start)
	for i := range deadlines {
		deadlines[i] += start
	}
	return deadlines
}
