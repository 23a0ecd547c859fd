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

// CommandSender sends commands straight to a worker.
type CommandSender interface {
	SendCommands(ctx context.Context, addr string, batch wire.CommandBatch) (*wire.Heartbeat, error)
}

// Scheduler is the actor that writes which tasks are bound to which machines: it places the
// tasks of the teams assigned to it, and applies the evidence from heartbeats. The process that
// the teams are assigned to writes at once; any other one only what nobody has written for a
// while.
type Scheduler struct {
	*actor.Actor
	schedulingState

	// ctx ends with the scheduler: commands are sent to workers under it.
	ctx               context.Context
	cache             *statecache.Cache
	workers           CommandSender
	onCommandResponse func(*wire.Heartbeat) // takes what workers answer to commands
	overload          *overload.Gauge

	commitInFlight bool
	cycleScheduled bool
}

// Options are what a Scheduler works with.
type Options struct {
	Config            *config.Config
	Incarnation       uint64 // of this process
	Cache             *statecache.Cache
	Workers           CommandSender
	OnCommandResponse func(*wire.Heartbeat) // takes what workers answer to commands; must not wait for the scheduler
	StoreLimits       *storelimits.Tracker  // nil: the limits are as configured
	Overload          *overload.Gauge       // nil: this process is never overloaded
}

// Start runs a scheduler until ctx ends.
func Start(ctx context.Context, o Options) *Scheduler {
	s := newScheduler(o)
	s.Actor = actor.Start(ctx, "scheduler", 512)
	s.ctx = ctx
	o.Cache.Subscribe(func(update statecache.Update) { s.Send(func() { s.apply(update) }) })
	s.Every(s.config.Params.Workers.Heartbeats(1.0/6), s.schedule)
	return s
}

// newScheduler makes a scheduler that knows nothing yet and does not run.
func newScheduler(o Options) *Scheduler {
	return &Scheduler{
		schedulingState:   newSchedulingState(o.Config, o.Incarnation, o.StoreLimits),
		cache:             o.Cache,
		workers:           o.Workers,
		onCommandResponse: o.OnCommandResponse,
		overload:          o.Overload,
	}
}

// SetMachineTypes tells the scheduler of the machine types.
func (s *Scheduler) SetMachineTypes(types []wire.MachineType) {
	s.Send(func() {
		s.nodes.setMachineTypes(types)
		s.schedule()
	})
}

// SetAdvisor sets the advisor. To be called before the cache runs.
func (s *Scheduler) SetAdvisor(a Advisor) { s.advice.advisor = a }

// HandleEvidence takes the evidence from a heartbeat; it is written at once if teams are
// assigned to this process, else after wait unless another process has written it.
func (s *Scheduler) HandleEvidence(evidence reconcile.Evidence, wait time.Duration) {
	s.Post(func() {
		if s.evidence.add(evidence, time.Now().Add(wait)) {
			s.schedule()
		}
	})
}

// WithClusterState runs a function in the scheduler's actor that looks at all that is placed;
// false if the scheduler is too busy.
func (s *Scheduler) WithClusterState(f func(placement.ClusterState)) bool {
	return s.Post(func() { f(s.clusterState()) })
}

// apply takes over an update of the cache.
func (s *Scheduler) apply(update statecache.Update) {
	s.schedulingState.apply(update, time.Now())
	if len(update.Changes) > 0 {
		s.schedule()
	}
}

// batchDelayHeartbeats is the pause before a scheduling cycle, in heartbeat intervals: changes
// that come together are written together.
const batchDelayHeartbeats = 1.0 / 100

// schedule begins a scheduling cycle soon, unless one is due or its commit is in flight.
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

// runCycle plans a scheduling cycle and commits it.
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
