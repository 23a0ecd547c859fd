package place

import (
	"log/slog"
	"maps"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// round is one commit in the making: what reports prove, jobs that end by it,
// and new bindings, all that concerns a group in one write.
type round struct {
	now            time.Time
	limit          int // writes
	drafts         map[string]*draft
	doneSets       map[string]*statecache.CompletionChunk // by key
	ends           map[string]int                         // jobs that end: writes that takes
	parts          map[string]int                         // groups to split: new records at most
	cancellations  map[string]*statecache.Job             // jobs whose cancellation is stored
	marks          map[string]int                         // jobs: tasks marked here
	jobs           map[string]uint64                      // guarded jobs
	assignments    map[string]uint64
	placed         map[string]int
	tally          Usage
	guaranteed     map[string]bool // jobs within their teams' guarantees
	starts         map[string][]wire.Command
	stops          map[string][]wire.Command
	departed       int                            // tasks that left
	departureBytes int                            // bytes of what the records say of them
	rows           map[string]*statecache.Machine // of the machines with starts
	log            []func()
	judged         map[*Node]bool            // brought up to date for choices of victims
	near           []*Node                   // with room, in groups that are written anyhow
	nearOf         int                       // number of those groups
	searchShare    map[wire.Priority]float64 // part of the jobs that may look for others' places
}

// newRound begins a round of at most so many writes. tally is what teams use before it.
func newRound(now time.Time, limit int, tally Usage) *round {
	return &round{
		now:           now,
		limit:         limit,
		drafts:        map[string]*draft{},
		doneSets:      map[string]*statecache.CompletionChunk{},
		ends:          map[string]int{},
		parts:         map[string]int{},
		cancellations: map[string]*statecache.Job{},
		marks:         map[string]int{},
		jobs:          map[string]uint64{},
		assignments:   map[string]uint64{},
		placed:        map[string]int{},
		tally:         maps.Clone(tally),
		starts:        map[string][]wire.Command{},
		stops:         map[string][]wire.Command{},
		rows:          map[string]*statecache.Machine{},
		judged:        map[*Node]bool{},
	}
}

type draft struct {
	*statecache.GroupUpdate
	size int // of the record, at most
}

// Parts of the value limit: bound tasks may fill the first, the rest is for
// what a record says when they end; marks are folded beyond the second.
const (
	recordFill = 0.8
	urgentFill = 0.9 // for tasks of priority high and above: the others must not leave them without a record
	foldFill   = 0.7
	mergeFill  = 0.6 // groups are merged up to here
	splitFrom  = 0.9 // a record beyond is split
	crowdedAt  = 0.7 // a record beyond that takes no more tasks is split too
)

func (p *Placer) valueBytes(part float64) int {
	return int(float64(p.cfg.Params.Store.ValueSizeLimit()) * part)
}

func (r *round) ops() int {
	n := len(r.drafts) + len(r.doneSets) + len(r.cancellations)
	for _, parts := range r.parts {
		n += parts
	}
	for _, w := range r.ends {
		n += w
	}
	return n
}

// full: no more groups can be written.
func (r *round) full() bool { return r.ops() >= r.limit || r.bytes() >= statecache.MaxTxnRecordBytes }

// bytes is at most the size of the commit. Records may have a size at which a
// transaction reaches the limit of a body long before that of its writes.
func (r *round) bytes() int {
	n := r.departureBytes
	for _, d := range r.drafts {
		n += d.size + statecache.WriteOverheadBytes
	}
	for _, f := range r.doneSets {
		n += 4*len(f.Bits)/3 + statecache.WriteOverheadBytes
	}
	n += statecache.WriteOverheadBytes * (len(r.ends) + len(r.cancellations)*(1+cancelledJobBytes/statecache.WriteOverheadBytes))
	return n + statecache.WriteOverheadBytes*(len(r.jobs)+len(r.assignments))
}

// cancelledJobBytes is the most that the record of a cancelled job takes.
const cancelledJobBytes = 1024

// guardable tells whether more jobs can be guarded: a transaction may have four
// guards for each write; each write needs one of its own, and so may every team's hand
// record.
func (p *Placer) guardable(r *round) bool {
	ops := p.cfg.Params.Store.TxnOpsLimit()
	return len(r.jobs) < min(2*ops, 3*ops-len(p.view.Assignments))
}

// open makes a group's next record part of the round; nil when it is full.
func (p *Placer) open(r *round, group string) *draft {
	if d := r.drafts[group]; d != nil {
		return d
	}
	if r.full() || p.view.Groups[group] == nil || r.parts[group] == 0 && p.largeRecords[group] && p.view.Groups[group].RetainedSize() > p.valueBytes(1) {
		return nil
	}
	d := &draft{GroupUpdate: p.view.UpdateGroup(group)}
	d.size = d.EncodedSize()
	if len(r.drafts) > 0 && r.bytes()+d.size > statecache.MaxTxnRecordBytes {
		return nil
	}
	r.drafts[group] = d
	for _, b := range d.Machines {
		if n := p.nodes[b.Name]; n != nil {
			n.NeedsOwnWrite = false
		}
	}
	return d
}

// commit makes the round's changes, if there are any.
func (p *Placer) commit(r *round) {
	c := statecache.Commit{RetryUntilCertain: true, RetryFor: p.reportS(0.5)}
	var touched []string
	for _, d := range r.drafts {
		for _, b := range d.Machines {
			touched = append(touched, b.Name)
		}
	}
	if !p.split(r, &c) {
		p.undo(touched)
		return
	}
	p.merge(r, &c)
	c.RequireAssignments(r.assignments)
	for id, stamp := range r.jobs {
		c.Preconditions = append(c.Preconditions, wire.Precondition{Key: statecache.Key(statecache.KindJob, id), ModRevision: stamp})
	}
	for key, d := range r.doneSets {
		c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key, ModRevision: d.ModRevision})
		c.Puts = append(c.Puts, statecache.Put{Key: key, Record: d})
	}
	for id, rec := range r.cancellations {
		c.Puts = append(c.Puts, statecache.Put{Key: statecache.Key(statecache.KindJob, id), Record: rec})
	}
	for job, writes := range r.ends {
		j := p.view.Jobs[job]
		c.Puts = append(c.Puts, statecache.Put{Key: statecache.Key(statecache.KindJob, job), Record: &statecache.Job{
			State: wire.JobDone, TaskCount: j.TaskCount, SubmittedAt: j.SubmittedAt, FinishedAt: r.now.UnixMilli(),
		}})
		// The done set goes with the write that calls the job done.
		for chunk := range p.view.CompletionChunks[job] {
			if writes--; writes > 0 {
				c.Deletes = append(c.Deletes, statecache.CompletionChunkKey(job, chunk))
			}
		}
	}
	for _, d := range r.drafts {
		for job := range r.ends {
			delete(d.Completions, job)
		}
		if !d.TrimToFit(p.valueBytes(1)) {
			slog.Error("record too large; nothing is written", "group", d.Name, "bytes", d.EncodedSize(), "machines", len(d.Machines))
			// Rows grow when they are rewritten in a later term: the next round splits the
			// record, or it would be tried in vain again and again.
			p.largeRecords[d.Name] = true
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
	p.ownWrites = c.Ops()
	slog.Debug("round",
		"writes", c.Ops(),
		"limit", r.limit,
		"groups", len(r.drafts),
		"of", len(p.view.Groups),
		"done_sets", len(r.doneSets),
		"jobs_done", len(r.ends),
		"cancellations", len(r.cancellations),
		"placed", sum(r.placed),
		"departed", r.departed,
		"groups_waiting", len(p.observations))
	p.ledger.Commit(c, func(out statecache.Outcome) {
		p.Send(func() {
			p.busy = false
			p.ownWrites = 0 // told by now, or not made
			p.undo(touched)
			if out == statecache.Committed {
				for _, f := range r.log {
					f()
				}
				p.launch(r)
			}
			p.schedule()
		})
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
		if b := p.view.Machines[m]; b != nil {
			p.renew(m, b)
		}
	}
}
