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

// Cloud is the part of the cloud's API that the autoscaler uses.
type Cloud interface {
	Provision(ctx context.Context, r wire.ProvisionRequest) ([]wire.MachineID, error)
	Delete(ctx context.Context, names []wire.MachineID) error
	List(ctx context.Context) ([]wire.Instance, error)
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
}

// Prober requests a heartbeat directly from a worker.
type Prober interface {
	Inspect(ctx context.Context, addr string) (*wire.Heartbeat, error)
}

// Autoscaler is the actor that provisions and terminates machines.
type Autoscaler struct {
	*actor.Actor
	ctx             context.Context // for calls to the cloud and the workers
	config          *config.Config
	incarnation     uint64
	cache           *statecache.Cache
	cloud           Cloud
	prober          Prober
	onProbeResponse func(*wire.Heartbeat)
	overload        *overload.Gauge

	zoneRecoveryPolicy *recovery.ScalingPolicy // nil: recovering zones are treated like any other
	onPoolExhausted    func(pool resources.Pool, until time.Time)

	view      *statecache.View
	revision  uint64
	freshAsOf time.Time
	term      uint64 // of the leadership to which the state below belongs

	writes       *writeBudget
	machineTypes machineCatalog
	jobs         *jobTracker
	risks        *deadlineRisks
	failures     *jobFailures
	liveness     *livenessTracker
	provisioning *provisioningTracker
	updates      *updateQueue
	terminations *terminationTracker
	instances    instanceListing
	lastPlanned  time.Time // when planning last started
}

// Options configures an Autoscaler.
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

// mailboxSize is the number of messages that the actor's mailbox holds. While it is full, Send
// blocks and TrySend drops the message.
const mailboxSize = 256

// Start starts an Autoscaler that runs until ctx ends. It acts only while this process is the
// leader.
func Start(ctx context.Context, o Options) *Autoscaler {
	cfg := o.Config
	a := &Autoscaler{
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
		failures:        newJobFailures(),
		liveness:        newLivenessTracker(),
		provisioning:    newProvisioningTracker(),
		updates:         newUpdateQueue(),
		terminations:    newTerminationTracker(),
		instances:       instanceListing{processStartedAt: time.Now()},
	}
	o.Cache.Subscribe(func(u statecache.Update) { a.Send(func() { a.apply(u) }) })
	a.Every(cfg.Operator.PlanningInterval, a.runCycle)
	a.Every(cfg.Params.Workers.HeartbeatInterval/2, a.checkLiveness)
	return a
}

// SetZoneRecovery sets the policy for scaling while zones recover, and the callback for pools in
// which the cloud had too few machines. It must be called before the cache runs.
func (a *Autoscaler) SetZoneRecovery(policy *recovery.ScalingPolicy, onPoolExhausted func(pool resources.Pool, until time.Time)) {
	a.zoneRecoveryPolicy, a.onPoolExhausted = policy, onPoolExhausted
}

// SetMachineTypes sets the machine types that the cloud offers.
func (a *Autoscaler) SetMachineTypes(types []wire.MachineType) {
	a.Send(func() { a.machineTypes.types = types })
}

// MachinesReachable records that controllers have received heartbeats from machines.
func (a *Autoscaler) MachinesReachable(machines []wire.MachineID) {
	now := time.Now()
	a.TrySend(func() { a.liveness.heartbeatsReceived(machines, now) })
}

// apply applies an update of the cache to the view and to everything derived from it.
func (a *Autoscaler) apply(u statecache.Update) {
	a.revision, a.freshAsOf = u.Revision, u.FreshAsOf
	now := time.Now()
	for _, change := range u.Changes {
		for _, machineChange := range a.view.Apply(change) {
			a.applyMachineChange(machineChange, now)
		}
		switch change.Kind {
		case statecache.KindMachineGroup:
			if group, _ := change.Record.(*statecache.MachineGroup); group != nil {
				a.detectFaultyMachines(group.Terminations, now)
				a.jobs.observeTerminations(group.Terminations, a.view.Jobs)
			}
		case statecache.KindJob:
			job, _ := change.Record.(*statecache.Job)
			a.applyJob(wire.JobID(change.Name), job)
		}
	}
}

// applyJob handles a job's new record; nil if the record was deleted.
func (a *Autoscaler) applyJob(id wire.JobID, job *statecache.Job) {
	if ended := a.jobs.update(id, job); ended {
		a.risks.forget(id)
		a.forgetFailures(id)
	}
}

// applyMachineChange handles a machine's new record, or the removal of the record.
func (a *Autoscaler) applyMachineChange(change statecache.MachineChange, now time.Time) {
	a.jobs.applyMachineChange(change, now)
	if change.New == nil {
		a.liveness.forget(change.Machine)
		a.updates.forget(change.Machine)
		a.terminations.markTerminated(change.Machine, now)
		a.provisioning.clearExhausted(machinePool(change.Old))
		return
	}
	a.liveness.of(change.Machine).applyRecord(change.Old, change.New, now)
	if a.hasRejoined(change.Old, change.New) {
		a.liveness.of(change.Machine).lastReachable = now
	}
}

// hasRejoined reports whether a new record shows that a machine is back: only a heartbeat of the
// machine raises its recorded incarnation. When a zone returns, the controller that receives the
// heartbeat may not have its streams to the leader open yet; without this check the leader would
// scale in machines that have just come back.
func (a *Autoscaler) hasRejoined(old, next *statecache.Machine) bool {
	return a.zoneRecoveryPolicy != nil && old != nil && next.Incarnation > old.Incarnation
}

// commit commits c once the write budget allows it. reply runs in the actor.
func (a *Autoscaler) commit(c statecache.Commit, reply func(statecache.Outcome)) {
	a.After(a.writes.reserve(c.Ops()), func() {
		a.cache.Commit(c, func(outcome statecache.Outcome) { a.Send(func() { reply(outcome) }) })
	})
}

// callAsync runs a blocking call to the cloud or a worker in a goroutine, so that the actor doesn't
// wait for it, and runs handle in the actor. The call ends with the actor's context.
func callAsync[T any](a *Autoscaler, call func(ctx context.Context) (T, error), handle func(T, error)) {
	go func() {
		result, err := call(a.ctx)
		a.Send(func() { handle(result, err) })
	}()
}
