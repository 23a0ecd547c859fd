package scheduler

import (
	"slices"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// jobPlacement is the placing of one job's tasks in a round.
type jobPlacement struct {
	*Scheduler
	cycle *cycle
	queuedJob
	spec  *wire.Job
	team  config.TeamQuota
	need  resources.Vector
	zones placement.ZoneCounts // of the job's tasks, those placed here included

	mayPreempt      bool // other work may be stopped for a task
	searchesVictims bool // it is this job's turn to look for places of other work

	sample            []*Node // with room, drawn anew when it is used up
	placedSinceSample int     // tasks placed since it was drawn
	occupied          []*Node // to look for places of other work on; drawn when first needed
}

// placeJob places what it can of a job.
func (p *Scheduler) placeJob(r *cycle, w queuedJob) {
	spec, team := w.job.Spec, p.teamQuota(w.job.Spec.Team)
	need := resources.OfTask(spec)
	if r.finishedJobs[w.id] > 0 || !r.usage.WithinLimit(team, need) {
		return
	}
	if _, known := r.jobPreconditions[w.id]; !known && !p.canAddPrecondition(r) {
		return
	}
	j := &jobPlacement{Scheduler: p, cycle: r, queuedJob: w, spec: spec, team: team, need: need, zones: p.zoneCountsInCycle(r, w.id)}
	j.mayPreempt = j.isPressing()
	j.searchesVictims = p.rng.Float64() < r.victimSearchShare[spec.Priority]
	j.sample = j.withoutFailedNodes(p.candidates(r, spec))
	for n := p.firstIncompleteTask[w.id]; n < w.job.TaskCount && r.placed[w.id] < w.maxTasks; n++ {
		if j.isFailing() && len(p.view.Bindings[w.id])+r.placed[w.id] > 0 {
			return // one at a time until one succeeds
		}
		if j.isCompletedOrBound(n) {
			continue
		}
		if !r.usage.WithinLimit(team, need) || !j.placeTask(n) {
			return
		}
	}
}

// isPressing tells whether other work may be stopped for the job. Room comes free all the
// time: work that may wait a little takes no other's place before that. Prod does. A stage
// whose priority is inherited from the pipeline's last job takes a place only when its
// part of that deadline presses.
func (j *jobPlacement) isPressing() bool {
	if j.mustStartSoon() {
		return true
	}
	if j.job.PriorityInherited {
		return false
	}
	within, _ := j.config.StartObjective(j.spec.Class)
	age := j.cycle.now.Sub(j.job.RunnableSince().Time())
	return j.spec.Priority == wire.PriorityProduction || age >= (within-j.config.Params.Workers.HeartbeatInterval/3)/2
}

// isFailing tells whether the job's tasks are tried one at a time.
func (j *jobPlacement) isFailing() bool {
	f := j.failures[j.id]
	return f != nil && f.count >= probeAfter
}

// withoutFailedNodes leaves out the machines on which the job has failed, while there are others.
func (j *jobPlacement) withoutFailedNodes(nodes []*Node) []*Node {
	f := j.failures[j.id]
	if f == nil {
		return nodes
	}
	rest := slices.DeleteFunc(slices.Clone(nodes), func(n *Node) bool { return f.machines[n.Name] })
	if len(rest) == 0 {
		return nodes
	}
	return rest
}

// isCompletedOrBound tells whether a task is done or bound.
func (j *jobPlacement) isCompletedOrBound(n int) bool {
	if j.view.IsCompleted(j.id, n) {
		if n == j.firstIncompleteTask[j.id] {
			j.firstIncompleteTask[j.id] = n + 1
		}
		return true
	}
	_, bound := j.view.Bindings[j.id][n]
	return bound
}

// placeTask places a task; false when the job gets no more places in this round.
func (j *jobPlacement) placeTask(n int) bool {
	node := j.pickNode()
	victims := j.pickVictims(node)
	switch {
	case victims != nil:
		d := j.openGroup(j.cycle, victims.Node.Group)
		if d == nil {
			return false
		}
		j.preempt(j.cycle, d, victims)
		node = victims.Node
	case node == nil:
		return false
	case j.advice == nil && j.worthWaiting(j.spec, node, j.cycle.now):
		return false
	}
	if !j.bind(j.cycle, node, j.queuedJob, n) {
		return false
	}
	j.placedSinceSample++
	node.Used = node.Used.Plus(j.need, 1)
	// Marked as stopping, so that nothing in this round preempts it.
	node.Tasks = append(node.Tasks, RunningTask{Job: j.spec, TaskIndex: n, Stopping: true, BoundSince: j.cycle.now})
	j.cycle.usage[j.team.Name] = j.cycle.usage[j.team.Name].Plus(j.need, 1)
	j.zones[node.Zone]++
	return true
}

// pickNode is a machine with room, or nil.
func (j *jobPlacement) pickNode() *Node {
	node := PickNode(j.spec, j.zones, j.zoneOffers, j.sample)
	if node == nil && j.placedSinceSample > 0 {
		j.sample, j.placedSinceSample = j.withoutFailedNodes(j.candidates(j.cycle, j.spec)), 0
		node = PickNode(j.spec, j.zones, j.zoneOffers, j.sample)
	}
	if node == nil {
		node = PickNode(j.spec, j.zones, j.zoneOffers, j.fallbackNodes(j.cycle, j.spec))
	}
	return node
}

// pickVictims is other work to stop or to move for a task, or nil. node is where the task
// would go without; nil: nowhere.
func (j *jobPlacement) pickVictims(node *Node) *PreemptionVictims {
	if !j.searchesVictims {
		return nil
	}
	var v *PreemptionVictims
	entitled := j.spec.Priority >= wire.PriorityHigh || j.cycle.usage.WithinGuarantee(j.team, j.need)
	if j.mayPreempt && entitled && (node == nil || j.spec.Priority >= wire.PriorityHigh && j.fetchesTooLong(j.spec, node)) {
		// Where its image is, other work makes room for it.
		where := j.occupiedNodes()
		if node != nil {
			where = withImage(where, j.spec.Image)
		}
		v = FindVictims(j.spec, j.zones, j.zoneOffers, where, j.cycle.usage, j.Scheduler.teamQuota)
	}
	if node == nil && v == nil && j.spec.SpreadZones && j.spec.IsService() {
		v = FindReplicaToMove(j.spec, j.zones, j.occupiedNodes())
	}
	return v
}

// occupiedNodes are machines to look for places of other work on.
func (j *jobPlacement) occupiedNodes() []*Node {
	if j.occupied == nil {
		j.occupied = j.withoutFailedNodes(j.preemptionCandidates(j.cycle, j.spec))
	}
	return j.occupied
}
