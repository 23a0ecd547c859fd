package planner

import (
	"maps"
	"math"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
)

// pendingDemand is a demand while it is being covered.
type pendingDemand struct {
	*Demand
	need  resources.Vector     // of one task
	zones placement.ZoneCounts // of the job's tasks, those covered so far included
	// unbounded tells that the tasks have no end to plan with, and take their full share of a
	// machine: services, and demands without a deadline.
	unbounded       bool
	occupiedSeconds float64 // for how long a task takes capacity; +Inf if unbounded
}

// newPendingDemand returns the demand with none of its tasks covered; zones is memory that it
// may overwrite.
func newPendingDemand(d *Demand, zones placement.ZoneCounts) pendingDemand {
	p := pendingDemand{
		Demand:          d,
		need:            resources.OfTask(d.Job),
		zones:           zones,
		unbounded:       d.Job.IsService() || math.IsInf(d.DeadlineSeconds, 1),
		occupiedSeconds: d.RuntimeSeconds,
	}
	clear(p.zones)
	maps.Copy(p.zones, d.Zones)
	if p.unbounded {
		p.occupiedSeconds = math.Inf(1)
	}
	return p
}

// cover finds capacity for a demand, on the existing machines first, then on the cheapest pool
// available. It returns the number of tasks left without.
func (c *cycle) cover(d *Demand) (unmet int) {
	pending := newPendingDemand(d, c.zones)
	covered := c.coverByExisting(&pending, min(d.Count, c.maxTasksConsidered()))
	return c.coverByPools(&pending, d.Count-covered)
}

// coverByPools puts the load of so many tasks on the cheapest pools. It returns the number of
// tasks for which there is none.
func (c *cycle) coverByPools(d *pendingDemand, count int) (unmet int) {
	windowSeconds := d.DeadlineSeconds - c.BootLagSeconds
	sameForAllTasks := !d.Job.SpreadZones && !d.Job.SingleZone
	var offer poolOffer
	ok := false
	for n := range count {
		if n == 0 || !sameForAllTasks {
			offer, ok = c.cheapestPool(d)
		}
		if !ok {
			return count - n
		}
		c.loads.add(offer.pool, offer.share, Load(offer.share, d.RuntimeSeconds, windowSeconds, d.unbounded))
		d.zones[offer.pool.Zone]++
	}
	return 0
}
