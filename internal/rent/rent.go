// Package rent is the leader's hand on the cloud: it rents what the plan asks
// for, adopts what appears, and returns what is idle, dead or lost.
package rent

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/actor"
	"lynxledge/internal/cloud"
	"lynxledge/internal/config"
	"lynxledge/internal/election"
	"lynxledge/internal/ledger"
	"lynxledge/internal/place"
	"lynxledge/internal/plan"
	"lynxledge/wire"
)

// Cloud is what the renter needs of the cloud.
type Cloud interface {
	Hire(ctx context.Context, r wire.HireRequest) ([]string, error)
	Delete(ctx context.Context, names []string) error
	List(ctx context.Context) ([]wire.Host, error)
	Types(ctx context.Context) ([]wire.MachineType, error)
}

// Prober asks a silent machine directly.
type Prober interface {
	Inspect(ctx context.Context, addr string) (*wire.Report, error)
}

// Renter is the actor.
type Renter struct {
	*actor.Actor
	ctx    context.Context
	cfg    *config.Config
	boot   uint64
	begun  time.Time
	ledger *ledger.Ledger
	cloud  Cloud
	pace   *rate.Limiter // of writes
	prober Prober
	report func(*wire.Report)

	view    *ledger.View
	epoch   uint64
	fresh   time.Time
	types   []wire.MachineType
	active  map[string]*ledger.Job
	blocked map[string]*ledger.Job
	missing map[string]string // pipelines by their last job: the stage that makes them late
	runs    *place.Estimates
	since   map[string]time.Time
	heard   map[string]time.Time
	marked  map[string]time.Time       // when a machine was marked quiet
	errors  map[string]map[string]bool // machine: jobs that failed on it since a success
	refused map[plan.Pool]time.Time
	edits   map[string]edit // machine: what is to be written of it
	writing bool

	term       uint64 // of the leadership that this state belongs to
	hires      int
	hiring     map[string]plan.Pool // by intent
	missed     bool                 // more is wanted of a pool with a rental under way
	deleting   map[string]bool
	probing    map[string]bool
	unanswered map[string]time.Time // when a probe failed last
	mute       map[string]bool      // machines that answer probes, but let their leases run out
	deleted    map[string]time.Time
	listing    bool
}

// Start runs the actor; it acts only while this process leads.
func Start(ctx context.Context, cfg *config.Config, boot uint64, l *ledger.Ledger, c Cloud, p Prober, report func(*wire.Report)) *Renter {
	r := &Renter{
		Actor: actor.Start(ctx, "renter", 256), ctx: ctx, cfg: cfg, boot: boot, begun: time.Now(), ledger: l, cloud: c, prober: p, report: report,
		pace:   rate.NewLimiter(rate.Limit(cfg.Params.State.WriteRPS*(1-cfg.Ops.StateShare)), cfg.Params.State.Ops()),
		view:   ledger.NewRunningView(ledger.ChunkTasks(cfg.Params.State.ValueKB)),
		active: map[string]*ledger.Job{}, blocked: map[string]*ledger.Job{}, missing: map[string]string{}, runs: place.NewEstimates(), since: map[string]time.Time{}, heard: map[string]time.Time{}, marked: map[string]time.Time{}, errors: map[string]map[string]bool{},
		refused: map[plan.Pool]time.Time{}, hiring: map[string]plan.Pool{}, deleting: map[string]bool{}, edits: map[string]edit{},
		probing: map[string]bool{}, unanswered: map[string]time.Time{}, mute: map[string]bool{}, deleted: map[string]time.Time{},
	}
	l.Subscribe(func(d ledger.Delta) { r.Send(func() { r.apply(d) }) })
	r.Every(config.Secs(cfg.Ops.PassS), r.pass)
	r.Every(config.Secs(cfg.Params.Workers.ReportS/2), r.watch)
	return r
}

// SetTypes tells the renter of the machine types.
func (r *Renter) SetTypes(types []wire.MachineType) { r.Send(func() { r.types = types }) }

// Heard tells the renter of machines that reported to some node.
func (r *Renter) Heard(machines []string) {
	now := time.Now()
	r.Post(func() {
		for _, m := range machines {
			r.heard[m] = now
			delete(r.mute, m)
		}
	})
}

