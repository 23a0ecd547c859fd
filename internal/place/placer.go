package place

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/ledger"
	"lynxledge/wire"
)

// Commander sends commands straight to a worker.
type Commander interface {
	Do(ctx context.Context, addr string, cmd wire.Commands) (*wire.Report, error)
}

// Placer is the actor that places the tasks of the teams handed to it.
type Placer struct {
	*actor.Actor
	ctx    context.Context
	cfg    *config.Config
	boot   uint64
	ledger *ledger.Ledger
	worker Commander
	report func(*wire.Report) // takes what workers answer to commands
	rng    *rand.Rand

	view   *ledger.View
	epoch  uint64
	fresh  time.Time
	types  map[string]*wire.MachineType
	offers Offers
	active map[string]*ledger.Job
	runs   *Estimates
	low    map[string]int       // lowest task of a job that may not be done
	since  map[string]time.Time // when a bound task was first seen
	images map[string][]image   // machine: images fetched there, newest first
	failed map[string]*failure  // job: what went wrong lately
	shaky  map[string]time.Time // machine: not to be used until

	busy      bool
	scheduled bool
}

type image struct {
	name string
	gb   float64
}

// probeAfter is the number of failures since a success after which a job's
// tasks are tried one at a time: it may have been submitted with a mistake.
const probeAfter = 3

// failure backs a job off after tasks of it failed.
type failure struct {
	count    int
	until    time.Time
	machines map[string]bool
}

// Start runs a placer. report must not wait for the placer.
func Start(ctx context.Context, cfg *config.Config, boot uint64, l *ledger.Ledger, w Commander, report func(*wire.Report)) *Placer {
	p := &Placer{
		Actor: actor.Start(ctx, "placer", 512), ctx: ctx, cfg: cfg, boot: boot, ledger: l, worker: w,
		report: report, rng: rand.New(rand.NewPCG(boot, 1)),
		view:  ledger.NewRunningView(ledger.ChunkTasks(cfg.Params.State.ValueKB)),
		types: map[string]*wire.MachineType{}, active: map[string]*ledger.Job{}, runs: NewEstimates(), low: map[string]int{},
		since: map[string]time.Time{}, images: map[string][]image{}, failed: map[string]*failure{},
		shaky: map[string]time.Time{},
	}
	l.Subscribe(func(d ledger.Delta) { p.Send(func() { p.apply(d) }) })
	p.Every(config.Secs(cfg.Params.Workers.ReportS/6), p.schedule)
	return p
}

// SetTypes tells the placer of the machine types.
func (p *Placer) SetTypes(types []wire.MachineType) {
	p.Send(func() {
		p.offers = Offers{}
		most := 0.0
		for i := range types {
			p.types[types[i].Name] = &types[i]
			for _, z := range types[i].Zones {
				p.offers[z]++
				most = max(most, p.offers[z])
			}
		}
		for z := range p.offers {
			p.offers[z] /= most
		}
		p.schedule()
	})
}

func (p *Placer) apply(d ledger.Delta) {
	now := time.Now()
	p.epoch, p.fresh = d.Epoch, d.Fresh
	for _, c := range d.Changes {
		if c.Kind == ledger.KindBind {
			p.bindChanged(c, now)
			if b, _ := c.Rec.(*ledger.Bind); b != nil {
				p.runs.Learn(b, p.view.Jobs)
			}
		}
		p.view.Apply(c)
		if c.Kind == ledger.KindJob {
			if j, _ := c.Rec.(*ledger.Job); j != nil && j.Active() && j.Spec != nil {
				p.active[c.Name] = j
			} else {
				delete(p.active, c.Name)
				delete(p.low, c.Name)
				delete(p.failed, c.Name)
				p.runs.Forget(c.Name)
			}
		}
	}
	if len(d.Changes) > 0 {
		p.schedule()
	}
}

