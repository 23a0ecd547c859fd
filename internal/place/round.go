package place

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/config"
	"lynxledge/internal/ledger"
	"lynxledge/wire"
)

// round is one commit in the making: what reports prove, jobs that end by it,
// and new bindings, all that concerns a group in one write.
type round struct {
	now    time.Time
	limit  int // writes
	drafts map[string]*draft
	folds  map[string]*ledger.DoneChunk // by key
	ends   map[string]int               // jobs that end: writes that takes
	parts  map[string]int               // groups to split: new records at most
	falls  map[string]*ledger.Job       // jobs whose cancellation is stored
	marks  map[string]int               // jobs: tasks marked here
	jobs   map[string]uint64            // guarded jobs
	hands  map[string]uint64
	placed map[string]int
	tally  Tally
	owed   map[string]bool
	starts map[string][]wire.Order
	stops  map[string][]wire.Order
	gone   int                     // tasks that left
	said   int                     // bytes of what the records say of them
	rows   map[string]*ledger.Bind // of the machines with starts
	log    []func()
	judged map[*Node]bool        // brought up to date for choices of victims
	near   []*Node               // with room, in groups that are written anyhow
	nearOf int                   // number of those groups
	tries  map[wire.Rank]float64 // part of the jobs that may look for others' places
}

type draft struct {
	*ledger.Draft
	size int // of the record, at most
}

// Parts of the value limit: bound tasks may fill the first, the rest is for
// what a record says when they end; marks are folded beyond the second.
const (
	recordFill = 0.8
	urgentFill = 0.9 // for tasks of rank high and above: the others must not leave them without a record
	foldFill   = 0.7
	mergeFill  = 0.6 // groups are merged up to here
	splitFrom  = 0.9 // a record beyond is split
	crowdedAt  = 0.7 // a record beyond that takes no more tasks is split too
)

func (p *Placer) valueBytes(part float64) int {
	return int(float64(p.cfg.Params.State.ValueBytes()) * part)
}

func (r *round) ops() int {
	n := len(r.drafts) + len(r.folds) + len(r.falls)
	for _, parts := range r.parts {
		n += parts
	}
	for _, w := range r.ends {
		n += w
	}
	return n
}

// full: no more groups can be written.
func (r *round) full() bool { return r.ops() >= r.limit || r.bytes() >= bodyBytes }

// bytes is at most the size of the commit. Records may have a size at which a
// transaction reaches the limit of a body long before that of its writes.
func (r *round) bytes() int {
	n := r.said
	for _, d := range r.drafts {
		n += d.size + ledger.WriteBytes
	}
	for _, f := range r.folds {
		n += 4*len(f.Bits)/3 + ledger.WriteBytes
	}
	n += ledger.WriteBytes * (len(r.ends) + len(r.falls)*(1+fallBytes/ledger.WriteBytes))
	return n + ledger.WriteBytes*(len(r.jobs)+len(r.hands))
}

// fallBytes is the most that the record of a cancelled job takes.
const fallBytes = 1024

// bodyBytes is the part of a body's limit that a commit may fill.
const bodyBytes = wire.MaxBody * 9 / 10

// guardable tells whether more jobs can be guarded: a transaction may have four
// guards for each write; each write needs one of its own, and so may every team's hand
// record.
func (p *Placer) guardable(r *round) bool {
	ops := p.cfg.Params.State.Ops()
	return len(r.jobs) < min(2*ops, 3*ops-len(p.view.Hands))
}

