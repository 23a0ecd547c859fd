package scheduler

import (
	"slices"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// jobPlacement is the state of placing one job's tasks in a cycle.
type jobPlacement struct {
	*cycle
	queuedJob
	spec  *wire.Job
	quota config.TeamQuota
	need  resources.Vector     // of one task
	zones placement.ZoneCounts // of the job's tasks, including those placed in this cycle

	mayPreempt      bool // running tasks may be preempted for the job
	searchesVictims bool // the job was drawn to search for victims in this cycle

	sample            []*placement.Node // nodes with capacity; drawn again when no node in it fits
	placedSinceSample int               // number of tasks placed since the sample was drawn
	victimNodes       []*placement.Node // nodes to search for victims; drawn when first needed
}

// placeJob places as many of a job's pending tasks as it can, using the quota held for the job's
// replica on the move, if any.
func (c *cycle) placeJob(entry queuedJob) {
	wasHeld := c.releaseHeldQuota(entry.job.Spec)
	c.placeTasks(entry)
	if wasHeld && c.placed[entry.id] == 0 {
		c.holdQuota(entry.job.Spec)
	}
}

// placeTasks places a job's pending tasks one by one, until one finds no node or the team's limit
// is reached.
func (c *cycle) placeTasks(entry queuedJob) {
	spec, quota := entry.job.Spec, c.teamQuota(entry.job.Spec.Team)
	need := resources.OfTask(spec)
	if c.finishedJobs[entry.id] > 0 || !c.usage.WithinLimit(quota, need) {
		return
	}
	if _, known := c.jobPreconditions[entry.id]; !known && !c.canAddPrecondition() {
		return
	}
	clear(c.fullRecords.blocking)
	p := &jobPlacement{cycle: c, queuedJob: entry, spec: spec, quota: quota, need: need, zones: c.zoneCounts(entry.id)}
	p.mayPreempt = p.mayPreemptNow()
	p.searchesVictims = c.rng.Float64() < c.victims.searchShares[spec.Priority]
	p.drawSample()
	for task := c.jobs.firstIncomplete[p.id]; task < p.job.TaskCount && c.placed[p.id] < p.maxTasks; task++ {
		if p.isHeldBack() {
			return
		}
		if p.isCompletedOrBound(task) {
			continue
		}
		if !c.usage.WithinLimit(quota, need) || !p.placeTask(task) {
			return
		}
	}
}

// isHeldBack reports whether no more tasks of the job may be placed for now because its earlier ones
// failed: at most one is bound at a time until one succeeds or outlives the failed ones.
func (p *jobPlacement) isHeldBack() bool {
	bound := len(p.view.Bindings[p.id]) + p.placed[p.id]
	if !p.backoff.holdsBack(p.id) || bound == 0 {
		return false
	}
	p.backoff.reportHeldBack(p.id, bound, p.view.PendingTasks(p.id, p.job)-p.placed[p.id], p.now)
	return true
}

// mayPreemptNow reports whether other tasks may be preempted for the job. Capacity is freed all the
// time, so a job may preempt only when its latest start for its deadline is near, or after about
// half of its start objective. Production jobs need not wait. A job whose priority is inherited
// from the last job of its pipeline may preempt only when its latest start is near, which follows
// from its share of that job's deadline (estimate.Deadlines).
func (p *jobPlacement) mayPreemptNow() bool {
	if p.candidate.mustStartSoon(p.deadlineIndex) {
		return true
	}
	if p.job.PriorityInherited {
		return false
	}
	within, _ := p.config.StartObjective(p.spec.Class)
	age := p.now.Sub(p.job.RunnableSince().Time())
	return p.spec.Priority == wire.PriorityProduction || age >= (within-p.config.Params.Workers.HeartbeatInterval/3)/2
}

// isCompletedOrBound reports whether a task need not be placed. It advances the job's first
// incomplete task.
func (p *jobPlacement) isCompletedOrBound(task int) bool {
	if p.view.IsCompleted(p.id, task) {
		if task == p.jobs.firstIncomplete[p.id] {
			p.jobs.firstIncomplete[p.id] = task + 1
		}
		return true
	}
	_, bound := p.view.Bindings[p.id][task]
	return bound
}

// placeTask places a task. It returns false if no more tasks of the job can be placed in this cycle.
func (p *jobPlacement) placeTask(task int) bool {
	node := p.pickNode()
	victims := p.pickVictims(node)
	switch {
	case victims != nil:
		update := p.openGroup(victims.Node.Group)
		if update == nil || !p.hasRoomForBinding(update, p.queuedJob, stopBytes*len(victims.Tasks)) {
			return false
		}
		p.preempt(update, victims, p.spec)
		node = victims.Node
	case node == nil:
		p.requestRecordRoom()
		p.preemptForRecordRoom()
		p.recordShortage()
		return false
	case p.advice.current == nil && !p.moves.isMoving(p.id) && p.nodes.shouldWaitForBoot(p.spec, node, p.now):
		return false
	}
	if !p.bind(node, p.queuedJob, task) {
		return false
	}
	p.forgetShortageOnCommit()
	p.placedSinceSample++
	node.Used = node.Used.AddScaled(p.need, 1)
	// Stopping keeps the task from being preempted in this cycle.
	node.Tasks = append(node.Tasks, placement.RunningTask{Job: p.spec, TaskIndex: task, Stopping: true, BoundSince: p.now})
	p.usage[p.quota.Name] = p.usage[p.quota.Name].AddScaled(p.need, 1)
	p.zones[node.Zone]++
	return true
}

// drawSample draws a new sample of nodes with capacity for the job.
func (p *jobPlacement) drawSample() {
	p.sample, p.placedSinceSample = p.withoutFailed(p.candidates(p.spec)), 0
}

// withoutFailed leaves out the nodes on which the job has failed, unless it has failed on all that
// it may use. Nodes in zones that the job's other tasks exclude are not usable.
func (p *jobPlacement) withoutFailed(nodes []*placement.Node) []*placement.Node {
	if !p.backoff.hasFailed(p.id) {
		return nodes
	}
	usable := slices.DeleteFunc(slices.Clone(nodes), func(n *placement.Node) bool {
		return !n.AllowedFor(p.spec) || !p.zones.Allows(p.spec, n.Zone)
	})
	return p.backoff.withoutFailed(p.id, usable)
}

// pickNode returns a node with capacity for a task, or nil. It tries the current sample, a new one,
// all nodes if the job may search them, then the fallback nodes.
func (p *jobPlacement) pickNode() *placement.Node {
	node := p.pickFromSample()
	if node == nil && p.placedSinceSample > 0 {
		p.drawSample()
		node = p.pickFromSample()
	}
	if node == nil && p.searchesAllNodes() {
		p.sample, p.placedSinceSample = p.withoutFailed(p.allCandidates()), 0
		node = p.pickFromSample()
	}
	if node == nil {
		node, _ = p.pickWithRecordRoom(p.fallbackNodes(p.spec))
	}
	return node
}

// pickFromSample returns the best node of the sample that can take a task, or nil.
func (p *jobPlacement) pickFromSample() *placement.Node {
	node, rest := p.pickWithRecordRoom(p.sample)
	p.sample = rest
	return node
}

const (
	// maxFullSearches is how many of the queued jobs on average may search all nodes with capacity
	// in a cycle. They are drawn at random in each cycle.
	maxFullSearches = 16
	// fullSearchAfterHeartbeats is the wait, in heartbeat intervals, after which a job may do so.
	fullSearchAfterHeartbeats = 2
)

// allCandidates returns the nodes that can take a task of the job, whether or not the cycle already
// writes their groups; a sample of them if there are many.
func (p *jobPlacement) allCandidates() []*placement.Node {
	var list []*placement.Node
	for _, n := range p.nodes.withCapacity {
		if p.fits(n) && p.recordTakes(n, 0) {
			n.NeedsOwnWrite = p.groupUpdates[n.Group] == nil
			list = append(list, n)
		}
	}
	list = placement.Sample(list, p.rng)
	sortByOrdinal(list)
	return list
}

// fits reports whether a node can take a task of the job now.
func (p *jobPlacement) fits(n *placement.Node) bool {
	return p.zones.Allows(p.spec, n.Zone) && p.canHost(n, p.spec) && p.advice.admits(n, p.spec)
}

// searchesAllNodes reports whether the job searches all nodes with capacity in addition to a sample,
// which may miss the few nodes that fit for a long time. It draws at random.
func (p *jobPlacement) searchesAllNodes() bool {
	waited := p.now.Sub(p.job.RunnableSince().Time())
	return !p.isFull() && waited >= p.config.Params.Workers.Heartbeats(fullSearchAfterHeartbeats) &&
		p.rng.Float64() < p.fullSearchShare
}

// pickVictims returns tasks to preempt, or a replica to move, for a task; nil if there is none. node
// is where the task could be placed without that, or nil.
func (p *jobPlacement) pickVictims(node *placement.Node) *placement.Victims {
	if !p.searchesVictims {
		return nil
	}
	if node == nil && p.awaitsSplit() {
		return nil
	}
	var victims *placement.Victims
	if p.mayStopOthers() && (node == nil || p.spec.Priority >= wire.PriorityHigh && p.fetchesTooLong(p.spec, node)) {
		nodes := p.victimSearchNodes()
		if node != nil { // preemption helps only on nodes that have the image
			nodes = slices.DeleteFunc(slices.Clone(nodes), func(n *placement.Node) bool { return !n.HasImage(p.spec.Image) })
		}
		victims = p.findVictims(nodes)
	}
	if node == nil && victims == nil && placement.MayMoveReplicasFor(p.spec) {
		victims = p.findReplicaToMove()
	}
	return victims
}

// mayStopOthers reports whether tasks may be preempted for the job now, depending on the tasks.
func (p *jobPlacement) mayStopOthers() bool {
	return p.mayPreempt && (p.spec.Priority >= wire.PriorityHigh || p.usage.WithinGuarantee(p.quota, p.need))
}

// quotas returns the usage and quotas that a search for victims considers.
func (p *jobPlacement) quotas() placement.Quotas {
	return placement.Quotas{Usage: p.usage, TeamQuota: p.teamQuota}
}

// findVictims returns the tasks to preempt on one of the nodes whose record has room to stop them
// and bind their successor; nil if there are none. So nothing is stopped for a task that can't be
// bound, and a full record keeps no task from the other nodes.
func (p *jobPlacement) findVictims(nodes []*placement.Node) *placement.Victims {
	for {
		victims := placement.FindVictims(p.spec, p.zones, p.nodes.offers, nodes, p.quotas())
		if victims == nil || p.recordTakes(victims.Node, stopBytes*len(victims.Tasks)) {
			return victims
		}
		isFull := !p.recordTakes(victims.Node, stopBytes) // for any number of victims
		nodes = slices.DeleteFunc(slices.Clone(nodes), func(n *placement.Node) bool {
			return n == victims.Node || isFull && n.Group == victims.Node.Group
		})
	}
}

// victimSearchNodes returns the nodes to search for victims.
func (p *jobPlacement) victimSearchNodes() []*placement.Node {
	if p.victimNodes == nil {
		p.victimNodes = p.withoutFailed(p.preemptionCandidates(p.spec))
	}
	return p.victimNodes
}
