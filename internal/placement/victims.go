package placement

import (
	"cmp"
	"math"
	"slices"

	"lynxledge/internal/config"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Victims is a set of tasks to stop on a node so that another task fits.
type Victims struct {
	Node  *Node
	Tasks []int // indices into Node.Tasks
	Cost  float64
	// Target is the node that a replica is moved to; nil if the tasks are preempted.
	Target *Node
}

// Quotas holds the usage and the quotas of teams.
type Quotas struct {
	Usage     resources.Usage
	TeamQuota func(team wire.TeamName) config.TeamQuota
}

// FindVictims returns the cheapest victims on any one of the nodes that make room for a task of a
// job, or nil if there are none. A node whose score is better by more than 1 is preferred at any
// cost. Tasks of lower priority may be preempted. If the job's team is within its guarantee with
// the task, so may tasks of any priority that other teams run beyond their guarantees. No others
// may.
func FindVictims(job *wire.Job, zones ZoneCounts, offers ZoneOffers, nodes []*Node, quotas Quotas) *Victims {
	search := newVictimSearch(job, quotas)
	return search.onNodes(zones, offers, nodes)
}

// FindOneVictim is FindVictims for nodes that may have capacity for the task already: it returns at
// least one victim.
func FindOneVictim(job *wire.Job, zones ZoneCounts, offers ZoneOffers, nodes []*Node, quotas Quotas) *Victims {
	search := newVictimSearch(job, quotas)
	search.minVictims = 1
	return search.onNodes(zones, offers, nodes)
}

// victimSearch holds what a search for victims has in common on all nodes.
type victimSearch struct {
	job        *wire.Job
	need       resources.Vector
	guaranteed bool // the job's team is within its guarantee with the task
	quotas     Quotas
	minVictims int // even if the task fits without
}

func newVictimSearch(job *wire.Job, quotas Quotas) victimSearch {
	need := resources.OfTask(job)
	return victimSearch{job: job, need: need, guaranteed: quotas.Usage.WithinGuarantee(quotas.TeamQuota(job.Team), need), quotas: quotas}
}

// onNodes returns the cheapest victims on any of the nodes, or nil if there are none. A node whose
// score is better by more than 1 is preferred at any cost.
func (s *victimSearch) onNodes(zones ZoneCounts, offers ZoneOffers, nodes []*Node) *Victims {
	var best *Victims
	bestScore := 0.0
	for _, n := range nodes {
		if !n.AllowedFor(s.job) || !zones.Allows(s.job, n.Zone) {
			continue
		}
		v := s.onNode(n)
		if v == nil {
			continue
		}
		if nodeScore := score(s.job, zones, offers, n); best == nil || nodeScore-bestScore < -1 || nodeScore-bestScore < 1 && v.Cost < best.Cost {
			best, bestScore = v, nodeScore
		}
	}
	return best
}

// victimCandidate is a task that may be stopped.
type victimCandidate struct {
	index int // into Node.Tasks
	cost  float64
}

// onNode returns the victims on a node, or nil if there are none or the task would not fit once
// they are stopped. Candidates are added in ascending order of cost until the task fits.
func (s *victimSearch) onNode(n *Node) *Victims {
	victims := &Victims{Node: n}
	used, limit := n.usedWithClaims(s.job), n.capacity()
	remainingUsage := resources.Usage{}
	for _, c := range s.candidates(n) {
		if len(victims.Tasks) >= s.minVictims && used.AddScaled(s.need, 1).Fits(limit) {
			break
		}
		victim := n.Tasks[c.index].Job
		if victim.Priority >= s.job.Priority && !s.reclaimAboveGuarantee(remainingUsage, victim) {
			continue
		}
		used = used.AddScaled(resources.OfTask(victim), -1)
		victims.Tasks = append(victims.Tasks, c.index)
		victims.Cost += c.cost
	}
	if len(victims.Tasks) == 0 || !used.AddScaled(s.need, 1).Fits(limit) {
		return nil
	}
	return victims
}

// candidates returns the tasks of a node that may be stopped, the cheapest first.
func (s *victimSearch) candidates(n *Node) []victimCandidate {
	var out []victimCandidate
	for i := range n.Tasks {
		if t := &n.Tasks[i]; s.mayPreempt(t) {
			out = append(out, victimCandidate{i, preemptionCost(t)})
		}
	}
	slices.SortFunc(out, func(a, b victimCandidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.index, b.index))
	})
	return out
}

// mayPreempt reports whether the rules of FindVictims allow a task to be stopped for the job.
func (s *victimSearch) mayPreempt(t *RunningTask) bool {
	if t.Job == nil || t.Stopping {
		return false
	}
	return t.Job.Priority < s.job.Priority || s.guaranteed && !t.WithinGuarantee && t.Job.Team != s.job.Team
}

// reclaimAboveGuarantee subtracts a victim from its team's remaining usage, and reports whether it
// could: not if that usage is already within the guarantee. remainingUsage holds the usage of the
// teams that victims have been chosen from.
func (s *victimSearch) reclaimAboveGuarantee(remainingUsage resources.Usage, victim *wire.Job) bool {
	quota := s.quotas.TeamQuota(victim.Team)
	usage, ok := remainingUsage[quota.Name]
	if !ok {
		usage = s.quotas.Usage[quota.Name]
	}
	if usage.CPUs <= quota.GuaranteedCPUs+resources.RoundingTolerance && usage.GPUs <= quota.GuaranteedGPUs+resources.RoundingTolerance {
		return false
	}
	remainingUsage[quota.Name] = usage.AddScaled(resources.OfTask(victim), -1)
	return true
}

// replicaLossSeconds is the cost of stopping a replica of a service that has all its replicas, in
// seconds of lost work, since the service's users notice it.
const replicaLossSeconds = 60

// lossFactor returns the cost of stopping one more replica of a service as a multiple of
// replicaLossSeconds. The fewer of its replicas run, the larger it is.
func (s *ReplicaSet) lossFactor(service *wire.Job) float64 {
	if s == nil || s.Running <= 0 {
		return 1
	}
	return float64(service.TaskCount) / float64(s.Running)
}

// preemptionCost returns the cost of stopping a task: the work lost since its last checkpoint and
// the harm to its service or to the end of its job, weighted by the task's CPUs and priority.
func preemptionCost(t *RunningTask) float64 {
	lostSeconds := t.RuntimeSoFar.Seconds()
	if t.Job.CheckpointInterval > 0 {
		lostSeconds = math.Min(lostSeconds, float64(t.Job.CheckpointInterval))
	}
	if t.Job.IsService() {
		lostSeconds += replicaLossSeconds * t.Service.lossFactor(t.Job)
	} else if t.JobHasNoPendingTasks {
		lostSeconds += float64(t.Job.EstimatedRuntime)
	}
	return (1 + lostSeconds) * t.Job.CPUs * float64(1+3*t.Job.Priority)
}
