package estimate

import (
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// DependencyWait is how long a blocked job waits for its dependencies.
type DependencyWait struct {
	WaitSeconds float64    // until it could run
	BlockedBy   wire.JobID // the job that keeps it until then
}

// DependencyWaits tells of blocked jobs how long they wait. leftSeconds is how long a job that
// is not blocked will still take, runtimeSeconds how long a blocked one will once it runs.
func DependencyWaits(blocked map[wire.JobID]*statecache.Job, active func(id wire.JobID) bool, leftSeconds, runtimeSeconds func(id wire.JobID) float64) map[wire.JobID]DependencyWait {
	w := dependencyWalk{blocked: blocked, active: active, leftSeconds: leftSeconds, runtimeSeconds: runtimeSeconds, waits: make(map[wire.JobID]DependencyWait, len(blocked))}
	for id := range blocked {
		// Depth first with a stack of its own: pipelines may be long.
		for todo := []wire.JobID{id}; len(todo) > 0; {
			id := todo[len(todo)-1]
			if _, known := w.waits[id]; known {
				todo = todo[:len(todo)-1]
				continue
			}
			todo = w.visit(id, todo)
		}
	}
	return w.waits
}

// dependencyWalk goes through the dependencies of blocked jobs.
type dependencyWalk struct {
	blocked                     map[wire.JobID]*statecache.Job
	active                      func(id wire.JobID) bool
	leftSeconds, runtimeSeconds func(id wire.JobID) float64
	waits                       map[wire.JobID]DependencyWait // known already
}

// visit sets a job's wait if those of its dependencies are known. Else it adds those that aren't
// to the jobs to do.
func (w *dependencyWalk) visit(id wire.JobID, todo []wire.JobID) []wire.JobID {
	longest, before := DependencyWait{}, len(todo)
	for _, dependency := range w.blocked[id].Spec.Dependencies {
		if !w.active(dependency) {
			continue
		}
		wait := DependencyWait{BlockedBy: dependency}
		if w.blocked[dependency] == nil {
			wait.WaitSeconds = w.leftSeconds(dependency)
		} else if known, ok := w.waits[dependency]; ok {
			wait = DependencyWait{known.WaitSeconds + w.runtimeSeconds(dependency), known.BlockedBy}
		} else {
			todo = append(todo, dependency)
			continue
		}
		if longest.BlockedBy == "" || wait.WaitSeconds > longest.WaitSeconds {
			longest = wait
		}
	}
	if len(todo) == before {
		w.waits[id] = longest
	}
	return todo
}
