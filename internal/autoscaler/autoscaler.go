package autoscaler

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/election"
	"lynxledge/internal/estimate"
	"lynxledge/internal/overload"
	"lynxledge/internal/planner"
	"lynxledge/internal/recovery"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/internal/storelimits"
	"lynxledge/wire"
)

// Cloud is what the renter needs of the cloud.
type Cloud interface {
	Provision(ctx context.Context, r wire.ProvisionRequest) ([]wire.MachineID, error)
	Delete(ctx context.Context, names []wire.MachineID) error
	List(ctx context.Context) ([]wire.Instance, error)
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
}

// Prober asks a silent machine directly.
type Prober interface {
	Inspect(ctx context.Context, addr string) (*wire.Heartbeat, error)
}

// Autoscaler is the actor.
type Autoscaler struct {
	*actor.Actor
	ctx             context.Context
	config          *config.Config
	incarnation     uint64
	startedAt       time.Time
	cache           *statecache.Cache
	cloud           Cloud
	writeLimiter    *rate.Limiter // of writes
	prober          Prober
	onProbeResponse func(*wire.Heartbeat)
	storeLimits     *storelimits.Tracker
	overload        *overload.Gauge

	zoneRecovery    *recovery.ScalingPolicy // nil: zones that recover are treated like any other
	onPoolExhausted func(pool resources.Pool, until time.Time)

	view           *statecache.View
	revision       uint64
	freshAsOf      time.Time
	machineTypes   []wire.MachineType
	activeJobs     map[wire.JobID]*statecache.Job
	blockedJobs    map[wire.JobID]*statecache.Job
	latePipelines  map[wire.JobID]wire.JobID // pipelines by their last job: the stage that makes them late
	runtimes       *estimate.RuntimeEstimator
	boundSince     map[wire.TaskID]time.Time           // bound task: since when
	liveness       map[wire.MachineID]*machineLiveness // by machine
	exhaustedPools map[resources.Pool]time.Time
	pendingUpdates map[wire.MachineID]machineUpdate // machine: what is to be written of it
	commitInFlight bool

	term                    uint64 // of the leadership that this state belongs to
	provisionCount          int
	provisioning            map[string]resources.Pool // by intent
	replanAfterProvisioning bool                      // more is wanted of a pool with a rental under way
	terminating             map[wire.MachineID]bool
	terminatedAt            map[wire.MachineID]time.Time
	listInFlight            bool
	lastListed              time.Time // when the cloud's list was asked for last
	lastPlanned             time.Time // when the last pass was made
}

// Options are what an Autoscaler works with.
type Options struct {
	Config          *config.Config
	Incarnation     uint64 // of this process
	Cache           *statecache.Cache
	Cloud           Cloud
	Prober          Prober
	OnProbeResponse func(*wire.Heartbeat)
	StoreLimits     *storelimits.Tracker // nil: the limits are as configured
	Overload        *overload.Gauge      // nil: this process is never overloaded
}

// Start runs the actor until ctx ends; it acts only while this process leads.
func Start(ctx context.Context, o Options) *Autoscaler {
	cfg := o.Config
	r := &Autoscaler{
		Actor:           actor.Start(ctx, "renter", 256),
		ctx:             ctx,
		config:          cfg,
		incarnation:     o.Incarnation,
		startedAt:       time.Now(),
		cache:           o.Cache,
		cloud:           o.Cloud,
		prober:          o.Prober,
		onProbeResponse: o.OnProbeResponse,
		storeLimits:     o.StoreLimits,
		overload:        o.Overload,
		writeLimiter:    rate.NewLimiter(rate.Limit(cfg.Params.Store.WriteRate*(1-cfg.Operator.SchedulerWriteShare)), cfg.Params.Store.TxnOpsLimit()),
		view:            statecache.NewUnfinishedView(statecache.ChunkTasks(cfg.Params.Store.MaxValueKB)),
		activeJobs:      map[wire.JobID]*statecache.Job{},
		blockedJobs:     map[wire.JobID]*statecache.Job{},
		latePipelines:   map[wire.JobID]wire.JobID{},
		runtimes:        estimate.NewRuntimeEstimator(),
		boundSince:      map[wire.TaskID]time.Time{},
		liveness:        map[wire.MachineID]*machineLiveness{},
		exhaustedPools:  map[resources.Pool]time.Time{},
		provisioning:    map[string]resources.Pool{},
		terminating:     map[wire.MachineID]bool{},
		pendingUpdates:  map[wire.MachineID]machineUpdate{},
		terminatedAt:    map[wire.MachineID]time.Time{},
	}
	o.Cache.Subscribe(func(d statecache.Update) { r.Send(func() { r.apply(d) }) })
	r.Every(cfg.Operator.PlanningInterval, r.runCycle)
	r.Every(cfg.Params.Workers.HeartbeatInterval/2, r.checkLiveness)
	return r
}

// SetZoneRecovery has rentals follow the recovery of zones, and tells it of pools that
// the cloud refuses. To be called before the ledger runs.
func (r *Autoscaler) SetZoneRecovery(zones *recovery.ScalingPolicy, onRefused func(pool resources.Pool, until time.Time)) {
	r.zoneRecovery, r.onPoolExhausted = zones, onRefused
}

// SetMachineTypes tells the renter of the machine types.
func (r *Autoscaler) SetMachineTypes(types []wire.MachineType) {
	r.Send(func() { r.machineTypes = types })
}

// MachinesReachable tells the renter of machines that reported to some node.
func (r *Autoscaler) MachinesReachable(machines []wire.MachineID) {
	now := time.Now()
	r.Post(func() {
		for _, m := range machines {
			c := r.livenessOf(m)
			c.lastReachable, c.outboundPartitioned = now, false
		}
	})
}