func (r *Renter) apply(d ledger.Delta) {
	r.epoch, r.fresh = d.Epoch, d.Fresh
	now := time.Now()
	for _, c := range d.Changes {
		for _, b := range r.view.Apply(c) {
			r.bindChanged(b, now)
		}
		switch c.Kind {
		case ledger.KindBind:
			if g, _ := c.Rec.(*ledger.Group); g != nil {
				r.judge(g.Gone)
				r.runs.Learn(g.Gone, r.view.Jobs)
			}
		case ledger.KindJob:
			j, _ := c.Rec.(*ledger.Job)
			delete(r.active, c.Name)
			delete(r.blocked, c.Name)
			switch {
			case j == nil || !j.Active() || j.Spec == nil:
				r.runs.Forget(c.Name)
				delete(r.missing, c.Name)
			case j.Blocked:
				r.blocked[c.Name] = j
			default:
				r.active[c.Name] = j
			}
		}
	}
}

func (r *Renter) bindChanged(c ledger.BindChange, now time.Time) {
	m, old, b := c.Machine, c.Old, c.New
	for _, t := range ledger.Left(old, b) {
		delete(r.since, t.Name())
	}
	if b == nil {
		delete(r.heard, m)
		delete(r.marked, m)
		delete(r.errors, m)
		delete(r.unanswered, m)
		delete(r.mute, m)
		delete(r.edits, m)
		r.deleted[m] = now
		delete(r.refused, plan.Pool{Type: old.Type, Zone: old.Zone, Spot: old.Spot})
		return
	}
	if _, ok := r.heard[m]; !ok && b.Session > 0 || old != nil && old.Quiet && !b.Quiet {
		r.heard[m] = now // somebody hears it
	}
	if b.Quiet && (old == nil || !old.Quiet) {
		r.marked[m] = now
	}
	for i := range b.Tasks {
		if t := &b.Tasks[i]; old == nil || old.Find(t.Job, t.N) == nil {
			r.since[t.Name()] = now
		}
	}
}

// judge tells a faulty machine from a faulty job: a job fails on every
// machine, a faulty machine fails whatever job it is given.
func (r *Renter) judge(gone []ledger.Gone) {
	for i := range gone {
		g := &gone[i]
		m := g.Machine
		switch g.Why {
		case wire.WhyDone:
			delete(r.errors, m)
		case wire.WhyError:
			if r.errors[m] == nil {
				r.errors[m] = map[string]bool{}
			}
			r.errors[m][g.Job] = true
		}
		if b := r.view.Binds[m]; len(r.errors[m]) >= faultyJobs && b != nil && b.Drain == "" && r.leads() {
			slog.Warn("machine looks faulty", "machine", m, "type", b.Type, "zone", b.Zone, "failed_jobs", len(r.errors[m]))
			r.edit(m, edit{drain: "faulty"})
		}
	}
}

// faultyJobs is how many jobs must fail on a machine, with no success between.
const faultyJobs = 3

// leads tells whether this process leads and its view can be trusted.
func (r *Renter) leads() bool {
	if !election.Leading(r.view, r.boot) || time.Since(r.fresh) > config.Secs(2*r.cfg.Params.Workers.ReportS) {
		return false
	}
	if r.term != r.view.Leader.Term {
		r.term, r.hires = r.view.Leader.Term, 0
		now := time.Now()
		for m := range r.heard { // silence counts from here
			r.heard[m] = now
		}
	}
	return r.epoch >= r.view.Leader.Stamp
}

func (r *Renter) guard() wire.Guard {
	return wire.Guard{Key: ledger.LeaderKey, Version: r.view.Leader.Stamp}
}

// pass is one round of the design's loop.
func (r *Renter) pass() {
	if !r.leads() || len(r.types) == 0 {
		return
	}
	r.list()
	for name, intent := range r.view.Rents {
		r.hire(name, intent) // a lost call, of ours or of an earlier leader
	}
	r.decide()
}

