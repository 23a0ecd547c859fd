package place

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/ledger"
	"lynxledge/wire"
)

// Commander sends commands straight to a worker.
type Commander interface {
	Do(ctx context.Context, addr string, cmd wire.Commands) (*wire.Report, error)
}

// Note is a report that proves something of its machine's record, and how long
// the tasks ran that it calls ended, as far as its hearer knows.
type Note struct {
	Report *wire.Report       `json:"report"`
	RanS   map[string]float64 `json:"ranS,omitempty"`
}

// Placer is the actor that writes what is bound to machines: it places the
// tasks of the teams handed to it, and takes over what reports prove. The
// process that the teams are handed to writes at once; any other one only what
// nobody has written for a while.
type Placer struct {
	*actor.Actor
	ctx    context.Context
	cfg    *config.Config
	boot   uint64
	ledger *ledger.Ledger
	worker Commander
	report func(*wire.Report) // takes what workers answer to commands
	rng    *rand.Rand
	pace   *rate.Limiter // of writes

	view   *ledger.View
	epoch  uint64
	fresh  time.Time
	types  map[string]*wire.MachineType
	offers Offers
	active map[string]*ledger.Job
	runs   *Estimates
	low    map[string]int       // lowest task of a job that may not be done
	images map[string][]image   // machine: images fetched there, newest first
	failed map[string]*failure  // job: what went wrong lately
	shaky  map[string]time.Time // machine: not to be used until
	yields map[string]time.Time // array: not to be placed until, since a task of it gave way as soon as it was

	nodes  map[string]*Node
	all    []*Node
	roomy  []*Node // those with room
	pools  map[pool]stock
	starts map[string]*Node // machines that are coming up
	tally  Tally

	notes   map[string]map[string]*noted // group, machine
	proved  time.Time                    // when somebody last wrote what reports proved
	ripe    map[string]time.Time         // complete jobs that are not called done yet, since
	large   map[string]bool              // groups whose records can hardly be written, or not at all
	crowded map[string]bool              // groups whose records are full before their machines are
	fallen  map[string]*ledger.Job       // cancelled with a predecessor, which their own records don't say yet

	busy      bool
	scheduled bool
}

type pool struct {
	typ, zone string
	spot      bool
}

// stock is what a pool has.
type stock struct {
	open int // machines that may take tasks
	kept Res // what replicas hold of them
}

type noted struct {
	Note
	due   time.Time // when this process writes it, if no other has
	frees int       // tasks that it shows ended: places that stand empty until it is written
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
	s := cfg.Params.State
	p := &Placer{
		Actor: actor.Start(ctx, "placer", 512), ctx: ctx, cfg: cfg, boot: boot, ledger: l, worker: w,
		report: report, rng: rand.New(rand.NewPCG(boot, 1)),
		pace:  rate.NewLimiter(rate.Limit(s.WriteRPS*cfg.Ops.StateShare), s.Ops()),
		view:  ledger.NewRunningView(ledger.ChunkTasks(s.ValueKB)),
		types: map[string]*wire.MachineType{}, active: map[string]*ledger.Job{}, runs: NewEstimates(), low: map[string]int{},
		images: map[string][]image{}, failed: map[string]*failure{}, shaky: map[string]time.Time{}, yields: map[string]time.Time{},
		nodes: map[string]*Node{}, pools: map[pool]stock{}, starts: map[string]*Node{}, tally: Tally{},
		notes: map[string]map[string]*noted{}, ripe: map[string]time.Time{}, large: map[string]bool{}, crowded: map[string]bool{}, fallen: map[string]*ledger.Job{},
	}
	l.Subscribe(func(d ledger.Delta) { p.Send(func() { p.apply(d) }) })
	p.Every(p.reportS(1.0/6), p.schedule)
	return p
}

// reportS is a multiple of the workers' report interval.
func (p *Placer) reportS(times float64) time.Duration {
	return config.Secs(p.cfg.Params.Workers.ReportS * times)
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
		for m, b := range p.view.Binds {
			p.renew(m, b)
		}
		p.schedule()
	})
}

