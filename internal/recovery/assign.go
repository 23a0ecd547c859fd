package recovery

import (
	"math"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Cause is why a replica finds no room.
type Cause string

// Causes, the least specific last.
const (
	CauseNoMachine      Cause = "no machine of an allowed kind is up"
	CauseZoneConstraint Cause = "the zones that its other replicas leave it have no machine up"
	CauseTeamQuota      Cause = "its team's limit is reached"
	CauseNoCapacity     Cause = "all allowed machines are full"
	CausePlanLimit      Cause = "others come first; it follows in the next plan"
)

// binPacker places replicas one by one.
type binPacker struct {
	in         *Input
	capacity   *freeCapacity
	fallback   *freeCapacity
	usage      resources.Usage
	allocation *allocation // of the solver; nil: none
	replicas   int

	plan Plan
	// value is the sum of the weights of the placed replicas.
	value float64
	// blocked counts replicas that had room only until others took it.
	displaced int
}

func newBinPacker(in *Input, s *allocation) *binPacker {
	a := &binPacker{in: in, capacity: newFreeCapacity(in.Nodes), fallback: newFreeCapacity(in.Fallback), usage: resources.Usage{}, allocation: s}
	for team, used := range in.Usage {
		a.usage[team] = used
	}
	return a
}

// pack places the replicas that are certainly down, then those that may be.
func (a *binPacker) pack() {
	zonesOf := make([]placement.ZoneCounts, len(a.in.Services))
	for i, s := range a.in.Services {
		zonesOf[i] = placement.ZoneCounts{}
		for zone, n := range s.BoundByZone {
			zonesOf[i][zone] = n
		}
		a.packReplicas(s, s.Pending, zonesOf[i], false)
	}
	for _, s := range a.in.Services {
		a.packReplicas(s, s.AtRiskCount(), s.boundAfterLoss(), true)
	}
}

// packReplicas places so many replicas of a service, given the zones of its others.
func (a *binPacker) packReplicas(s *Service, count int, zones placement.ZoneCounts, atRisk bool) {
	team := a.in.TeamQuota(s.Job.Team)
	need := resources.OfTask(s.Job)
	for n := range count {
		if a.replicas == maxPlannedReplicas {
			a.addShortfall(s, count-n, CausePlanLimit)
			return
		}
		a.replicas++
		// A replica at risk counts towards the limit already.
		if !atRisk && !a.usage.WithinLimit(team, need) {
			a.addShortfall(s, count-n, CauseTeamQuota)
			return
		}
		found := a.findNode(s, need, zones, atRisk)
		if found == nil {
			cause := a.shortfallCause(s.Job, zones)
			if cause == CauseNoCapacity && a.hadCapacity(s.Job, need, zones) {
				a.displaced += count - n
			}
			a.addShortfall(s, count-n, cause)
			return
		}
		found.used = found.used.Plus(need, 1)
		zones[found.node.Zone]++
		if !atRisk {
			a.usage[team.Name] = a.usage[team.Name].Plus(need, 1)
		}
		a.value += priorityWeight(s.Job)
		a.plan.Placements = append(a.plan.Placements, Placement{s, found.node, atRisk})
	}
}

func (a *binPacker) addShortfall(s *Service, count int, cause Cause) {
	a.plan.Shortfalls = append(a.plan.Shortfalls, Shortfall{s, count, cause})
}

// findNode takes the best bucket with room: one that the solver's shares name, if there
// are any, else any other, and a machine of a lost zone last.
func (a *binPacker) findNode(s *Service, need resources.Vector, zones placement.ZoneCounts, atRisk bool) *nodeUsage {
	if a.allocation != nil {
		key := groupKeyOf(s, atRisk)
		named := func(bucket int) bool { return a.allocation.has(key, bucket) }
		if found, bucket := bestNode(a.capacity, s.Job, need, zones, named); found != nil {
			a.allocation.take(key, bucket)
			return found
		}
	}
	if found, _ := bestNode(a.capacity, s.Job, need, zones, nil); found != nil {
		return found
	}
	found, _ := bestNode(a.fallback, s.Job, need, zones, nil)
	return found
}

// bestNode finds a machine in the best bucket that may be used: for work that may run on
// spot machines one of those, for a service that spreads the zone with the fewest of its
// replicas, else the bucket whose machine is filled the most.
func bestNode(r *freeCapacity, j *wire.Job, need resources.Vector, zones placement.ZoneCounts, use func(bucket int) bool) (found *nodeUsage, bucket int) {
	least := math.Inf(1)
	for i, b := range r.pools {
		if !b.allows(j) || !zones.Allows(j, b.zone) || use != nil && !use(i) {
			continue
		}
		s := b.firstFit(need)
		if s == nil {
			continue
		}
		score := 1 - s.used.Share(resources.OfMachineType(b.machineType))
		if j.AllowSpot && !b.spot {
			score += onDemandPenalty
		}
		if j.SpreadZones {
			score += sameZonePenalty * float64(zones[b.zone]) / float64(j.TaskCount)
		}
		if score < least {
			found, bucket, least = s, i, score
		}
	}
	return found, bucket
}

// Preferences, in shares of a machine, as the placer has them.
const (
	onDemandPenalty = 2
	sameZonePenalty = 8
)

// shortfallCause tells why a replica finds no room.
func (a *binPacker) shortfallCause(j *wire.Job, zones placement.ZoneCounts) Cause {
	cause := CauseNoMachine
	for _, r := range []*freeCapacity{a.capacity, a.fallback} {
		for _, b := range r.pools {
			switch {
			case !b.allows(j):
			case !zones.Allows(j, b.zone):
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

// hadCapacity tells whether the replica would have had room if it had come first.
func (a *binPacker) hadCapacity(j *wire.Job, need resources.Vector, zones placement.ZoneCounts) bool {
	for _, b := range a.capacity.pools {
		if !b.allows(j) || !zones.Allows(j, b.zone) {
			continue
		}
		limit := resources.OfMachineType(b.machineType)
		for _, s := range b.nodes {
			if s.node.Used.Plus(need, 1).Fits(limit) {
				return true
			}
		}
	}
	return false
}

// priorityWeight is what placing a replica is worth: one of a higher priority is worth more than
// any few of a lower one.
func priorityWeight(j *wire.Job) float64 { return math.Pow(priorityBase, float64(j.Priority)) }

const priorityBase = 10
