package estimate

import (
	"math"
	"slices"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Deadlines lists when a job is to be done, in seconds from when it could run, the
// earliest first. A job that others need is a stage of theirs: it has the part of
// what is left until their deadline that its running time is of the way there, as
// the paper splits a workflow's deadline over its stages. nowS and startS are on
// the same count: now, and when it starts at the earliest.
func Deadlines(cfg *config.Config, j *statecache.Job, runS, nowS, startS float64) []float64 {
	spec := j.Spec
	deadlineSeconds := (*float64)(spec.Deadline)
	var out []float64
	if j.Blocked { // it could run from startS on, and Since is its submission yet
		out = cfg.Deadlines(spec.Class, deadlineSeconds, runS, startS)
		for i := range out {
			out[i] += startS
		}
	} else {
		out = cfg.Deadlines(spec.Class, deadlineSeconds, runS, float64(j.RunnableSince()-j.SubmittedAt)/1000)
	}
	if j.InheritedDeadline == 0 {
		return out
	}
	due := float64(j.InheritedDeadline-j.RunnableSince()) / 1000
	from := math.Max(nowS, startS)
	if due > from {
		due = from + (due-from)*runS/math.Max(runS+j.DownstreamRuntime, 1e-9)
	}
	if !cfg.HasCompletionObjective(spec.Class) && spec.Deadline == nil {
		return []float64{due} // nobody else says when
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
