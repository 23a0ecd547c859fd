package reports

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/ledger"
	"lynxledge/wire"
)

// Reply answers a report: 200 with a body, or 421 towards another node, or
// 503 when neither is possible.
type Reply struct {
	Accept   bool
	Body     wire.ReportReply
	ReportTo string
}

// Reports is the actor that hears the workers.
type Reports struct {
	*actor.Actor
	cfg       *config.Config
	ledger    *ledger.Ledger
	elsewhere func() string // a controller that has state, or ""

	view    *ledger.View
	fresh   time.Time
	pending map[string]*wire.Report // what may prove something not yet written
	busy    bool
	heard   map[string]bool
	seenBy  []func(machines []string)
	began   map[string]time.Time // machine/task: first seen running
	gone    map[string]time.Time // machines whose records were removed
}

// Start runs the actor. elsewhere names a controller with a fresh view.
func Start(ctx context.Context, cfg *config.Config, l *ledger.Ledger, elsewhere func() string) *Reports {
	r := &Reports{
		Actor: actor.Start(ctx, "reports", 512), cfg: cfg, ledger: l, elsewhere: elsewhere,
		view:    ledger.NewRunningView(ledger.ChunkTasks(cfg.Params.State.ValueKB)),
		pending: map[string]*wire.Report{}, heard: map[string]bool{}, began: map[string]time.Time{},
		gone: map[string]time.Time{},
	}
	l.Subscribe(func(d ledger.Delta) { r.Send(func() { r.apply(d) }) })
	r.Every(config.Secs(cfg.Params.Workers.ReportS/3), r.beat)
	return r
}

// Heard registers a receiver of the machines that reported lately; to be
// called before the first report.
func (r *Reports) Heard(f func(machines []string)) { r.seenBy = append(r.seenBy, f) }

func (r *Reports) apply(d ledger.Delta) {
	r.fresh = d.Fresh
	for _, c := range d.Changes {
		if c.Kind == ledger.KindBind {
			r.bindChanged(c)
		}
		r.view.Apply(c)
		if c.Kind == ledger.KindDone {
			r.complete(c.Name)
		}
	}
	r.flush()
}

func (r *Reports) bindChanged(c ledger.Change) {
	b, _ := c.Rec.(*ledger.Bind)
	if b == nil {
		r.gone[c.Name] = time.Now()
	}
	for _, t := range ledger.Left(r.view.Binds[c.Name], b) {
		delete(r.began, c.Name+" "+t.Name())
	}
}

// beat tells who was heard, and tries again what could not be written.
func (r *Reports) beat() {
	if len(r.heard) > 0 {
		list := make([]string, 0, len(r.heard))
		for m := range r.heard {
			list = append(list, m)
		}
		clear(r.heard)
		for _, f := range r.seenBy {
			f(list)
		}
	}
	now := time.Now()
	for m, t := range r.gone {
		if now.Sub(t) > 6*config.Secs(r.cfg.Params.Cloud.ListLagS) {
			delete(r.gone, m)
		}
	}
	r.flush()
}

// spare is the time between the last moment at which this node surely knew
// every cancellation and the moment at which it must stop renewing leases.
func (r *Reports) spare() time.Duration {
	w := r.cfg.Params.Workers
	return config.Secs(w.CancelS - w.LeaseS - 2*w.ReportS)
}

func (r *Reports) active(job string) bool {
	j := r.view.Jobs[job]
	return j != nil && j.Active()
}

// Handle takes a report that came as an answer to direct commands: what it
// proves counts, but nobody waits for orders.
func (r *Reports) Handle(rep *wire.Report) {
	r.Post(func() {
		r.heard[rep.Machine] = true
		if rec := r.view.Binds[rep.Machine]; rec != nil {
			r.note(rec, rep)
			r.flush()
		}
	})
}

// Report answers a worker; reply runs in the actor.
func (r *Reports) Report(rep *wire.Report, reply func(Reply)) { r.answer(rep, reply, true) }

func (r *Reports) answer(rep *wire.Report, reply func(Reply), again bool) {
	now := time.Now()
	if now.Sub(r.fresh) > r.spare() {
		// Renewing leases now could keep a cancelled task beyond its time.
		reply(Reply{ReportTo: r.elsewhere()})
		return
	}
	r.heard[rep.Machine] = true
	rec := r.view.Binds[rep.Machine]
	if rec == nil || rep.Token > rec.Token || rep.Session > rec.Session && rec.Session > 0 && again {
		if again {
			r.ledger.Refresh(func(err error) {
				r.Send(func() {
					if err != nil {
						reply(Reply{ReportTo: r.elsewhere()})
						return
					}
					r.answer(rep, reply, false)
				})
			})
			return
		}
		if rec == nil {
			r.adopt(rep)
			reply(Reply{})
			return
		}
		if rep.Token > rec.Token {
			slog.Warn("worker has seen a token beyond its record", "machine", rep.Machine, "token", rep.Token, "record", rec.Token)
			r.note(rec, rep)
			reply(Reply{})
			return
		}
	}
	proof := r.note(rec, rep)
	if r.overdue(rec, now) {
		// A cancelled task is still bound here: let the lease run out. What the
		// report proves counts all the same, or the machine would be refused for
		// ever: that its session is a new one may be the proof.
		slog.Warn("cancelled work still on machine; its lease is not renewed", "machine", rep.Machine)
		reply(Reply{})
		r.flush()
		return
	}
	orders := proof.Orders
	if orders == nil {
		orders = []wire.Order{}
	}
	reply(Reply{Accept: true, Body: wire.ReportReply{Token: rec.Token, Orders: orders}})
	r.flush()
}

