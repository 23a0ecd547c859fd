// Package rent is the leader's hand on the cloud: it rents what the plan asks
// for, adopts what appears, and returns what is idle, dead or lost.
package rent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"time"

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
	ledger *ledger.Ledger
	cloud  Cloud
	prober Prober
	report func(*wire.Report)

	view    *ledger.View
	epoch   uint64
	fresh   time.Time
	types   []wire.MachineType
	active  map[string]*ledger.Job
	runs    *place.Estimates
	since   map[string]time.Time
	heard   map[string]time.Time
	marked  map[string]time.Time       // when a machine was marked quiet
	errors  map[string]map[string]bool // machine: jobs that failed on it since a success
	marking bool
	refused map[plan.Pool]time.Time

	term       uint64 // of the leadership that this state belongs to
	hires      int
	hiring     map[string]bool
	closing    map[string]bool
	probing    map[string]bool
	unanswered map[string]time.Time // when a probe failed last
	deleted    map[string]time.Time
	again      bool // a pool ran short: plan again without it
	listing    bool
}

// Start runs the actor; it acts only while this process leads.
func Start(ctx context.Context, cfg *config.Config, boot uint64, l *ledger.Ledger, c Cloud, p Prober, report func(*wire.Report)) *Renter {
	r := &Renter{
		Actor: actor.Start(ctx, "renter", 256), ctx: ctx, cfg: cfg, boot: boot, ledger: l, cloud: c, prober: p, report: report,
		view:   ledger.NewRunningView(ledger.ChunkTasks(cfg.Params.State.ValueKB)),
		active: map[string]*ledger.Job{}, runs: place.NewEstimates(), since: map[string]time.Time{}, heard: map[string]time.Time{}, marked: map[string]time.Time{}, errors: map[string]map[string]bool{},
		refused: map[plan.Pool]time.Time{}, hiring: map[string]bool{}, closing: map[string]bool{},
		probing: map[string]bool{}, unanswered: map[string]time.Time{}, deleted: map[string]time.Time{},
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
		}
	})
}

func (r *Renter) apply(d ledger.Delta) {
	r.epoch, r.fresh = d.Epoch, d.Fresh
	now := time.Now()
	for _, c := range d.Changes {
		switch c.Kind {
		case ledger.KindBind:
			r.bindChanged(c, now)
			if b, _ := c.Rec.(*ledger.Bind); b != nil {
				r.runs.Learn(b, r.view.Jobs)
			}
		case ledger.KindJob:
			if j, _ := c.Rec.(*ledger.Job); j != nil && j.Active() && j.Spec != nil {
				r.active[c.Name] = j
			} else {
				delete(r.active, c.Name)
				r.runs.Forget(c.Name)
			}
		}
		r.view.Apply(c)
	}
}

func (r *Renter) bindChanged(c ledger.Change, now time.Time) {
	b, _ := c.Rec.(*ledger.Bind)
	old := r.view.Binds[c.Name]
	for _, t := range ledger.Left(old, b) {
		delete(r.since, t.Name())
	}
	if b == nil {
		delete(r.heard, c.Name)
		delete(r.marked, c.Name)
		delete(r.errors, c.Name)
		delete(r.unanswered, c.Name)
		r.deleted[c.Name] = now
		if old != nil {
			delete(r.refused, plan.Pool{Type: old.Type, Zone: old.Zone, Spot: old.Spot})
		}
		return
	}
	if _, ok := r.heard[c.Name]; !ok && b.Session > 0 || old != nil && old.Quiet && !b.Quiet {
		r.heard[c.Name] = now // somebody hears it
	}
	r.judge(c.Name, b)
	if b.Quiet && (old == nil || !old.Quiet) {
		r.marked[c.Name] = now
	}
	for i := range b.Tasks {
		if _, ok := r.since[b.Tasks[i].Name()]; !ok {
			r.since[b.Tasks[i].Name()] = now
		}
	}
}

