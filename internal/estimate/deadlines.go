package estimate

import (
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
)

// Deadlines lists when a job has to have finished, counted from when it became runnable, in
// ascending order. A job that others depend on is a stage of theirs: it gets the share of the
// time left until their deadline that its runtime has of the runtimes on the way there, as
// the paper splits a workflow's deadline over its stages. now and start count from the same
// moment: the present, and when the job starts at the earliest.
func Deadlines(cfg *config.Config, job *statecache.Job, runtime, now, start time.Duration) []time.Duration {
	spec := job.Spec
	out := ownDeadlines(cfg, job, runtime, start)
	if job.InheritedDeadline == 0 {
		return out
	}
	due := config.Milliseconds(int64(job.InheritedDeadline - job.RunnableSince()))
	from := max(now, start)
	if due > from {
		runtimeSeconds := runtime.Seconds()
		due = from + config.Seconds((due-from).Seconds()*runtimeSeconds/max(runtimeSeconds+float64(job.DownstreamRuntime), 1e-9))
	}
	if !cfg.HasCompletionObjective(spec.Class) && spec.Deadline == nil {
		return []time.Duration{due} // nobody else says when
	}
	out = append(out, due)
	slices.Sort(out)
	return slices.Compact(out)
}

// ownDeadlines lists the deadlines that a job has itself: its owner's, and those of the
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
	// It is runnable from start on, which still counts from its submission.
	out := cfg.Deadlines(job.Spec.Class, deadline, runtime, start)
	for i := range out {
		out[i] += start
	}
	return out
}
