package scheduler

import (
	"math"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/estimate"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// ownAssignments lists the teams that this process may place: their assignments name
// it, and the view has every bind made under earlier ones.
func (p *Scheduler) ownAssignments() map[wire.TeamName]*statecache.Assignment {
	out := map[wire.TeamName]*statecache.Assignment{}
	for team, h := range p.view.Assignments {
		if h.Incarnation == p.incarnation && p.revision >= h.ModRevision {
			out[team] = h
		}
	}
	return out
}

type queuedJob struct {
	id            wire.JobID
	job           *statecache.Job
	assignment    uint64 // stamp of the team's assignment
	deadlineStage int    // how many of its deadlines it is not to keep
	deadline      float64
	candidate     deadlineCandidate
	maxTasks      int  // tasks to place at most
	recoversFirst bool // a service, while zones recover
}

// queue orders the jobs that have tasks to place: by priority, then earliest
// deadline first. Under overload plain EDF makes every job late; so the largest
// of those that can't all be in time give way. None gives way for ever: one that
// has waited for three leases without a single start goes first in its priority with
// one task, or the largest would starve behind all that are smaller. More than
// that would make the whole queue late again.
//
// While zones recover, services go before all arrays, whatever their priority.
func (p *Scheduler) queue(mine map[wire.TeamName]*statecache.Assignment, now time.Time) []queuedJob {
	if len(mine) == 0 {
		return nil
	}
	var q []queuedJob
	starved := 3 * p.config.Params.Workers.LeaseDuration
	for id, j := range p.activeJobs {
		if mine[j.Spec.Team] == nil {
			continue
		}
		left := p.view.PendingTasks(id, j)
		if left <= 0 {
			continue
		}
		if f := p.failures[id]; f != nil && now.Before(f.until) {
			continue
		}
		if now.Before(p.preemptedUntil[id]) {
			continue
		}
		w := queuedJob{id: id, job: j, assignment: mine[j.Spec.Team].ModRevision, maxTasks: left}
		if p.advice != nil && j.Spec.IsService() {
			w.recoversFirst, w.deadline = true, float64(p.advice.RecoveryOrder(id))
			q = append(q, w)
			continue
		}
		run := p.runtimes.Estimate(j.Spec)
		age := config.Milliseconds(int64(statecache.TimestampOf(now) - j.RunnableSince()))
		if age > starved && left == j.TaskCount {
			w.deadlineStage, w.deadline = -1, float64(j.RunnableSince())
			if !j.Spec.IsService() {
				w.maxTasks = 1
			}
			q = append(q, w)
			continue
		}
		w.candidate = deadlineCandidate{clusterTime: run * float64(left) / p.clusterSlots(j.Spec), runtime: run}
		for _, d := range estimate.Deadlines(p.config, j, config.Seconds(run), age, age) {
			w.candidate.deadlines = append(w.candidate.deadlines, (d - age).Seconds())
		}
		q = append(q, w)
	}
	sortQueue(q) // a fixed order among equals
	// What runs already is half done, taken all together.
	from := 0.0
	for id, j := range p.activeJobs {
		if n := len(p.view.Bindings[id]); n > 0 && !j.Spec.IsService() {
			from += p.runtimes.Estimate(j.Spec) / 2 * float64(n) / p.clusterSlots(j.Spec)
		}
	}
	for i := 0; i < len(q); {
		k := i
		for k < len(q) && q[k].recoversFirst == q[i].recoversFirst && q[k].job.Spec.Priority == q[i].job.Spec.Priority {
			k++
		}
		from = p.assignDeadlineStages(q[i:k], from, now)
		i = k
	}
	sortQueue(q)
	return q
}

// assignDeadlineStages tells of the waiting jobs of one priority which deadline each is to
// keep, given when the priorities above leave the cluster to it, and returns when
// this one does.
func (p *Scheduler) assignDeadlineStages(q []queuedJob, from float64, now time.Time) float64 {
	var claims []deadlineCandidate
	var of []int
	for i := range q {
		if q[i].deadlineStage < 0 {
			from += q[i].candidate.clusterTime
		} else if !q[i].job.Spec.IsService() {
			claims = append(claims, q[i].candidate)
			of = append(of, i)
		}
	}
	stage, end := assignStages(claims, from)
	for n, i := range of {
		w := &q[i]
		w.deadlineStage = stage[n]
		if w.deadlineStage < len(w.candidate.deadlines) {
			w.deadline = float64(now.UnixMilli())/1000 + w.candidate.deadlines[w.deadlineStage]
		} else {
			w.deadline = w.candidate.clusterTime
		}
	}
	return end
}

// clusterSlots is how many tasks of a job the machines that are up could run at once
// if they had nothing else to do but to keep the replicas they hold.
func (p *Scheduler) clusterSlots(j *wire.Job) float64 {
	sum := 1.0
	for k, s := range p.pools {
		if s.schedulableNodes > 0 && placement.Allowed(j, k.typ, k.zone, k.spot) {
			limit := resources.OfMachineType(p.machineTypes[k.typ])
			whole := float64(s.schedulableNodes) * math.Floor(1/resources.OfTask(j).Share(limit)+resources.RoundingTolerance)
			sum += whole * max(0, 1-s.serviceUsage.Share(limit)/float64(s.schedulableNodes))
		}
	}
	return sum
}

// worthWaiting tells whether a job that could go elsewhere had better wait
// for a machine that is coming up than take room in a zone where little can
// be rented: that room is for jobs that must spread into it. Only a cluster
// that begins waits: later a replica can be moved.
func (p *Scheduler) worthWaiting(j *wire.Job, n *Node, now time.Time) bool {
	if n.Spot || j.SpreadZones && j.TaskCount > 1 || j.Zone != "" {
		return false
	}
	for k, s := range p.pools {
		if s.schedulableNodes > 0 && !k.spot && p.zoneOffers[k.zone] > p.zoneOffers[n.Zone] {
			return false
		}
	}
	for m, s := range p.startingNodes {
		if !s.Spot && p.zoneOffers[s.Zone] > p.zoneOffers[n.Zone] && placement.Allowed(j, s.MachineType.Name, s.Zone, s.Spot) && resources.OfTask(j).Fits(resources.OfMachineType(s.MachineType)) &&
			now.Sub(p.view.Machines[m].ProvisionedAt.Time()) < config.Seconds(UsualBootFactor*float64(s.MachineType.BootTime)) {
			return true
		}
	}
	return false
}

// UsualBootFactor is how many times its boot time a machine usually takes at most.
const UsualBootFactor = 1.6
