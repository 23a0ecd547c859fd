// Package rent is the leader's hand on the cloud: it rents what the plan asks
// for, adopts what appears, and returns what is idle, dead or lost.
package rent

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/election"
	"lynxledge/internal/overload"
	"lynxledge/internal/place"
	"lynxledge/internal/plan"
	"lynxledge/internal/recovery"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Cloud is what the renter needs of the cloud.
type Cloud interface {
	Hire(ctx context.Context, r wire.ProvisionRequest) ([]string, error)
	Delete(ctx context.Context, names []string) error
	List(ctx context.Context) ([]wire.Instance, error)
	Types(ctx context.Context) ([]wire.MachineType, error)
}

// Prober asks a silent machine directly.
type Prober interface {
	Inspect(ctx context.Context, addr string) (*wire.Heartbeat, error)
}

// Renter is the actor.
type Renter struct {
	*actor.Actor
	ctx    context.Context
	cfg    *config.Config
	boot   uint64
	begun  time.Time
	ledger *statecache.Cache
	cloud  Cloud
	pace   *rate.Limiter // of writes
	prober Prober
	report func(*wire.Heartbeat)

	zones     *recovery.Rentals // nil: zones that recover are treated like any other
	onRefused func(pool plan.Pool, until time.Time)

	view          *statecache.View
	epoch         uint64
	fresh         time.Time
	types         []wire.MachineType
	active        map[string]*statecache.Job
	blocked       map[string]*statecache.Job
	latePipelines map[string]string // pipelines by their last job: the stage that makes them late
	runs          *place.Estimates
	since         map[string]time.Time // bound task: since when
	contacts      map[string]*contact  // by machine
	refused       map[plan.Pool]time.Time
	edits         map[string]edit // machine: what is to be written of it
	writing       bool

	term     uint64 // of the leadership that this state belongs to
	hires    int
	hiring   map[string]plan.Pool // by intent
	missed   bool                 // more is wanted of a pool with a rental under way
	deleting map[string]bool
	deleted  map[string]time.Time
	listing  bool
	listed   time.Time // when the cloud's list was asked for last
	planned  time.Time // when the last pass was made
}

// Start runs the actor; it acts only while this process leads.
func Start(ctx context.Context, cfg *config.Config, boot uint64, l *statecache.Cache, c Cloud, p Prober, report func(*wire.Heartbeat)) *Renter {
	r := &Renter{
		Actor:         actor.Start(ctx, "renter", 256),
		ctx:           ctx,
		cfg:           cfg,
		boot:          boot,
		begun:         time.Now(),
		ledger:        l,
		cloud:         c,
		prober:        p,
		report:        report,
		pace:          rate.NewLimiter(rate.Limit(cfg.Params.Store.WriteRate*(1-cfg.Operator.SchedulerWriteShare)), cfg.Params.Store.TxnOpsLimit()),
		view:          statecache.NewUnfinishedView(statecache.ChunkTasks(cfg.Params.Store.MaxValueKB)),
		active:        map[string]*statecache.Job{},
		blocked:       map[string]*statecache.Job{},
		latePipelines: map[string]string{},
		runs:          place.NewEstimates(),
		since:         map[string]time.Time{},
		contacts:      map[string]*contact{},
		refused:       map[plan.Pool]time.Time{},
		hiring:        map[string]plan.Pool{},
		deleting:      map[string]bool{},
		edits:         map[string]edit{},
		deleted:       map[string]time.Time{},
	}
	l.Subscribe(func(d statecache.Update) { r.Send(func() { r.apply(d) }) })
	r.Every(config.Seconds(cfg.Operator.PlanningInterval), r.pass)
	r.Every(config.Seconds(cfg.Params.Workers.HeartbeatInterval/2), r.watch)
	return r
}

// FollowRecovery has rentals follow the recovery of zones, and tells it of pools that
// the cloud refuses. To be called before the ledger runs.
func (r *Renter) FollowRecovery(zones *recovery.Rentals, onRefused func(pool plan.Pool, until time.Time)) {
	r.zones, r.onRefused = zones, onRefused
}

// SetTypes tells the renter of the machine types.
func (r *Renter) SetTypes(types []wire.MachineType) { r.Send(func() { r.types = types }) }

// Heard tells the renter of machines that reported to some node.
func (r *Renter) Heard(machines []string) {
	now := time.Now()
	r.Post(func() {
		for _, m := range machines {
			c := r.contact(m)
			c.heard, c.mute = now, false
		}
	})
}