// bindChanged learns from a machine's new record: what was bound since when,
// which images are there, and what failed.
func (p *Placer) bindChanged(c ledger.Change, now time.Time) {
	b, _ := c.Rec.(*ledger.Bind)
	for _, t := range ledger.Left(p.view.Binds[c.Name], b) {
		delete(p.since, t.Name())
	}
	if b == nil {
		delete(p.images, c.Name)
		delete(p.shaky, c.Name)
		return
	}
	for i := range b.Tasks {
		t := &b.Tasks[i]
		if _, ok := p.since[t.Name()]; !ok {
			p.since[t.Name()] = now
			if j := p.view.Jobs[t.Job]; j != nil && j.Spec != nil {
				p.fetched(c.Name, b.Type, j.Spec.Image, j.Spec.ImageGB)
			}
		}
	}
	for _, g := range b.Gone {
		job, _, ok := wire.SplitTask(g.Task)
		if !ok {
			continue
		}
		switch g.Why {
		case wire.WhyDone:
			delete(p.failed, job)
		case wire.WhyError, wire.WhyUnknown, wire.WhyNoRoom, wire.WhyBusy:
			p.fail(job, c.Name, g.Why, now)
		}
	}
}

// fetched moves an image to the front of a machine's cache, as far as it can
// be known from here.
func (p *Placer) fetched(machine, typ, name string, gb float64) {
	list := slices.DeleteFunc(p.images[machine], func(i image) bool { return i.name == name })
	list = append([]image{{name, gb}}, list...)
	if t := p.types[typ]; t != nil {
		sum := 0.0
		for i := range list {
			if sum += list[i].gb; sum > t.CacheGB {
				list = list[:max(1, i)]
				break
			}
		}
	}
	p.images[machine] = list
}

// fail backs a job off: a refusal for want of room for one report, a real
// failure twice as long each time.
func (p *Placer) fail(job, machine, why string, now time.Time) {
	f := p.failed[job]
	if f == nil {
		f = &failure{machines: map[string]bool{}}
		p.failed[job] = f
	}
	f.machines[machine] = true
	if why == wire.WhyNoRoom || why == wire.WhyBusy {
		p.shaky[machine] = now.Add(config.Secs(p.cfg.Params.Workers.ReportS))
		return
	}
	f.count++
	wait := p.cfg.Params.Workers.ReportS * math.Pow(2, float64(min(f.count, 6)-2))
	f.until = now.Add(config.Secs(wait))
	slog.Info("task failed", "job", job, "machine", machine, "why", why, "failures", f.count, "wait_s", wait)
}

// batchPause lets changes that come together be placed together.
const batchPause = 5 * time.Millisecond

func (p *Placer) schedule() {
	if p.busy || p.scheduled {
		return
	}
	p.scheduled = true
	p.After(batchPause, func() {
		p.scheduled = false
		if !p.busy {
			p.place()
		}
	})
}

// mine lists the teams that this process may place: their hand records name
// it, and the view has every bind made under earlier ones.
func (p *Placer) mine() map[string]*ledger.Hand {
	out := map[string]*ledger.Hand{}
	for team, h := range p.view.Hands {
		if h.Boot == p.boot && p.epoch >= h.Stamp {
			out[team] = h
		}
	}
	return out
}

func (p *Placer) anyWaits(mine map[string]*ledger.Hand) bool {
	for id, j := range p.active {
		if mine[j.Spec.Team] != nil && p.view.Waits(id, j) > 0 {
			return true
		}
	}
	return false
}

type waiting struct {
	id       string
	job      *ledger.Job
	hand     uint64 // stamp of the team's hand record
	late     int    // how many of its deadlines can't be met any more
	deadline float64
}

