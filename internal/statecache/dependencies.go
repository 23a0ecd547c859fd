package statecache

import "lynxledge/wire"

// dependencyGraph derives the fields of a job that follow from its dependencies and its
// dependents. They are derived only here, from stored records alone, and every actor receives
// them as part of the jobs' records. A job is blocked until the records of all its dependencies
// say done, and cancelled as soon as one says cancelled, also transitively. Done and cancelled
// are final, so no record seen later can revert them, and a cancelled dependency is never done:
// no task of its dependents can have started.
//
// When a job is accepted or ends, only that job and the jobs that change because of it are visited,
// with their neighbours; the graph is never scanned as a whole. Propagation uses a worklist instead
// of recursion, since chains may be of any length.
type dependencyGraph struct {
	jobs       map[wire.JobID]*Job         // of the cache's view
	dependents map[wire.JobID][]wire.JobID // the active jobs that depend on a job, until it has ended
	waiting    map[wire.JobID]bool         // blocked jobs, which are listed in dependents already
}

func newDependencyGraph(v *View) *dependencyGraph {
	return &dependencyGraph{jobs: v.Jobs, dependents: map[wire.JobID][]wire.JobID{}, waiting: map[wire.JobID]bool{}}
}

// derive returns a job's record with the fields set that follow from its dependencies and its
// dependents.
func (g *dependencyGraph) derive(id wire.JobID, j *Job) *Job {
	if !j.Active() || j.Spec == nil {
		delete(g.waiting, id)
		return j
	}
	if len(j.Spec.Dependencies) == 0 && len(g.dependents[id]) == 0 {
		return j
	}
	derived := *j
	g.deriveFromDependencies(id, &derived)
	if !derived.Active() {
		delete(g.waiting, id)
		return &derived
	}
	g.waiting[id] = derived.Blocked
	for _, dependent := range g.dependents[id] {
		inherit(&derived, g.jobs[dependent])
	}
	return &derived
}

// deriveFromDependencies sets whether a job is blocked, when the last of its dependencies was
// done, and whether a dependency cancels it.
func (g *dependencyGraph) deriveFromDependencies(id wire.JobID, j *Job) {
	j.Blocked, j.DependenciesDoneAt = false, 0
	for _, name := range j.Spec.Dependencies {
		dependency := g.jobs[name]
		switch {
		case dependency == nil || dependency.Active(): // nil: a listing may return it after its dependents
			j.Blocked = true
			if !g.waiting[id] {
				g.dependents[name] = append(g.dependents[name], id)
			}
		case dependency.State == wire.JobCancelled:
			j.State, j.FinishedAt, j.CancelledByDependency = wire.JobCancelled, dependency.FinishedAt, true
			return
		default:
			j.DependenciesDoneAt = max(j.DependenciesDoneAt, dependency.FinishedAt)
		}
	}
}

// inherit gives a job the priority and the deadline of a dependent, each only if it is more
// urgent than the job's. It reports whether the job has changed.
func inherit(j, dependent *Job) bool {
	if dependent == nil || !dependent.Active() || dependent.Spec == nil {
		return false
	}
	changed := false
	if dependent.Spec.Priority > j.Spec.Priority {
		spec := *j.Spec
		spec.Priority = dependent.Spec.Priority
		j.Spec, j.PriorityInherited, changed = &spec, true, true
	}
	deadline, downstream := dependent.tightestDeadline()
	downstream += dependent.Spec.EstimatedRuntime
	if deadline > 0 && (j.InheritedDeadline == 0 || latestCompletion(deadline, downstream) < latestCompletion(j.InheritedDeadline, j.DownstreamRuntime)) {
		j.InheritedDeadline, j.DownstreamRuntime, changed = deadline, downstream, true
	}
	return changed
}

// latestCompletion returns the latest time at which a job may complete so that a deadline is met
// after the estimated runtime of the jobs downstream.
func latestCompletion(deadline Timestamp, downstream wire.Seconds) Timestamp {
	return deadline.add(-downstream)
}

// tightestDeadline returns the deadline, the job's own or an inherited one, that requires the job
// to complete earliest, and the estimated runtime of the jobs between its end and that deadline.
func (j *Job) tightestDeadline() (deadline Timestamp, downstream wire.Seconds) {
	if j.Spec.Deadline != nil {
		own := j.SubmittedAt.add(*j.Spec.Deadline)
		if j.InheritedDeadline == 0 || own < latestCompletion(j.InheritedDeadline, j.DownstreamRuntime) {
			return own, 0
		}
	}
	return j.InheritedDeadline, j.DownstreamRuntime
}

// propagate calls publish with every other job that changes because of a job's new record:
// dependents if it has ended, dependencies otherwise, and transitively.
func (g *dependencyGraph) propagate(id wire.JobID, publish func(id wire.JobID, j *Job)) {
	for worklist := []wire.JobID{id}; len(worklist) > 0; {
		id := worklist[len(worklist)-1]
		worklist = worklist[:len(worklist)-1]
		if j := g.jobs[id]; j.Active() {
			worklist = g.propagateUrgency(j, worklist, publish)
		} else {
			worklist = g.propagateEnd(id, worklist, publish)
		}
	}
}

// propagateEnd derives the dependents of an ended job again, and adds those that are cancelled
// with it to the worklist.
func (g *dependencyGraph) propagateEnd(id wire.JobID, worklist []wire.JobID, publish func(id wire.JobID, j *Job)) []wire.JobID {
	for _, name := range g.dependents[id] {
		dependent := g.jobs[name]
		if dependent == nil || !dependent.Active() {
			continue
		}
		derived := g.derive(name, dependent)
		if derived.Blocked == dependent.Blocked && derived.Active() {
			continue
		}
		publish(name, derived)
		if !derived.Active() {
			worklist = append(worklist, name)
		}
	}
	delete(g.dependents, id)
	return worklist
}

// propagateUrgency has the dependencies of an active job inherit its priority and deadline, and
// adds those that change to the worklist.
func (g *dependencyGraph) propagateUrgency(j *Job, worklist []wire.JobID, publish func(id wire.JobID, j *Job)) []wire.JobID {
	if j.Spec == nil {
		return worklist
	}
	for _, name := range j.Spec.Dependencies {
		dependency := g.jobs[name]
		if dependency == nil || !dependency.Active() || dependency.Spec == nil {
			continue
		}
		derived := *dependency
		if inherit(&derived, j) {
			publish(name, &derived)
			worklist = append(worklist, name)
		}
	}
	return worklist
}
