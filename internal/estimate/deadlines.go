package estimate

import (
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Deadlines lists when a job has to have finished, counted from when it became runnable, in
// ascending order. A job that others depend on is a stage of theirs: it gets the share of the
// time left until their deadline that its runtime has of the runtimes on the way there, as
// the paper splits a workflow's deadline over its stages. now and start count from the same
// moment: the present, and when the job starts at the earliest.
func Deadlines(cfg *config.Config, j *statecache.Job, runtime, now, start time.Duration) []time.Duration {
	spec := j.Spec
	var own *time.Duration
	if spec.Deadline != nil {
		deadline := spec.Deadline.Duration()
		own = &deadline
	}
	var out []time.Duration
	if j.Blocked { // it is runnable from start on, which still counts from its submission
		out = cfg.Deadlines(spec.Class, own, runtime, start)
		for i := range out {
			out[i] += start
		}
	} else {
		out = cfg.Deadlines(spec.Class, own, runtime, config.Milliseconds(int64(j.RunnableSince()-j.SubmittedAt)))
	}
	if j.InheritedDeadline == 0 {
		return out
	}
	due := config.Milliseconds(int64(j.InheritedDeadline - j.RunnableSince()))
	from := max(now, start)
	if due > from {
		runtimeSeconds := runtime.Seconds()
		due = from + config.Seconds((due-from).Seconds()*runtimeSeconds/max(runtimeSeconds+float64(j.DownstreamRuntime), 1e-9))
	}
	if !cfg.HasCompletionObjective(spec.Class) && spec.Deadline == nil {
		return []time.Duration{due} // nobody else says when
	}
	out = append(out, due)
	slices.Sort(out)
	return slices.Compact(out)
}

// DependencyWaits tells of blocked jobs in how many seconds they could run, given how long
// each job that is not blocked will take, and which of those holds them up.
func DependencyWaits(blocked map[wire.JobID]*statecache.Job, active func(id wire.JobID) bool, left, runS func(id wire.JobID) float64) map[wire.JobID]DependencyWait {
	out := make(map[wire.JobID]DependencyWait, len(blocked))
	for id := range blocked {
		for todo := []wire.JobID{id}; len(todo) > 0; {
			id := todo[len(todo)-1]
			if _, known := out[id]; known {
				todo = todo[:len(todo)-1]
				continue
			}
			h, deeper := DependencyWait{}, len(todo)
			for _, before := range blocked[id].Spec.Dependencies {
				if !active(before) {
					continue
				}
				end, by := 0.0, before
				if blocked[before] == nil {
					end = left(before)
				} else if b, known := out[before]; known {
					end, by = b.Wait+runS(before), b.BlockedBy
				} else {
					todo = append(todo, before)
					continue
				}
				if h.BlockedBy == "" || end > h.Wait {
					h = DependencyWait{end, by}
				}
			}
			if len(todo) == deeper {
				out[id] = h
				todo = todo[:len(todo)-1]
			}
		}
	}
	return out
}

// DependencyWait says in how many seconds a job could run, and which job keeps it until then.
type DependencyWait struct {
	Wait      float64
	BlockedBy wire.JobID
}