// judge tells a faulty machine from a faulty job: a job fails on every
// machine, a faulty machine fails whatever job it is given.
func (r *Renter) judge(m string, b *ledger.Bind) {
	for _, g := range b.Gone {
		job, _, _ := wire.SplitTask(g.Task)
		switch g.Why {
		case wire.WhyDone:
			delete(r.errors, m)
		case wire.WhyError:
			if r.errors[m] == nil {
				r.errors[m] = map[string]bool{}
			}
			r.errors[m][job] = true
		}
	}
	if len(r.errors[m]) >= faultyJobs && b.Drain == "" && r.leads() {
		slog.Warn("machine looks faulty", "machine", m, "type", b.Type, "zone", b.Zone, "failed_jobs", len(r.errors[m]))
		next := b.Next(r.view.CurrentTerm())
		next.Drain = "faulty"
		key := ledger.Key(ledger.KindBind, m)
		r.ledger.Commit(ledger.Commit{
			Guards: []wire.Guard{r.guard(), {Key: key, Version: b.Stamp}},
			Puts:   []ledger.Put{{Key: key, Rec: next}},
		}, func(ledger.Outcome) {})
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
	slog.Debug("pass", "machines", len(in.Machines), "demands", len(in.Demands), "rent", p.Rent, "return", len(p.Return), "unmet", p.Unmet)
	for _, want := range p.Rent {
		r.intend(want)
	}
	for _, m := range p.Return {
		r.close(m, "idle")
	}
	for m, b := range r.view.Binds {
		if b.Drain != "" && !b.Closed && b.Session > 0 && len(b.Tasks) == 0 {
			r.close(m, b.Drain)
		}
	}
}

// input puts together what the plan looks at.
func (r *Renter) input() plan.Input {
	now := time.Now()
	ops := r.cfg.Ops
	in := plan.Input{
		Types: r.types, LagS: ops.BootLagS, PassS: ops.PassS, BillingS: ops.BillingPeriodS, Headroom: ops.Headroom, Premium: ops.Premium,
		Refused: func(p plan.Pool) bool { return now.Before(r.refused[p]) },
	}
	for id, j := range r.active {
		n := r.view.Waits(id, j)
		if n <= 0 {
			continue
		}
		// The first deadline that a machine rented now can still keep.
		age, due := float64(now.UnixMilli()-j.At)/1000, 0.0
		deadlines := r.cfg.Deadlines(j.Spec.Class, j.Spec.DeadlineS)
		for _, d := range deadlines {
			if due = d - age; ops.BootLagS+r.runs.RunS(j.Spec) <= due {
				break
			}
		}
		in.Demands = append(in.Demands, plan.Demand{
			Job: j.Spec, Count: r.limited(j, n), RunS: r.runs.RunS(j.Spec), Zones: place.ZonesOf(r.view, id),
			DeadlineS: due, Overdue: age > overdueTimes*deadlines[len(deadlines)-1],
		})
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
				Name: fmt.Sprintf("rented-%d", i), Pool: plan.Pool{Type: intent.Type, Zone: intent.Zone, Spot: intent.Spot}, Open: true,
				ReadyS: r.bootS(intent.Type),
			})
		}
	}
	return in
}

// bootUsual is how many times its boot time a machine usually takes at most.
const bootUsual = 1.6

// overdueTimes is how many times its last deadline a job may wait for cheap
// machines before any machine will do.
const overdueTimes = 4

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

// intend stores what is to be rented, then rents it.
func (r *Renter) intend(want plan.Rent) {
	if time.Now().Before(r.refused[want.Pool]) {
		return
	}
	r.hires++
	name := fmt.Sprintf("r-%d-%d", r.term, r.hires)
	intent := &ledger.Rent{
		Type: want.Type, Zone: want.Zone, Spot: want.Spot,
		Count: min(want.Count, wire.MaxHire), At: time.Now().UnixMilli(),
	}
	key := ledger.Key(ledger.KindRent, name)
	r.hiring[name] = true
	r.ledger.Commit(ledger.Commit{
		Guards: []wire.Guard{r.guard(), {Key: key}},
		Puts:   []ledger.Put{{Key: key, Rec: intent}},
	}, func(out ledger.Outcome) {
		r.Send(func() {
			delete(r.hiring, name)
			if out == ledger.Committed {
				slog.Info("renting", "hire", name, "type", want.Type, "zone", want.Zone, "spot", want.Spot, "count", intent.Count, "load", math.Round(want.Load*100)/100)
				r.hire(name, intent)
			}
		})
	})
}

// hire makes the call of a stored intent; the same name gets the same answer.
func (r *Renter) hire(name string, intent *ledger.Rent) {
	if r.hiring[name] {
		return
	}
	r.hiring[name] = true
	go func() {
		nests, err := r.cloud.Hire(r.ctx, wire.HireRequest{
			Request: name, Type: intent.Type, Zone: intent.Zone, Spot: intent.Spot, Count: intent.Count,
		})
		r.Send(func() { r.hired(name, intent, nests, err) })
	}()
}

