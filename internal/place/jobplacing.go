package place

import (
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

// jobPlacing is the placing of one job's tasks in a round.
type jobPlacing struct {
	*Placer
	round *round
	waiting
	spec  *wire.Job
	team  config.TeamQuota
	need  Resources
	zones Zones // of the job's tasks, those placed here included

	mayDisplace bool // other work may be stopped for a task
	searches    bool // it is this job's turn to look for places of other work

	sample      []*Node // with room, drawn anew when it is used up
	sinceSample int     // tasks placed since it was drawn
	occupied    []*Node // to look for places of other work on; drawn when first needed
}

// placeJob places what it can of a job.
func (p *Placer) placeJob(r *round, w waiting) {
	spec, team := w.job.Spec, p.team(w.job.Spec.Team)
	need := RequestOf(spec)
	if r.ends[w.id] > 0 || !r.tally.WithinLimit(team, need) {
		return
	}
	if _, known := r.jobs[w.id]; !known && !p.guardable(r) {
		return
	}
	j := &jobPlacing{Placer: p, round: r, waiting: w, spec: spec, team: team, need: need, zones: p.zonesInRound(r, w.id)}
	j.mayDisplace = j.pressing()
	j.searches = p.rng.Float64() < r.searchShare[spec.Priority]
	j.sample = j.avoidFailed(p.candidates(r, spec))
	for n := p.low[w.id]; n < w.job.TaskCount && r.placed[w.id] < w.most; n++ {
		if j.failing() && len(p.view.Bindings[w.id])+r.placed[w.id] > 0 {
			return // one at a time until one succeeds
		}
		if j.placedAlready(n) {
			continue
		}
		if !r.tally.WithinLimit(team, need) || !j.placeTask(n) {
			return
		}
	}
}

// pressing tells whether other work may be stopped for the job. Room comes free all the
// time: work that may wait a little takes no other's place before that. Prod does. A stage
// whose priority is inherited from the pipeline's last job takes a place only when its
// part of that deadline presses.
func (j *jobPlacing) pressing() bool {
	if j.hurried() {
		return true
	}
	if j.job.PriorityInherited {
		return false
	}
	within, _ := j.cfg.StartObjective(j.spec.Class)
	age := j.round.now.Sub(time.UnixMilli(j.job.RunnableSince())).Seconds()
	return j.spec.Priority == wire.PriorityProduction || age >= (within-j.cfg.Params.Workers.HeartbeatInterval/3)/2
}

// failing tells whether the job's tasks are tried one at a time.
func (j *jobPlacing) failing() bool {
	f := j.failed[j.id]
	return f != nil && f.count >= probeAfter
}

// avoidFailed leaves out the machines on which the job has failed, while there are others.
func (j *jobPlacing) avoidFailed(nodes []*Node) []*Node {
	f := j.failed[j.id]
	if f == nil {
		return nodes
	}
	rest := slices.DeleteFunc(slices.Clone(nodes), func(n *Node) bool { return f.machines[n.Name] })
	if len(rest) == 0 {
		return nodes
	}
	return rest
}

// placedAlready tells whether a task is done or bound.
func (j *jobPlacing) placedAlready(n int) bool {
	if j.view.IsCompleted(j.id, n) {
		if n == j.low[j.id] {
			j.low[j.id] = n + 1
		}
		return true
	}
	_, bound := j.view.Bindings[j.id][n]
	return bound
}

// placeTask places a task; false when the job gets no more places in this round.
func (j *jobPlacing) placeTask(n int) bool {
	node := j.pickNode()
	victims := j.pickVictims(node)
	switch {
	case victims != nil:
		d := j.open(j.round, victims.Node.Group)
		if d == nil {
			return false
		}
		j.stop(j.round, d, victims)
		node = victims.Node
	case node == nil:
		return false
	case j.advice == nil && j.worthWaiting(j.spec, node, j.round.now):
		return false
	}
	if !j.bind(j.round, node, j.waiting, n) {
		return false
	}
	j.sinceSample++
	node.Used = node.Used.Plus(j.need, 1)
	// Marked as stopping, so that nothing in this round preempts it.
	node.Tasks = append(node.Tasks, Task{Job: j.spec, N: n, Stops: true, Since: j.round.now})
	j.round.tally[j.team.Name] = j.round.tally[j.team.Name].Plus(j.need, 1)
	j.zones[node.Zone]++
	return true
}

// pickNode is a machine with room, or nil.
func (j *jobPlacing) pickNode() *Node {
	node := Pick(j.spec, j.zones, j.offers, j.sample)
	if node == nil && j.sinceSample > 0 {
		j.sample, j.sinceSample = j.avoidFailed(j.candidates(j.round, j.spec)), 0
		node = Pick(j.spec, j.zones, j.offers, j.sample)
	}
	if node == nil {
		node = Pick(j.spec, j.zones, j.offers, j.lastResort(j.round, j.spec))
	}
	return node
}

// pickVictims is other work to stop or to move for a task, or nil. node is where the task
// would go without; nil: nowhere.
func (j *jobPlacing) pickVictims(node *Node) *Victims {
	if !j.searches {
		return nil
	}
	var v *Victims
	entitled := j.spec.Priority >= wire.PriorityHigh || j.round.tally.WithinGuarantee(j.team, j.need)
	if j.mayDisplace && entitled && (node == nil || j.spec.Priority >= wire.PriorityHigh && j.fetchesTooLong(j.spec, node)) {
		// Where its image is, other work makes room for it.
		where := j.occupiedNodes()
		if node != nil {
			where = withImage(where, j.spec.Image)
		}
		v = Preempt(j.spec, j.zones, j.offers, where, j.round.tally, j.Placer.team)
	}
	if node == nil && v == nil && j.spec.SpreadZones && j.spec.IsService() {
		v = Move(j.spec, j.zones, j.occupiedNodes())
	}
	return v
}

// occupiedNodes are machines to look for places of other work on.
func (j *jobPlacing) occupiedNodes() []*Node {
	if j.occupied == nil {
		j.occupied = j.avoidFailed(j.others(j.round, j.spec))
	}
	return j.occupied
}