func (p *Placer) apply(d ledger.Delta) {
	now := time.Now()
	p.epoch, p.fresh = d.Epoch, d.Fresh
	for _, c := range d.Changes {
		machines := p.view.Apply(c)
		switch c.Kind {
		case ledger.KindBind:
			for _, m := range machines {
				p.bindChanged(m, now)
			}
			if g, _ := c.Rec.(*ledger.Group); g != nil {
				p.left(g, now)
				if delete(p.large, c.Name); g.Kept() > p.valueBytes(splitFrom) {
					p.large[c.Name] = true
				}
				if len(g.Gone) > 0 {
					p.proved = now
				}
				for job := range g.Marks {
					p.ripen(job, now)
				}
			} else {
				delete(p.notes, c.Name)
				delete(p.large, c.Name)
				delete(p.crowded, c.Name)
			}
		case ledger.KindDone:
			job, _, _ := strings.Cut(c.Name, "/")
			p.ripen(job, now)
		case ledger.KindJob:
			j, _ := c.Rec.(*ledger.Job)
			if j != nil && j.Derived {
				p.fallen[c.Name] = j
			} else {
				delete(p.fallen, c.Name)
			}
			// A blocked job waits for others: it has no place in the queue, and counts
			// towards nothing. Only records that say done make it ready.
			if j != nil && j.Active() && j.Spec != nil && !j.Blocked {
				p.active[c.Name] = j
			} else {
				delete(p.active, c.Name)
				delete(p.low, c.Name)
				delete(p.failed, c.Name)
				delete(p.yields, c.Name)
				delete(p.ripe, c.Name)
				p.runs.Forget(c.Name)
			}
		}
	}
	if len(d.Changes) > 0 {
		p.schedule()
	}
}

func (p *Placer) ripen(job string, now time.Time) {
	if _, ok := p.ripe[job]; !ok && p.view.Complete(job) {
		p.ripe[job] = now
	}
}

// left learns from what a group's new record says of the tasks that left.
func (p *Placer) left(g *ledger.Group, now time.Time) {
	for i := range g.Gone {
		gone := &g.Gone[i]
		switch gone.Why {
		case wire.WhyDone:
			delete(p.failed, gone.Job)
		case wire.WhyError, wire.WhyUnknown, wire.WhyNoRoom, wire.WhyBusy:
			p.fail(gone.Job, gone.Machine, gone.Why, now)
		}
	}
	p.runs.Learn(g.Gone, p.view.Jobs)
}

// bindChanged takes a machine's new row over: what is bound since when, and
// which images are there.
func (p *Placer) bindChanged(c ledger.BindChange, now time.Time) {
	p.renew(c.Machine, c.New)
	if c.New == nil {
		delete(p.images, c.Machine)
		delete(p.shaky, c.Machine)
		return
	}
	if c.Old != nil && c.Old.Group != c.New.Group {
		if n := p.notes[c.Old.Group][c.Machine]; n != nil {
			delete(p.notes[c.Old.Group], c.Machine)
			p.file(c.New.Group, c.Machine, n)
		}
	}
	for i := range c.New.Tasks {
		t := &c.New.Tasks[i]
		if c.Old != nil && c.Old.Find(t.Job, t.N) != nil {
			continue
		}
		if j := p.view.Jobs[t.Job]; j != nil && j.Spec != nil {
			p.fetched(c.Machine, c.New.Type, j.Spec.Image, j.Spec.ImageGB)
		}
	}
}

