// Package zonecontrol is the actor that controls the recovery of zones: every controller gathers
// evidence, and the leader evaluates it and records each zone's progress.
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

// Controller is the actor.
type Controller struct {
	*actor.Actor
	config        *config.Config
	incarnation   uint64
	cache         *statecache.Cache
	scheduler     ClusterStateProvider
	policy        zonehealth.Policy
	checkInterval time.Duration

	view         *statecache.View // of machines, members and the recovery; it has no jobs
	revision     uint64
	freshAsOf    time.Time
	machineTypes []wire.MachineType

	reachability   *zonehealth.ReachabilityTracker
	phases         *zonehealth.PhaseTracker
	exhaustedPools map[resources.Pool]time.Time // until when the cloud is not asked again
	lastCheck      time.Time

	term             uint64 // of the leadership that the phases belong to
	recordSerial     uint64 // of the record that was written last
	writeInFlight    bool
	recordUnreadable bool // the record can't be read, which was logged
}

// ClusterStateProvider runs a function that looks at all that is placed; false if it is too
// busy.
type ClusterStateProvider interface {
	WithClusterState(f func(placement.ClusterState)) bool
}

// Options are what a Controller works with.
type Options struct {
	Config      *config.Config
	Incarnation uint64 // of this process
	Cache       *statecache.Cache
	Scheduler   ClusterStateProvider
	Policy      zonehealth.Policy
}

// mailboxSize is how many messages may wait for the actor before senders do.
const mailboxSize = 256

// checksPerHeartbeat is how often per heartbeat interval the evidence is checked.
const checksPerHeartbeat = 4

// Start runs the actor until ctx ends.
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

// MachinesReachable tells of machines whose heartbeats a controller has received.
func (c *Controller) MachinesReachable(controller string, machines []wire.MachineID) {
	c.Post(func() { c.reachability.MachinesReachable(controller, machines) })
}

// PoolExhausted tells that the cloud has no machines of a pool for now.
func (c *Controller) PoolExhausted(pool resources.Pool, until time.Time) {
	c.Post(func() { c.exhaustedPools[pool] = until })
}

// apply follows an update of the cache.
func (c *Controller) apply(update statecache.Update) {
	c.revision, c.freshAsOf = update.Revision, update.FreshAsOf
	for _, change := range update.Changes {
		switch change.Kind {
		case statecache.KindJob, statecache.KindCompletionChunk:
			continue // nothing here depends on them
		}
		for _, machine := range c.view.Apply(change) {
			c.applyMachineChange(machine)
		}
		if change.Kind == statecache.KindZoneRecovery {
			c.applyRecord()
		}
	}
}

// applyMachineChange follows a machine's new record. A machine that is drained for another
// reason than that it failed or is unreachable is no evidence.
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

// applyRecord takes over what another process has recorded.
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
		return // our own
	}
	c.recordUnreadable = false
	c.restorePhases()
}

func (c *Controller) restorePhases() {
	c.phases.Restore(time.Now(), statusesOf(c.view.ZoneRecoveries))
}

// check evaluates the evidence, if this process leads, and records what follows.
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
		c.phases.Suspend(now)
		return
	}
	transitions := c.phases.Evaluate(now, evidence)
	c.writeRecord(leadership, transitions)
}

// confirmLeadership returns the leadership of this process, if it is confirmed. A new leader
// continues from the record.
func (c *Controller) confirmLeadership() (election.Leadership, bool) {
	maxAge := c.config.Params.Workers.Heartbeats(statecache.MaxViewAgeHeartbeats)
	leadership, ok := election.ConfirmLeadership(c.view, c.incarnation, c.revision, c.freshAsOf, maxAge)
	if ok && c.term != leadership.Term() {
		c.term, c.recordSerial = leadership.Term(), 0
		c.restorePhases()
	}
	return leadership, ok
}
