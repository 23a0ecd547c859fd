package recovery

import (
	"maps"
	"math"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// binPacker computes a plan by placing replicas one at a time.
type binPacker struct {
	in         *Input
	capacity   *freeCapacity
	fallback   *freeCapacity
	usage      resources.Usage
	allocation *allocation // of the solver; nil: first-fit only
	considered int         // replicas considered so far

	plan Plan
	// value is the sum of the weights of the placed replicas.
	value float64
	// displaced counts replicas without capacity whose service could have placed a replica
	// before the plan placed others.
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

// replicaSpec describes the replicas of one service that are to be placed. The zone counts of
// the service's other replicas are a separate argument: as a field they would escape to the heap.
type replicaSpec struct {
	service *Service
	team    config.TeamQuota
	need    resources.Vector // of one replica
	atRisk  bool
}

// pack places the pending replicas of all services, then those at risk, which may still be
// running.
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

// packReplicas places count replicas of a service; zones counts its other replicas by zone. It
// stops at the first that can't be placed: that one and the rest are a shortfall of one cause.
func (p *binPacker) packReplicas(service *Service, count int, zones placement.ZoneCounts, atRisk bool) {
	r := replicaSpec{
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

// packOne places one replica and adds it to zones, or returns why it can't be placed.
func (p *binPacker) packOne(r *replicaSpec, zones placement.ZoneCounts) Cause {
	if p.considered == maxPlannedReplicas {
		return CausePlanLimit
	}
	p.considered++
	// A replica at risk is already part of the team's usage.
	if !r.atRisk && !p.usage.WithinLimit(r.team, r.need) {
		return CauseTeamQuota
	}
	found := p.findNode(r, zones)
	if found == nil {
		return p.shortfallCause(r.service.Job, zones)
	}
	found.used = found.used.AddScaled(r.need, 1)
	zones[found.node.Zone]++
	if !r.atRisk {
		p.usage[r.team.Name] = p.usage[r.team.Name].AddScaled(r.need, 1)
	}
	p.value += priorityWeight(r.service.Job)
	p.plan.Placements = append(p.plan.Placements, Placement{r.service, found.node, r.atRisk})
	return ""
}

// findNode returns a node in the best pool with capacity, or nil. Pools of the solver's
// allocation come first, then any other pool, and fallback nodes last.
func (p *binPacker) findNode(r *replicaSpec, zones placement.ZoneCounts) *nodeUsage {
	if p.allocation != nil {
		key := groupKeyOf(r.service, r.atRisk)
		allocated := func(pool int) bool { return p.allocation.hasRemaining(key, pool) }
		if found, pool := p.capacity.bestNode(r, zones, allocated); found != nil {
			p.allocation.consume(key, pool)
			return found
		}
	}
	if found, _ := p.capacity.bestNode(r, zones, nil); found != nil {
		return found
	}
	found, _ := p.fallback.bestNode(r, zones, nil)
	return found
}

// Score penalties, in shares of a machine; the same as in package placement.
const (
	onDemandPenalty = 2
	sameZonePenalty = 8
)

// bestNode returns the first-fit node of the pool with the lowest score, and the pool's index.
// It prefers spot pools for services that allow spot, the zone with the fewest replicas for
// services that spread, and otherwise the fullest node. mayUse, if not nil, filters pools.
func (c *freeCapacity) bestNode(r *replicaSpec, zones placement.ZoneCounts, mayUse func(pool int) bool) (best *nodeUsage, bestPool int) {
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

// shortfallCause returns why a replica of the job finds no node.
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

// hadCapacity reports whether a replica would have found a node, fallback nodes aside, before
// the plan placed others.
func (p *binPacker) hadCapacity(r *replicaSpec, zones placement.ZoneCounts) bool {
	job := r.service.Job
	for _, pool := range p.capacity.pools {
		if !pool.allows(job) || !zones.Allows(job, pool.zone) {
			continue
		}
		limit := resources.OfMachineType(pool.machineType)
		for _, node := range pool.nodes {
			if node.node.Used.AddScaled(r.need, 1).Fits(limit) {
				return true
			}
		}
	}
	return false
}

// priorityBase is how many replicas of the next lower priority one replica is worth.
const priorityBase = 10

// priorityWeight returns the weight of placing one replica, which grows exponentially with its
// priority: one replica outweighs fewer than priorityBase of any lower priority.
func priorityWeight(job *wire.Job) float64 { return math.Pow(priorityBase, float64(job.Priority)) }
