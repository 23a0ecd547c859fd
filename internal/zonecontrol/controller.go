// Package zonecontrol is the actor that watches over the zones: every controller gathers
// evidence, and the leader judges by it and records how far each zone's recovery is.
package zonecontrol

import (
	"context"
	"log/slog"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/election"
	"lynxledge/internal/resources"
	"lynxledge/internal/scheduler"
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
	checkInterval time.Duration // between two looks

	view         *statecache.View // of machines, members and the recovery; it has no jobs
	revision     uint64
	freshAsOf    time.Time
	machineTypes []wire.MachineType

	reachability   *zonehealth.ReachabilityTracker
	phases         *zonehealth.PhaseTracker
	exhaustedPools map[resources.Pool]time.Time // until when the cloud is not asked again
	lastCheck      time.Time

	term             uint64 // of the leadership that the tracker's state belongs to
	recordSerial     uint64 // of the record that was written last
	writeInFlight    bool
	recordUnreadable bool // a record that can't be read was logged
}

// ClusterStateProvider runs a function that looks at all that is placed.
type ClusterStateProvider interface {
	WithClusterState(f func(scheduler.ClusterState)) bool
}

// checksPerHeartbeat is how often in a report interval the evidence is looked at.
const checksPerHeartbeat = 4

// Start runs the actor; the settings' ZoneRecovery section is set.
func Start(ctx context.Context, cfg *config.Config, boot uint64, l *statecache.Cache, placer ClusterStateProvider) *Controller {
	policy := zonehealth.PolicyOf(cfg)
	now := time.Now()
	c := &Controller{
		Actor:          actor.Start(ctx, "zonecontrol", 256),
		config:         cfg,
		incarnation:    boot,
		cache:          l,
		scheduler:      placer,
		policy:         policy,
		checkInterval:  cfg.Params.Workers.HeartbeatInterval / checksPerHeartbeat,
		view:           statecache.NewUnfinishedView(statecache.ChunkTasks(cfg.Params.Store.MaxValueKB)),
		reachability:   zonehealth.NewReachabilityTracker(now, policy.UnreachableAfter),
		phases:         zonehealth.NewPhaseTracker(policy),
		exhaustedPools: map[resources.Pool]time.Time{},
		lastCheck:      now,
	}
	l.Subscribe(func(d statecache.Update) { c.Send(func() { c.apply(d) }) })
	c.Every(c.checkInterval, c.check)
	return c
}

// SetMachineTypes tells the actor of the machine types.
func (c *Controller) SetMachineTypes(types []wire.MachineType) {
	c.Send(func() { c.machineTypes = types })
}

// MachinesReachable notes that a controller has heard machines.
func (c *Controller) MachinesReachable(controller string, machines []wire.MachineID) {
	c.Post(func() { c.reachability.MachinesReachable(controller, machines) })
}

// PoolExhausted notes that the cloud rents no machines of a pool for now.
func (c *Controller) PoolExhausted(pool resources.Pool, until time.Time) {
	c.Post(func() { c.exhaustedPools[pool] = until })
}

func (c *Controller) apply(d statecache.Update) {
	c.revision, c.freshAsOf = d.Revision, d.FreshAsOf
	for _, change := range d.Changes {
		switch change.Kind {
		case statecache.KindJob, statecache.KindCompletionChunk:
			continue // nothing here depends on them
		}
		for _, m := range c.view.Apply(change) {
			c.applyMachineChange(m)
		}
		if change.Kind == statecache.KindZoneRecovery {
			c.applyRecord()
		}
	}
}

// applyMachineChange keeps the census. A machine that is drained for another reason than
// its silence or failure goes in an orderly way, and is no evidence.
func (c *Controller) applyMachineChange(m statecache.MachineChange) {
	switch {
	case m.New == nil:
		c.reachability.RemoveMachine(m.Machine, false)
	case m.New.Incarnation == 0:
	case m.New.DrainReason == "" && !m.New.Terminating:
		c.reachability.AddMachine(m.Machine, m.New.Zone)
	default:
		c.reachability.RemoveMachine(m.Machine, m.New.DrainReason == statecache.DrainFailed || m.New.DrainReason == statecache.DrainUnreachable)
	}
}

