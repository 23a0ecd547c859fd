package estimate

import (
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// DependencyWait is how long a blocked job waits for its dependencies.
type DependencyWait struct {
	WaitSeconds float64    // expected time until it can run
	BlockedBy   wire.JobID // the runnable job at the start of the longest path to it
}

// DependencyWaits returns the expected waits of the blocked jobs. active reports whether a job has
// not ended; remainingSeconds returns the time until a job that is not blocked ends, and
// runtimeSeconds the runtime of a blocked one once it can run.
func DependencyWaits(blocked map[wire.JobID]*statecache.Job, active func(id wire.JobID) bool, remainingSeconds, runtimeSeconds func(id wire.JobID) float64) map[wire.JobID]DependencyWait {
	w := dependencyWalk{blocked: blocked, active: active, remainingSeconds: remainingSeconds, runtimeSeconds: runtimeSeconds, waits: make(map[wire.JobID]DependencyWait, len(blocked))}
	for id := range blocked {
		// Depth-first with an explicit stack, as recursion would be deep for long pipelines.
		for stack := []wire.JobID{id}; len(stack) > 0; {
			id := stack[len(stack)-1]
			if _, known := w.waits[id]; known {
				stack = stack[:len(stack)-1]
				continue
			}
			stack = w.visit(id, stack)
		}
	}
	return w.waits
}

// dependencyWalk traverses the dependencies of blocked jobs.
type dependencyWalk struct {
	blocked                          map[wire.JobID]*statecache.Job
	active                           func(id wire.JobID) bool
	remainingSeconds, runtimeSeconds func(id wire.JobID) float64
	waits                            map[wire.JobID]DependencyWait // computed so far
}

// visit sets a job's wait if those of its dependencies are known. Otherwise it pushes the
// dependencies whose waits are not known onto the stack.
func (w *dependencyWalk) visit(id wire.JobID, stack []wire.JobID) []wire.JobID {
	longest, stackSize := DependencyWait{}, len(stack)
	for _, dependency := range w.blocked[id].Spec.Dependencies {
		if !w.active(dependency) {
			continue
		}
		wait := DependencyWait{BlockedBy: dependency}
		if w.blocked[dependency] == nil {
			wait.WaitSeconds = w.remainingSeconds(dependency)
		} else if known, ok := w.waits[dependency]; ok {
			wait = DependencyWait{known.WaitSeconds + w.runtimeSeconds(dependency), known.BlockedBy}
		} else {
			stack = append(stack, dependency)
			continue
		}
		if longest.BlockedBy == "" || wait.WaitSeconds > longest.WaitSeconds {
			longest = wait
		}
	}
	if len(stack) == stackSize {
		w.waits[id] = longest
	}
	return stack
}
