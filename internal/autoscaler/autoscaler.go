package autoscaler

import (
	"context"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/overload"
	"lynxledge/internal/recovery"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/internal/storelimits"
	"lynxledge/wire"
)

// Cloud is what the autoscaler needs of the cloud.
type Cloud interface {
	Provision(ctx context.Context, r wire.ProvisionRequest) ([]wire.MachineID, error)
	Delete(ctx context.Context, names []wire.MachineID) error
	List(ctx context.Context) ([]wire.Instance, error)
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
}

// Prober asks a machine directly for its status.
type Prober interface {
	Inspect(ctx context.Context, addr string) (*wire.Heartbeat, error)
}

// Autoscaler is the actor.
type Autoscaler struct {
	*actor.Actor
	ctx             context.Context // of the calls to the cloud and the workers
	config          *config.Config
	incarnation     uint64
	cache           *statecache.Cache
	cloud           Cloud
	prober          Prober
	onProbeResponse func(*wire.Heartbeat)
	overload        *overload.Gauge

	zoneRecovery    *recovery.ScalingPolicy // nil: zones that recover are treated like any other
	onPoolExhausted func(pool resources.Pool, until time.Time)

	view      *statecache.View
	revision  uint64
	freshAsOf time.Time
	term      uint64 // of the leadership that the state below belongs to

	writes       *writeBudget
	machineTypes machineCatalog
	jobs         *jobTracker
	risks        *deadlineRisks
	liveness     *livenessTracker
	provisioning *provisioningTracker
	updates      *updateQueue
	terminations *terminationTracker
	instances    instanceListing
	lastPlanned  time.Time // start of the last planning cycle
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

// mailboxSize is how many messages may wait for the actor before senders do.
const mailboxSize = 256

// Start runs the actor until ctx ends; it acts only while this process leads.
func Start(ctx context.Context, o Options) *Autoscaler {
	cfg := o.Config
	r := &Autoscaler{
		Actor:           actor.Start(ctx, "autoscaler", mailboxSize),
		ctx:             ctx,
		config:          cfg,
		incarnation:     o.Incarnation,
		cache:           o.Cache,
		cloud:           o.Cloud,
		prober:          o.Prober,
		onProbeResponse: o.OnProbeResponse,
		overload:        o.Overload,
		view:            statecache.NewUnfinishedView(statecache.ChunkTasks(cfg.Params.Store.MaxValueKB)),
		writes:          newWriteBudget(cfg, o.StoreLimits),
		machineTypes:    machineCatalog{defaultBootSeconds: cfg.Operator.BootLag.Seconds()},
		jobs:            newJobTracker(),
		risks:           newDeadlineRisks(),
		liveness:        newLivenessTracker(),
		provisioning:    newProvisioningTracker(),
		updates:         newUpdateQueue(),
		terminations:    newTerminationTracker(),
		instances:       instanceListing{startedAt: time.Now()},
	}
	o.Cache.Subscribe(func(u statecache.Update) { r.Send(func() { r.apply(u) }) })
	r.Every(cfg.Operator.PlanningInterval, r.runCycle)
	r.Every(cfg.Params.Workers.HeartbeatInterval/2, r.checkLiveness)
	return r
}

// SetZoneRecovery has scaling follow the recovery of zones, and sets who is told of pools that
// the cloud has no machines of. To be called before the cache runs.
func (r *Autoscaler) SetZoneRecovery(zones *recovery.ScalingPolicy, onPoolExhausted func(pool resources.Pool, until time.Time)) {
	r.zoneRecovery, r.onPoolExhausted = zones, onPoolExhausted
}

// SetMachineTypes sets the machine types that the cloud offers.
func (r *Autoscaler) SetMachineTypes(types []wire.MachineType) {
	r.Send(func() { r.machineTypes.types = types })
}

// MachinesReachable tells of machines whose heartbeats reached some controller.
func (r *Autoscaler) MachinesReachable(machines []wire.MachineID) {
	now := time.Now()
	r.Post(func() { r.liveness.heartbeatsReceived(machines, now) })
}

// apply follows an update of the cache.
func (r *Autoscaler) apply(u statecache.Update) {
	r.revision, r.freshAsOf = u.Revision, u.FreshAsOf
	now := time.Now()
	for _, change := range u.Changes {
		for _, machineChange := range r.view.Apply(change) {
			r.applyMachineChange(machineChange, now)
		}
		switch change.Kind {
		case statecache.KindMachineGroup:
			if group, _ := change.Record.(*statecache.MachineGroup); group != nil {
				r.detectFaultyMachines(group.Terminations)
				r.jobs.observeTerminations(group.Terminations, r.view.Jobs)
			}
		case statecache.KindJob:
			job, _ := change.Record.(*statecache.Job)
			r.applyJob(wire.JobID(change.Name), job)
		}
	}
}

// applyJob follows a job's new record, nil if there is none any more.
func (r *Autoscaler) applyJob(id wire.JobID, job *statecache.Job) {
	if ended := r.jobs.update(id, job); ended {
		r.risks.forget(id)
	}
}

// applyMachineChange follows a machine's new record.
func (r *Autoscaler) applyMachineChange(change statecache.MachineChange, now time.Time) {
	r.jobs.applyMachineChange(change, now)
	if change.New == nil {
		r.liveness.forget(change.Machine)
		r.updates.forget(change.Machine)
		r.terminations.observe(change.Machine, now)
		r.provisioning.clearExhausted(machinePool(change.Old))
		return
	}
	r.liveness.of(change.Machine).applyRecord(change.Old, change.New, now)
	if r.hasRejoined(change.Old, change.New) {
		r.liveness.of(change.Machine).lastReachable = now
	}
}

// hasRejoined tells whether a record shows a machine to be back: only a heartbeat of its own
// begins a new incarnation. When a zone returns, the controller that receives it may not have
// its streams to the leader open yet, and the leader would scale in machines that have just
// come back.
func (r *Autoscaler) hasRejoined(old, next *statecache.Machine) bool {
	return r.zoneRecovery != nil && old != nil && next.Incarnation > old.Incarnation
}

// commit makes a change within the leader's part of the writes; reply runs in the actor.
func (r *Autoscaler) commit(c statecache.Commit, reply func(statecache.Outcome)) {
	r.After(r.writes.reserve(c.Ops()), func() {
		r.cache.Commit(c, func(outcome statecache.Outcome) { r.Send(func() { reply(outcome) }) })
	})
}

// callOutside makes a call that takes its time, to the cloud or a worker, outside the actor,
// and has its result handled inside. The call ends with the actor's context.
func callOutside[T any](r *Autoscaler, call func(ctx context.Context) (T, error), handle func(T, error)) {
	go func() {
		result, err := call(r.ctx)
		r.Send(func() { handle(result, err) })
	}()
}