// overdue tells whether a task of a job cancelled long ago is still bound.
func (r *Reports) overdue(rec *ledger.Bind, now time.Time) bool {
	for i := range rec.Tasks {
		j := r.view.Jobs[rec.Tasks[i].Job]
		if j != nil && j.State == wire.JobCancelled && now.Sub(time.UnixMilli(j.EndAt)) > r.spare() {
			return true
		}
	}
	return false
}

// note keeps a report that proves something, and what it says of run times.
func (r *Reports) note(rec *ledger.Bind, rep *wire.Report) Proof {
	proof := Reconcile(rec, rep, r.active)
	for _, t := range rep.Tasks {
		key := rep.Machine + " " + t.Task
		if _, ok := r.began[key]; !ok && t.State == wire.TaskRunning {
			r.began[key] = time.Now()
		}
	}
	if proof.Changes() {
		if old := r.pending[rep.Machine]; old == nil || old.Session < rep.Session ||
			old.Session == rep.Session && old.Seq < rep.Seq {
			r.pending[rep.Machine] = rep
		}
	}
	return proof
}

// adopt makes a record for a machine that nobody knows.
func (r *Reports) adopt(rep *wire.Report) {
	if _, late := r.gone[rep.Machine]; late {
		return // a late report of a machine that was returned
	}
	slog.Info("unexpected machine adopted", "machine", rep.Machine, "type", rep.Type, "zone", rep.Zone)
	key := ledger.Key(ledger.KindBind, rep.Machine)
	r.ledger.Commit(ledger.Commit{
		Guards: []wire.Guard{{Key: key}},
		Puts: []ledger.Put{{Key: key, Rec: &ledger.Bind{
			Type: rep.Type, Zone: rep.Zone, Spot: rep.Spot, Addr: rep.Addr,
			Token: max(rep.Token, ledger.Token(r.view.CurrentTerm())), At: time.Now().UnixMilli(),
		}}},
	}, func(ledger.Outcome) {})
}

// flush writes what the pending reports prove: as many machines as a
// transaction holds, with the done sets and the jobs that end by it.
func (r *Reports) flush() {
	if r.busy || len(r.pending) == 0 {
		return
	}
	t := r.compose()
	if t.Ops() == 0 {
		return
	}
	t.Settle = true
	t.Patience = config.Secs(r.cfg.Params.Workers.ReportS)
	r.busy = true
	r.ledger.Commit(t.Commit, func(out ledger.Outcome) {
		r.Send(func() {
			r.busy = false
			if out == ledger.Committed {
				for _, f := range t.log {
					f()
				}
			}
			if out != ledger.Refused {
				r.flush()
			}
		})
	})
}

// txn is a commit in the making.
type txn struct {
	ledger.Commit
	done map[string]*ledger.DoneChunk // by key
	jobs map[string]bool              // guarded
	log  []func()
}

func (r *Reports) compose() *txn {
	t := &txn{done: map[string]*ledger.DoneChunk{}, jobs: map[string]bool{}}
	limit := r.cfg.Params.State.TxnOps
	machines := make([]string, 0, len(r.pending))
	for m := range r.pending {
		machines = append(machines, m)
	}
	slices.Sort(machines)
	for _, m := range machines {
		rec, rep := r.view.Binds[m], r.pending[m]
		if rec == nil {
			delete(r.pending, m)
			continue
		}
		proof := Reconcile(rec, rep, r.active)
		if !proof.Changes() {
			delete(r.pending, m)
			continue
		}
		if t.Ops()+len(t.done)+1 > limit-1 {
			break
		}
		r.rewrite(t, m, rec, rep, proof, limit)
	}
	for key, d := range t.done {
		t.Guards = append(t.Guards, wire.Guard{Key: key, Version: d.Stamp})
		t.Puts = append(t.Puts, ledger.Put{Key: key, Rec: d})
	}
	r.finish(t, limit)
	return t
}

