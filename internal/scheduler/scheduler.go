package scheduler

import (
	"context"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/overload"
	"lynxledge/internal/placement"
	"lynxledge/internal/reconcile"
	"lynxledge/internal/statecache"
	"lynxledge/internal/storelimits"
	"lynxledge/wire"
)

// CommandSender sends commands directly to a worker.
type CommandSender interface {
	SendCommands(ctx context.Context, addr string, batch wire.CommandBatch) (*wire.Heartbeat, error)
}

// Scheduler is the actor that binds tasks to machines in the store: it places the tasks of the
// teams assigned to its process, and applies the evidence from heartbeats. A process with
// assigned teams writes evidence immediately; any other only what no process has written after a
// delay.
type Scheduler struct {
	*actor.Actor
	schedulingState

	// ctx is the scheduler's lifetime; commands are sent to workers with it.
	ctx               context.Context
	cache             *statecache.Cache
	workers           CommandSender
	onCommandResponse func(*wire.Heartbeat) // receives the workers' responses to commands
	overload          *overload.Gauge

	commitInFlight bool
	cycleScheduled bool
}

// Options configures a Scheduler.
type Options struct {
	Config            *config.Config
	Incarnation       uint64 // of this process
	Cache             *statecache.Cache
	Workers           CommandSender
	OnCommandResponse func(*wire.Heartbeat) // receives the workers' responses to commands; must not wait for the scheduler
	StoreLimits       *storelimits.Tracker  // nil: the limits are as configured
	Overload          *overload.Gauge       // nil: this process is never overloaded
}

// Start starts a Scheduler that runs until ctx ends.
func Start(ctx context.Context, o Options) *Scheduler {
	s := newScheduler(o)
	s.Actor = actor.Start(ctx, "scheduler", 512)
	s.ctx = ctx
	o.Cache.Subscribe(func(update statecache.Update) { s.Send(func() { s.apply(update) }) })
	s.Every(s.config.Params.Workers.Heartbeats(1.0/6), s.schedule)
	return s
}

// newScheduler returns a scheduler with an empty view whose actor is not started.
func newScheduler(o Options) *Scheduler {
	return &Scheduler{
		schedulingState:   newSchedulingState(o.Config, o.Incarnation, o.StoreLimits),
		cache:             o.Cache,
		workers:           o.Workers,
		onCommandResponse: o.OnCommandResponse,
		overload:          o.Overload,
	}
}

// SetMachineTypes sets the machine types that the cloud offers, and schedules a cycle.
func (s *Scheduler) SetMachineTypes(types []wire.MachineType) {
	s.Send(func() {
		s.nodes.setMachineTypes(types)
		s.schedule()
	})
}

// SetAdvisor sets the advisor. It must be called before the cache runs.
func (s *Scheduler) SetAdvisor(a Advisor) { s.advice.advisor = a }

// HandleEvidence queues the evidence from a heartbeat, to be written after wait unless another
// process has written it by then. wait is 0 unless another process is taken for the active scheduler.
// A process without assigned teams also waits for other writers (see evidenceQueue.due). Evidence is
// dropped while the scheduler's mailbox is full.
func (s *Scheduler) HandleEvidence(evidence reconcile.Evidence, wait time.Duration) {
	s.TrySend(func() {
		if s.evidence.add(evidence, time.Now().Add(wait)) {
			s.schedule()
		}
	})
}

// WithClusterState runs f in the scheduler's actor with the current state of the cluster. It
// returns false without running f if the scheduler's mailbox is full.
func (s *Scheduler) WithClusterState(f func(placement.ClusterState)) bool {
	return s.TrySend(func() { f(s.clusterState()) })
}

// apply applies an update of the cache, and schedules a cycle if anything changed.
func (s *Scheduler) apply(update statecache.Update) {
	s.schedulingState.apply(update, time.Now())
	if len(update.Changes) > 0 {
		s.schedule()
	}
}

// batchDelayHeartbeats is the delay before a scheduling cycle, in heartbeat intervals. It batches
// changes that arrive together into one transaction.
const batchDelayHeartbeats = 1.0 / 100

// schedule runs a scheduling cycle after the batch delay, unless one is already scheduled or its
// commit is in flight.
func (s *Scheduler) schedule() {
	if s.commitInFlight || s.cycleScheduled {
		return
	}
	s.cycleScheduled = true
	s.After(s.config.Params.Workers.Heartbeats(batchDelayHeartbeats), func() {
		s.cycleScheduled = false
		if !s.commitInFlight {
			s.runCycle()
		}
	})
}

// runCycle plans and commits a scheduling cycle, unless the view is stale or the write budget
// exhausted.
func (s *Scheduler) runCycle() {
	now := time.Now()
	if now.Sub(s.freshAsOf) > s.config.Params.Workers.Heartbeats(statecache.MaxViewAgeHeartbeats) {
		return
	}
	limit, wait := s.writeLimit(now)
	if wait > 0 {
		s.After(wait, s.schedule)
		return
	}
	s.commit(s.planCycle(now, limit, s.overload.Level() < overload.Behind))
}
