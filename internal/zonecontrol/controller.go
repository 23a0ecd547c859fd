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
	"lynxledge/internal/place"
	"lynxledge/internal/plan"
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// Controller is the actor.
type Controller struct {
	*actor.Actor
	cfg    *config.Config
	boot   uint64
	ledger *statecache.Cache
	placer ClusterOwner
	policy zonehealth.Policy
	period time.Duration // between two looks

	view  *statecache.View // of machines, members and the recovery; it has no jobs
	epoch uint64
	fresh time.Time
	types []wire.MachineType

	census  *zonehealth.Census
	tracker *zonehealth.Tracker
	refused map[plan.Pool]time.Time // until when the cloud is not asked again
	looked  time.Time

	term       uint64 // of the leadership that the tracker's state belongs to
	serial     uint64 // of the record that was written last
	writing    bool
	unreadable bool // a record that can't be read was logged
}

// ClusterOwner runs a function that looks at all that is placed.
type ClusterOwner interface {
	WithCluster(f func(place.Cluster)) bool
}

// looksPerReport is how often in a report interval the evidence is looked at.
const looksPerReport = 4

// Start runs the actor; the settings' ZoneRecovery section is set.
func Start(ctx context.Context, cfg *config.Config, boot uint64, l *statecache.Cache, placer ClusterOwner) *Controller {
	policy := zonehealth.PolicyOf(cfg)
	now := time.Now()
	c := &Controller{
		Actor:   actor.Start(ctx, "zonecontrol", 256),
		cfg:     cfg,
		boot:    boot,
		ledger:  l,
		placer:  placer,
		policy:  policy,
		period:  config.Seconds(cfg.Params.Workers.HeartbeatInterval / looksPerReport),
		view:    statecache.NewUnfinishedView(statecache.ChunkTasks(cfg.Params.Store.MaxValueKB)),
		census:  zonehealth.NewCensus(now, policy.Silence),
		tracker: zonehealth.NewTracker(policy),
		refused: map[plan.Pool]time.Time{},
		looked:  now,
	}
	l.Subscribe(func(d statecache.Update) { c.Send(func() { c.apply(d) }) })
	c.Every(c.period, c.look)
	return c
}

// SetTypes tells the actor of the machine types.
func (c *Controller) SetTypes(types []wire.MachineType) { c.Send(func() { c.types = types }) }

// Heard notes that a controller has heard machines.
func (c *Controller) Heard(controller string, machines []string) {
	c.Post(func() { c.census.Heard(controller, machines) })
}

// Refused notes that the cloud rents no machines of a pool for now.
func (c *Controller) Refused(pool plan.Pool, until time.Time) {
	c.Post(func() { c.refused[pool] = until })
}

func (c *Controller) apply(d statecache.Update) {
	c.epoch, c.fresh = d.Revision, d.FreshAsOf
	for _, change := range d.Changes {
		switch change.Kind {
		case statecache.KindJob, statecache.KindCompletionChunk:
			continue // nothing here depends on them
		}
		for _, m := range c.view.Apply(change) {
			c.machineChanged(m)
		}
		if change.Kind == statecache.KindZoneRecovery {
			c.recordChanged()
		}
	}
}

// machineChanged keeps the census. A machine that is drained for another reason than
// its silence or failure goes in an orderly way, and is no evidence.
func (c *Controller) machineChanged(m statecache.MachineChange) {
	switch {
	case m.New == nil:
		c.census.Dismiss(m.Machine, false)
	case m.New.Incarnation == 0:
	case m.New.DrainReason == "" && !m.New.Terminating:
		c.census.Expect(m.Machine, m.New.Zone)
	default:
		c.census.Dismiss(m.Machine, m.New.DrainReason == statecache.DrainFailed || m.New.DrainReason == statecache.DrainUnreachable)
	}
}

// recordChanged takes over what another process has written.
func (c *Controller) recordChanged() {
	record := c.view.ZoneRecoveries
	switch {
	case record != nil && record.Unreadable:
		if !c.unreadable {
			slog.Warn("recovery record is in the layout of another version; zones are treated as without recovery", "key", statecache.ZoneRecoveryKey)
		}
		c.unreadable = true
		return
	case record != nil && record.Term == c.term && record.Serial == c.serial:
		return // our own
	}
	c.unreadable = false
	c.restore()
}

func (c *Controller) restore() { c.tracker.Restore(time.Now(), statusesOf(c.view.ZoneRecoveries)) }

// look judges the evidence, if this process leads, and records what follows.
func (c *Controller) look() {
	now := time.Now()
	c.census.Advance(now, c.period, now.Sub(c.looked))
	c.looked = now
	lead, ok := c.lead()
	if !ok || c.writing || c.unreadable {
		return
	}
	evidence := c.evidence(now)
	if !c.census.Complete(now) || zonehealth.Blind(evidence) {
		c.tracker.Suspend(now)
		return
	}
	changes := c.tracker.Judge(now, evidence)
	c.record(lead, changes)
}

// lead is the leadership of this process, if it is confirmed. A new leader goes on from
// the record.
func (c *Controller) lead() (election.Leadership, bool) {
	maxAge := config.Seconds(maxViewReports * c.cfg.Params.Workers.HeartbeatInterval)
	lead, ok := election.ConfirmLeadership(c.view, c.boot, c.epoch, c.fresh, maxAge)
	if ok && c.term != lead.Term() {
		c.term, c.serial = lead.Term(), 0
		c.restore()
	}
	return lead, ok
}

// maxViewReports is how old a view may be to judge by it, in report intervals.
const maxViewReports = 2

// evidence is what is known of every zone: of its machines, its controllers, and what
// the cloud refuses there.
func (c *Controller) evidence(now time.Time) map[string]zonehealth.Evidence {
	all := c.census.Evidence()
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

func (c *Controller) countControllers(zone string, e *zonehealth.Evidence) {
	count := func(member, at string) {
		if at != zone {
			return
		}
		e.Controllers++
		if c.view.Members[member] == nil {
			e.ControllersGone++
		}
	}
	count(c.cfg.MemberName, c.cfg.Zone)
	for _, p := range c.cfg.Peers {
		count(p.Name, p.Zone)
	}
}

func (c *Controller) countPools(zone string, now time.Time, e *zonehealth.Evidence) {
	for i := range c.types {
		for _, z := range c.types[i].Zones {
			if z != zone {
				continue
			}
			for _, spot := range []bool{false, true} {
				e.Pools++
				if now.Before(c.refused[plan.Pool{Type: c.types[i].Name, Zone: zone, Spot: spot}]) {
					e.PoolsRefused++
				}
			}
		}
	}
}