// decide plans and acts on the plan.
func (r *Renter) decide() {
	if !r.leads() || len(r.types) == 0 {
		return
	}
	in := r.input()
	p := plan.Make(in)
	r.gauge(&in, &p)
	r.rentAll(p.Rent)
	for _, m := range p.Return {
		r.close(m, whyIdle)
	}
	for m, b := range r.view.Binds {
		if b.Drain != "" && !b.Closed && b.Session > 0 && len(b.Tasks) == 0 {
			r.close(m, b.Drain)
		}
	}
}

// gauge logs what a pass saw.
func (r *Renter) gauge(in *plan.Input, p *plan.Plan) {
	if !slog.Default().Enabled(r.ctx, slog.LevelDebug) {
		return
	}
	starting, idle, tasks, waiting := 0, 0, 0, 0
	for i := range in.Machines {
		m := &in.Machines[i]
		tasks += len(m.Tasks)
		switch {
		case m.ReadyS > 0:
			starting++
		case len(m.Tasks) == 0:
			idle++
		}
	}
	for i := range in.Demands {
		waiting += in.Demands[i].Count
	}
	rents := 0
	for _, rent := range p.Rent {
		rents += rent.Count
	}
	slog.Debug("pass", "machines", len(in.Machines), "starting", starting, "idle", idle, "tasks", tasks, "demands", len(in.Demands),
		"waiting", waiting, "rent", rents, "return", len(p.Return), "unmet", p.Unmet)
}

// input puts together what the plan looks at.
func (r *Renter) input() plan.Input {
	now := time.Now()
	ops := r.cfg.Ops
	in := plan.Input{
		Types: r.types, LagS: ops.BootLagS, PassS: ops.PassS, BillingS: ops.BillingPeriodS, Headroom: ops.Headroom, Premium: ops.Premium,
		Refused: func(p plan.Pool) bool { return now.Before(r.refused[p]) },
	}
	pools := map[plan.Pool]bool{}
	for _, b := range r.view.Binds {
		if b.Open() {
			pools[plan.Pool{Type: b.Type, Zone: b.Zone, Spot: b.Spot}] = true
		}
	}
	add := func(id string, j *ledger.Job, startS float64) {
		n := r.view.Waits(id, j)
		if n <= 0 {
			return
		}
		// The first deadline that a machine rented now can still keep.
		age, due := float64(now.UnixMilli()-j.Since())/1000, 0.0
		run := r.runs.RunS(j.Spec)
		deadlines := place.Deadlines(r.cfg, j, run, age, age+startS)
		for _, d := range deadlines {
			if due = d - age; ops.BootLagS+run <= due {
				break
			}
		}
		in.Demands = append(in.Demands, plan.Demand{
			Job: j.Spec, Count: r.limited(j, n), RunS: run, Zones: place.ZonesOf(r.view, id),
			DeadlineS: due, Late: !j.Spec.Service() && ops.BootLagS+run > due, Overdue: age > overdueTimes*deadlines[len(deadlines)-1] && !r.served(j.Spec, pools),
		})
	}
	for id, j := range r.active {
		add(id, j, 0)
	}
	// A stage that is not ready yet has its load in its own window: its machines are
	// rented when they would be up as it becomes ready, not long before.
	for id, h := range r.readyIn(now) {
		r.foresee(id, h, now)
		if h.S <= ops.BootLagS+ops.PassS {
			add(id, r.blocked[id], h.S)
		}
	}
	for name, b := range r.view.Binds {
		m := plan.Machine{
			Name: name, Pool: plan.Pool{Type: b.Type, Zone: b.Zone, Spot: b.Spot},
			AgeS: (float64(now.UnixMilli()) - float64(b.At)) / 1000, Open: b.Drain == "" && !b.Closed && !b.Quiet,
		}
		if b.Session == 0 {
			m.ReadyS = math.Max(0, r.bootS(b.Type)-m.AgeS)
			// A boot that drags on may never end: it covers no load any more.
			m.Open = m.Open && !r.drags(b, now)
		}
		for i := range b.Tasks {
			t := &b.Tasks[i]
			j := r.view.Jobs[t.Job]
			if j == nil || j.Spec == nil {
				continue
			}
			if b.Quiet && j.Active() && j.Spec.Service() { // may have to be replaced
				zones := place.ZonesOf(r.view, t.Job)
				zones[b.Zone]--
				in.Demands = append(in.Demands, plan.Demand{Job: j.Spec, Count: 1, Zones: zones})
			}
			left := math.Inf(1)
			if !j.Spec.Service() {
				left = math.Max(0, r.runs.RunS(j.Spec)-now.Sub(r.since[t.Name()]).Seconds())
			}
			m.Tasks = append(m.Tasks, plan.Held{Job: j.Spec, LeftS: left})
		}
		in.Machines = append(in.Machines, m)
	}
	for _, intent := range r.view.Rents { // rented, though not known by name yet
		for i := range intent.Count {
			in.Machines = append(in.Machines, plan.Machine{
				Name: fmt.Sprintf("rented-%d", i), Pool: poolOf(intent), Open: true,
				ReadyS: r.bootS(intent.Type),
			})
		}
	}
	return in
}

