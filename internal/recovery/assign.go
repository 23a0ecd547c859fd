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
	CauseNoMachine  Cause = "no machine of an allowed kind is up"
	CauseZoneRule   Cause = "the zones that its other replicas leave it have no machine up"
	CauseTeamLimit  Cause = "its team's limit is reached"
	CauseNoRoom     Cause = "all allowed machines are full"
	CauseLaterRound Cause = "others come first; it follows in the next plan"
)

// assigner places replicas one by one.
type assigner struct {
	in       *Input
	room     *room
	resort   *room
	usage    resources.Usage
	shares   *shares // of the solver; nil: none
	replicas int

	plan Plan
	// value is the sum of the weights of the placed replicas.
	value float64
	// blocked counts replicas that had room only until others took it.
	blocked int
}

func newAssigner(in *Input, s *shares) *assigner {
	a := &assigner{in: in, room: newRoom(in.Nodes), resort: newRoom(in.LastResort), usage: resources.Usage{}, shares: s}
	for team, used := range in.Usage {
		a.usage[team] = used
	}
	return a
}

// run places the replicas that are certainly down, then those that may be.
func (a *assigner) run() {
	zonesOf := make([]placement.ZoneCounts, len(a.in.Services))
	for i, s := range a.in.Services {
		zonesOf[i] = placement.ZoneCounts{}
		for zone, n := range s.Zones {
			zonesOf[i][zone] = n
		}
		a.placeAll(s, s.Waiting, zonesOf[i], false)
	}
	for _, s := range a.in.Services {
		a.placeAll(s, s.AtRiskCount(), s.zonesAfterLoss(), true)
	}
}

// placeAll places so many replicas of a service, given the zones of its others.
func (a *assigner) placeAll(s *Service, count int, zones placement.ZoneCounts, atRisk bool) {
	team := a.in.TeamQuota(s.Job.Team)
	need := resources.OfTask(s.Job)
	for n := range count {
		if a.replicas == maxReplicas {
			a.fall(s, count-n, CauseLaterRound)
			return
		}
		a.replicas++
		// A replica at risk counts towards the limit already.
		if !atRisk && !a.usage.WithinLimit(team, need) {
			a.fall(s, count-n, CauseTeamLimit)
			return
		}
		found := a.find(s, need, zones, atRisk)
		if found == nil {
			cause := a.cause(s.Job, zones)
			if cause == CauseNoRoom && a.hadRoom(s.Job, need, zones) {
				a.blocked += count - n
			}
			a.fall(s, count-n, cause)
			return
		}
		found.used = found.used.Plus(need, 1)
		zones[found.node.Zone]++
		if !atRisk {
			a.usage[team.Name] = a.usage[team.Name].Plus(need, 1)
		}
		a.value += weight(s.Job)
		a.plan.Placements = append(a.plan.Placements, Placement{s, found.node, atRisk})
	}
}

func (a *assigner) fall(s *Service, count int, cause Cause) {
	a.plan.Shortfalls = append(a.plan.Shortfalls, Shortfall{s, count, cause})
}

// find takes the best bucket with room: one that the solver's shares name, if there
// are any, else any other, and a machine of a lost zone last.
func (a *assigner) find(s *Service, need resources.Vector, zones placement.ZoneCounts, atRisk bool) *slot {
	if a.shares != nil {
		key := keyOf(s, atRisk)
		named := func(bucket int) bool { return a.shares.has(key, bucket) }
		if found, bucket := best(a.room, s.Job, need, zones, named); found != nil {
			a.shares.take(key, bucket)
			return found
		}
	}
	if found, _ := best(a.room, s.Job, need, zones, nil); found != nil {
		return found
	}
	found, _ := best(a.resort, s.Job, need, zones, nil)
	return found
}

// best finds a machine in the best bucket that may be used: for work that may run on
// spot machines one of those, for a service that spreads the zone with the fewest of its
// replicas, else the bucket whose machine is filled the most.
func best(r *room, j *wire.Job, need resources.Vector, zones placement.ZoneCounts, use func(bucket int) bool) (found *slot, bucket int) {
	least := math.Inf(1)
	for i, b := range r.buckets {
		if !b.allows(j) || !zones.Allows(j, b.zone) || use != nil && !use(i) {
			continue
		}
		s := b.fit(need)
		if s == nil {
			continue
		}
		score := 1 - s.used.Share(resources.OfMachineType(b.machineType))
		if j.AllowSpot && !b.spot {
			score += spotPreference
		}
		if j.SpreadZones {
			score += spreadPreference * float64(zones[b.zone]) / float64(j.TaskCount)
		}
		if score < least {
			found, bucket, least = s, i, score
		}
	}
	return found, bucket
}

// Preferences, in shares of a machine, as the placer has them.
const (
	spotPreference   = 2
	spreadPreference = 8
)

// cause tells why a replica finds no room.
func (a *assigner) cause(j *wire.Job, zones placement.ZoneCounts) Cause {
	cause := CauseNoMachine
	for _, r := range []*room{a.room, a.resort} {
		for _, b := range r.buckets {
			switch {
			case !b.allows(j):
			case !zones.Allows(j, b.zone):
				if cause == CauseNoMachine {
					cause = CauseZoneRule
				}
			default:
				return CauseNoRoom
			}
		}
	}
	return cause
}

// hadRoom tells whether the replica would have had room if it had come first.
func (a *assigner) hadRoom(j *wire.Job, need resources.Vector, zones placement.ZoneCounts) bool {
	for _, b := range a.room.buckets {
		if !b.allows(j) || !zones.Allows(j, b.zone) {
			continue
		}
		limit := resources.OfMachineType(b.machineType)
		for _, s := range b.slots {
			if s.node.Used.Plus(need, 1).Fits(limit) {
				return true
			}
		}
	}
	return false
}

// weight is what placing a replica is worth: one of a higher priority is worth more than
// any few of a lower one.
func weight(j *wire.Job) float64 { return math.Pow(priorityStep, float64(j.Priority)) }

const priorityStep = 10
