package scheduler

import (
	"math"
	"slices"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// PreemptionVictims is a set of tasks to stop on a node so that another fits.
type PreemptionVictims struct {
	Node  *Node
	Tasks []int // indices into Node.Tasks
	Cost  float64
}

// FindVictims finds the cheapest set of tasks to stop for a task of job j. Work
// of lower priority may go; with the team inside its guarantee so may work of any
// priority that another team runs beyond its own. Nothing else may.
func FindVictims(j *wire.Job, zones placement.ZoneCounts, offers ZoneOffers, nodes []*Node, tally resources.Usage, team func(wire.TeamName) config.TeamQuota) *PreemptionVictims {
	var best *PreemptionVictims
	bestScore := 0.0
	need := resources.OfTask(j)
	guaranteed := tally.WithinGuarantee(team(j.Team), need)
	for _, n := range nodes {
		if !placement.Allowed(j, n.MachineType.Name, n.Zone, n.Spot) || !zones.Allows(j, n.Zone) {
			continue
		}
		v := victimsOnNode(j, n, need, guaranteed, tally, team)
		if v == nil {
			continue
		}
		if s := score(j, zones, offers, n, resources.OfMachineType(n.MachineType)); best == nil || s-bestScore < -1 || s-bestScore < 1 && v.Cost < best.Cost {
			best, bestScore = v, s
		}
	}
	return best
}

func victimsOnNode(j *wire.Job, n *Node, need resources.Vector, guaranteed bool, tally resources.Usage, team func(wire.TeamName) config.TeamQuota) *PreemptionVictims {
	limit := resources.OfMachineType(n.MachineType)
	type candidate struct {
		i    int
		cost float64
	}
	var cands []candidate
	for i, t := range n.Tasks {
		if t.Job == nil || t.Stopping {
			continue
		}
		lower := t.Job.Priority < j.Priority
		if !lower && (!guaranteed || t.WithinGuarantee || t.Job.Team == j.Team) {
			continue
		}
		lost := t.RuntimeSoFar
		if t.Job.CheckpointInterval > 0 {
			lost = math.Min(lost, float64(t.Job.CheckpointInterval))
		}
		if t.Job.IsService() {
			lost += 60 // a replica's users notice
		} else if t.LastOfJob {
			lost += float64(t.Job.EstimatedRuntime)
		}
		cands = append(cands, candidate{i, (1 + lost) * t.Job.CPUs * float64(1+3*t.Job.Priority)})
	}
	slices.SortFunc(cands, func(a, b candidate) int {
		if a.cost < b.cost {
			return -1
		}
		if a.cost > b.cost {
			return 1
		}
		return a.i - b.i
	})
	v := &PreemptionVictims{Node: n}
	used := n.Used
	left := resources.Usage{}
	for _, c := range cands {
		if used.Plus(need, 1).Fits(limit) {
			break
		}
		t := n.Tasks[c.i]
		if t.Job.Priority >= j.Priority {
			// Stopping it must leave its team with its guarantee.
			owner := team(t.Job.Team)
			u, ok := left[owner.Name]
			if !ok {
				u = tally[owner.Name]
			}
			if u.CPUs <= owner.GuaranteedCPUs+resources.RoundingTolerance && u.GPUs <= owner.GuaranteedGPUs+resources.RoundingTolerance {
				continue
			}
			left[owner.Name] = u.Plus(resources.OfTask(t.Job), -1)
		}
		used = used.Plus(resources.OfTask(t.Job), -1)
		v.Tasks = append(v.Tasks, c.i)
		v.Cost += c.cost
	}
	if len(v.Tasks) == 0 || !used.Plus(need, 1).Fits(limit) {
		return nil
	}
	return v
}

// FindReplicaToMove finds a replica that could as well run in another zone, where there is
// room for it, and whose going makes room for a task that must spread into
// its zone. The replica is stopped to be placed again.
func FindReplicaToMove(j *wire.Job, zones placement.ZoneCounts, nodes []*Node) *PreemptionVictims {
	if !j.SpreadZones || !j.IsService() {
		return nil
	}
	need := resources.OfTask(j)
	for _, n := range nodes {
		if !placement.Allowed(j, n.MachineType.Name, n.Zone, n.Spot) || !zones.Allows(j, n.Zone) {
			continue
		}
		elsewhere := slices.DeleteFunc(slices.Clone(nodes), func(o *Node) bool { return o.Zone == n.Zone })
		for i, t := range n.Tasks {
			if t.Job == nil || t.Stopping || !t.Job.IsService() || t.Job.SpreadZones && t.Job.TaskCount > 1 || t.Job.CheckpointInterval > 0 {
				continue
			}
			if !n.Used.Plus(resources.OfTask(t.Job), -1).Plus(need, 1).Fits(resources.OfMachineType(n.MachineType)) {
				continue
			}
			if to := PickNode(t.Job, placement.ZoneCounts{}, ZoneOffers{}, elsewhere); to != nil && to.HasImage(t.Job.Image) {
				to.Used = to.Used.Plus(resources.OfTask(t.Job), 1) // one room is not for two
				return &PreemptionVictims{Node: n, Tasks: []int{i}}
			}
		}
	}
	return nil
}
