package place

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/ledger"
	"lynxledge/wire"
)

// endCompleteJobs ends jobs whose last tasks are marked already.
func (p *Placer) endCompleteJobs(r *round, placing bool) {
	for job, since := range p.completeSince {
		if !p.view.Complete(job) {
			delete(p.completeSince, job)
		} else if placing || r.now.Sub(since) > p.reportS(1) {
			p.end(r, job)
		}
	}
}

// endCancelledDependents stores that jobs are cancelled with a predecessor, a few at a time:
// everybody derives it, so there is no haste, but what is over for good need not be
// followed any more.
func (p *Placer) endCancelledDependents(r *round, placing bool) {
	for id, j := range p.cancelledDependents {
		if !placing || r.ops() >= r.limit/2 || !p.guardable(r) {
			return
		}
		r.cancellations[id] = j.Cancelled(j.EndAt)
		r.jobs[id] = j.Stamp
	}
}

// end calls a job done once all its tasks are, as far as the commit has room.
func (p *Placer) end(r *round, job string) {
	j := p.view.Jobs[job]
	if !p.view.Active(job) || r.ends[job] > 0 || p.view.DoneCount(job)+r.marks[job] < j.Tasks {
		return
	}
	chunks := len(p.view.Chunks[job])
	if r.ops()+1+min(chunks, p.cfg.Params.State.Ops()/2) > r.limit || !p.guardable(r) {
		return
	}
	r.ends[job] = 1 + min(chunks, r.limit-r.ops()-1)
	r.jobs[job] = j.Stamp
	at := time.UnixMilli(j.At)
	r.log = append(r.log, func() { slog.Debug("job done", "job", job, "age_s", int(time.Since(at).Seconds())) })
}