// round takes what has come together and makes one commit of it.
func (p *Placer) round() {
	now := time.Now()
	if now.Sub(p.fresh) > p.reportS(2) {
		return
	}
	mine := p.mine()
	limit := p.cfg.Params.State.Ops()
	p.pace.SetLimit(rate.Limit(p.cfg.WriteRPS() * p.cfg.Ops.StateShare))
	if ready := int(p.pace.TokensAt(now)); ready < limit {
		// Full transactions cost less than many small ones; what waits longest
		// waits no longer for it, since writes are what is short.
		if ready < limit/2 && (len(p.notes) > 1 || len(p.ripe) > 1) {
			p.After(time.Duration(float64(limit/2-ready)/float64(p.pace.Limit())*float64(time.Second)), p.schedule)
			return
		}
		limit = ready
	}
	if most := p.cfg.Params.State.Ops(); limit < most && len(p.large) > 0 && p.placesAll() {
		p.After(time.Duration(float64(most-limit)/float64(p.pace.Limit())*float64(time.Second)), p.schedule) // a split takes a whole one
		return
	}
	if limit < 2 {
		p.After(time.Duration(2/float64(p.pace.Limit())*float64(time.Second)), p.schedule)
		return
	}
	r := &round{
		now: now, limit: limit, drafts: map[string]*draft{}, folds: map[string]*ledger.DoneChunk{}, ends: map[string]int{},
		parts: map[string]int{}, falls: map[string]*ledger.Job{}, marks: map[string]int{}, jobs: map[string]uint64{}, hands: map[string]uint64{}, placed: map[string]int{}, tally: maps.Clone(p.tally),
		starts: map[string][]wire.Order{}, stops: map[string][]wire.Order{}, rows: map[string]*ledger.Bind{}, judged: map[*Node]bool{},
	}
	p.openLarge(r)
	p.endRipe(r, len(mine) > 0)
	q := p.queue(mine, now)
	p.takeNotes(r, len(mine) > 0, len(q) > 0)
	for job := range r.marks {
		p.end(r, job)
	}
	p.endFallen(r, len(mine) > 0)
	r.tries = triesOf(q)
	for _, w := range q {
		p.placeJob(r, w)
	}
	p.commit(r)
}

// maxTries is how many of the waiting jobs of a rank look for places of other
// work in a round, drawn anew each time: looking costs far more than to find that
// none is free.
const maxTries = 64

// triesOf is the part of the waiting jobs of each rank that may look.
func triesOf(q []waiting) map[wire.Rank]float64 {
	out := map[wire.Rank]float64{}
	for i := range q {
		out[q[i].job.Spec.Rank]++
	}
	for rank, n := range out {
		out[rank] = min(1, maxTries/n)
	}
	return out
}

// endRipe ends jobs whose last tasks are marked already.
func (p *Placer) endRipe(r *round, placing bool) {
	for job, since := range p.ripe {
		if !p.view.Complete(job) {
			delete(p.ripe, job)
		} else if placing || r.now.Sub(since) > p.reportS(1) {
			p.end(r, job)
		}
	}
}

