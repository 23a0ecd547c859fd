package planner

import (
	"math"
	"slices"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// cover finds room for a demand: on the machines there are, then on the
// cheapest pool that can be had. It returns the tasks left without.
func (p *planning) cover(d Demand) int {
	need := resources.OfTask(d.Job)
	zones := placement.ZoneCounts{}
	for z, n := range d.Zones {
		zones[z] = n
	}
	window := d.Deadline - p.BootLag
	whole := d.Job.IsService() || math.IsInf(d.Deadline, 1)
	run := d.Runtime
	if whole {
		run = math.Inf(1)
	}
	left := d.Count - p.onExisting(d, min(d.Count, p.maxTried()), need, zones, run)
	fixed := !d.Job.SpreadZones && !d.Job.SingleZone // every task has the same choice
	var pool resources.Pool
	var share float64
	ok := false
	for n := range left {
		if n == 0 || !fixed {
			pool, share, ok = p.cheapest(d, need, zones)
		}
		if !ok {
			return left - n
		}
		p.load[pool] += Load(share, d.Runtime, window, whole)
		p.tasks[pool]++
		p.share[pool] += share
		zones[pool.Zone]++
	}
	return 0
}

// Bounds of the tasks of one job that a pass puts on the machines there are. Beyond them
// the machines count as full.
const (
	minTasksConsidered        = 1000
	tasksConsideredPerMachine = 4
)

// maxTried bounds the work of a pass on one job.
func (p *planning) maxTried() int {
	return max(minTasksConsidered, tasksConsideredPerMachine*len(p.room))
}

// allows tells whether one more task of a demand may be rented a machine of a pool.
func (p *planning) allows(d Demand, pool resources.Pool, zones placement.ZoneCounts) bool {
	return p.allowsPool(d, pool) && zones.Allows(d.Job, pool.Zone)
}

// allowsPool tells the same, wherever the job's other tasks are.
func (p *planning) allowsPool(d Demand, pool resources.Pool) bool {
	return placement.Allowed(d.Job, pool.MachineType, pool.Zone, pool.Spot) &&
		(!d.NeedsOwnMachine || p.offer[pool.Zone] == p.most)
}

// nearlyEqual is how much more a larger machine may cost per task of a
// service: on fewer, larger machines images are fetched less often.
const nearlyEqual = 1.1

// cheapest is the pool in which a task's share of a machine costs least; for
// services, the largest machine of those that cost nearly as little. While the
// cheap pools are used up, work that is not overdue waits for their machines
// rather than pay a premium: the load says how many machines would be enough,
// not what one may cost.
func (p *planning) cheapest(d Demand, need resources.Vector, zones placement.ZoneCounts) (resources.Pool, float64, bool) {
	j := d.Job
	type offer struct {
		pool        resources.Pool
		share, cost float64
	}
	var offers []offer
	least, floor := math.Inf(1), math.Inf(1)
	for _, pool := range p.order {
		t := p.machineTypes[pool.MachineType]
		if !p.allows(d, pool, zones) {
			continue
		}
		share := need.Share(resources.OfMachineType(t))
		if share > 1+1e-9 {
			continue
		}
		price := t.HourlyPrice
		if pool.Spot {
			price = t.HourlySpotPrice
		}
		floor = math.Min(floor, price*share)
		if p.Refused(pool) || p.avoided(j, pool.Zone) {
			continue
		}
		least = math.Min(least, price*share)
		offers = append(offers, offer{pool, share, price * share})
	}
	if len(offers) == 0 || least > floor*p.MaxPriceMultiple && p.MaxPriceMultiple > 0 && !d.Overdue {
		return resources.Pool{}, 0, false
	}
	limit := least
	if j.IsService() {
		limit *= nearlyEqual
	}
	var best offer
	for _, o := range offers {
		if o.cost <= limit && (best.pool.MachineType == "" || o.share < best.share) {
			best = o
		}
	}
	return best.pool, best.share, true
}

// avoided tells whether a job should be rented no machine in a zone: it has another zone
// that isn't avoided.
func (p *planning) avoided(j *wire.Job, zone wire.Zone) bool {
	if p.Avoided == nil || !p.Avoided(zone) {
		return false
	}
	return slices.ContainsFunc(p.order, func(other resources.Pool) bool {
		return !p.Avoided(other.Zone) && placement.Allowed(j, other.MachineType, other.Zone, other.Spot)
	})
}