// readyIn tells in how many seconds each blocked job could run.
func (r *Renter) readyIn(now time.Time) map[string]place.Held {
	if len(r.blocked) == 0 {
		return nil
	}
	run := func(id string) float64 {
		if j := r.view.Jobs[id]; j != nil && j.Spec != nil {
			return r.runs.RunS(j.Spec)
		}
		return 0
	}
	left := func(id string) float64 {
		j, whole := r.active[id], run(id)
		if j == nil {
			return 0
		}
		if r.view.Waits(id, j) > 0 {
			return whole
		}
		most := 0.0
		for n := range r.view.Bound[id] {
			most = max(most, whole-now.Sub(r.since[wire.TaskName(id, n)]).Seconds())
		}
		return most
	}
	return place.ReadyIn(r.blocked, r.view.Active, left, run)
}

// foresee says early that a pipeline will miss its deadline, and which stage makes
// it: once for each change.
func (r *Renter) foresee(last string, h place.Held, now time.Time) {
	j := r.blocked[last]
	if j.Spec.DeadlineS == nil {
		return
	}
	end := float64(now.UnixMilli()-j.At)/1000 + h.S + r.runs.RunS(j.Spec)
	late := end - *j.Spec.DeadlineS
	by := ""
	if late > 0 {
		by = h.By
	}
	if r.missing[last] == by {
		return
	}
	if by == "" {
		delete(r.missing, last)
		slog.Info("pipeline is in time again", "last", last, "class", j.Spec.Class)
		return
	}
	r.missing[last] = by
	slog.Info("pipeline will miss its deadline", "last", last, "class", j.Spec.Class, "held_up_by", by, "late_s", math.Ceil(late))
}

// overdueTimes is how many times its last deadline a job may wait for cheap
// machines before any machine will do.
const overdueTimes = 4

// served tells whether any machine that is up may run the job's tasks: then it
// waits its turn, however late it is. Dearer machines would not make it any
// less late.
func (r *Renter) served(j *wire.Job, pools map[plan.Pool]bool) bool {
	for i := range r.types {
		t := &r.types[i]
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				if pools[plan.Pool{Type: t.Name, Zone: z, Spot: spot}] && place.Allowed(j, t.Name, z, spot) && place.Of(j).Fits(place.Capacity(t)) {
					return true
				}
			}
		}
	}
	return false
}

// limited is how many of n waiting tasks the team's limit lets run at once.
func (r *Renter) limited(j *ledger.Job, n int) int {
	team, ok := r.cfg.Params.Team(j.Spec.Team)
	if ok && team.CPUsMax > 0 {
		n = min(n, int(team.CPUsMax/j.Spec.CPUs))
	}
	if ok && team.GPUsMax > 0 && j.Spec.GPUs > 0 {
		n = min(n, int(team.GPUsMax/j.Spec.GPUs))
	}
	return n
}

// rentAll rents what the plan wants, the pool with the largest need first. A
// pool has one rental under way, whose batches follow each other: one that runs
// short costs one call, not one for every batch.
func (r *Renter) rentAll(rents []plan.Rent) {
	busy := map[plan.Pool]bool{}
	for _, pool := range r.hiring {
		busy[pool] = true
	}
	for _, i := range r.view.Rents {
		busy[poolOf(i)] = true
	}
	slices.SortStableFunc(rents, func(a, b plan.Rent) int { return cmp.Compare(b.Load, a.Load) })
	for _, want := range rents {
		switch {
		case time.Now().Before(r.refused[want.Pool]):
		case busy[want.Pool]:
			r.missed = true
		default:
			r.intend(want)
		}
	}
}