// fetched moves an image to the front of a machine's cache, as far as it can
// be known from here.
func (p *Placer) fetched(machine, typ, name string, gb float64) {
	old := p.images[machine]
	if len(old) > 0 && old[0].name == name {
		return
	}
	list := append(make([]image, 0, len(old)+1), image{name, gb})
	for _, i := range old {
		if i.name != name {
			list = append(list, i)
		}
	}
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
// failure twice as long each time, up to a lease: no job is left waiting beside
// room for much longer than that.
func (p *Placer) fail(job, machine, why string, now time.Time) {
	f := p.failed[job]
	if f == nil {
		f = &failure{machines: map[string]bool{}}
		p.failed[job] = f
	}
	f.machines[machine] = true
	if why == wire.WhyNoRoom || why == wire.WhyBusy {
		p.shaky[machine] = now.Add(p.reportS(1))
		return
	}
	f.count++
	wait := min(p.cfg.Params.Workers.ReportS*math.Pow(2, float64(min(f.count, 6)-2)), p.cfg.Params.Workers.LeaseS)
	f.until = now.Add(config.Secs(wait))
	slog.Info("task failed", "job", job, "machine", machine, "why", why, "failures", f.count, "wait_s", wait)
}

// renew makes a machine's node anew from its row, and keeps the sums and the
// indexes over the nodes; without a row the node goes.
func (p *Placer) renew(machine string, b *ledger.Bind) {
	n := p.nodes[machine]
	if n != nil {
		p.index(n, -1)
	}
	if b == nil || p.types[b.Type] == nil {
		if n != nil {
			p.all = unlist(p.all, n, func(n *Node) *int { return &n.all })
		}
		delete(p.nodes, machine)
		return
	}
	if n == nil {
		n = &Node{Name: machine, Image: func(img string) bool {
			return slices.ContainsFunc(p.images[machine], func(i image) bool { return i.name == img })
		}}
		p.nodes[machine] = n
		p.all = enlist(p.all, n, func(n *Node) *int { return &n.all })
	}
	p.fill(n, b)
	p.index(n, 1)
}

// enlist and unlist keep a list in which each node knows its place, from 1.
func enlist(list []*Node, n *Node, place func(*Node) *int) []*Node {
	list = append(list, n)
	*place(n) = len(list)
	return list
}

func unlist(list []*Node, n *Node, place func(*Node) *int) []*Node {
	i := *place(n) - 1
	if i < 0 {
		return list
	}
	last := list[len(list)-1]
	list[i], *place(last) = last, i+1
	*place(n) = 0
	return list[:len(list)-1]
}

// index adds a node to the sums and indexes, or takes out what was added with
// sign -1. A round changes nodes for a while, so what was added is kept.
func (p *Placer) index(n *Node, sign float64) {
	if sign > 0 {
		n.held, n.pool = n.held[:0], nil
		for _, t := range n.Tasks {
			if t.Job != nil {
				n.held = append(n.held, t.Job)
			}
		}
		if n.Open {
			n.pool = &pool{n.Type.Name, n.Zone, n.Spot}
		}
	}
	for _, j := range n.held {
		p.tally[j.Team] = p.tally[j.Team].Plus(Of(j), sign)
	}
	if n.pool != nil {
		s := p.pools[*n.pool]
		s.open += int(sign)
		for _, j := range n.held {
			if j.Service() {
				s.kept = s.kept.Plus(Of(j), sign)
			}
		}
		p.pools[*n.pool] = s
	}
	byRoom := func(n *Node) *int { return &n.roomy }
	if sign < 0 {
		p.roomy = unlist(p.roomy, n, byRoom)
		delete(p.starts, n.Name)
		return
	}
	if n.HasRoom() {
		p.roomy = enlist(p.roomy, n, byRoom)
	}
	if b := p.view.Binds[n.Name]; b.Session == 0 && b.Drain == "" {
		p.starts[n.Name] = n
	}
}

// fill makes a node say what a row does.
func (p *Placer) fill(n *Node, b *ledger.Bind) {
	old := n.Tasks
	n.Group, n.Type, n.Zone, n.Spot, n.Open = b.Group, p.types[b.Type], b.Zone, b.Spot, b.Open()
	n.Used, n.Tasks = Res{}, make([]Task, 0, len(b.Tasks))
	for i := range b.Tasks {
		t := &b.Tasks[i]
		task := Task{N: t.N, Stops: t.Stop > 0, Since: time.Now()}
		if j := p.view.Jobs[t.Job]; j != nil && j.Spec != nil {
			task.Job = j.Spec
			// What is ordered to stop without saving is gone before a launch in
			// the same commands is carried out.
			if t.Stop == 0 || t.Grace > 0 {
				n.Used = n.Used.Plus(Of(j.Spec), 1)
			}
		}
		for _, o := range old {
			if o.N == t.N && o.Job != nil && o.Job.ID == t.Job {
				task.Since = o.Since
			}
		}
		n.Tasks = append(n.Tasks, task)
	}
}

// Note takes what a report proves; it is written at once if the teams are
// handed to this process, else after wait unless another process has.
func (p *Placer) Note(n Note, wait time.Duration) {
	p.Post(func() {
		rec := p.view.Binds[n.Report.Machine]
		if rec == nil {
			return
		}
		due := time.Now().Add(wait)
		old := p.notes[rec.Group][rec.Name]
		if old != nil && !p.proves(rec, old) {
			old = nil // it was written: what is new waits its own time
		}
		if old != nil {
			if old.Report.Session > n.Report.Session || old.Report.Session == n.Report.Session && old.Report.Seq >= n.Report.Seq {
				return
			}
			if old.due.Before(due) {
				due = old.due
			}
			// The mesh may be sending the note as it came: its map is not written to.
			ran := maps.Clone(old.RanS)
			if ran == nil {
				ran = map[string]float64{}
			}
			maps.Copy(ran, n.RanS)
			n.RanS = ran
		}
		p.file(rec.Group, rec.Name, &noted{n, due, ended(n.Report)})
		p.schedule()
	})
}

// file puts a note with those of its group.
func (p *Placer) file(group, machine string, n *noted) {
	if p.notes[group] == nil {
		p.notes[group] = map[string]*noted{}
	}
	p.notes[group][machine] = n
}

// ended counts the tasks that a report shows ended.
func ended(rep *wire.Report) int {
	n := 0
	for i := range rep.Tasks {
		if rep.Tasks[i].State == wire.TaskExited {
			n++
		}
	}
	return n
}

// proves tells whether a note still has anything to write.
func (p *Placer) proves(rec *ledger.Bind, n *noted) bool {
	proof := Reconcile(rec, n.Report, p.view.Active)
	return proof.Changes()
}

func (p *Placer) schedule() {
	if p.busy || p.scheduled {
		return
	}
	p.scheduled = true
	// Changes that come together are written together.
	p.After(p.reportS(batchPause), func() {
		p.scheduled = false
		if !p.busy {
			p.round()
		}
	})
}

// batchPause is the pause before a round, in report intervals.
const batchPause = 1.0 / 100

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

type waiting struct {
	id       string
	job      *ledger.Job
	hand     uint64 // stamp of the team's hand record
	late     int    // how many of its deadlines it is not to keep
	deadline float64
	claim    claimant
	most     int // tasks to place at most
}

// queue orders the jobs that have tasks to place: by rank, then earliest
// deadline first. Under overload plain EDF makes every job late; so the largest
// of those that can't all be in time give way. None gives way for ever: one that
// has waited for three leases without a single start goes first in its rank with
// one task, or the largest would starve behind all that are smaller. More than
// that would make the whole queue late again.
func (p *Placer) queue(mine map[string]*ledger.Hand, now time.Time) []waiting {
	if len(mine) == 0 {
		return nil
	}
	var q []waiting
	starved := 3 * p.cfg.Params.Workers.LeaseS
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
		if now.Before(p.yields[id]) {
			continue
		}
		w := waiting{id: id, job: j, hand: mine[j.Spec.Team].Stamp, most: left}
		run := p.runs.RunS(j.Spec)
		age := float64(now.UnixMilli()-j.Since()) / 1000
		if age > starved && left == j.Tasks {
			w.late, w.deadline = -1, float64(j.Since())
			if !j.Spec.Service() {
				w.most = 1
			}
			q = append(q, w)
			continue
		}
		w.claim = claimant{work: run * float64(left) / p.slots(j.Spec), run: run}
		for _, d := range Deadlines(p.cfg, j, run, age, age) {
			w.claim.due = append(w.claim.due, d-age)
		}
		q = append(q, w)
	}
	order(q) // a fixed order among equals
	// What runs already is half done, taken all together.
	from := 0.0
	for id, j := range p.active {
		if n := len(p.view.Bound[id]); n > 0 && !j.Spec.Service() {
			from += p.runs.RunS(j.Spec) / 2 * float64(n) / p.slots(j.Spec)
		}
	}
	for i := 0; i < len(q); {
		k := i
		for k < len(q) && q[k].job.Spec.Rank == q[i].job.Spec.Rank {
			k++
		}
		from = p.judgeRank(q[i:k], from, now)
		i = k
	}
	order(q)
	return q
}

