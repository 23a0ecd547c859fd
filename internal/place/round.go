package place

import (
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/overload"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// round takes what has come together and makes one commit of it.
func (p *Placer) round() {
	now := time.Now()
	if now.Sub(p.fresh) > p.reportS(maxViewReports) {
		return
	}
	limit, wait := p.writesNow(now)
	if wait > 0 {
		p.After(wait, p.schedule)
		return
	}
	p.commit(p.assemble(now, limit))
}

// maxViewReports is how old a view may be, in report intervals, to place by it.
const maxViewReports = 2

// minWrites is the least number of writes that a round is worth.
const minWrites = 2

// writesNow is how many writes a round may have now, or how long to wait for more.
func (p *Placer) writesNow(now time.Time) (limit int, wait time.Duration) {
	most := p.cfg.Params.Store.TxnOpsLimit()
	p.pace.SetLimit(rate.Limit(p.writeRate(now)))
	timeFor := func(writes int) time.Duration {
		return time.Duration(float64(writes) / float64(p.pace.Limit()) * float64(time.Second))
	}
	limit = min(most, int(p.pace.TokensAt(now)))
	switch {
	case limit < most/2 && (len(p.observations) > 1 || len(p.completeSince) > 1):
		// Full transactions cost less than many small ones; what waits longest
		// waits no longer for it, since writes are what is short.
		return 0, timeFor(most/2 - limit)
	case limit < most && len(p.largeRecords) > 0 && p.placesAll():
		return 0, timeFor(most - limit) // a split takes a whole one
	case limit < minWrites:
		return 0, timeFor(minWrites)
	}
	return limit, 0
}

// assemble decides what a round of at most so many writes changes.
func (p *Placer) assemble(now time.Time, limit int) *round {
	mine := p.mine()
	places := len(mine) > 0
	r := newRound(now, limit, p.tally)
	p.openLarge(r)
	p.endCompleteJobs(r, places)
	if places {
		p.advise(now)
	}
	q := p.queue(mine, now)
	p.takeObservations(r, places, len(q) > 0)
	for job := range r.marks {
		p.end(r, job)
	}
	p.endCancelledDependents(r, places)
	if p.cfg.Overload.Level() < overload.Behind {
		r.searchShare = searchShares(q)
	}
	for _, w := range q {
		p.placeJob(r, w)
	}
	return r
}

// maxSearches is how many of the waiting jobs of a priority look for places of other
// work in a round, drawn anew each time: looking costs far more than to find that
// none is free.
const maxSearches = 64

// searchShares is the part of the waiting jobs of each priority that may look.
func searchShares(q []waiting) map[wire.Priority]float64 {
	out := map[wire.Priority]float64{}
	for i := range q {
		out[q[i].job.Spec.Priority]++
	}
	for rank, n := range out {
		out[rank] = min(1, maxSearches/n)
	}
	return out
}

// candidates are nodes to choose among for a job: those of groups that are
// written anyhow and, while the round has room, a sample of all.
func (p *Placer) candidates(r *round, j *wire.Job) []*Node {
	var list []*Node
	usable := func(n *Node) bool { return p.takes(r, n, j) && p.admitted(n, j) }
	for _, n := range p.near(r) {
		if usable(n) {
			list = append(list, n)
		}
	}
	list = Sample(list, p.rng)
	if !r.full() {
		for _, n := range Sample(p.roomy, p.rng) {
			if r.drafts[n.Group] == nil && usable(n) {
				n.NeedsOwnWrite = true
				list = append(list, n)
			}
		}
	}
	list = p.withPreferred(r, list, j, usable)
	slices.SortFunc(list, func(a, b *Node) int { return a.all - b.all })
	return list
}

// near are the nodes with room in groups that are written anyhow. Some of them have it
// only by what is written, and are in no index yet.
func (p *Placer) near(r *round) []*Node {
	if r.nearOf == len(r.drafts) {
		return r.near
	}
	r.near, r.nearOf = r.near[:0], len(r.drafts)
	for g, d := range r.drafts {
		for _, b := range d.Machines {
			if n := p.nodes[b.Name]; n != nil && n.Group == g && n.HasRoom() {
				r.near = append(r.near, n)
			}
		}
	}
	return r.near
}

// takes tells whether a node could take a task of a job, wherever the job's others are.
func (p *Placer) takes(r *round, n *Node, j *wire.Job) bool {
	return n.HasRoom() && !r.now.Before(p.unreliable[n.Name]) && Allowed(j, n.Type.Name, n.Zone, n.Spot) && n.hasRoomFor(j, RequestOf(j))
}

// bind puts a task into a machine's row; false when there is no room for that.
func (p *Placer) bind(r *round, node *Node, w waiting, n int) bool {
	d := p.open(r, node.Group)
	if d == nil {
		return false
	}
	fill := recordFill
	if w.job.Spec.Priority >= wire.PriorityHigh {
		fill = urgentFill
	}
	if d.size+statecache.BindingBytes(w.id) > p.valueBytes(fill) || r.bytes() > statecache.MaxTxnRecordBytes {
		node.Open = false // in this round
		if len(d.Machines) > 1 && d.RetainedSize() > p.valueBytes(crowdedAt) {
			p.fullRecords[d.Name] = true // full before its machines are
		}
		slog.Debug("record is full", "group", node.Group)
		return false
	}
	rec := d.UpdateMachine(node.Name)
	if rec == nil {
		return false
	}
	// The row's token has never been used on this machine before. The view's
	// revision would not do: it stands still between an own commit and its
	// repeat by the watch, and an attempt used twice on a machine lets the first
	// one's end pass for the second's.
	t := statecache.TaskBinding{Job: w.id, TaskIndex: n, Attempt: rec.FencingToken}
	rec.Bindings = append(rec.Bindings, t)
	d.size += statecache.BindingBytes(w.id)
	r.jobs[w.id] = w.job.ModRevision
	r.assignments[w.job.Spec.Team] = w.assignment
	r.placed[w.id]++
	r.rows[node.Name] = rec
	r.starts[node.Name] = append(r.starts[node.Name], wire.Command{Op: wire.OpLaunch, Task: t.TaskName(), Attempt: t.Attempt})
	return true
}