// applyRecord takes over what another process has written.
func (c *Controller) applyRecord() {
	record := c.view.ZoneRecoveries
	switch {
	case record != nil && record.Unreadable:
		if !c.recordUnreadable {
			slog.Warn("recovery record is in the layout of another version; zones are treated as without recovery", "key", statecache.ZoneRecoveryKey)
		}
		c.recordUnreadable = true
		return
	case record != nil && record.Term == c.term && record.Serial == c.recordSerial:
		return // our own
	}
	c.recordUnreadable = false
	c.restorePhases()
}

func (c *Controller) restorePhases() { c.phases.Restore(time.Now(), statusesOf(c.view.ZoneRecoveries)) }

// check judges the evidence, if this process leads, and records what follows.
func (c *Controller) check() {
	now := time.Now()
	c.reachability.Advance(now, c.checkInterval, now.Sub(c.lastCheck))
	c.lastCheck = now
	lead, ok := c.confirmLeadership()
	if !ok || c.writeInFlight || c.recordUnreadable {
		return
	}
	evidence := c.evidence(now)
	if !c.reachability.Complete(now) || zonehealth.NoneReachable(evidence) {
		c.phases.Suspend(now)
		return
	}
	changes := c.phases.Evaluate(now, evidence)
	c.writeRecord(lead, changes)
}

// confirmLeadership is the leadership of this process, if it is confirmed. A new leader goes on from
// the record.
func (c *Controller) confirmLeadership() (election.Leadership, bool) {
	maxAge := c.config.Params.Workers.Heartbeats(maxViewAgeHeartbeats)
	lead, ok := election.ConfirmLeadership(c.view, c.incarnation, c.revision, c.freshAsOf, maxAge)
	if ok && c.term != lead.Term() {
		c.term, c.recordSerial = lead.Term(), 0
		c.restorePhases()
	}
	return lead, ok
}

// maxViewAgeHeartbeats is how old a view may be to judge by it, in report intervals.
const maxViewAgeHeartbeats = 2

// evidence is what is known of every zone: of its machines, its controllers, and what
// the cloud refuses there.
func (c *Controller) evidence(now time.Time) map[wire.Zone]zonehealth.Evidence {
	all := c.reachability.Evidence()
	// A process that began after a zone had lost its last machine knows the zone from the
	// record alone: it has to be judged all the same, or it would stay lost for ever.
	for name := range statusesOf(c.view.ZoneRecoveries) {
		if _, known := all[name]; !known {
			all[name] = zonehealth.Evidence{}
		}
	}
	for name, e := range all {
		c.countControllers(name, &e)
		c.countPools(name, now, &e)
		all[name] = e
	}
	return all
}

func (c *Controller) countControllers(zone wire.Zone, e *zonehealth.Evidence) {
	count := func(member string, at wire.Zone) {
		if at != zone {
			return
		}
		e.Controllers++
		if c.view.Members[member] == nil {
			e.ControllersDown++
		}
	}
	count(c.config.MemberName, c.config.Zone)
	for _, p := range c.config.Peers {
		count(p.Name, p.Zone)
	}
}

func (c *Controller) countPools(zone wire.Zone, now time.Time, e *zonehealth.Evidence) {
	for i := range c.machineTypes {
		for _, z := range c.machineTypes[i].Zones {
			if z != zone {
				continue
			}
			for _, spot := range []bool{false, true} {
				e.Pools++
				if now.Before(c.exhaustedPools[resources.Pool{MachineType: c.machineTypes[i].Name, Zone: zone, Spot: spot}]) {
					e.PoolsExhausted++
				}
			}
		}
	}
}