// queue orders the jobs that have tasks to place: by rank, then earliest
// deadline first. A job that can't meet a deadline any more, though it had the
// whole cluster, gives way to those that can: under overload plain EDF makes
// every job late. Of those that can't meet any, the one with the least left
// goes first.
func (p *Placer) queue(mine map[string]*ledger.Hand, c *cluster, now time.Time) []waiting {
	var q []waiting
	for id, j := range p.active {
		if mine[j.Spec.Team] == nil {
			continue
		}
		left := p.view.Waits(id, j)
		if left <= 0 {
			continue
		}
		if f := p.failed[id]; f != nil && now.Before(f.until) {
			continue
		}
		w := waiting{id: id, job: j, hand: mine[j.Spec.Team].Stamp}
		run := p.runs.RunS(j.Spec)
		need := run * (1 + float64(left)/c.slots(j.Spec))
		deadlines := p.cfg.Deadlines(j.Spec.Class, j.Spec.DeadlineS)
		age := float64(now.UnixMilli()-j.At) / 1000
		for _, d := range deadlines {
			w.deadline = float64(j.At)/1000 + d
			if age+need <= d {
				break
			}
			w.late++
		}
		if w.late == len(deadlines) && !j.Spec.Service() {
			w.deadline = run * float64(left) * j.Spec.CPUs
		}
		q = append(q, w)
	}
	slices.SortFunc(q, func(a, b waiting) int {
		if a.job.Spec.Rank != b.job.Spec.Rank {
			return int(b.job.Spec.Rank - a.job.Spec.Rank)
		}
		if a.late != b.late {
			return a.late - b.late
		}
		if a.deadline != b.deadline {
			if a.deadline < b.deadline {
				return -1
			}
			return 1
		}
		return strings.Compare(a.id, b.id)
	})
	return q
}

func withImage(nodes []*Node, image string) []*Node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *Node) bool { return !n.Image(image) })
}

// cluster is what one round of choices looks at.
type cluster struct {
	nodes  []*Node
	tally  Tally
	offers Offers
	boots  []*Node // machines that are coming up
}

// slots is how many tasks of a job the machines that are up could run at once
// if they had nothing else to do.
func (c *cluster) slots(j *wire.Job) float64 {
	n := 1.0
	for _, node := range c.nodes {
		if Allowed(j, node.Type.Name, node.Zone, node.Spot) {
			n += math.Floor(1/Of(j).Share(Capacity(node.Type)) + slack)
		}
	}
	return n
}

// worthWaiting tells whether a job that could go elsewhere had better wait
// for a machine that is coming up than take room in a zone where little can
// be rented: that room is for jobs that must spread into it. Only a cluster
// that begins waits: later a replica can be moved.
func (c *cluster) worthWaiting(j *wire.Job, n *Node) bool {
	if n.Spot || j.Spread && j.Tasks > 1 || j.Zone != "" {
		return false
	}
	for _, up := range c.nodes {
		if !up.Spot && c.offers[up.Zone] > c.offers[n.Zone] {
			return false
		}
	}
	for _, b := range c.boots {
		if !b.Spot && c.offers[b.Zone] > c.offers[n.Zone] && Allowed(j, b.Type.Name, b.Zone, b.Spot) && Of(j).Fits(Capacity(b.Type)) {
			return true
		}
	}
	return false
}

// cluster puts together the machines with room and what teams use.
func (p *Placer) cluster(now time.Time) *cluster {
	tally := Tally{}
	claims := make([]Claim, 0, len(p.active))
	for id, j := range p.active {
		claims = append(claims, Claim{j.Spec, j.At, j.Tasks - p.view.DoneCount(id)})
	}
	owed := Owed(claims, p.team)
	var nodes, boots []*Node
	for name, b := range p.view.Binds {
		typ := p.types[b.Type]
		n := &Node{Name: name, Type: typ, Zone: b.Zone, Spot: b.Spot}
		for i := range b.Tasks {
			t := &b.Tasks[i]
			task := Task{Name: t.Name(), Stops: t.Stop > 0}
			if j := p.view.Jobs[t.Job]; j != nil && j.Spec != nil {
				task.Job = j.Spec
				res := Of(j.Spec)
				tally[j.Spec.Team] = tally[j.Spec.Team].Plus(res, 1)
				// What is ordered to stop without saving is gone before a
				// launch in the same commands is carried out.
				if t.Stop == 0 || t.Grace > 0 {
					n.Used = n.Used.Plus(res, 1)
				}
				task.Stops = task.Stops || !j.Active()
				task.Owed = owed[t.Job]
				task.Last = p.view.Waits(t.Job, j) <= 0
			}
			task.Spent = now.Sub(p.since[task.Name]).Seconds()
			n.Tasks = append(n.Tasks, task)
		}
		if typ != nil && b.Session == 0 && b.Drain == "" && now.Sub(time.UnixMilli(b.At)) < config.Secs(1.5*typ.BootS) {
			boots = append(boots, n)
		}
		if typ == nil || !b.Open() || now.Before(p.shaky[name]) {
			continue
		}
		list := p.images[name]
		n.Image = func(img string) bool {
			return slices.ContainsFunc(list, func(i image) bool { return i.name == img })
		}
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *Node) int { return strings.Compare(a.Name, b.Name) })
	return &cluster{nodes, tally, p.offers, boots}
}

