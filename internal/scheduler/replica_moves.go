package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// replicaMoves holds the replicas that were stopped to be placed on another node. Until a replica is
// bound again, or its move has failed, capacity on its target node and its team's quota are held for
// it. At most one replica of a service is on the move.
type replicaMoves struct {
	holdTime time.Duration // time after which a move has failed
	active   map[wire.JobID]*activeMove
	claimed  []*placement.Node // nodes with claims
}

// activeMove is one replica on the move.
type activeMove struct {
	task           int
	source, target wire.MachineID
	attempt        uint64 // of the binding that was stopped
	service        *wire.Job
	deadline       time.Time
}

func newReplicaMoves(holdTime time.Duration) *replicaMoves {
	return &replicaMoves{holdTime: holdTime, active: map[wire.JobID]*activeMove{}}
}

// isMoving reports whether a replica of a service is on the move.
func (m *replicaMoves) isMoving(service wire.JobID) bool { return m.active[service] != nil }

// forget drops the move of a service's replica.
func (m *replicaMoves) forget(service wire.JobID) { delete(m.active, service) }

// renewClaims drops the moves that have ended or failed, and sets the claims of the others on their
// target nodes.
func (m *replicaMoves) renewClaims(view *statecache.View, nodes *nodeIndex, now time.Time) {
	for _, n := range m.claimed {
		n.Claims = nil
	}
	m.claimed = m.claimed[:0]
	for service, move := range m.active {
		target := nodes.node(move.target)
		if move.isRebound(view) {
			m.forget(service)
			continue
		}
		if now.After(move.deadline) || target == nil || !target.Schedulable {
			slog.Info("replica move failed", "task", wire.NewTaskID(service, move.task), "machine", move.source, "target", move.target)
			m.forget(service)
			continue
		}
		target.Claims = append(target.Claims, placement.Claim{Service: service, Need: resources.OfTask(move.service)})
		m.claimed = append(m.claimed, target)
	}
}

// isRebound reports whether the replica has a binding other than the one that was stopped, or that
// one was not stopped after all.
func (m *activeMove) isRebound(view *statecache.View) bool {
	machine, bound := view.Bindings[m.service.ID][m.task]
	if !bound {
		return false
	}
	binding := view.Machines[machine].FindBinding(m.service.ID, m.task)
	return machine != m.source || binding.Attempt != m.attempt || binding.StopToken == 0
}

// moveTarget returns the node with capacity held for a service's replica on the move; nil if there
// is no such replica or node.
func (c *cycle) moveTarget(service wire.JobID) *placement.Node {
	move := c.moves.active[service]
	if move == nil {
		return nil
	}
	return c.nodes.node(move.target)
}

// startMove records that a replica is stopped to be moved.
func (c *cycle) startMove(victims *placement.Victims, task *placement.RunningTask, binding *statecache.TaskBinding) {
	c.moves.active[task.Job.ID] = &activeMove{
		task:     task.TaskIndex,
		source:   victims.Node.Name,
		target:   victims.Target.Name,
		attempt:  binding.Attempt,
		service:  task.Job,
		deadline: c.now.Add(c.moves.holdTime),
	}
}

// moveNodes returns the nodes to move a replica from or to so that the job gets capacity: the nodes
// to search for victims and a sample of those with capacity.
func (p *jobPlacement) moveNodes() []*placement.Node {
	list := slices.Clone(p.victimSearchNodes())
	listed := make(map[*placement.Node]bool, len(list))
	for _, n := range list {
		listed[n] = true
	}
	for _, n := range placement.Sample(p.nodes.withCapacity, p.rng) {
		if !listed[n] && n.Schedulable && !p.backoff.avoids(n.Name, p.now) && p.advice.admits(n, p.spec) {
			list = append(list, n)
		}
	}
	sortByOrdinal(list)
	p.updateVictimFacts(list)
	return list
}

// anyNodeFits reports whether any node has capacity for a task of the job. Such a node may have been
// missed by the samples, or its group may not be in a transaction that is full.
func (p *jobPlacement) anyNodeFits() bool {
	return slices.ContainsFunc(p.nodes.withCapacity, func(n *placement.Node) bool { return p.fits(n) && p.recordTakes(n, 0) })
}