// judgeRank tells of the waiting jobs of one rank which deadline each is to
// keep, given when the ranks above leave the cluster to it, and returns when
// this one does.
func (p *Placer) judgeRank(q []waiting, from float64, now time.Time) float64 {
	var claims []claimant
	var of []int
	for i := range q {
		if q[i].late < 0 {
			from += q[i].claim.work
		} else if !q[i].job.Spec.Service() {
			claims = append(claims, q[i].claim)
			of = append(of, i)
		}
	}
	stage, end := stages(claims, from)
	for n, i := range of {
		w := &q[i]
		w.late = stage[n]
		if w.late < len(w.claim.due) {
			w.deadline = float64(now.UnixMilli())/1000 + w.claim.due[w.late]
		} else {
			w.deadline = w.claim.work
		}
	}
	return end
}

// slots is how many tasks of a job the machines that are up could run at once
// if they had nothing else to do but to keep the replicas they hold.
func (p *Placer) slots(j *wire.Job) float64 {
	sum := 1.0
	for k, s := range p.pools {
		if s.open > 0 && Allowed(j, k.typ, k.zone, k.spot) {
			limit := Capacity(p.types[k.typ])
			whole := float64(s.open) * math.Floor(1/Of(j).Share(limit)+slack)
			sum += whole * max(0, 1-s.kept.Share(limit)/float64(s.open))
		}
	}
	return sum
}

