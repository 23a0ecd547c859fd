// Package zonecontrol contains the actor that controls the recovery of zones: every controller
// collects evidence, and the leader evaluates it and writes the state of each zone to the recovery
// record.
package zonecontrol

import (
	"context"
	"log/slog"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/election"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// Controller is the actor that controls the recovery of zones.
type Controller struct {
	*actor.Actor
	config        *config.Config
	incarnation   uint64
	cache         *statecache.Cache
	scheduler     ClusterStateProvider
	policy        zonehealth.Policy
	checkInterval time.Duration

	view         *statecache.View // without jobs and completion chunks
	revision     uint64
	freshAsOf    time.Time
	machineTypes []wire.MachineType

	reachability   *zonehealth.ReachabilityTracker
	phases         *zonehealth.PhaseTracker
	exhaustedPools map[resources.Pool]time.Time // until when the cloud is not asked for machines again
	lastCheck      time.Time

	term             uint64 // of the leadership in which phases is evaluated
	recordSerial     uint64 // of the last record that this process wrote in this term
	writeInFlight    bool
	recordUnreadable bool // another version's layout; logged once, and nothing is evaluated
}

// ClusterStateProvider gives read access to the scheduler's state.
type ClusterStateProvider interface {
	// WithClusterState calls f with the state, possibly only after WithClusterState has returned.
	// It returns false, without calling f, if the provider is too busy.
	WithClusterState(f func(placement.ClusterState)) bool
}

// Options configures a Controller.
type Options struct {
	Config      *config.Config
	Incarnation uint64 // of this process
	Cache       *statecache.Cache
	Scheduler   ClusterStateProvider
	Policy      zonehealth.Policy
}

// mailboxSize is the number of messages that the actor's mailbox holds. While it is full, Send
// blocks and TrySend drops the message.
const mailboxSize = 256

// checksPerHeartbeat is how many times per heartbeat interval the evidence is evaluated.
const checksPerHeartbeat = 4

// Start starts a Controller that runs until ctx ends.
func Start(ctx context.Context, o Options) *Controller {
	now := time.Now()
	c := &Controller{
		Actor:          actor.Start(ctx, "zonecontrol", mailboxSize),
		config:         o.Config,
		incarnation:    o.Incarnation,
		cache:          o.Cache,
		scheduler:      o.Scheduler,
		policy:         o.Policy,
		checkInterval:  o.Config.Params.Workers.HeartbeatInterval / checksPerHeartbeat,
		view:           statecache.NewUnfinishedView(statecache.ChunkTasks(o.Config.Params.Store.MaxValueKB)),
		reachability:   zonehealth.NewReachabilityTracker(now, o.Policy.UnreachableAfter),
		phases:         zonehealth.NewPhaseTracker(o.Policy),
		exhaustedPools: map[resources.Pool]time.Time{},
		lastCheck:      now,
	}
	o.Cache.Subscribe(func(update statecache.Update) { c.Send(func() { c.apply(update) }) })
	c.Every(c.checkInterval, c.check)
	return c
}

// SetMachineTypes sets the machine types that the cloud offers.
func (c *Controller) SetMachineTypes(types []wire.MachineType) {
	c.Send(func() { c.machineTypes = types })
}

// MachinesReachable records that a controller has received heartbeats from machines.
func (c *Controller) MachinesReachable(controller string, machines []wire.MachineID) {
	c.TrySend(func() { c.reachability.MachinesReachable(controller, machines) })
}

// PoolExhausted records that the cloud has no machines in a pool; it is not asked again before
// until.
func (c *Controller) PoolExhausted(pool resources.Pool, until time.Time) {
	c.TrySend(func() { c.exhaustedPools[pool] = until })
}

// apply applies an update of the cache.
func (c *Controller) apply(update statecache.Update) {
	c.revision, c.freshAsOf = update.Revision, update.FreshAsOf
	for _, change := range update.Changes {
		switch change.Kind {
		case statecache.KindJob, statecache.KindCompletionChunk:
			continue // not needed for zone recovery
		}
		for _, machineChange := range c.view.Apply(change) {
			c.applyMachineChange(machineChange)
		}
		if change.Kind == statecache.KindZoneRecovery {
			c.applyRecord()
		}
	}
}

// applyMachineChange updates the expected machines. A drained or terminating machine is no longer
// expected; it counts as down only if it was drained as failed or unreachable.
func (c *Controller) applyMachineChange(change statecache.MachineChange) {
	machine := change.New
	switch {
	case machine == nil:
		c.reachability.RemoveMachine(change.Machine, false)
	case machine.Incarnation == 0:
	case machine.DrainReason == "" && !machine.Terminating:
		c.reachability.AddMachine(change.Machine, machine.Zone)
	default:
		failed := machine.DrainReason == statecache.DrainFailed || machine.DrainReason == statecache.DrainUnreachable
		c.reachability.RemoveMachine(change.Machine, failed)
	}
}

// applyRecord adopts a record that another process has written.
func (c *Controller) applyRecord() {
	record := c.view.ZoneRecoveries
	switch {
	case record != nil && record.Unreadable:
		if !c.recordUnreadable {
			slog.Warn("zone recovery record unreadable", "key", statecache.ZoneRecoveryKey, "reason", "layout of another version")
		}
		c.recordUnreadable = true
		return
	case record != nil && record.Term == c.term && record.Serial == c.recordSerial:
		return // written by this process
	}
	c.recordUnreadable = false
	c.restorePhases()
}

func (c *Controller) restorePhases() {
	c.phases.Restore(time.Now(), statusesOf(c.view.ZoneRecoveries))
}

// check evaluates the evidence if this process is the leader, and records the result. If the
// evidence is incomplete, or no machine of any zone is reachable, it resets the timers instead.
func (c *Controller) check() {
	now := time.Now()
	c.reachability.Advance(now, c.checkInterval, now.Sub(c.lastCheck))
	c.lastCheck = now
	leadership, ok := c.confirmLeadership()
	if !ok || c.writeInFlight || c.recordUnreadable {
		return
	}
	evidence := c.evidence(now)
	if !c.reachability.Complete(now) || zonehealth.NoneReachable(evidence) {
		c.phases.ResetTimers(now)
		return
	}
	transitions := c.phases.Evaluate(now, evidence)
	c.writeRecord(leadership, transitions)
}

// confirmLeadership returns this process's leadership, if the view confirms it. In a new term, the
// phases are restored from the record first.
func (c *Controller) confirmLeadership() (election.Leadership, bool) {
	maxAge := c.config.Params.Workers.Heartbeats(statecache.MaxViewAgeHeartbeats)
	leadership, ok := election.ConfirmLeadership(c.view, c.incarnation, c.revision, c.freshAsOf, maxAge)
	if ok && c.term != leadership.Term() {
		c.term, c.recordSerial = leadership.Term(), 0
		c.restorePhases()
	}
	return leadership, ok
}
