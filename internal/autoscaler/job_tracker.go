package autoscaler

import (
	"math"
	"time"

	"lynxledge/internal/estimate"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// jobTracker tracks the jobs that have not ended, and how long their tasks run.
type jobTracker struct {
	active     map[wire.JobID]*statecache.Job // runnable now
	blocked    map[wire.JobID]*statecache.Job // dependencies have not ended yet
	runtimes   *estimate.RuntimeEstimator
	boundSince map[wire.TaskID]time.Time // when each bound task was first seen bound
}

func newJobTracker() *jobTracker {
	return &jobTracker{
		active:     map[wire.JobID]*statecache.Job{},
		blocked:    map[wire.JobID]*statecache.Job{},
		runtimes:   estimate.NewRuntimeEstimator(),
		boundSince: map[wire.TaskID]time.Time{},
	}
}

// update handles a job's new record; nil if the record was deleted. It reports whether the job has
// ended.
func (t *jobTracker) update(id wire.JobID, job *statecache.Job) (ended bool) {
	delete(t.active, id)
	delete(t.blocked, id)
	switch {
	case job == nil || !job.Active() || job.Spec == nil:
		t.runtimes.Forget(id)
		return true
	case job.Blocked:
		t.blocked[id] = job
	default:
		t.active[id] = job
	}
	return false
}

// applyMachineChange updates which tasks are bound.
func (t *jobTracker) applyMachineChange(change statecache.MachineChange, now time.Time) {
	for _, task := range statecache.UnboundTasks(change.Old, change.New) {
		delete(t.boundSince, task.TaskID())
	}
	if change.New == nil {
		return
	}
	for i := range change.New.Bindings {
		task := &change.New.Bindings[i]
		if change.Old == nil || change.Old.FindBinding(task.Job, task.TaskIndex) == nil {
			t.boundSince[task.TaskID()] = now
		}
	}
}

// observeTerminations updates the runtime estimates with the runtimes of completed tasks.
func (t *jobTracker) observeTerminations(terminations []statecache.Termination, jobs map[wire.JobID]*statecache.Job) {
	t.runtimes.Observe(terminations, jobs)
}

// runtimeSeconds returns the expected runtime of a job's tasks.
func (t *jobTracker) runtimeSeconds(spec *wire.Job) float64 { return t.runtimes.EstimateSeconds(spec) }

// remainingSeconds returns the expected time until a bound task of an array ends.
func (t *jobTracker) remainingSeconds(task wire.TaskID, runtimeSeconds float64, now time.Time) float64 {
	return math.Max(0, runtimeSeconds-now.Sub(t.boundSince[task]).Seconds())
}

// dependencyWaits returns how long each blocked job is expected to wait for its dependencies.
func (t *jobTracker) dependencyWaits(view *statecache.View, now time.Time) map[wire.JobID]estimate.DependencyWait {
	if len(t.blocked) == 0 {
		return nil
	}
	runtimeSeconds := func(id wire.JobID) float64 {
		if job := view.Jobs[id]; job != nil && job.Spec != nil {
			return t.runtimeSeconds(job.Spec)
		}
		return 0
	}
	remainingSeconds := func(id wire.JobID) float64 {
		job, fullRuntime := t.active[id], runtimeSeconds(id)
		if job == nil {
			return 0
		}
		if view.PendingTasks(id, job) > 0 {
			return fullRuntime
		}
		longest := 0.0
		for index := range view.Bindings[id] {
			longest = max(longest, t.remainingSeconds(wire.NewTaskID(id, index), fullRuntime, now))
		}
		return longest
	}
	return estimate.DependencyWaits(t.blocked, view.Active, remainingSeconds, runtimeSeconds)
}