// takeObservations applies what reports prove, a few groups at a time. Those go first
// whose empty places have stood empty longest, all taken together: a group of one
// machine then takes a write for one task seldom, where writes are short, and one
// in which many tasks end often. Nothing waits for more than a report. When jobs
// wait for room, some writes are left for groups that have it.
func (p *Placer) takeObservations(r *round, placing, queued bool) {
	// A writer that is slow is not dead: others that wrote for it made its guards
	// fail, and it slower yet.
	idle := r.now.Sub(p.proved) > p.reportS(1)
	type due struct {
		group string
		late  bool
		empty float64 // seconds, of all places
	}
	var groups []due
	for g, machines := range p.observations {
		d := due{group: g, empty: -1}
		for m, n := range machines {
			rec := p.view.Machines[m]
			if rec == nil || rec.Group != g {
				delete(machines, m)
				continue
			}
			waits := r.now.Sub(n.due)
			if placing || waits > 0 && (idle || waits > config.Secs(p.cfg.Params.Workers.LeaseS)) {
				d.empty = max(d.empty, 0) + waits.Seconds()*float64(max(n.frees, 1))
				d.late = d.late || waits > p.reportS(1)
			}
		}
		if len(machines) == 0 {
			delete(p.observations, g)
		} else if d.empty >= 0 {
			groups = append(groups, d)
		}
	}
	slices.SortFunc(groups, func(a, b due) int {
		if a.late != b.late {
			if a.late {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.empty, a.empty)
	})
	limit := r.limit
	if queued {
		limit -= r.limit / 4
	}
	for _, g := range groups {
		if r.ops() >= limit || r.full() {
			return
		}
		for m, n := range p.observations[g.group] {
			rec := p.view.Machines[m]
			proof := Reconcile(rec, n.Report, p.view.Active)
			if !proof.Changes() {
				delete(p.observations[g.group], m)
				continue
			}
			p.prove(r, rec, n, &proof)
		}
		if d := r.drafts[g.group]; d != nil {
			p.fold(r, d)
			d.size = d.Kept() // what left, and marks that were folded, make room for others
		}
	}
}

// prove rewrites a machine's row by what a report proves.
func (p *Placer) prove(r *round, rec *ledger.Machine, n *pendingObservation, proof *Proof) {
	d := p.open(r, rec.Group)
	if d == nil {
		return
	}
	m, rep := rec.Name, n.Report
	next := d.Edit(m)
	next.Token = max(next.Token, rep.Token+1)
	if proof.Joined {
		next.Session, next.Addr = rep.Session, rep.Addr
		d.size += len(rep.Addr)
		r.log = append(r.log, func() {
			slog.Info("machine up", "machine", m, "session", next.Session, "type", next.Type, "zone", next.Zone, "spot", next.Spot)
		})
	}
	next.Suspected = next.Suspected && !proof.Back
	if proof.Notice {
		next.Drain = "spot-notice"
	}
	for _, f := range proof.Fence {
		if b := next.Find(f.Job, f.N); b != nil {
			b.Stop = next.Token
		}
	}
	for _, g := range proof.Gone {
		g.RanS = n.RanS[g.Task()]
		if g.Why == wire.WhyDone && p.view.Active(g.Job) && !p.view.IsDone(g.Job, g.N) {
			d.Mark(g.Job, g.N)
			r.marks[g.Job]++
			d.size += 8
		}
		next.Tasks = slices.DeleteFunc(next.Tasks, func(b ledger.BoundTask) bool { return b.Job == g.Job && b.N == g.N })
		d.Departures = append(d.Departures, g)
		r.departed++
		r.departureBytes += ledger.GoneBytes(&g)
		if j := p.view.Jobs[g.Job]; j != nil && j.Spec != nil {
			r.tally[j.Spec.Team] = r.tally[j.Spec.Team].Plus(RequestOf(j.Spec), -1)
		}
		if g.Why != wire.WhyDone {
			r.log = append(r.log, func() { slog.Info("task left machine", "task", g.Task(), "machine", m, "why", g.Why) })
		}
	}
	if node := p.nodes[m]; node != nil {
		p.fill(node, next)
	}
}

// fold moves a job's marks from a record that fills up into its done set. What
// the record says of tasks that left doesn't count: it is gone with the next
// write, and left out where there is no room. Counted, a group in which many
// tasks ended at once took all writes of a round to fold marks.
func (p *Placer) fold(r *round, d *draft) {
	if r.parts[d.Name] > 0 {
		return // there is room for the marks elsewhere
	}
	for d.Kept() > p.valueBytes(foldFill) && r.ops() < r.limit && p.guardable(r) {
		most := ""
		for job, ns := range d.Marks {
			if r.ends[job] == 0 && len(ns) > len(d.Marks[most]) {
				most = job
			}
		}
		if most == "" {
			return
		}
		id := p.recordOf(r, most, d.Marks[most][0])
		var bits, rest []int
		for _, n := range d.Marks[most] {
			if p.recordOf(r, most, n) == id {
				_, bit := p.view.Chunk(n)
				bits = append(bits, bit-max(0, id.From))
			} else {
				rest = append(rest, n)
			}
		}
		key := ledger.DoneKey(most, id)
		set := r.doneSets[key]
		if set == nil {
			set = p.view.Chunks[most][id]
		}
		r.doneSets[key] = set.With(bits...)
		r.jobs[most] = p.view.Jobs[most].Stamp
		if d.Marks[most] = rest; len(rest) == 0 {
			delete(d.Marks, most)
		}
	}
}

// recordOf is the record of a job's done set that takes a task. A whole chunk takes
// what fits into it under the service's limit. While nothing says that the limit has
// fallen it takes everything, since a version that doesn't know parts may serve.
func (p *Placer) recordOf(r *round, job string, task int) ledger.ChunkID {
	chunk, bit := p.view.Chunk(task)
	id := ledger.ChunkID{Chunk: chunk, From: ledger.Whole}
	if !p.cfg.Rates.Lowered() {
		return id
	}
	reach := bit + 1
	if set := r.doneSets[ledger.DoneKey(job, id)]; set != nil {
		reach = max(reach, set.Tasks())
	} else if set := p.view.Chunks[job][id]; set != nil {
		reach = max(reach, set.Tasks())
	}
	if limit := p.valueBytes(1); ledger.ValueBytes(reach) > limit {
		part := ledger.PartTasks(limit)
		id.From = bit / part * part
	}
	return id
}
