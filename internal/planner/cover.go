package planner

import (
	"maps"
	"math"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
)

// pendingDemand is the state of a demand while capacity is found for it.
type pendingDemand struct {
	*Demand
	need  resources.Vector     // resources that one task requests
	zones placement.ZoneCounts // the job's tasks by zone, including those covered so far
	// unbounded marks services and demands without a deadline: no end of their tasks is
	// planned for, and each adds its full share of a machine to the load.
	unbounded       bool
	occupiedSeconds float64 // how long a task occupies its share of a machine; +Inf if unbounded
}

// newPendingDemand returns the demand with none of its tasks covered yet. It reuses zones, whose
// contents it replaces.
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

// cover finds capacity for a demand, first on existing machines, then on new machines of the
// cheapest pool available. It returns the number of tasks that it finds none for.
func (c *cycle) cover(d *Demand) (unmet int) {
	pending := newPendingDemand(d, c.zones)
	covered := c.coverByExisting(&pending, min(d.Count, c.maxTasksConsidered()))
	return c.coverByPools(&pending, d.Count-covered)
}

// coverByPools adds the load of count tasks to the cheapest pools. It returns the number of tasks
// for which no pool is available.
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