// rewrite adds a machine's next record to the transaction.
func (r *Reports) rewrite(t *txn, m string, rec *ledger.Bind, rep *wire.Report, proof Proof, limit int) {
	next := rec.Next(r.view.CurrentTerm())
	next.Token = max(next.Token, rep.Token+1)
	if proof.Joined {
		next.Session, next.Addr = rep.Session, rep.Addr
	}
	next.Quiet = next.Quiet && !proof.Back
	if proof.Notice {
		next.Drain = "spot notice"
	}
	for _, name := range proof.Fence {
		job, n, _ := wire.SplitTask(name)
		if b := next.Find(job, n); b != nil {
			b.Stop = next.Token
		}
	}
	for _, g := range proof.Gone {
		job, n, _ := wire.SplitTask(g.Task)
		if g.Why == wire.WhyDone && r.active(job) && !r.record(t, job, n, limit) {
			continue // its turn comes with the next transaction
		}
		key := m + " " + g.Task
		if begun, ok := r.began[key]; ok {
			g.RanS = float64(int(10*time.Since(begun).Seconds())) / 10
		}
		next.Tasks = slices.DeleteFunc(next.Tasks, func(b ledger.Bound) bool { return b.Job == job && b.N == n })
		next.Gone = append(next.Gone, g)
		t.log = append(t.log, func() {
			if g.Why != wire.WhyDone {
				slog.Info("task left machine", "task", g.Task, "machine", m, "why", g.Why)
			}
		})
	}
	key := ledger.Key(ledger.KindBind, m)
	t.Guards = append(t.Guards, wire.Guard{Key: key, Version: rec.Stamp})
	t.Puts = append(t.Puts, ledger.Put{Key: key, Rec: next})
	if proof.Joined {
		t.log = append(t.log, func() {
			slog.Info("machine up", "machine", m, "session", next.Session, "type", next.Type, "zone", next.Zone, "spot", next.Spot)
		})
	}
}

// record puts a task into its job's done set; false when there is no room.
func (r *Reports) record(t *txn, job string, n, limit int) bool {
	chunk, bit := r.view.Chunk(n)
	key := ledger.DoneKey(job, chunk)
	d := t.done[key]
	if d == nil {
		// One operation for the record itself, one for a job that ends.
		if t.Ops()+len(t.done)+3 > limit {
			return false
		}
		d = r.view.Done[job][chunk]
	}
	t.done[key] = d.With(bit)
	if !t.jobs[job] {
		t.jobs[job] = true
		t.Guards = append(t.Guards, wire.Guard{Key: ledger.Key(ledger.KindJob, job), Version: r.view.Jobs[job].Stamp})
	}
	return true
}

// finish ends the jobs whose last tasks the transaction records, as far as it
// has room; the rest follow when the watch tells of their done sets.
func (r *Reports) finish(t *txn, limit int) {
	for job := range t.jobs {
		n := 0
		for chunk, d := range r.view.Done[job] {
			if t.done[ledger.DoneKey(job, chunk)] == nil {
				n += d.Count()
			}
		}
		for c := 0; c*r.chunkTasks() < r.view.Jobs[job].Tasks; c++ {
			n += t.done[ledger.DoneKey(job, c)].Count()
		}
		if n == r.view.Jobs[job].Tasks && t.Ops() < limit {
			t.Puts = append(t.Puts, r.ended(job))
			r.dropSet(t, job, limit)
			at := time.UnixMilli(r.view.Jobs[job].At)
			t.log = append(t.log, func() { slog.Debug("job done", "job", job, "age_s", int(time.Since(at).Seconds())) })
		}
	}
}

func (r *Reports) chunkTasks() int { return ledger.ChunkTasks(r.cfg.Params.State.ValueKB) }

// dropSet takes a job's done set out of the state service with the write that
// calls the job done, if the transaction has room for that.
func (r *Reports) dropSet(t *txn, job string, limit int) {
	keys := map[string]bool{}
	for chunk := range r.view.Done[job] {
		keys[ledger.DoneKey(job, chunk)] = true
	}
	kept := t.Puts[:0:0]
	for _, p := range t.Puts {
		d, set := p.Rec.(*ledger.DoneChunk)
		if set && strings.HasPrefix(p.Key, ledger.DoneKeys(job)) {
			if d.Stamp == 0 {
				continue // never stored: there is nothing to drop
			}
			if keys[p.Key] {
				delete(keys, p.Key)
				t.Delete = append(t.Delete, p.Key)
				continue
			}
		}
		kept = append(kept, p)
	}
	t.Puts = kept
	for key := range keys {
		if t.Ops() < limit {
			t.Delete = append(t.Delete, key)
		}
	}
}

// ended is a job's last record.
func (r *Reports) ended(job string) ledger.Put {
	j := r.view.Jobs[job]
	return ledger.Put{Key: ledger.Key(ledger.KindJob, job), Rec: &ledger.Job{
		State: wire.JobDone, Tasks: j.Tasks, At: j.At, EndAt: time.Now().UnixMilli(),
	}}
}

// complete ends a job that has all its tasks done but is not called done: two
// nodes may have recorded its last tasks in different chunks at once.
func (r *Reports) complete(name string) {
	job, _, _ := strings.Cut(name, "/")
	j := r.view.Jobs[job]
	if j == nil || !j.Active() || r.view.DoneCount(job) < j.Tasks {
		return
	}
	t := &txn{Commit: ledger.Commit{
		Guards:   []wire.Guard{{Key: ledger.Key(ledger.KindJob, job), Version: j.Stamp}},
		Puts:     []ledger.Put{r.ended(job)},
		Patience: config.Secs(r.cfg.Params.Workers.ReportS),
	}}
	r.dropSet(t, job, r.cfg.Params.State.TxnOps)
	r.ledger.Commit(t.Commit, func(ledger.Outcome) {})
}