// batch is one commit in the making.
type batch struct {
	binds  map[string]*ledger.Bind
	jobs   map[string]uint64
	placed map[string]int
	hands  map[string]uint64
	starts map[string][]wire.Order
	stops  map[string][]wire.Order
}

// place makes one round of choices and commits them.
func (p *Placer) place() {
	now := time.Now()
	if len(p.types) == 0 || now.Sub(p.fresh) > config.Secs(p.cfg.Params.Workers.ReportS*2) {
		return
	}
	mine := p.mine()
	if len(mine) == 0 {
		return
	}
	if !p.anyWaits(mine) {
		return
	}
	c := p.cluster(now)
	q := p.queue(mine, c, now)
	if len(q) == 0 {
		return
	}
	b := &batch{
		binds: map[string]*ledger.Bind{}, jobs: map[string]uint64{}, placed: map[string]int{}, hands: map[string]uint64{},
		starts: map[string][]wire.Order{}, stops: map[string][]wire.Order{},
	}
	for _, w := range q {
		if !p.placeJob(w, c, b) {
			break
		}
	}
	if len(b.binds) > 0 {
		p.commit(b)
	}
}

func (p *Placer) team(name string) config.Team {
	t, _ := p.cfg.Params.Team(name)
	t.Name = name
	return t
}