// endFallen stores that jobs are cancelled with a predecessor, a few at a time:
// everybody derives it, so there is no haste, but what is over for good need not be
// followed any more.
func (p *Placer) endFallen(r *round, placing bool) {
	for id, j := range p.fallen {
		if !placing || r.ops() >= r.limit/2 || !p.guardable(r) {
			return
		}
		r.falls[id] = j.Cancelled(j.EndAt)
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

// takeNotes applies what reports prove, a few groups at a time. Those go first
// whose empty places have stood empty longest, all taken together: a group of one
// machine then takes a write for one task seldom, where writes are short, and one
// in which many tasks end often. Nothing waits for more than a report. When jobs
// wait for room, some writes are left for groups that have it.
func (p *Placer) takeNotes(r *round, placing, queued bool) {
	// A writer that is slow is not dead: others that wrote for it made its guards
	// fail, and it slower yet.
	idle := r.now.Sub(p.proved) > p.reportS(1)
	type due struct {
		group string
		late  bool
		empty float64 // seconds, of all places
	}
	var groups []due
	for g, machines := range p.notes {
		d := due{group: g, empty: -1}
		for m, n := range machines {
			rec := p.view.Binds[m]
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
			delete(p.notes, g)
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
		for m, n := range p.notes[g.group] {
			rec := p.view.Binds[m]
			proof := Reconcile(rec, n.Report, p.view.Active)
			if !proof.Changes() {
				delete(p.notes[g.group], m)
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

// placesAll tells whether all teams are handed to this process. Only then it moves
// machines from one record to another: a later hand record makes the guards fail, so
// that no other may miss what is bound to a machine on its way.
func (p *Placer) placesAll() bool {
	hands := len(p.view.Hands)
	return hands > 0 && hands <= p.cfg.Params.State.Ops() && len(p.mine()) == hands
}

// openLarge takes groups into the round whose records are, or may become, too large
// to be written: by what they hold, or since the limit of a value has fallen.
func (p *Placer) openLarge(r *round) {
	if len(p.large) == 0 || !p.placesAll() {
		return
	}
	for _, groups := range []map[string]bool{p.large, p.crowded} {
		for group := range groups {
			g := p.view.Groups[group]
			if g == nil || len(g.Binds)+len(g.Marks) < 2 {
				delete(groups, group)
				continue
			}
			if r.drafts[group] != nil {
				continue
			}
			parts := min(ledger.PartsFor(g.Kept(), p.cfg.Params.State.ValueBytes()), p.cfg.Params.State.Ops()-1)
			if r.ops()+1+parts > r.limit {
				return // in a round that has room for it
			}
			r.parts[group] = parts
			if p.open(r, group) == nil {
				delete(r.parts, group)
			}
		}
	}
}

// split makes records that are too large several; false if one can't be split.
func (p *Placer) split(r *round, c *ledger.Commit) bool {
	for group, maxParts := range r.parts {
		d := r.drafts[group]
		parts, err := d.Split(p.cfg.Params.State.ValueBytes(), maxParts)
		if err != nil {
			slog.Error("record can't be split; nothing is written", "group", group, "bytes", d.Kept(), "err", err)
			delete(p.large, group)
			return false
		}
		for _, part := range parts {
			slog.Debug("group split", "group", group, "into", part.Name, "machines", len(part.Binds))
			part.AddTo(c) // the record that it comes from follows with the other drafts
		}
		maps.Copy(r.hands, p.view.HandStamps())
		delete(p.crowded, group)
	}
	return true
}

// open makes a group's next record part of the round; nil when it is full.
func (p *Placer) open(r *round, group string) *draft {
	if d := r.drafts[group]; d != nil {
		return d
	}
	if r.full() || p.view.Groups[group] == nil || r.parts[group] == 0 && p.large[group] && p.view.Groups[group].Kept() > p.valueBytes(1) {
		return nil
	}
	d := &draft{Draft: p.view.Draft(group)}
	d.size = d.Size()
	if len(r.drafts) > 0 && r.bytes()+d.size > bodyBytes {
		return nil
	}
	r.drafts[group] = d
	for _, b := range d.Binds {
		if n := p.nodes[b.Name]; n != nil {
			n.Apart = false
		}
	}
	return d
}

// prove rewrites a machine's row by what a report proves.
func (p *Placer) prove(r *round, rec *ledger.Bind, n *noted, proof *Proof) {
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
	next.Quiet = next.Quiet && !proof.Back
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
		next.Tasks = slices.DeleteFunc(next.Tasks, func(b ledger.Bound) bool { return b.Job == g.Job && b.N == g.N })
		d.Gone = append(d.Gone, g)
		r.gone++
		r.said += ledger.GoneBytes(&g)
		if j := p.view.Jobs[g.Job]; j != nil && j.Spec != nil {
			r.tally[j.Spec.Team] = r.tally[j.Spec.Team].Plus(Of(j.Spec), -1)
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
		set := r.folds[key]
		if set == nil {
			set = p.view.Chunks[most][id]
		}
		r.folds[key] = set.With(bits...)
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
	if set := r.folds[ledger.DoneKey(job, id)]; set != nil {
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

// candidates are nodes to choose among for a job: those of groups that are
// written anyhow and, while the round has room, a sample of all.
func (p *Placer) candidates(r *round, j *wire.Job) []*Node {
	var list []*Node
	usable := func(n *Node) bool {
		return n != nil && n.HasRoom() && !r.now.Before(p.shaky[n.Name]) && Allowed(j, n.Type.Name, n.Zone, n.Spot) &&
			n.Used.Plus(Of(j), 1).Fits(Capacity(n.Type))
	}
	if r.nearOf != len(r.drafts) {
		r.near, r.nearOf = r.near[:0], len(r.drafts)
		for g, d := range r.drafts {
			for _, b := range d.Binds {
				if n := p.nodes[b.Name]; n != nil && n.Group == g && n.HasRoom() {
					r.near = append(r.near, n)
				}
			}
		}
	}
	for _, n := range r.near {
		if usable(n) {
			list = append(list, n)
		}
	}
	list = Sample(list, p.rng)
	if !r.full() {
		for _, n := range Sample(p.roomy, p.rng) {
			if r.drafts[n.Group] == nil && usable(n) {
				n.Apart = true
				list = append(list, n)
			}
		}
	}
	slices.SortFunc(list, func(a, b *Node) int { return a.all - b.all })
	return list
}

// others is a sample of all nodes: to preempt on, or to move replicas from.
func (p *Placer) others(r *round) []*Node {
	var from []*Node
	if r.full() {
		for _, d := range r.drafts {
			for _, b := range d.Binds {
				if n := p.nodes[b.Name]; n != nil {
					from = append(from, n)
				}
			}
		}
		slices.SortFunc(from, func(a, b *Node) int { return a.all - b.all })
	} else {
		from = p.all
	}
	list := slices.DeleteFunc(Sample(from, p.rng), func(n *Node) bool { return !n.Open || r.now.Before(p.shaky[n.Name]) })
	p.judge(r, list)
	return list
}

// placeJob places what it can of a job.
func (p *Placer) placeJob(r *round, w waiting) {
	spec, team := w.job.Spec, p.team(w.job.Spec.Team)
	need := Of(spec)
	if r.ends[w.id] > 0 || !r.tally.WithinLimit(team, need) {
		return
	}
	if _, known := r.jobs[w.id]; !known && !p.guardable(r) {
		return
	}
	zones := ZonesOf(p.view, w.id)
	avoid := func(nodes []*Node) []*Node {
		if f := p.failed[w.id]; f != nil {
			// Failed work is tried elsewhere, while there is an elsewhere.
			if rest := slices.DeleteFunc(slices.Clone(nodes), func(n *Node) bool { return f.machines[n.Name] }); len(rest) > 0 {
				return rest
			}
		}
		return nodes
	}
	// Room comes free all the time: work that may wait a little takes no other's
	// place before that. Prod does. A stage whose rank is lent by the pipeline's last
	// job takes a place only when its part of that deadline presses.
	within, _ := p.cfg.StartWithin(spec.Class)
	age := r.now.Sub(time.UnixMilli(w.job.Since())).Seconds()
	patient := !w.job.Lent && (spec.Rank == wire.RankProd || age >= (within-p.cfg.Params.Workers.ReportS/3)/2) || w.hurried()
	seeks := p.rng.Float64() < r.tries[spec.Rank]
	sample := avoid(p.candidates(r, spec))
	var others []*Node
	failing := p.failed[w.id] != nil && p.failed[w.id].count >= probeAfter
	since := 0 // tasks placed since the sample was drawn
	for n := p.low[w.id]; n < w.job.Tasks && r.placed[w.id] < w.most; n++ {
		if failing && len(p.view.Bound[w.id])+r.placed[w.id] > 0 {
			return // one at a time until one succeeds
		}
		if p.view.IsDone(w.id, n) {
			if n == p.low[w.id] {
				p.low[w.id] = n + 1
			}
			continue
		}
		if _, bound := p.view.Bound[w.id][n]; bound {
			continue
		}
		if !r.tally.WithinLimit(team, need) {
			return
		}
		node := Pick(spec, zones, p.offers, sample)
		if node == nil && since > 0 {
			sample, since = avoid(p.candidates(r, spec)), 0
			node = Pick(spec, zones, p.offers, sample)
		}
		preempts := seeks && patient && (spec.Rank >= wire.RankHigh || r.tally.WithinGuarantee(team, need))
		var v *Victims
		if preempts && (node == nil || spec.Rank >= wire.RankHigh && p.fetchesTooLong(spec, node)) {
			if others == nil {
				others = avoid(p.others(r))
			}
			// Where its image is, other work makes room for it.
			where := others
			if node != nil {
				where = withImage(others, spec.Image)
			}
			v = Preempt(spec, zones, p.offers, where, r.tally, p.team)
		}
		if seeks && node == nil && v == nil && spec.Spread && spec.Service() {
			if others == nil {
				others = avoid(p.others(r))
			}
			v = Move(spec, zones, others)
		}
		if node == nil && v == nil {
			return
		}
		if v == nil && p.worthWaiting(spec, node, r.now) {
			return
		}
		if v != nil {
			d := p.open(r, v.Node.Group)
			if d == nil {
				return
			}
			p.stop(r, d, v)
			node = v.Node
		}
		if !p.bind(r, node, w, n) {
			return
		}
		since++
		node.Used = node.Used.Plus(need, 1)
		// Marked as stopping, so that nothing in this round preempts it.
		node.Tasks = append(node.Tasks, Task{Job: spec, N: n, Stops: true, Since: r.now})
		r.tally[team.Name] = r.tally[team.Name].Plus(need, 1)
		zones[node.Zone]++
	}
}

// fetchesTooLong tells whether a task would start too late for the aims of its
// class because the node lacks its image.
func (p *Placer) fetchesTooLong(j *wire.Job, n *Node) bool {
	within, own := p.cfg.StartWithin(j.Class)
	return own && !n.Image(j.Image) && n.Type.FetchGBps > 0 && j.ImageGB/n.Type.FetchGBps > within*fetchPart
}

// fetchPart is the part of the time to a start that a fetch may take.
const fetchPart = 0.6

// hurried tells whether a job must start soon to keep the deadline it is to
// keep, if it has one.
func (w *waiting) hurried() bool {
	return w.late >= 0 && w.late < len(w.claim.due) && w.claim.latest(w.late) < w.claim.run/2
}

// bind puts a task into a machine's row; false when there is no room for that.
func (p *Placer) bind(r *round, node *Node, w waiting, n int) bool {
	d := p.open(r, node.Group)
	if d == nil {
		return false
	}
	fill := recordFill
	if w.job.Spec.Rank >= wire.RankHigh {
		fill = urgentFill
	}
	if d.size+ledger.TaskBytes(w.id) > p.valueBytes(fill) || r.bytes() > bodyBytes {
		node.Open = false // in this round
		if len(d.Binds) > 1 && d.Kept() > p.valueBytes(crowdedAt) {
			p.crowded[d.Name] = true // full before its machines are
		}
		slog.Debug("record is full", "group", node.Group)
		return false
	}
	rec := d.Edit(node.Name)
	if rec == nil {
		return false
	}
	// The row's token has never been used on this machine before. The view's
	// revision would not do: it stands still between an own commit and its
	// repeat by the watch, and an attempt used twice on a machine lets the first
	// one's end pass for the second's.
	t := ledger.Bound{Job: w.id, N: n, Attempt: rec.Token}
	rec.Tasks = append(rec.Tasks, t)
	d.size += ledger.TaskBytes(w.id)
	r.jobs[w.id] = w.job.Stamp
	r.hands[w.job.Spec.Team] = w.hand
	r.placed[w.id]++
	r.rows[node.Name] = rec
	r.starts[node.Name] = append(r.starts[node.Name], wire.Order{Op: wire.OpStart, Task: t.Name(), Attempt: t.Attempt})
	return true
}

// stopBytes is what ordering a task stopped adds to a record.
const stopBytes = 12

// stop orders victims stopped in the record that binds their successor.
func (p *Placer) stop(r *round, d *draft, v *Victims) {
	rec := d.Edit(v.Node.Name)
	for _, i := range v.Tasks {
		task := &v.Node.Tasks[i]
		task.Stops = true
		v.Node.Used = v.Node.Used.Plus(Of(task.Job), -1)
		t := rec.Find(task.Job.ID, task.N)
		if t == nil {
			continue
		}
		t.Stop = rec.Token
		// What gives way as soon as it is placed would take the next free place, and give
		// way again: each time two writes and a launch for nothing.
		if !task.Job.Service() && task.Spent < p.cfg.Params.Workers.ReportS {
			p.yields[t.Job] = r.now.Add(p.reportS(1))
		}
		d.size += stopBytes
		grace := 0.0
		r.stops[v.Node.Name] = append(r.stops[v.Node.Name], wire.Order{Op: wire.OpStop, Task: t.Name(), Attempt: t.Attempt, GraceS: &grace})
		slog.Info("preempting", "task", t.Name(), "machine", v.Node.Name, "ran_s", int(task.Spent))
	}
}

// commit makes the round's changes, if there are any.
func (p *Placer) commit(r *round) {
	c := ledger.Commit{Settle: true, Patience: p.reportS(0.5)}
	var touched []string
	for _, d := range r.drafts {
		for _, b := range d.Binds {
			touched = append(touched, b.Name)
		}
	}
	if !p.split(r, &c) {
		p.undo(touched)
		return
	}
	p.merge(r, &c)
	c.GuardHands(r.hands)
	for id, stamp := range r.jobs {
		c.Guards = append(c.Guards, wire.Guard{Key: ledger.Key(ledger.KindJob, id), Version: stamp})
	}
	for key, d := range r.folds {
		c.Guards = append(c.Guards, wire.Guard{Key: key, Version: d.Stamp})
		c.Puts = append(c.Puts, ledger.Put{Key: key, Rec: d})
	}
	for id, rec := range r.falls {
		c.Puts = append(c.Puts, ledger.Put{Key: ledger.Key(ledger.KindJob, id), Rec: rec})
	}
	for job, writes := range r.ends {
		j := p.view.Jobs[job]
		c.Puts = append(c.Puts, ledger.Put{Key: ledger.Key(ledger.KindJob, job), Rec: &ledger.Job{
			State: wire.JobDone, Tasks: j.Tasks, At: j.At, EndAt: r.now.UnixMilli(),
		}})
		// The done set goes with the write that calls the job done.
		for chunk := range p.view.Chunks[job] {
			if writes--; writes > 0 {
				c.Delete = append(c.Delete, ledger.DoneKey(job, chunk))
			}
		}
	}
	for _, d := range r.drafts {
		for job := range r.ends {
			delete(d.Marks, job)
		}
		if !d.Fit(p.valueBytes(1)) {
			slog.Error("record too large; nothing is written", "group", d.Name, "bytes", d.Size(), "machines", len(d.Binds))
			// Rows grow when they are rewritten in a later term: the next round splits the
			// record, or it would be tried in vain again and again.
			p.large[d.Name] = true
			p.undo(touched)
			return
		}
		d.AddTo(&c)
	}
	if c.Ops() == 0 {
		return
	}
	p.pace.ReserveN(r.now, c.Ops())
	p.busy = true
	slog.Debug("round", "writes", c.Ops(), "limit", r.limit, "groups", len(r.drafts), "of", len(p.view.Groups), "folds", len(r.folds), "ends", len(r.ends), "falls", len(r.falls),
		"placed", sum(r.placed), "gone", r.gone, "notes_left", len(p.notes))
	p.ledger.Commit(c, func(out ledger.Outcome) {
		p.Send(func() {
			p.busy = false
			p.undo(touched)
			if out == ledger.Committed {
				for _, f := range r.log {
					f()
				}
				p.launch(r)
			}
			p.schedule()
		})
	})
}

// merge makes one record of groups that are written together anyhow, belong to
// one pool and fit: the fewer groups, the fewer writes, and the sooner a place
// that is free is known to be. Their machines must be full: two groups that begin
// fit into a record that is full long before the machines are. Only who places for all teams does: a later hand
// record makes the guards fail, so that no other may miss what is bound to a
// machine on its way from one record to the next.
func (p *Placer) merge(r *round, c *ledger.Commit) {
	if len(r.drafts) < 2 || !p.placesAll() {
		return
	}
	names := slices.Collect(maps.Keys(r.drafts))
	slices.SortFunc(names, func(a, b string) int { // the largest take over
		if d := len(r.drafts[b].Binds) - len(r.drafts[a].Binds); d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	merged := false
	for i, name := range names {
		into := r.drafts[name]
		if into == nil || r.parts[name] > 0 || !p.grown(into) {
			continue
		}
		size := into.Size()
		for _, other := range names[i+1:] {
			d := r.drafts[other]
			if d == nil || r.parts[other] > 0 || d.Type != into.Type || d.Zone != into.Zone || d.Spot != into.Spot || d.Lasting() || !p.grown(d) {
				continue
			}
			if more := d.Size(); size+more <= p.valueBytes(mergeFill) {
				into.Absorb(d.Draft)
				d.Remove(c)
				delete(r.drafts, other)
				size = into.Size()
				merged = true
			}
		}
	}
	if !merged {
		return
	}
	maps.Copy(r.hands, p.view.HandStamps())
}

// grown tells whether a group's record will hardly grow: all its machines have
// been up, and none has room.
func (p *Placer) grown(d *draft) bool {
	return d.Settled() && !slices.ContainsFunc(d.Binds, func(b *ledger.Bind) bool {
		n := p.nodes[b.Name]
		return n != nil && n.HasRoom()
	})
}

func sum(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// undo makes nodes that a round has changed say again what their rows do.
func (p *Placer) undo(machines []string) {
	for _, m := range machines {
		if b := p.view.Binds[m]; b != nil {
			p.renew(m, b)
		}
	}
}

// LaunchAge is how old the view may be from which a task is launched.
func LaunchAge(cfg *config.Config) time.Duration {
	return config.Secs(launchAge * cfg.Params.Workers.ReportS)
}

// launchAge, in report intervals, is what a ledger that has state keeps its view
// under when nothing changes.
const launchAge = 0.75

// launch sends the commands of a round that stands, under the tokens of its
// own rows: a later row may have ordered a task stopped again. What is lost or
// refused is repeated when the worker reports. That is left to a report, too, if
// the commit took long, or this process stood still since: a job may have been
// cancelled after its guard held.
func (p *Placer) launch(r *round) {
	if time.Since(r.now) > LaunchAge(p.cfg) {
		return
	}
	for m, rec := range r.rows {
		cmd := wire.Commands{Token: rec.Token, Session: rec.Session, Orders: append(r.stops[m], r.starts[m]...)}
		slog.Debug("placing", "machine", m, "starts", len(r.starts[m]), "stops", len(r.stops[m]), "first", cmd.Orders[len(r.stops[m])].Task)
		go func() {
			rep, err := p.worker.Do(p.ctx, rec.Addr, cmd)
			if err != nil {
				slog.Debug("commands unanswered", "machine", m, "err", err)
				p.Send(func() { p.shaky[m] = time.Now().Add(p.reportS(1)) })
				return
			}
			p.report(rep)
		}()
	}
}
