package recovery

import (
	"maps"
	"math"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// binPacker places replicas one by one.
type binPacker struct {
	in         *Input
	capacity   *freeCapacity
	fallback   *freeCapacity
	usage      resources.Usage
	allocation *allocation // of the solver; nil: none
	replicas   int         // considered so far

	plan Plan
	// value is the sum of the weights of the placed replicas.
	value float64
	// displaced counts replicas that had capacity only until others took it.
	displaced int
}

func newBinPacker(in *Input, allocation *allocation) *binPacker {
	p := &binPacker{
		in:         in,
		capacity:   newFreeCapacity(in.Nodes),
		fallback:   newFreeCapacity(in.Fallback),
		usage:      resources.Usage{},
		allocation: allocation,
	}
	maps.Copy(p.usage, in.Usage)
	return p
}

// replicas are replicas of one service, which are placed one by one. The zones of the service's
// other replicas are separate arguments: in here they would escape to the heap.
type replicas struct {
	service *Service
	team    config.TeamQuota
	need    resources.Vector // of each
	atRisk  bool
}

// pack places the replicas that are certainly down, then those that may be.
func (p *binPacker) pack() {
	for _, service := range p.in.Services {
		bound := placement.ZoneCounts{}
		maps.Copy(bound, service.BoundByZone)
		p.packReplicas(service, service.Pending, bound, false)
	}
	for _, service := range p.in.Services {
		p.packReplicas(service, service.AtRiskCount(), service.boundAfterLoss(), true)
	}
}

// packReplicas places so many replicas of a service, given the zones of its others.
func (p *binPacker) packReplicas(service *Service, count int, zones placement.ZoneCounts, atRisk bool) {
	r := replicas{
		service: service,
		team:    p.in.TeamQuota(service.Job.Team),
		need:    resources.OfTask(service.Job),
		atRisk:  atRisk,
	}
	for placed := range count {
		cause := p.packOne(&r, zones)
		if cause == "" {
			continue
		}
		if cause == CauseNoCapacity && p.hadCapacity(&r, zones) {
			p.displaced += count - placed
		}
		p.plan.Shortfalls = append(p.plan.Shortfalls, Shortfall{service, count - placed, cause})
		return
	}
}

// packOne places one replica, and counts it in zones, or returns why it can't.
func (p *binPacker) packOne(r *replicas, zones placement.ZoneCounts) Cause {
	if p.replicas == maxPlannedReplicas {
		return CausePlanLimit
	}
	p.replicas++
	// A replica at risk counts towards the limit already.
	if !r.atRisk && !p.usage.WithinLimit(r.team, r.need) {
		return CauseTeamQuota
	}
	found := p.findNode(r, zones)
	if found == nil {
		return p.shortfallCause(r.service.Job, zones)
	}
	found.used = found.used.Plus(r.need, 1)
	zones[found.node.Zone]++
	if !r.atRisk {
		p.usage[r.team.Name] = p.usage[r.team.Name].Plus(r.need, 1)
	}
	p.value += priorityWeight(r.service.Job)
	p.plan.Placements = append(p.plan.Placements, Placement{r.service, found.node, r.atRisk})
	return ""
}

// findNode finds a node in the best pool with capacity: one that the solver's allocation names,
// if there is any, else any other, and a node of a lost zone last.
func (p *binPacker) findNode(r *replicas, zones placement.ZoneCounts) *nodeUsage {
	if p.allocation != nil {
		key := groupKeyOf(r.service, r.atRisk)
		allocated := func(pool int) bool { return p.allocation.has(key, pool) }
		if found, pool := p.capacity.bestNode(r, zones, allocated); found != nil {
			p.allocation.take(key, pool)
			return found
		}
	}
	if found, _ := p.capacity.bestNode(r, zones, nil); found != nil {
		return found
	}
	found, _ := p.fallback.bestNode(r, zones, nil)
	return found
}

// Score penalties, in shares of a machine, as package placement has them.
const (
	onDemandPenalty = 2
	sameZonePenalty = 8
)

// bestNode finds a node in the best pool that may be used: for work that may run on
// spot machines one of those, for a service that spreads the zone with the fewest of its
// replicas, else the pool whose node is filled the most.
func (c *freeCapacity) bestNode(r *replicas, zones placement.ZoneCounts, mayUse func(pool int) bool) (best *nodeUsage, bestPool int) {
	job := r.service.Job
	lowest := math.Inf(1)
	for i, pool := range c.pools {
		if !pool.allows(job) || !zones.Allows(job, pool.zone) || mayUse != nil && !mayUse(i) {
			continue
		}
		node := pool.firstFit(r.need)
		if node == nil {
			continue
		}
		score := 1 - node.used.Share(resources.OfMachineType(pool.machineType))
		if job.AllowSpot && !pool.spot {
			score += onDemandPenalty
		}
		if job.SpreadZones {
			score += sameZonePenalty * float64(zones[pool.zone]) / float64(job.TaskCount)
		}
		if score < lowest {
			best, bestPool, lowest = node, i, score
		}
	}
	return best, bestPool
}

// shortfallCause tells why a replica finds no capacity.
func (p *binPacker) shortfallCause(job *wire.Job, zones placement.ZoneCounts) Cause {
	cause := CauseNoMachine
	for _, capacity := range []*freeCapacity{p.capacity, p.fallback} {
		for _, pool := range capacity.pools {
			switch {
			case !pool.allows(job):
			case !zones.Allows(job, pool.zone):
				if cause == CauseNoMachine {
					cause = CauseZoneConstraint
				}
			default:
				return CauseNoCapacity
			}
		}
	}
	return cause
}

// hadCapacity tells whether a replica would have found capacity if it had come first.
func (p *binPacker) hadCapacity(r *replicas, zones placement.ZoneCounts) bool {
	job := r.service.Job
	for _, pool := range p.capacity.pools {
		if !pool.allows(job) || !zones.Allows(job, pool.zone) {
			continue
		}
		limit := resources.OfMachineType(pool.machineType)
		for _, node := range pool.nodes {
			if node.node.Used.Plus(r.need, 1).Fits(limit) {
				return true
			}
		}
	}
	return false
}

// priorityBase is by how much a replica is worth more than one of the next lower priority.
const priorityBase = 10

// priorityWeight is what placing a replica is worth: one of a higher priority is worth more than
// any few of a lower one.
func priorityWeight(job *wire.Job) float64 { return math.Pow(priorityBase, float64(job.Priority)) }