// placeJob places what it can of a job; false when the batch is full.
func (p *Placer) placeJob(w waiting, c *cluster, b *batch) bool {
	spec, team, tally := w.job.Spec, p.team(w.job.Spec.Team), c.tally
	need := Of(spec)
	zones := ZonesOf(p.view, w.id)
	sample := Sample(c.nodes, p.rng)
	if f := p.failed[w.id]; f != nil {
		// Failed work is tried elsewhere, while there is an elsewhere.
		if rest := slices.DeleteFunc(slices.Clone(sample), func(n *Node) bool { return f.machines[n.Name] }); len(rest) > 0 {
			sample = rest
		}
	}
	failing := p.failed[w.id] != nil && p.failed[w.id].count >= probeAfter
	for n := p.low[w.id]; n < w.job.Tasks; n++ {
		if failing && len(p.view.Bound[w.id])+b.placed[w.id] > 0 {
			return true // one at a time until one succeeds
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
		if !tally.WithinLimit(team, need) {
			return true
		}
		node := Pick(spec, zones, c.offers, sample)
		preempts := spec.Rank >= wire.RankHigh || tally.WithinGuarantee(team, need)
		var v *Victims
		// A fetch takes longer than urgent work may wait: where its image is,
		// other work makes room for it.
		if preempts && node == nil {
			v = Preempt(spec, zones, c.offers, sample, tally, p.team)
		} else if preempts && spec.Rank >= wire.RankHigh && !node.Image(spec.Image) {
			v = Preempt(spec, zones, c.offers, withImage(sample, spec.Image), tally, p.team)
		}
		if node == nil && v == nil {
			v = Move(spec, zones, sample)
		}
		if node == nil && v == nil {
			return true
		}
		if v == nil && c.worthWaiting(spec, node) {
			return true
		}
		if v != nil {
			if !p.open(b, v.Node.Name) {
				return false
			}
			p.stop(b, v)
			node = v.Node
		}
		if !p.open(b, node.Name) || !p.bind(b, node, w, n) {
			return false
		}
		node.Used = node.Used.Plus(need, 1)
		// Marked as stopping, so that nothing in this round preempts it.
		node.Tasks = append(node.Tasks, Task{Job: spec, Name: wire.TaskName(w.id, n), Stops: true})
		tally[team.Name] = tally[team.Name].Plus(need, 1)
		zones[node.Zone]++
	}
	return true
}

// open makes a machine's next record part of the batch; false when the batch
// is full. Guards are limited too: each bind and job takes one.
func (p *Placer) open(b *batch, machine string) bool {
	if b.binds[machine] != nil {
		return true
	}
	if len(b.binds) >= p.cfg.Params.State.TxnOps {
		return false
	}
	b.binds[machine] = p.view.Binds[machine].Next(p.view.CurrentTerm())
	return true
}

func (p *Placer) bind(b *batch, node *Node, w waiting, n int) bool {
	if _, known := b.jobs[w.id]; !known && len(b.jobs) >= 2*p.cfg.Params.State.TxnOps {
		return false
	}
	rec := b.binds[node.Name]
	// The record's token has never been used on this machine before. The view's
	// revision would not do: it stands still between an own commit and its
	// repeat by the watch, and an attempt used twice on a machine lets the first
	// one's end pass for the second's.
	t := ledger.Bound{Job: w.id, N: n, Attempt: rec.Token}
	rec.Tasks = append(rec.Tasks, t)
	if raw, err := json.Marshal(rec); err != nil || len(raw) > int(p.cfg.Params.State.ValueKB*1024*recordFill) {
		rec.Tasks = rec.Tasks[:len(rec.Tasks)-1]
		return false
	}
	b.jobs[w.id] = w.job.Stamp
	b.hands[w.job.Spec.Team] = w.hand
	b.placed[w.id]++
	b.starts[node.Name] = append(b.starts[node.Name], wire.Order{Op: wire.OpStart, Task: t.Name(), Attempt: t.Attempt})
	return true
}

// recordFill is the part of the value limit that bound tasks may fill; the
// rest is for what a machine's record says when they end.
const recordFill = 0.6

// stop orders victims stopped in the record that binds their successor.
func (p *Placer) stop(b *batch, v *Victims) {
	rec := b.binds[v.Node.Name]
	for _, i := range v.Tasks {
		task := &v.Node.Tasks[i]
		task.Stops = true
		v.Node.Used = v.Node.Used.Plus(Of(task.Job), -1)
		job, n, _ := wire.SplitTask(task.Name)
		t := rec.Find(job, n)
		if t == nil {
			continue
		}
		t.Stop = rec.Token
		grace := 0.0
		b.stops[v.Node.Name] = append(b.stops[v.Node.Name], wire.Order{Op: wire.OpStop, Task: t.Name(), Attempt: t.Attempt, GraceS: &grace})
		slog.Info("preempting", "task", task.Name, "machine", v.Node.Name, "ran_s", int(task.Spent))
	}
}

func (p *Placer) commit(b *batch) {
	c := ledger.Commit{Settle: true, Patience: time.Second}
	for team, stamp := range b.hands {
		c.Guards = append(c.Guards, wire.Guard{Key: ledger.Key(ledger.KindHand, team), Version: stamp})
	}
	for id, stamp := range b.jobs {
		c.Guards = append(c.Guards, wire.Guard{Key: ledger.Key(ledger.KindJob, id), Version: stamp})
	}
	for m, rec := range b.binds {
		key := ledger.Key(ledger.KindBind, m)
		c.Guards = append(c.Guards, wire.Guard{Key: key, Version: rec.Stamp})
		c.Puts = append(c.Puts, ledger.Put{Key: key, Rec: rec})
	}
	p.busy = true
	p.ledger.Commit(c, func(out ledger.Outcome) {
		p.Send(func() {
			p.busy = false
			if out == ledger.Committed {
				p.launch(b)
			}
			p.schedule()
		})
	})
}

// launch sends the commands of a batch that stands. What is lost or refused
// is repeated when the worker reports.
func (p *Placer) launch(b *batch) {
	for m, rec := range b.binds {
		orders := append(b.stops[m], b.starts[m]...)
		cmd := wire.Commands{Token: rec.Token, Session: rec.Session, Orders: orders}
		slog.Debug("placing", "machine", m, "starts", len(b.starts[m]), "stops", len(b.stops[m]), "first", b.starts[m])
		go func() {
			rep, err := p.worker.Do(p.ctx, rec.Addr, cmd)
			if err != nil {
				slog.Debug("commands unanswered", "machine", m, "err", err)
				p.Send(func() { p.shaky[m] = time.Now().Add(config.Secs(p.cfg.Params.Workers.ReportS)) })
				return
			}
			p.report(rep)
		}()
	}
}
