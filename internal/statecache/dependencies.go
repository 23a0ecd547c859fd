package statecache

import "lynxledge/wire"

// dependencyGraph derives what follows for a job from the jobs that it depends on, and from
// those that depend on it. It is derived from stored records alone, by one function, and told
// to every actor as a part of the jobs' records: a job is blocked until the records of all its
// dependencies say done, and cancelled as soon as one says cancelled, through any number of
// jobs. Both ends are final, so neither can be taken back by a record seen later, and a
// cancelled dependency is never done: no task of its dependents can have started.
//
// Every edge is visited when one of its jobs is accepted or ends, never with all jobs, and by
// a worklist: chains may be of any length.
type dependencyGraph struct {
	jobs       map[wire.JobID]*Job         // of the cache's view
	dependents map[wire.JobID][]wire.JobID // of an active job: the active jobs that depend on it
	waiting    map[wire.JobID]bool         // jobs that are listed as dependents
}

func newDependencyGraph(v *View) *dependencyGraph {
	return &dependencyGraph{jobs: v.Jobs, dependents: map[wire.JobID][]wire.JobID{}, waiting: map[wire.JobID]bool{}}
}

// derive returns a job's record with what follows from its dependencies and dependents.
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

// deriveFromDependencies sets whether a job is blocked, since when it is not, or that it is
// cancelled.
func (g *dependencyGraph) deriveFromDependencies(id wire.JobID, j *Job) {
	j.Blocked, j.DependenciesDoneAt = false, 0
	for _, name := range j.Spec.Dependencies {
		dependency := g.jobs[name]
		switch {
		case dependency == nil || dependency.Active(): // a listing may have it later than its dependents
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

// inherit gives a job the priority and the deadline of a dependent, as far as they are more
// urgent than its own. It tells whether one is.
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

// latestCompletion returns when a job must be done for the jobs downstream to meet a deadline.
func latestCompletion(deadline Timestamp, downstream wire.Seconds) Timestamp {
	return deadline.add(-downstream)
}

// tightestDeadline returns the deadline that demands the job's completion earliest, its own or
// an inherited one, and the estimated runtime from the job's end to it.
func (j *Job) tightestDeadline() (deadline Timestamp, downstream wire.Seconds) {
	if j.Spec.Deadline != nil {
		own := j.SubmittedAt.add(*j.Spec.Deadline)
		if j.InheritedDeadline == 0 || own < latestCompletion(j.InheritedDeadline, j.DownstreamRuntime) {
			return own, 0
		}
	}
	return j.InheritedDeadline, j.DownstreamRuntime
}

// propagate calls publish with every other job that changes with a job's new record: dependents
// once it has ended, dependencies before that, and so on with those.
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

// propagateEnd derives the dependents of a job that has ended anew. It adds those that end with
// it to the worklist.
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

// propagateUrgency has the dependencies of an active job inherit its priority and deadline. It
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