// findReplicaToMove returns a replica whose move to another node frees capacity for a task of the
// job. It returns nil if there is none, if a node has capacity without a move, or if the job has
// been short of a node for less time than the target takes to fetch the replica's image.
func (p *jobPlacement) findReplicaToMove() *placement.Victims {
	victims := p.findMoveWithRecordRoom(p.moveNodes())
	if victims == nil {
		return nil
	}
	replica := victims.Node.Tasks[victims.Tasks[0]].Job
	if p.shortages.waitingTime(p.id, p.now) < fetchTime(replica, victims.Target) || p.anyNodeFits() {
		victims.ReleaseClaim()
		return nil
	}
	p.moves.claimed = append(p.moves.claimed, victims.Target)
	return victims
}

// findMoveWithRecordRoom returns a replica on one of the nodes to move to another, in whose groups'
// records there is room to stop the replica, bind the task of the job and bind the replica again; nil if
// there is none.
func (p *jobPlacement) findMoveWithRecordRoom(nodes []*placement.Node) *placement.Victims {
	for {
		victims := placement.FindReplicaToMove(p.spec, p.zones, nodes)
		if victims == nil || p.recordTakes(victims.Node, stopBytes) && p.recordTakes(victims.Target, 0) {
			return victims
		}
		victims.ReleaseClaim()
		full := victims.Target
		if !p.recordTakes(victims.Node, stopBytes) {
			full = victims.Node
		}
		nodes = slices.DeleteFunc(slices.Clone(nodes), func(n *placement.Node) bool { return n.Group == full.Group })
	}
}

// replicaSet returns the data on a service that the search for victims needs, gathered once a cycle.
func (c *cycle) replicaSet(service *statecache.Job) *placement.ReplicaSet {
	id := service.Spec.ID
	set := c.victims.replicaSets[id]
	if set != nil {
		return set
	}
	set = &placement.ReplicaSet{Zones: make(placement.ZoneCounts, 2)}
	for task, machine := range c.view.Bindings[id] {
		rec := c.view.Machines[machine]
		set.Zones[rec.Zone]++
		if c.keepsReplica(rec, id, task) {
			set.Running++
		}
	}
	set.Immovable = set.Running < service.TaskCount || !c.canRebindReplica(service)
	c.victims.replicaSets[id] = set
	return set
}

// canRebindReplica reports whether a stopped replica of a service could be bound again immediately:
// none is on the move already, the service is neither in backoff nor held back after failures, and its
// team is within its limit.
func (c *cycle) canRebindReplica(service *statecache.Job) bool {
	id := service.Spec.ID
	return !c.moves.isMoving(id) && !c.backoff.delays(id, c.now) && !c.backoff.holdsBack(id) &&
		c.usage.WithinLimit(c.teamQuota(service.Spec.Team), resources.Vector{})
}

// keepsReplica reports whether a machine is schedulable and a replica bound to it is not being
// stopped or terminated.
func (c *cycle) keepsReplica(rec *statecache.Machine, service wire.JobID, task int) bool {
	if !rec.Schedulable() {
		return false
	}
	binding := rec.FindBinding(service, task)
	return binding != nil && binding.StopToken == 0 && c.remainsBound(rec.Name, service, task)
}

// remainsBound reports whether a task that is bound to a machine is still bound to it in the
// machine's next record.
func (c *cycle) remainsBound(machine wire.MachineID, job wire.JobID, task int) bool {
	update := c.groupUpdates[c.view.Machines[machine].Group]
	return update == nil || update.hasBinding(machine, job, task)
}

// holdMovingQuota counts unbound replicas on the move towards their teams' usage, so that other
// tasks don't use up the limit within which they are to be bound.
func (c *cycle) holdMovingQuota() {
	for id, move := range c.moves.active {
		if machine, bound := c.view.Bindings[id][move.task]; bound && c.remainsBound(machine, id, move.task) {
			continue
		}
		c.holdQuota(move.service)
	}
}

// holdQuota counts one replica of a service towards its team's usage.
func (c *cycle) holdQuota(service *wire.Job) {
	c.usage[service.Team] = c.usage[service.Team].AddScaled(resources.OfTask(service), 1)
	c.heldQuota[service.ID] = true
}

// releaseHeldQuota releases the quota held for a service's replica on the move, for the service to
// use. It reports whether any was held.
func (c *cycle) releaseHeldQuota(service *wire.Job) bool {
	if !c.heldQuota[service.ID] {
		return false
	}
	c.usage[service.Team] = c.usage[service.Team].AddScaled(resources.OfTask(service), -1)
	delete(c.heldQuota, service.ID)
	return true
}