func poolOf(i *ledger.Rent) plan.Pool { return plan.Pool{Type: i.Type, Zone: i.Zone, Spot: i.Spot} }

// intend stores what is to be rented, then rents it.
func (r *Renter) intend(want plan.Rent) {
	r.hires++
	name := fmt.Sprintf("r-%d-%d", r.term, r.hires)
	intent := &ledger.Rent{
		Type: want.Type, Zone: want.Zone, Spot: want.Spot,
		Count: want.Count, Tasks: want.Tasks, At: time.Now().UnixMilli(),
	}
	key := ledger.Key(ledger.KindRent, name)
	r.hiring[name] = want.Pool
	r.commit(ledger.Commit{
		Guards: []wire.Guard{r.guard(), {Key: key}},
		Puts:   []ledger.Put{{Key: key, Rec: intent}},
	}, func(out ledger.Outcome) {
		delete(r.hiring, name)
		if out == ledger.Committed {
			slog.Info("renting", "hire", name, "type", want.Type, "zone", want.Zone, "spot", want.Spot, "count", want.Count, "load", math.Round(want.Load*100)/100)
			r.hire(name, intent)
		}
	})
}

// commit makes a change within the leader's part of the writes; reply runs in
// the actor.
func (r *Renter) commit(c ledger.Commit, reply func(ledger.Outcome)) {
	r.pace.SetLimit(rate.Limit(r.cfg.WriteRPS() * (1 - r.cfg.Ops.StateShare)))
	wait := r.pace.ReserveN(time.Now(), min(c.Ops(), r.pace.Burst())).Delay()
	r.After(wait, func() {
		r.ledger.Commit(c, func(out ledger.Outcome) { r.Send(func() { reply(out) }) })
	})
}

// hire makes the next call of a stored intent. Each batch has a name of its
// own; the same name gets the same answer.
func (r *Renter) hire(name string, intent *ledger.Rent) {
	if _, busy := r.hiring[name]; busy {
		return
	}
	r.hiring[name] = poolOf(intent)
	go func() {
		nests, err := r.cloud.Hire(r.ctx, wire.HireRequest{
			Request: fmt.Sprintf("%s-%d", name, intent.Batch), Type: intent.Type, Zone: intent.Zone, Spot: intent.Spot,
			Count: min(intent.Count, wire.MaxHire),
		})
		r.Send(func() { r.hired(name, intent, nests, err) })
	}()
}

func (r *Renter) hired(name string, intent *ledger.Rent, nests []string, err error) {
	pool := poolOf(intent)
	none := errors.Is(err, cloud.ErrNoCapacity) || errors.Is(err, cloud.ErrMalformed)
	if err != nil && !none {
		slog.Info("rental unanswered", "hire", name, "err", err)
		delete(r.hiring, name) // the next pass repeats it
		return
	}
	if !r.leads() {
		delete(r.hiring, name)
		return
	}
	slices.Sort(nests)
	asked := min(intent.Count, wire.MaxHire)
	left, short := intent.Count-asked, none || len(nests) < asked
	if short {
		r.refused[pool] = time.Now().Add(config.Secs(r.cfg.Ops.PassS * refusalPasses))
		r.giveUpBoots(pool)
		slog.Info("cloud gave less", "hire", name, "batch", intent.Batch, "type", intent.Type, "zone", intent.Zone, "spot", intent.Spot, "asked", intent.Count, "got", len(nests))
		left = 0
	}
	r.record(name, intent, left, nests, short)
}

// giveUpBoots returns the machines of a pool whose boots drag on: while they
// are held, the cloud may have no other to give in their place.
func (r *Renter) giveUpBoots(pool plan.Pool) {
	for m, b := range r.view.Binds {
		if b.Type == pool.Type && b.Zone == pool.Zone && b.Spot == pool.Spot && r.drags(b, time.Now()) {
			r.close(m, "boot drags on and no other is to be had")
		}
	}
}

