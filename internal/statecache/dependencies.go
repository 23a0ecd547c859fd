package statecache

import "lynxledge/wire"

// dependencyGraph knows which jobs need which. What follows from that is derived from
// stored records alone, by one function, and told to every actor as part of the
// jobs' records: a job is blocked until all its predecessors' records say done,
// and cancelled as soon as one says cancelled, through any number of jobs. Both
// ends are final, so neither can be taken back by a record seen later, and a
// cancelled predecessor is never done: no task of its successors can have started.
//
// Every edge is looked at when one of its jobs is accepted or ends, never as a
// part of all jobs, and by a worklist: chains may be of any length.
type dependencyGraph struct {
	jobs       map[wire.JobID]*Job         // of the ledger's view
	successors map[wire.JobID][]wire.JobID // job that isn't over: its successors that are not over
	waiting    map[wire.JobID]bool         // successors that stand in next
}

func newDependencyGraph(v *View) *dependencyGraph {
	return &dependencyGraph{jobs: v.Jobs, successors: map[wire.JobID][]wire.JobID{}, waiting: map[wire.JobID]bool{}}
}

// derive gives a job what follows from its predecessors and successors.
func (p *dependencyGraph) derive(id wire.JobID, j *Job) *Job {
	if !j.Active() || j.Spec == nil {
		delete(p.waiting, id)
		return j
	}
	if len(j.Spec.Dependencies) == 0 && len(p.successors[id]) == 0 {
		return j
	}
	n := *j
	n.Blocked, n.DependenciesDoneAt = false, 0
	for _, before := range n.Spec.Dependencies {
		b := p.jobs[before]
		switch {
		case b == nil || b.Active(): // a listing may name it later
			n.Blocked = true
			if !p.waiting[id] {
				p.successors[before] = append(p.successors[before], id)
			}
		case b.State == wire.JobCancelled:
			n.State, n.FinishedAt, n.CancelledByDependency = wire.JobCancelled, b.FinishedAt, true
			delete(p.waiting, id)
			return &n
		default:
			n.DependenciesDoneAt = max(n.DependenciesDoneAt, b.FinishedAt)
		}
	}
	p.waiting[id] = n.Blocked
	for _, after := range p.successors[id] {
		p.inherit(&n, p.jobs[after])
	}
	return &n
}

// inherit gives a job the priority and the deadline of one that needs it, if they are
// more urgent than its own; false if they are not.
func (p *dependencyGraph) inherit(j, after *Job) bool {
	if after == nil || !after.Active() || after.Spec == nil {
		return false
	}
	lifted := false
	if after.Spec.Priority > j.Spec.Priority {
		spec := *j.Spec
		spec.Priority = after.Spec.Priority
		j.Spec, j.PriorityInherited, lifted = &spec, true, true
	}
	due, tailSeconds := after.tightestDeadline()
	tailSeconds += float64(after.Spec.EstimatedRuntime)
	if due > 0 && (j.InheritedDeadline == 0 || latestCompletion(due, tailSeconds) < latestCompletion(j.InheritedDeadline, j.DownstreamRuntime)) {
		j.InheritedDeadline, j.DownstreamRuntime, lifted = due, tailSeconds, true
	}
	return lifted
}

// latestCompletion is when a job must be done so that those behind it are in time.
func latestCompletion(due int64, tailSeconds float64) int64 { return due - int64(1000*tailSeconds) }

// tightestDeadline is the deadline that presses a job most: its own, or that of one that needs
// it; and the running time from its own end to there.
func (j *Job) tightestDeadline() (due int64, tailSeconds float64) {
	if j.Spec.Deadline != nil {
		own := j.SubmittedAt + int64(1000*float64(*j.Spec.Deadline))
		if j.InheritedDeadline == 0 || own < latestCompletion(j.InheritedDeadline, j.DownstreamRuntime) {
			return own, 0
		}
	}
	return j.InheritedDeadline, j.DownstreamRuntime
}

// propagate tells what a job's new record means for the others: its successors once
// it is over, its predecessors before that. tell is called for each that changes.
func (p *dependencyGraph) propagate(id wire.JobID, tell func(id wire.JobID, j *Job)) {
	for todo := []wire.JobID{id}; len(todo) > 0; {
		id, todo = todo[len(todo)-1], todo[:len(todo)-1]
		j := p.jobs[id]
		if !j.Active() {
			for _, after := range p.successors[id] {
				a := p.jobs[after]
				if a == nil || !a.Active() {
					continue
				}
				n := p.derive(after, a)
				if n.Blocked == a.Blocked && n.Active() {
					continue
				}
				tell(after, n)
				if !n.Active() {
					todo = append(todo, after)
				}
			}
			delete(p.successors, id)
			continue
		}
		if j.Spec == nil {
			continue
		}
		for _, before := range j.Spec.Dependencies {
			b := p.jobs[before]
			if b == nil || !b.Active() || b.Spec == nil {
				continue
			}
			n := *b
			if p.inherit(&n, j) {
				tell(before, &n)
				todo = append(todo, before)
			}
		}
	}
}
