package planner

import (
	"math"
	"slices"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// poolCatalog holds the machine types and pools that the cloud offers.
type poolCatalog struct {
	machineTypes   map[string]*wire.MachineType
	all            []resources.Pool
	typesByZone    map[wire.Zone]int // number of machine types offered in each zone
	maxTypesInZone int
}

func newPoolCatalog(types []wire.MachineType) poolCatalog {
	p := poolCatalog{machineTypes: map[string]*wire.MachineType{}, typesByZone: map[wire.Zone]int{}}
	for i := range types {
		t := &types[i]
		p.machineTypes[t.Name] = t
		for _, zone := range t.Zones {
			p.typesByZone[zone]++
			p.maxTypesInZone = max(p.maxTypesInZone, p.typesByZone[zone])
			for _, spot := range []bool{false, true} {
				p.all = append(p.all, resources.Pool{MachineType: t.Name, Zone: zone, Spot: spot})
			}
		}
	}
	return p
}

// allows reports whether a demand may use machines of a pool, regardless of the zones of the
// job's other tasks.
func (p *poolCatalog) allows(d *Demand, pool resources.Pool) bool {
	return placement.Allowed(d.Job, pool.MachineType, pool.Zone, pool.Spot) &&
		(!d.excludeScarceZones || p.typesByZone[pool.Zone] == p.maxTypesInZone)
}

// hourlyPrice returns the hourly price of a machine of a pool.
func (p *poolCatalog) hourlyPrice(pool resources.Pool) float64 {
	t := p.machineTypes[pool.MachineType]
	if pool.Spot {
		return t.HourlySpotPrice
	}
	return t.HourlyPrice
}

// poolIndex numbers pools in the order in which they are first looked up.
type poolIndex struct {
	pools []resources.Pool
	index map[resources.Pool]int
}

// indexOf returns the index of a pool, which it adds if it is new.
func (p *poolIndex) indexOf(pool resources.Pool) int {
	i, known := p.index[pool]
	if !known {
		i = len(p.pools)
		p.pools = append(p.pools, pool)
		p.index[pool] = i
	}
	return i
}

// poolOffer is a pool that can take a task, with the cost of the task there.
type poolOffer struct {
	pool  resources.Pool
	share float64 // of a machine that the task takes
	cost  float64 // per hour: that share of a machine's price
}

const (
	// serviceCostTolerance limits the cost of a service's task on a larger machine, as a multiple
	// of the lowest cost: on fewer, larger machines images are fetched less often.
	serviceCostTolerance = 1.1

	// fullMachineTolerance is the rounding error by which the share of a task that takes a whole
	// machine may exceed 1.
	fullMachineTolerance = 1e-9
)

// cheapestPool returns the available pool in which a task costs least; for services, the one with
// the largest machines of those within serviceCostTolerance. While the cheap pools are exhausted,
// demands without IgnorePriceLimit wait for them rather than pay more than MaxPriceMultiple allows:
// the load determines how many machines are enough, not what one may cost.
func (c *cycle) cheapestPool(d *pendingDemand) (best poolOffer, ok bool) {
	offers, lowestCost := c.poolOffers(d)
	lowestAvailableCost := math.Inf(1)
	for i := range offers {
		lowestAvailableCost = math.Min(lowestAvailableCost, offers[i].cost)
	}
	atPremium := c.MaxPriceMultiple > 0 && lowestAvailableCost > lowestCost*c.MaxPriceMultiple
	if len(offers) == 0 || atPremium && !d.IgnorePriceLimit {
		return poolOffer{}, false
	}
	maxCost := lowestAvailableCost
	if d.Job.IsService() {
		maxCost *= serviceCostTolerance
	}
	for _, offer := range offers {
		if offer.cost <= maxCost && (best.pool.MachineType == "" || offer.share < best.share) {
			best = offer
		}
	}
	return best, true
}

// poolOffers returns the available pools that can take one more task of a demand, and the lowest
// cost of a task over all allowed pools, including those exhausted or in avoided zones.
func (c *cycle) poolOffers(d *pendingDemand) (offers []poolOffer, lowestCost float64) {
	lowestCost = math.Inf(1)
	for _, pool := range c.pools.all {
		if !c.pools.allows(d.Demand, pool) || !d.zones.Allows(d.Job, pool.Zone) {
			continue
		}
		share := d.need.Share(resources.OfMachineType(c.pools.machineTypes[pool.MachineType]))
		if share > 1+fullMachineTolerance {
			continue
		}
		cost := c.pools.hourlyPrice(pool) * share
		lowestCost = math.Min(lowestCost, cost)
		if c.Exhausted(pool) || c.avoids(d.Job, pool.Zone) {
			continue
		}
		offers = append(offers, poolOffer{pool, share, cost})
	}
	return offers, lowestCost
}

// avoids reports whether no machine should be provisioned for a job in a zone: the zone is
// avoided, and the job's constraints allow one that is not.
func (c *cycle) avoids(j *wire.Job, zone wire.Zone) bool {
	if c.AvoidedZone == nil || !c.AvoidedZone(zone) {
		return false
	}
	return slices.ContainsFunc(c.pools.all, func(other resources.Pool) bool {
		return !c.AvoidedZone(other.Zone) && placement.Allowed(j, other.MachineType, other.Zone, other.Spot)
	})
}