// drags tells whether a machine has been starting for longer than is usual.
func (r *Renter) drags(b *ledger.Bind, now time.Time) bool {
	return b.Session == 0 && now.Sub(time.UnixMilli(b.At)) > config.Secs(place.BootUsual*r.bootS(b.Type))
}

// refusalPasses is for how many passes a pool that ran short is left alone.
const refusalPasses = 4

// record writes the machines of a batch, in as many groups as their records
// need. With the last, the intent goes on to the next batch, or goes. Every such
// commit is guarded on the intent and rewrites it: a group may have been merged
// into another since, and a late copy of the commit that made it would bring its
// machines back with nothing bound to them. short tells that the cloud had fewer
// than were asked for.
func (r *Renter) record(name string, intent *ledger.Rent, left int, nests []string, short bool) {
	rest := slices.DeleteFunc(nests, func(m string) bool {
		_, returned := r.deleted[m]
		return returned || !wire.ValidMachine(m) || r.view.Binds[m] != nil
	})
	stored := r.view.Rents[name]
	if stored == nil {
		delete(r.hiring, name)
		return
	}
	s := r.cfg.Params.State
	per := ledger.MachinesPer(int(float64(s.ValueBytes())*groupFill), intent.Tasks)
	key := ledger.Key(ledger.KindRent, name)
	c := ledger.Commit{Guards: []wire.Guard{r.guard(), {Key: key, Version: stored.Stamp}}, Patience: config.Secs(r.cfg.Ops.PassS)}
	for len(rest) > 0 && len(c.Puts) < s.Ops()-1 {
		n := min(per, len(rest))
		group := fmt.Sprintf("%s.%s", name, rest[0])
		bind := ledger.Key(ledger.KindBind, group)
		c.Guards = append(c.Guards, wire.Guard{Key: bind})
		c.Puts = append(c.Puts, ledger.Put{Key: bind, Rec: ledger.NewGroup(group, intent.Type, intent.Zone, intent.Spot, intent.At, rest[:n], ledger.Token(r.term))})
		rest = rest[n:]
	}
	next := *intent
	if len(rest) == 0 && left > 0 {
		next.Count, next.Batch, next.At = left, intent.Batch+1, time.Now().UnixMilli()
	}
	if len(rest) > 0 || left > 0 {
		c.Puts = append(c.Puts, ledger.Put{Key: key, Rec: &next})
	} else {
		c.Delete = []string{key}
	}
	r.commit(c, func(out ledger.Outcome) {
		if out == ledger.Committed && len(rest) > 0 {
			r.record(name, intent, left, rest, short)
			return
		}
		delete(r.hiring, name)
		if out == ledger.Committed && left > 0 {
			r.hire(name, &next)
		}
		// A pool that ran short is planned without at once: waiting for the next
		// pass at every refusal would leave work without a machine for as many
		// passes as there are pools. Not before its intent is gone, though: until
		// then its machines count as rented. So it is with what was wanted of a
		// pool while this rental was under way.
		if short || r.missed {
			r.missed = false
			r.decide()
		}
	})
}

// groupFill is the part of the value limit that a group's record is planned to
// fill when its machines are in use.
const groupFill = 0.8

// list reads the cloud's machines and deals with what is unexpected.
func (r *Renter) list() {
	if r.listing {
		return
	}
	r.listing = true
	go func() {
		hosts, err := r.cloud.List(r.ctx)
		r.Send(func() {
			r.listing = false
			if err != nil {
				slog.Info("machine list not read", "err", err)
				return
			}
			if r.leads() {
				r.survey(hosts)
			}
		})
	}()
}

