package plan

import (
	"math"
	"slices"

	"lynxledge/internal/place"
	"lynxledge/wire"
)

// cover finds room for a demand: on the machines there are, then on the
// cheapest pool that can be had. It returns the tasks left without.
func (p *pass) cover(d Demand) int {
	need := place.RequestOf(d.Job)
	zones := place.Zones{}
	for z, n := range d.Zones {
		zones[z] = n
	}
	window := d.DeadlineS - p.LagS
	whole := d.Job.IsService() || math.IsInf(d.DeadlineS, 1)
	run := d.RunS
	if whole {
		run = math.Inf(1)
	}
	left := d.Count - p.onExisting(d, min(d.Count, p.maxTried()), need, zones, run)
	fixed := !d.Job.SpreadZones && !d.Job.SingleZone // every task has the same choice
	var pool Pool
	var share float64
	ok := false
	for n := range left {
		if n == 0 || !fixed {
			pool, share, ok = p.cheapest(d, need, zones)
		}
		if !ok {
			return left - n
		}
		p.load[pool] += Load(share, d.RunS, window, whole)
		p.tasks[pool]++
		p.share[pool] += share
		zones[pool.Zone]++
	}
	return 0
}

// Bounds of the tasks of one job that a pass puts on the machines there are. Beyond them
// the machines count as full.
const (
	minTried        = 1000
	triedPerMachine = 4
)

// maxTried bounds the work of a pass on one job.
func (p *pass) maxTried() int { return max(minTried, triedPerMachine*len(p.room)) }

// allows tells whether one more task of a demand may be rented a machine of a pool.
func (p *pass) allows(d Demand, pool Pool, zones place.Zones) bool {
	return p.allowsPool(d, pool) && zones.Allows(d.Job, pool.Zone)
}

// allowsPool tells the same, wherever the job's other tasks are.
func (p *pass) allowsPool(d Demand, pool Pool) bool {
	return place.Allowed(d.Job, pool.Type, pool.Zone, pool.Spot) &&
		(!d.Roomy || p.offer[pool.Zone] == p.most)
}

// nearlyEqual is how much more a larger machine may cost per task of a
// service: on fewer, larger machines images are fetched less often.
const nearlyEqual = 1.1

// cheapest is the pool in which a task's share of a machine costs least; for
// services, the largest machine of those that cost nearly as little. While the
// cheap pools are used up, work that is not overdue waits for their machines
// rather than pay a premium: the load says how many machines would be enough,
// not what one may cost.
func (p *pass) cheapest(d Demand, need place.Resources, zones place.Zones) (Pool, float64, bool) {
	j := d.Job
	type offer struct {
		pool        Pool
		share, cost float64
	}
	var offers []offer
	least, floor := math.Inf(1), math.Inf(1)
	for _, pool := range p.order {
		t := p.types[pool.Type]
		if !p.allows(d, pool, zones) {
			continue
		}
		share := need.Share(place.Capacity(t))
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
	if len(offers) == 0 || least > floor*p.Premium && p.Premium > 0 && !d.Overdue {
		return Pool{}, 0, false
	}
	limit := least
	if j.IsService() {
		limit *= nearlyEqual
	}
	var best offer
	for _, o := range offers {
		if o.cost <= limit && (best.pool.Type == "" || o.share < best.share) {
			best = o
		}
	}
	return best.pool, best.share, true
}

// avoided tells whether a job should be rented no machine in a zone: it has another zone
// that isn't avoided.
func (p *pass) avoided(j *wire.Job, zone string) bool {
	if p.Avoided == nil || !p.Avoided(zone) {
		return false
	}
	return slices.ContainsFunc(p.order, func(other Pool) bool {
		return !p.Avoided(other.Zone) && place.Allowed(j, other.Type, other.Zone, other.Spot)
	})
}