func withImage(nodes []*Node, image string) []*Node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *Node) bool { return !n.Image(image) })
}

// worthWaiting tells whether a job that could go elsewhere had better wait
// for a machine that is coming up than take room in a zone where little can
// be rented: that room is for jobs that must spread into it. Only a cluster
// that begins waits: later a replica can be moved.
func (p *Placer) worthWaiting(j *wire.Job, n *Node, now time.Time) bool {
	if n.Spot || j.Spread && j.Tasks > 1 || j.Zone != "" {
		return false
	}
	for k, s := range p.pools {
		if s.open > 0 && !k.spot && p.offers[k.zone] > p.offers[n.Zone] {
			return false
		}
	}
	for m, s := range p.starts {
		if !s.Spot && p.offers[s.Zone] > p.offers[n.Zone] && Allowed(j, s.Type.Name, s.Zone, s.Spot) && Of(j).Fits(Capacity(s.Type)) &&
			now.Sub(time.UnixMilli(p.view.Binds[m].At)) < config.Secs(BootUsual*s.Type.BootS) {
			return true
		}
	}
	return false
}

// BootUsual is how many times its boot time a machine usually takes at most.
const BootUsual = 1.6

// judge brings up to date what a choice of victims looks at.
func (p *Placer) judge(r *round, nodes []*Node) {
	if r.owed == nil {
		claims := make([]Claim, 0, len(p.active))
		for id, j := range p.active {
			claims = append(claims, Claim{j.Spec, j.Since(), j.Tasks - p.view.DoneCount(id)})
		}
		r.owed = Owed(claims, p.team)
	}
	for _, n := range nodes {
		if r.judged[n] {
			continue
		}
		r.judged[n] = true
		for i := range n.Tasks {
			t := &n.Tasks[i]
			if t.Job == nil {
				continue
			}
			j := p.active[t.Job.ID]
			t.Stops = t.Stops || j == nil
			t.Owed = r.owed[t.Job.ID]
			t.Last = j != nil && p.view.Waits(t.Job.ID, j) <= 0
			t.Spent = r.now.Sub(t.Since).Seconds()
		}
	}
}

func (p *Placer) team(name string) config.Team {
	t, _ := p.cfg.Params.Team(name)
	t.Name = name
	return t
}