// survey adopts unexpected machines and closes failed ones.
func (r *Renter) survey(hosts []wire.Host) {
	now := time.Now()
	lag := config.Secs(r.cfg.Params.Cloud.ListLagS)
	for m, t := range r.deleted {
		if now.Sub(t) > 6*lag {
			delete(r.deleted, m)
		}
	}
	renting := map[plan.Pool]bool{}
	for _, i := range r.view.Rents {
		renting[poolOf(i)] = true
	}
	c := ledger.Commit{Guards: []wire.Guard{r.guard()}}
	for _, h := range hosts {
		id := h.ID
		b := r.view.Binds[id]
		if b != nil {
			if h.State == wire.HostFailed {
				r.close(id, "failed")
			}
			continue
		}
		// A machine that was returned is listed for a while. What this process
		// saw returned it remembers; for the rest it waits until no list shows it.
		_, late := r.deleted[id]
		if late || now.Sub(r.begun) < 3*lag || !wire.ValidMachine(id) || renting[plan.Pool{Type: h.Type, Zone: h.Zone, Spot: h.Spot}] ||
			len(c.Puts) >= r.cfg.Params.State.Ops() {
			continue
		}
		slog.Info("unexpected machine adopted", "machine", id, "type", h.Type, "zone", h.Zone, "spot", h.Spot)
		group := ledger.AdoptedName(id)
		key := ledger.Key(ledger.KindBind, group)
		c.Guards = append(c.Guards, wire.Guard{Key: key})
		c.Puts = append(c.Puts, ledger.Put{Key: key, Rec: ledger.NewGroup(group, h.Type, h.Zone, h.Spot, now.UnixMilli()-int64(h.AgeS*1000), []string{id}, ledger.Token(r.term))})
	}
	if len(c.Puts) > 0 {
		r.commit(c, func(ledger.Outcome) {})
	}
}

// watch looks for machines that are lost: never up, silent or unlisted. A
// machine is never taken for gone; it is returned, which makes it so.
func (r *Renter) watch() {
	if !r.leads() {
		return
	}
	now := time.Now()
	report := config.Secs(r.cfg.Params.Workers.ReportS)
	silence := time.Duration(float64(report) * r.cfg.Ops.Silence)
	var silent, quiet []string
	all, up, lostIn := 0, map[string]int{}, map[string]int{} // by zone; lost: not heard lately
	for m, b := range r.view.Binds {
		age := now.Sub(time.UnixMilli(b.At))
		switch {
		case b.Closed: // deleted below
		case b.Session == 0:
			if age > config.Secs(r.bootS(b.Type)*r.cfg.Ops.BootPatience) {
				r.close(m, "never came up")
			}
		default:
			all++
			up[b.Zone]++
			since := now.Sub(r.heard[m])
			if since > report*3/2 {
				r.probe(m, b)
				lostIn[b.Zone]++
			}
			if (since > silence*2/3 || r.mute[m]) && !b.Quiet {
				quiet = append(quiet, m)
			}
			if since > silence && r.unanswered[m].After(r.heard[m]) {
				silent = append(silent, m)
			}
		}
	}
	for _, m := range quiet {
		r.edit(m, edit{quiet: true})
	}
	r.tidy()
	r.flush()
	r.remove()
	// One that stopped is listed as failed long before this; one that is cut
	// off ends its tasks after a lease, but may be back sooner than another.
	lost := config.Secs(2 * r.cfg.Params.Workers.LeaseS)
	for _, m := range silent {
		// A leader that is cut off from the workers hears none, and then the
		// mesh may be silent too: others had the time to take the mark away.
		if !r.view.Binds[m].Quiet || now.Sub(r.marked[m]) < report*4/3 {
			continue
		}
		// When most machines of a zone are silent at once, and they are not just a
		// few, it is cut off, or we are: they will be back with their images, and
		// new ones in their place would not be heard either.
		zone := r.view.Binds[m].Zone
		cut := lostIn[zone] >= cutFrom && 2*lostIn[zone] > up[zone] || 2*len(silent) > all
		if now.Sub(r.heard[m]) < lost && (cut || !r.replaceable(m)) {
			continue
		}
		r.close(m, "silent")
	}
}

// cutFrom is the least number of silent machines by which a zone is taken for
// cut off: fewer may well have died.
const cutFrom = 5

