package scheduler

import (
	"slices"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// jobPlacement is the placing of one job's tasks in a cycle.
type jobPlacement struct {
	*cycle
	queuedJob
	spec  *wire.Job
	quota config.TeamQuota
	need  resources.Vector
	zones placement.ZoneCounts // of the job's tasks, those placed here included

	mayPreempt      bool // other work may be stopped for a task
	searchesVictims bool // it is among the jobs of its priority that look for victims

	sample            []*placement.Node // with capacity, drawn anew when it is used up
	placedSinceSample int               // tasks placed since it was drawn
	occupied          []*placement.Node // to look for victims on; drawn when first needed
}

// placeJob places what it can of a job.
func (c *cycle) placeJob(entry queuedJob) {
	wasHeld := c.releaseHeldQuota(entry.job.Spec)
	c.placeTasks(entry)
	if wasHeld && c.placed[entry.id] == 0 {
		c.holdQuota(entry.job.Spec)
	}
}

// placeTasks places a job's pending tasks, one after the other, until one finds no node.
func (c *cycle) placeTasks(entry queuedJob) {
	spec, quota := entry.job.Spec, c.teamQuota(entry.job.Spec.Team)
	need := resources.OfTask(spec)
	if c.finishedJobs[entry.id] > 0 || !c.usage.WithinLimit(quota, need) {
		return
	}
	if _, known := c.jobPreconditions[entry.id]; !known && !c.canAddPrecondition() {
		return
	}
	p := &jobPlacement{cycle: c, queuedJob: entry, spec: spec, quota: quota, need: need, zones: c.zoneCounts(entry.id)}
	p.mayPreempt = p.mayPreemptNow()
	p.searchesVictims = c.rng.Float64() < c.victims.searchShares[spec.Priority]
	p.drawSample()
	for task := c.jobs.firstIncomplete[p.id]; task < p.job.TaskCount && c.placed[p.id] < p.maxTasks; task++ {
		if c.backoff.probes(p.id) && len(c.view.Bindings[p.id])+c.placed[p.id] > 0 {
			return // one at a time until one succeeds
		}
		if p.isCompletedOrBound(task) {
			continue
		}
		if !c.usage.WithinLimit(quota, need) || !p.placeTask(task) {
			return
		}
	}
}

// mayPreemptNow reports whether other work may be stopped for the job. Capacity comes free all the
// time: work that may wait a little preempts none before that. Production work does. A stage
// whose priority is inherited from the pipeline's last job preempts only when its part of that
// deadline presses.
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

// isCompletedOrBound reports whether a task has nothing to be placed for.
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

// placeTask places a task; false when the job gets no more capacity in this cycle.
func (p *jobPlacement) placeTask(task int) bool {
	node := p.pickNode()
	victims := p.pickVictims(node)
	switch {
	case victims != nil:
		update := p.openGroup(victims.Node.Group)
		if update == nil || !p.hasRoomAfterStops(update, victims) {
			return false
		}
		p.preempt(update, victims, p.spec)
		node = victims.Node
	case node == nil:
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
	node.Used = node.Used.Plus(p.need, 1)
	// Marked as stopping, so that nothing in this cycle preempts it.
	node.Tasks = append(node.Tasks, placement.RunningTask{Job: p.spec, TaskIndex: task, Stopping: true, BoundSince: p.now})
	p.usage[p.quota.Name] = p.usage[p.quota.Name].Plus(p.need, 1)
	p.zones[node.Zone]++
	return true
}

// drawSample draws nodes with capacity for the job.
func (p *jobPlacement) drawSample() {
	p.sample, p.placedSinceSample = p.withoutFailed(p.candidates(p.spec)), 0
}

// withoutFailed leaves out the nodes on which the job has failed, while there are others that it
// may use: those that the zones of its other tasks exclude are none.
func (p *jobPlacement) withoutFailed(nodes []*placement.Node) []*placement.Node {
	if !p.backoff.hasFailed(p.id) {
		return nodes
	}
	usable := slices.DeleteFunc(slices.Clone(nodes), func(n *placement.Node) bool {
		return !n.AllowedFor(p.spec) || !p.zones.Allows(p.spec, n.Zone)
	})
	return p.backoff.withoutFailed(p.id, usable)
}

// pickNode is a node with capacity, or nil.
func (p *jobPlacement) pickNode() *placement.Node {
	node := placement.PickNode(p.spec, p.zones, p.nodes.offers, p.sample)
	if node == nil && p.placedSinceSample > 0 {
		p.drawSample()
		node = placement.PickNode(p.spec, p.zones, p.nodes.offers, p.sample)
	}
	if node == nil && p.searchesAllNodes() {
		p.sample, p.placedSinceSample = p.withoutFailed(p.allCandidates()), 0
		node = placement.PickNode(p.spec, p.zones, p.nodes.offers, p.sample)
	}
	if node == nil {
		node = placement.PickNode(p.spec, p.zones, p.nodes.offers, p.fallbackNodes(p.spec))
	}
	return node
}

const (
	// maxFullSearches is how many of the queued jobs may look at all nodes with capacity in a
	// cycle, drawn anew each time.
	maxFullSearches = 16
	// fullSearchAfterHeartbeats is for how long a job has waited when it is worth one.
	fullSearchAfterHeartbeats = 2
)

// allCandidates are the nodes that can take a task of the job, whichever groups are written; a
// sample if there are many.
func (p *jobPlacement) allCandidates() []*placement.Node {
	var list []*placement.Node
	for _, n := range p.nodes.withCapacity {
		if p.fits(n) {
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

// searchesAllNodes reports whether the job looks at all nodes with capacity, not at a sample alone:
// that may miss the few that fit for a long time.
func (p *jobPlacement) searchesAllNodes() bool {
	waited := p.now.Sub(p.job.RunnableSince().Time())
	return !p.isFull() && waited >= p.config.Params.Workers.Heartbeats(fullSearchAfterHeartbeats) &&
		p.rng.Float64() < p.fullSearchShare
}

// pickVictims is other work to stop or to move for a task, or nil. node is where the task would
// go without; nil: nowhere.
func (p *jobPlacement) pickVictims(node *placement.Node) *placement.Victims {
	if !p.searchesVictims {
		return nil
	}
	var victims *placement.Victims
	entitled := p.spec.Priority >= wire.PriorityHigh || p.usage.WithinGuarantee(p.quota, p.need)
	if p.mayPreempt && entitled && (node == nil || p.spec.Priority >= wire.PriorityHigh && p.fetchesTooLong(p.spec, node)) {
		nodes := p.occupiedNodes()
		if node != nil { // other work makes room only where the image is
			nodes = slices.DeleteFunc(slices.Clone(nodes), func(n *placement.Node) bool { return !n.HasImage(p.spec.Image) })
		}
		victims = placement.FindVictims(p.spec, p.zones, p.nodes.offers, nodes, placement.Quotas{Usage: p.usage, Of: p.teamQuota})
	}
	if node == nil && victims == nil && placement.CanBeMadeRoomFor(p.spec) {
		victims = p.findReplicaToMove()
	}
	return victims
}

// occupiedNodes are nodes to look for victims on.
func (p *jobPlacement) occupiedNodes() []*placement.Node {
	if p.occupied == nil {
		p.occupied = p.withoutFailed(p.preemptionCandidates(p.spec))
	}
	return p.occupied
}
