package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/overload"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// runCycle takes what has come together and makes one commit of it.
func (p *Scheduler) runCycle() {
	now := time.Now()
	if now.Sub(p.freshAsOf) > p.config.Params.Workers.Heartbeats(maxViewAgeHeartbeats) {
		return
	}
	limit, wait := p.writeBudget(now)
	if wait > 0 {
		p.After(wait, p.schedule)
		return
	}
	p.commit(p.planCycle(now, limit))
}

// maxViewAgeHeartbeats is how old a view may be, in report intervals, to place by it.
const maxViewAgeHeartbeats = 2

// minCycleWrites is the least number of writes that a round is worth.
const minCycleWrites = 2

// writeBudget is how many writes a round may have now, or how long to wait for more.
func (p *Scheduler) writeBudget(now time.Time) (limit int, wait time.Duration) {
	most := p.config.Params.Store.TxnOpsLimit()
	p.writeLimiter.SetLimit(rate.Limit(p.writeRate(now)))
	timeFor := func(writes int) time.Duration {
		return time.Duration(float64(writes) / float64(p.writeLimiter.Limit()) * float64(time.Second))
	}
	limit = min(most, int(p.writeLimiter.TokensAt(now)))
	switch {
	case limit < most/2 && (len(p.pendingEvidence) > 1 || len(p.fullyCompletedSince) > 1):
		// Full transactions cost less than many small ones; what waits longest
		// waits no longer for it, since writes are what is short.
		return 0, timeFor(most/2 - limit)
	case limit < most && len(p.oversizedGroups) > 0 && p.ownsAllTeams():
		return 0, timeFor(most - limit) // a split takes a whole one
	case limit < minCycleWrites:
		return 0, timeFor(minCycleWrites)
	}
	return limit, 0
}

// planCycle decides what a round of at most so many writes changes.
func (p *Scheduler) planCycle(now time.Time, limit int) *cycle {
	mine := p.ownAssignments()
	places := len(mine) > 0
	r := newCycle(now, limit, p.usage)
	p.openOversizedGroups(r)
	p.finishCompletedJobs(r, places)
	if places {
		p.consultAdvisor(now)
	}
	q := p.queue(mine, now)
	p.applyPendingEvidence(r, places, len(q) > 0)
	for job := range r.completed {
		p.finishJob(r, job)
	}
	p.storeDependencyCancellations(r, places)
	if p.overload.Level() < overload.Behind {
		r.victimSearchShare = victimSearchShares(q)
	}
	for _, w := range q {
		p.placeJob(r, w)
	}
	return r
}

// maxVictimSearches is how many of the waiting jobs of a priority look for places of other
// work in a round, drawn anew each time: looking costs far more than to find that
// none is free.
const maxVictimSearches = 64

// victimSearchShares is the part of the waiting jobs of each priority that may look.
func victimSearchShares(q []queuedJob) map[wire.Priority]float64 {
	out := map[wire.Priority]float64{}
	for i := range q {
		out[q[i].job.Spec.Priority]++
	}
	for rank, n := range out {
		out[rank] = min(1, maxVictimSearches/n)
	}
	return out
}

// candidates are nodes to choose among for a job: those of groups that are
// written anyhow and, while the round has room, a sample of all.
func (p *Scheduler) candidates(r *cycle, j *wire.Job) []*Node {
	var list []*Node
	usable := func(n *Node) bool { return p.canHost(r, n, j) && p.advisorAdmits(n, j) }
	for _, n := range p.nodesInUpdatedGroups(r) {
		if usable(n) {
			list = append(list, n)
		}
	}
	list = Sample(list, p.rng)
	if !r.isFull() {
		for _, n := range Sample(p.nodesWithCapacity, p.rng) {
			if r.groupUpdates[n.Group] == nil && usable(n) {
				n.NeedsOwnWrite = true
				list = append(list, n)
			}
		}
	}
	list = p.withPreferred(r, list, j, usable)
	slices.SortFunc(list, func(a, b *Node) int { return a.nodeIndex - b.nodeIndex })
	return list
}

// nodesInUpdatedGroups are the nodes with room in groups that are written anyhow. Some of them have it
// only by what is written, and are in no index yet.
func (p *Scheduler) nodesInUpdatedGroups(r *cycle) []*Node {
	if r.updatedGroupCount == len(r.groupUpdates) {
		return r.updatedGroupNodes
	}
	r.updatedGroupNodes, r.updatedGroupCount = r.updatedGroupNodes[:0], len(r.groupUpdates)
	for g, d := range r.groupUpdates {
		for _, b := range d.Machines {
			if n := p.nodes[b.Name]; n != nil && n.Group == g && n.HasCapacity() {
				r.updatedGroupNodes = append(r.updatedGroupNodes, n)
			}
		}
	}
	return r.updatedGroupNodes
}

// canHost tells whether a node could take a task of a job, wherever the job's others are.
func (p *Scheduler) canHost(r *cycle, n *Node, j *wire.Job) bool {
	return n.HasCapacity() && !r.now.Before(p.avoidUntil[n.Name]) && placement.Allowed(j, n.MachineType.Name, n.Zone, n.Spot) && n.hasCapacityFor(j, resources.OfTask(j))
}

// bind puts a task into a machine's row; false when there is no room for that.
func (p *Scheduler) bind(r *cycle, node *Node, w queuedJob, n int) bool {
	d := p.openGroup(r, node.Group)
	if d == nil {
		return false
	}
	fill := bindingFillShare
	if w.job.Spec.Priority >= wire.PriorityHigh {
		fill = urgentFillShare
	}
	if d.size+statecache.BindingBytes(w.id) > p.valueSizeShare(fill) || r.bytes() > statecache.MaxTxnRecordBytes {
		node.Schedulable = false // in this round
		if len(d.Machines) > 1 && d.RetainedSize() > p.valueSizeShare(crowdedFillShare) {
			p.crowdedGroups[d.Name] = true // full before its machines are
		}
		slog.Debug("record is full", "group", node.Group)
		return false
	}
	rec := d.UpdateMachine(node.Name)
	if rec == nil {
		return false
	}
	// The row's token has never been used on this machine before. The view's
	// revision would not do: it stands still between an own commit and its
	// repeat by the watch, and an attempt used twice on a machine lets the first
	// one's end pass for the second's.
	t := statecache.TaskBinding{Job: w.id, TaskIndex: n, Attempt: rec.FencingToken}
	rec.Bindings = append(rec.Bindings, t)
	d.size += statecache.BindingBytes(w.id)
	r.jobPreconditions[w.id] = w.job.ModRevision
	r.assignmentPreconditions[w.job.Spec.Team] = w.assignment
	r.placed[w.id]++
	r.launchedMachines[node.Name] = rec
	r.launches[node.Name] = append(r.launches[node.Name], wire.Command{Op: wire.OpLaunch, Task: t.TaskID(), Attempt: t.Attempt})
	return true
}