// replaceable tells whether all replicas of a silent machine have room on
// others. If not, it is kept for as long as its lease may run: a machine that
// is cut off goes on serving, a new one takes its time to boot, and the cloud
// may have none.
func (r *Renter) replaceable(silent string) bool {
	types := map[string]*wire.MachineType{}
	for i := range r.types {
		types[r.types[i].Name] = &r.types[i]
	}
	var nodes []*place.Node
	for m, b := range r.view.Binds {
		if m == silent || types[b.Type] == nil || !b.Open() {
			continue
		}
		n := &place.Node{Name: m, Type: types[b.Type], Zone: b.Zone, Spot: b.Spot, Image: func(string) bool { return true }}
		for i := range b.Tasks {
			// Work of lower rank makes room.
			if j := r.view.Jobs[b.Tasks[i].Job]; j != nil && j.Spec != nil && j.Spec.Rank == wire.RankProd {
				n.Used = n.Used.Plus(place.Of(j.Spec), 1)
			}
		}
		nodes = append(nodes, n)
	}
	for _, t := range r.view.Binds[silent].Tasks {
		j := r.view.Jobs[t.Job]
		if j == nil || !j.Active() || !j.Spec.Service() {
			continue
		}
		zones := place.ZonesOf(r.view, t.Job)
		zones[r.view.Binds[silent].Zone]--
		n := place.Pick(j.Spec, zones, place.Offers{}, nodes)
		if n == nil {
			return false
		}
		n.Used = n.Used.Plus(place.Of(j.Spec), 1)
	}
	return true
}

func (r *Renter) bootS(typ string) float64 {
	for i := range r.types {
		if r.types[i].Name == typ {
			return r.types[i].BootS
		}
	}
	return r.cfg.Ops.BootLagS
}

func (r *Renter) probe(m string, b *ledger.Bind) {
	if r.probing[m] {
		return
	}
	r.probing[m] = true
	go func() {
		rep, err := r.prober.Inspect(r.ctx, b.Addr)
		r.Send(func() { r.probed(m, b.Session, rep, err) })
	}()
}

// probed takes what a silent machine said, or didn't. One that answers is not
// lost, it may just have no way to whom it reports. But if its lease has run out
// meanwhile, it loses all it is given again and again: from then on its answers
// don't count, until a report comes from it.
func (r *Renter) probed(m string, session uint64, rep *wire.Report, err error) {
	delete(r.probing, m)
	if err != nil || rep.Machine != m {
		r.unanswered[m] = time.Now()
		return
	}
	if rep.Session > session && r.view.Binds[m] != nil && !r.mute[m] {
		slog.Info("machine answers, but its reports reach nobody", "machine", m, "session", rep.Session)
		r.mute[m] = true
	}
	if r.mute[m] {
		r.unanswered[m] = time.Now()
	} else {
		r.heard[m] = time.Now()
	}
	r.report(rep)
}

// tidy drops records of groups of which nothing is left but marks of jobs that
// are over.
func (r *Renter) tidy() {
	c := ledger.Commit{Guards: []wire.Guard{r.guard()}}
	for name, g := range r.view.Groups {
		if len(g.Binds) > 0 || len(c.Delete) >= r.cfg.Params.State.Ops() {
			continue
		}
		if d := r.view.Draft(name); d.Empty() {
			d.AddTo(&c)
		}
	}
	if c.Ops() > 0 {
		r.commit(c, func(ledger.Outcome) {})
	}
}

// close fences a machine's row, so that nothing new is bound to it; then it is
// returned.
func (r *Renter) close(m, why string) { r.edit(m, edit{drain: why, close: true}) }

// remove deletes closed machines at the cloud; once that is answered, they and
// their tasks are gone, and so are their rows.
func (r *Renter) remove() {
	if !r.leads() {
		return
	}
	var names []string
	for m, b := range r.view.Binds {
		if b.Closed && !r.deleting[m] && !r.edits[m].gone && len(names) < wire.MaxDelete {
			r.deleting[m] = true
			names = append(names, m)
		}
	}
	if len(names) == 0 {
		return
	}
	go func() {
		err := r.cloud.Delete(r.ctx, names)
		r.Send(func() {
			for _, m := range names {
				delete(r.deleting, m)
				if err == nil {
					r.edit(m, edit{gone: true})
				}
			}
			if err != nil {
				slog.Info("return unanswered", "machines", strings.Join(names, " "), "err", err)
			}
		})
	}()
}