func (r *Renter) apply(d statecache.Update) {
	r.epoch, r.fresh = d.Revision, d.FreshAsOf
	now := time.Now()
	for _, c := range d.Changes {
		for _, b := range r.view.Apply(c) {
			r.bindChanged(b, now)
		}
		switch c.Kind {
		case statecache.KindMachineGroup:
			if g, _ := c.Record.(*statecache.MachineGroup); g != nil {
				r.countErrors(g.Terminations)
				r.runs.Learn(g.Terminations, r.view.Jobs)
			}
		case statecache.KindJob:
			j, _ := c.Record.(*statecache.Job)
			delete(r.active, c.Name)
			delete(r.blocked, c.Name)
			switch {
			case j == nil || !j.Active() || j.Spec == nil:
				r.runs.Forget(c.Name)
				delete(r.latePipelines, c.Name)
			case j.Blocked:
				r.blocked[c.Name] = j
			default:
				r.active[c.Name] = j
			}
		}
	}
}

func (r *Renter) bindChanged(c statecache.MachineChange, now time.Time) {
	m, old, b := c.Machine, c.Old, c.New
	for _, t := range statecache.UnboundTasks(old, b) {
		delete(r.since, t.TaskName())
	}
	if b == nil {
		delete(r.contacts, m)
		delete(r.edits, m)
		r.deleted[m] = now
		delete(r.refused, plan.Pool{Type: old.MachineType, Zone: old.Zone, Spot: old.Spot})
		return
	}
	known := r.contact(m)
	if known.heard.IsZero() && b.Incarnation > 0 || old != nil && old.Suspected && !b.Suspected || r.backAgain(old, b) {
		known.heard = now // somebody hears it
	}
	if b.Suspected && (old == nil || !old.Suspected) {
		known.marked = now
	}
	for i := range b.Bindings {
		if t := &b.Bindings[i]; old == nil || old.FindBinding(t.Job, t.TaskIndex) == nil {
			r.since[t.TaskName()] = now
		}
	}
}

// backAgain tells whether a row shows a machine to be back: only a report of its own
// begins a new session. When a zone returns, who hears it may not have its streams to the
// leader open yet, and the leader would return machines that have just come back.
func (r *Renter) backAgain(old, b *statecache.Machine) bool {
	return r.zones != nil && old != nil && b.Incarnation > old.Incarnation
}

// leads tells whether this process leads and its view can be trusted.
func (r *Renter) leads() bool {
	_, ok := r.lead()
	return ok
}

// lead is the leadership of this process, if it is confirmed.
func (r *Renter) lead() (election.Leadership, bool) {
	lead, ok := election.ConfirmLeadership(r.view, r.boot, r.epoch, r.fresh, r.reports(maxViewReports))
	if ok && r.term != lead.Term() {
		r.term, r.hires = lead.Term(), 0
		now := time.Now()
		for _, c := range r.contacts { // silence counts from here
			if !c.heard.IsZero() {
				c.heard = now
			}
		}
	}
	return lead, ok
}

// maxViewReports is how old a view may be to lead by it, in report intervals.
const maxViewReports = 2

// pass is one round of the design's loop.
func (r *Renter) pass() {
	if !r.leads() || len(r.types) == 0 {
		return
	}
	r.list()
	for name, intent := range r.view.ProvisioningIntents {
		r.hire(name, intent) // a lost call, of ours or of an earlier leader
	}
	r.decide()
}

// decide plans and acts on the plan.
func (r *Renter) decide() {
	if !r.leads() || len(r.types) == 0 || r.planLater() {
		return
	}
	r.planned = time.Now()
	in := r.input()
	p := plan.Make(in)
	r.logPass(&in, &p)
	r.rentAll(p.Rent)
	for _, m := range p.Return {
		r.close(m, whyIdle)
	}
	for m, b := range r.view.Machines {
		if b.DrainReason != "" && !b.Terminating && b.Incarnation > 0 && len(b.Bindings) == 0 {
			r.close(m, b.DrainReason)
		}
	}
}

// maxPassesSkipped bounds for how long planning waits for processor time.
const maxPassesSkipped = 4

// planLater tells whether planning should wait, because the processor has more urgent
// work to do.
func (r *Renter) planLater() bool {
	longest := config.Seconds(r.cfg.Operator.PlanningInterval * maxPassesSkipped)
	return r.cfg.Overload.Level() >= overload.Behind && time.Since(r.planned) < longest
}

// commit makes a change within the leader's part of the writes; reply runs in
// the actor.
func (r *Renter) commit(c statecache.Commit, reply func(statecache.Outcome)) {
	r.pace.SetLimit(rate.Limit(r.cfg.StoreWriteRate() * (1 - r.cfg.Operator.SchedulerWriteShare)))
	wait := r.pace.ReserveN(time.Now(), min(c.Ops(), r.pace.Burst())).Delay()
	r.After(wait, func() {
		r.ledger.Commit(c, func(out statecache.Outcome) { r.Send(func() { reply(out) }) })
	})
}
