package ledger

import "lynxledge/wire"

// pipelines knows which jobs need which. What follows from that is derived from
// stored records alone, by one function, and told to every actor as part of the
// jobs' records: a job is blocked until all its predecessors' records say done,
// and cancelled as soon as one says cancelled, through any number of jobs. Both
// ends are final, so neither can be taken back by a record seen later, and a
// cancelled predecessor is never done: no task of its successors can have started.
//
// Every edge is looked at when one of its jobs is accepted or ends, never as a
// part of all jobs, and by a worklist: chains may be of any length.
type pipelines struct {
	jobs map[string]*Job     // of the ledger's view
	next map[string][]string // job that isn't over: its successors that are not over
	in   map[string]bool     // successors that stand in next
}

func newPipelines(v *View) *pipelines {
	return &pipelines{jobs: v.Jobs, next: map[string][]string{}, in: map[string]bool{}}
}

// derive gives a job what follows from its predecessors and successors.
func (p *pipelines) derive(id string, j *Job) *Job {
	if !j.Active() || j.Spec == nil {
		delete(p.in, id)
		return j
	}
	if len(j.Spec.Awaits) == 0 && len(p.next[id]) == 0 {
		return j
	}
	n := *j
	n.Blocked, n.ReadyAt = false, 0
	for _, before := range n.Spec.Awaits {
		b := p.jobs[before]
		switch {
		case b == nil || b.Active(): // a listing may name it later
			n.Blocked = true
			if !p.in[id] {
				p.next[before] = append(p.next[before], id)
			}
		case b.State == wire.JobCancelled:
			n.State, n.EndAt, n.Derived = wire.JobCancelled, b.EndAt, true
			delete(p.in, id)
			return &n
		default:
			n.ReadyAt = max(n.ReadyAt, b.EndAt)
		}
	}
	p.in[id] = n.Blocked
	for _, after := range p.next[id] {
		p.lift(&n, p.jobs[after])
	}
	return &n
}

// lift gives a job the priority and the deadline of one that needs it, if they are
// more urgent than its own; false if they are not.
func (p *pipelines) lift(j, after *Job) bool {
	if after == nil || !after.Active() || after.Spec == nil {
		return false
	}
	lifted := false
	if after.Spec.Rank > j.Spec.Rank {
		spec := *j.Spec
		spec.Rank = after.Spec.Rank
		j.Spec, j.PriorityInherited, lifted = &spec, true, true
	}
	due, tail := after.due()
	if tail += after.Spec.EstimateS; due > 0 && (j.DueAt == 0 || latest(due, tail) < latest(j.DueAt, j.TailS)) {
		j.DueAt, j.TailS, lifted = due, tail, true
	}
	return lifted
}

// latest is when a job must be done so that those behind it are in time.
func latest(due int64, tailS float64) int64 { return due - int64(1000*tailS) }

// due is the deadline that presses a job most: its own, or that of one that needs
// it; and the running time from its own end to there.
func (j *Job) due() (int64, float64) {
	if j.Spec.DeadlineS != nil {
		own := j.At + int64(1000**j.Spec.DeadlineS)
		if j.DueAt == 0 || own < latest(j.DueAt, j.TailS) {
			return own, 0
		}
	}
	return j.DueAt, j.TailS
}

// spread tells what a job's new record means for the others: its successors once
// it is over, its predecessors before that. tell is called for each that changes.
func (p *pipelines) spread(id string, tell func(id string, j *Job)) {
	for todo := []string{id}; len(todo) > 0; {
		id, todo = todo[len(todo)-1], todo[:len(todo)-1]
		j := p.jobs[id]
		if !j.Active() {
			for _, after := range p.next[id] {
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
			delete(p.next, id)
			continue
		}
		if j.Spec == nil {
			continue
		}
		for _, before := range j.Spec.Awaits {
			b := p.jobs[before]
			if b == nil || !b.Active() || b.Spec == nil {
				continue
			}
			n := *b
			if p.lift(&n, j) {
				tell(before, &n)
				todo = append(todo, before)
			}
		}
	}
}