func (r *Renter) hired(name string, intent *ledger.Rent, nests []string, err error) {
	pool := plan.Pool{Type: intent.Type, Zone: intent.Zone, Spot: intent.Spot}
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
	if none || len(nests) < intent.Count {
		r.refused[pool] = time.Now().Add(config.Secs(r.cfg.Ops.PassS * refusalPasses))
		r.again = true
		r.giveUpBoots(pool)
		slog.Info("cloud gave less", "hire", name, "type", intent.Type, "zone", intent.Zone, "spot", intent.Spot, "asked", intent.Count, "got", len(nests))
	}
	r.record(name, intent, nests)
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
	return b.Session == 0 && now.Sub(time.UnixMilli(b.At)) > config.Secs(bootUsual*r.bootS(b.Type))
}

// refusalPasses is for how many passes a pool that ran short is left alone.
const refusalPasses = 4

// record writes the machines of a rental and then drops its intent.
func (r *Renter) record(name string, intent *ledger.Rent, nests []string) {
	c := ledger.Commit{Guards: []wire.Guard{r.guard()}, Patience: config.Secs(r.cfg.Ops.PassS)}
	limit := r.cfg.Params.State.TxnOps - 1
	rest := nests
	for len(rest) > 0 && len(c.Puts) < limit {
		m := rest[0]
		rest = rest[1:]
		if !wire.ValidMachine(m) || r.view.Binds[m] != nil {
			continue
		}
		c.Puts = append(c.Puts, r.newBind(m, intent.Type, intent.Zone, intent.Spot, intent.At, &c))
	}
	if len(rest) == 0 {
		c.Delete = []string{ledger.Key(ledger.KindRent, name)}
	}
	r.ledger.Commit(c, func(out ledger.Outcome) {
		r.Send(func() {
			if out == ledger.Committed && len(rest) > 0 {
				r.record(name, intent, rest)
				return
			}
			delete(r.hiring, name)
			r.replan()
		})
	})
}

// replan runs the pass again once the calls of the last one are answered, if
// a pool ran short: waiting for the next pass at every refusal would leave
// work without a machine for as many passes as there are pools.
func (r *Renter) replan() {
	if r.again && len(r.hiring) == 0 {
		r.again = false
		r.decide()
	}
}

func (r *Renter) newBind(m, typ, zone string, spot bool, at int64, c *ledger.Commit) ledger.Put {
	key := ledger.Key(ledger.KindBind, m)
	c.Guards = append(c.Guards, wire.Guard{Key: key})
	return ledger.Put{Key: key, Rec: &ledger.Bind{Type: typ, Zone: zone, Spot: spot, Token: ledger.Token(r.term), At: at}}
}

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
	c := ledger.Commit{Guards: []wire.Guard{r.guard()}}
	for _, h := range hosts {
		id := h.ID
		b := r.view.Binds[id]
		if _, late := r.deleted[id]; b == nil && !late && wire.ValidMachine(id) &&
			len(r.view.Rents) == 0 && len(r.hiring) == 0 && len(c.Puts) < r.cfg.Params.State.TxnOps {
			slog.Info("unexpected machine adopted", "machine", id, "type", h.Type, "zone", h.Zone, "spot", h.Spot)
			c.Puts = append(c.Puts, r.newBind(id, h.Type, h.Zone, h.Spot, now.UnixMilli()-int64(h.AgeS*1000), &c))
		}
		if b != nil && h.State == wire.HostFailed {
			r.close(id, "failed")
		}
	}
	if len(c.Puts) > 0 {
		r.ledger.Commit(c, func(ledger.Outcome) {})
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
	up := 0
	for m, b := range r.view.Binds {
		age := now.Sub(time.UnixMilli(b.At))
		switch {
		case b.Closed:
			r.remove(m, b) // an earlier try, or an earlier leader's
		case b.Session == 0:
			if age > config.Secs(r.bootS(b.Type)*r.cfg.Ops.BootPatience) {
				r.close(m, "never came up")
			}
		default:
			up++
			since := now.Sub(r.heard[m])
			if since > report*3/2 {
				r.probe(m, b)
			}
			if since > silence*2/3 && !b.Quiet {
				quiet = append(quiet, m)
			}
			if since > silence && r.unanswered[m].After(r.heard[m]) {
				silent = append(silent, m)
			}
		}
	}
	r.mark(quiet)
	// One that stopped is listed as failed long before this; one that is cut
	// off ends its tasks after a lease, but may be back sooner than another.
	lost := config.Secs(2 * r.cfg.Params.Workers.LeaseS)
	for _, m := range silent {
		// A leader that is cut off from the workers hears none, and then the
		// mesh may be silent too: others had the time to take the mark away.
		if !r.view.Binds[m].Quiet || now.Sub(r.marked[m]) < report*4/3 {
			continue
		}
		// When most machines are silent, the fault is more likely ours.
		if 2*len(silent) > up && now.Sub(r.heard[m]) < config.Secs(2*r.cfg.Params.Workers.LeaseS) {
			continue
		}
		if now.Sub(r.heard[m]) < lost && !r.replaceable(m) {
			continue
		}
		r.close(m, "silent")
	}
}

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