func (r *Autoscaler) apply(d statecache.Update) {
	r.revision, r.freshAsOf = d.Revision, d.FreshAsOf
	now := time.Now()
	for _, c := range d.Changes {
		for _, b := range r.view.Apply(c) {
			r.applyMachineChange(b, now)
		}
		switch c.Kind {
		case statecache.KindMachineGroup:
			if g, _ := c.Record.(*statecache.MachineGroup); g != nil {
				r.detectFaultyMachines(g.Terminations)
				r.runtimes.Observe(g.Terminations, r.view.Jobs)
			}
		case statecache.KindJob:
			id := wire.JobID(c.Name)
			j, _ := c.Record.(*statecache.Job)
			delete(r.activeJobs, id)
			delete(r.blockedJobs, id)
			switch {
			case j == nil || !j.Active() || j.Spec == nil:
				r.runtimes.Forget(id)
				delete(r.latePipelines, id)
			case j.Blocked:
				r.blockedJobs[id] = j
			default:
				r.activeJobs[id] = j
			}
		}
	}
}

func (r *Autoscaler) applyMachineChange(c statecache.MachineChange, now time.Time) {
	m, old, b := c.Machine, c.Old, c.New
	for _, t := range statecache.UnboundTasks(old, b) {
		delete(r.boundSince, t.TaskID())
	}
	if b == nil {
		delete(r.liveness, m)
		delete(r.pendingUpdates, m)
		r.terminatedAt[m] = now
		delete(r.exhaustedPools, resources.Pool{MachineType: old.MachineType, Zone: old.Zone, Spot: old.Spot})
		return
	}
	known := r.livenessOf(m)
	if known.lastReachable.IsZero() && b.Incarnation > 0 || old != nil && old.Suspected && !b.Suspected || r.hasRejoined(old, b) {
		known.lastReachable = now // somebody hears it
	}
	if b.Suspected && (old == nil || !old.Suspected) {
		known.suspectedAt = now
	}
	for i := range b.Bindings {
		if t := &b.Bindings[i]; old == nil || old.FindBinding(t.Job, t.TaskIndex) == nil {
			r.boundSince[t.TaskID()] = now
		}
	}
}

// hasRejoined tells whether a row shows a machine to be back: only a report of its own
// begins a new session. When a zone returns, who hears it may not have its streams to the
// leader open yet, and the leader would return machines that have just come back.
func (r *Autoscaler) hasRejoined(old, b *statecache.Machine) bool {
	return r.zoneRecovery != nil && old != nil && b.Incarnation > old.Incarnation
}

// isLeader tells whether this process leads and its view can be trusted.
func (r *Autoscaler) isLeader() bool {
	_, ok := r.leadership()
	return ok
}

// leadership is the leadership of this process, if it is confirmed.
func (r *Autoscaler) leadership() (election.Leadership, bool) {
	lead, ok := election.ConfirmLeadership(r.view, r.incarnation, r.revision, r.freshAsOf, r.config.Params.Workers.Heartbeats(maxViewAgeHeartbeats))
	if ok && r.term != lead.Term() {
		r.term, r.provisionCount = lead.Term(), 0
		now := time.Now()
		for _, c := range r.liveness { // silence counts from here
			if !c.lastReachable.IsZero() {
				c.lastReachable = now
			}
		}
	}
	return lead, ok
}

// maxViewAgeHeartbeats is how old a view may be to lead by it, in report intervals.
const maxViewAgeHeartbeats = 2

// runCycle is one round of the design's loop.
func (r *Autoscaler) runCycle() {
	if !r.isLeader() || len(r.machineTypes) == 0 {
		return
	}
	r.listInstances()
	for name, intent := range r.view.ProvisioningIntents {
		r.provision(name, intent) // a lost call, of ours or of an earlier leader
	}
	r.planAndApply()
}

// planAndApply plans and acts on the plan.
func (r *Autoscaler) planAndApply() {
	if !r.isLeader() || len(r.machineTypes) == 0 || r.deferPlanning() {
		return
	}
	r.lastPlanned = time.Now()
	in := r.planningInput()
	p := planner.Compute(in)
	r.logPlanningCycle(&in, &p)
	r.scaleOutAll(p.ScaleOut)
	for _, m := range p.ScaleIn {
		r.scaleIn(m, drainReasonIdle)
	}
	for m, b := range r.view.Machines {
		if b.DrainReason != "" && !b.Terminating && b.Incarnation > 0 && len(b.Bindings) == 0 {
			r.scaleIn(m, b.DrainReason)
		}
	}
}

// maxSkippedCycles bounds for how long planning waits for processor time.
const maxSkippedCycles = 4

// deferPlanning tells whether planning should wait, because the processor has more urgent
// work to do.
func (r *Autoscaler) deferPlanning() bool {
	longest := r.config.Operator.PlanningIntervals(maxSkippedCycles)
	return r.overload.Level() >= overload.Behind && time.Since(r.lastPlanned) < longest
}

// commit makes a change within the leader's part of the writes; reply runs in
// the actor.
func (r *Autoscaler) commit(c statecache.Commit, reply func(statecache.Outcome)) {
	r.writeLimiter.SetLimit(rate.Limit(r.storeLimits.WriteRate(&r.config.Params.Store) * (1 - r.config.Operator.SchedulerWriteShare)))
	wait := r.writeLimiter.ReserveN(time.Now(), min(c.Ops(), r.writeLimiter.Burst())).Delay()
	r.After(wait, func() {
		r.cache.Commit(c, func(out statecache.Outcome) { r.Send(func() { reply(out) }) })
	})
}