// mark asks, through the state service, whether anybody hears these machines.
func (r *Renter) mark(quiet []string) {
	if r.marking || len(quiet) == 0 {
		return
	}
	c := ledger.Commit{Guards: []wire.Guard{r.guard()}}
	for _, m := range quiet[:min(len(quiet), r.cfg.Params.State.TxnOps)] {
		b := r.view.Binds[m]
		next := b.Next(r.view.CurrentTerm())
		next.Quiet = true
		key := ledger.Key(ledger.KindBind, m)
		c.Guards = append(c.Guards, wire.Guard{Key: key, Version: b.Stamp})
		c.Puts = append(c.Puts, ledger.Put{Key: key, Rec: next})
	}
	r.marking = true
	r.ledger.Commit(c, func(ledger.Outcome) { r.Send(func() { r.marking = false }) })
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
		r.Send(func() {
			delete(r.probing, m)
			if err != nil {
				r.unanswered[m] = time.Now()
			}
			if err == nil && rep.Machine == m {
				r.heard[m] = time.Now()
				r.report(rep)
			}
		})
	}()
}

// close fences a machine's record, so that nothing new is bound to it, and
// then returns the machine. An idle machine is closed only as it was seen.
func (r *Renter) close(m, why string) {
	b := r.view.Binds[m]
	if b == nil || r.closing[m] {
		return
	}
	if b.Closed {
		r.remove(m, b)
		return
	}
	next := b.Next(r.view.CurrentTerm())
	next.Closed, next.Drain = true, why
	key := ledger.Key(ledger.KindBind, m)
	r.closing[m] = true
	r.ledger.Commit(ledger.Commit{
		Guards: []wire.Guard{r.guard(), {Key: key, Version: b.Stamp}},
		Puts:   []ledger.Put{{Key: key, Rec: next}},
	}, func(out ledger.Outcome) {
		r.Send(func() {
			delete(r.closing, m)
			if out == ledger.Committed {
				slog.Info("returning machine", "machine", m, "why", why, "tasks", len(b.Tasks),
					"age_s", (time.Now().UnixMilli()-b.At)/1000, "type", b.Type, "zone", b.Zone, "spot", b.Spot)
				r.remove(m, r.view.Binds[m])
			}
		})
	})
}

// remove deletes a closed machine at the cloud; once that is answered, the
// machine and its tasks are gone, and so is its record.
func (r *Renter) remove(m string, b *ledger.Bind) {
	if b == nil || r.closing[m] || !r.leads() {
		return
	}
	r.closing[m] = true
	names := []string{m}
	for other, ob := range r.view.Binds { // one call for all that wait for it
		if ob.Closed && !r.closing[other] && len(names) < wire.MaxDelete {
			r.closing[other] = true
			names = append(names, other)
		}
	}
	go func() {
		err := r.cloud.Delete(r.ctx, names)
		r.Send(func() { r.removed(names, err) })
	}()
}

func (r *Renter) removed(names []string, err error) {
	if err != nil {
		slog.Info("return unanswered", "machines", strings.Join(names, " "), "err", err)
		for _, m := range names {
			delete(r.closing, m)
		}
		return
	}
	for len(names) > 0 {
		n := min(len(names), r.cfg.Params.State.TxnOps)
		part := names[:n]
		names = names[n:]
		// No guard on the stamp: the machine is gone, whatever its record says.
		c := ledger.Commit{Patience: config.Secs(r.cfg.Ops.PassS)}
		for _, m := range part {
			c.Delete = append(c.Delete, ledger.Key(ledger.KindBind, m))
		}
		r.ledger.Commit(c, func(ledger.Outcome) {
			r.Send(func() {
				for _, m := range part {
					delete(r.closing, m)
				}
			})
		})
	}
}
