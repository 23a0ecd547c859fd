package scheduler

import (
	"maps"
	"time"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// cycle is one scheduling cycle: a transaction with the changes shown by the evidence from
// heartbeats, the jobs that are done and the new bindings, and the actions to take once it is
// committed.
type cycle struct {
	*schedulingState
	transaction
	now time.Time

	usage      resources.Usage     // of the teams' tasks, including the cycle's changes
	placed     map[wire.JobID]int  // number of tasks bound in this cycle
	completed  map[wire.JobID]int  // number of tasks whose completion this cycle writes
	terminated int                 // number of tasks whose termination this cycle writes
	heldQuota  map[wire.JobID]bool // services with an unbound replica on the move that counts towards the team's usage

	fullSearchShare float64 // share of the queued jobs that may search all nodes with capacity

	commands    commandBatches
	onCommitted []func()

	victims       victimFacts
	updatedGroups updatedGroupNodes
	fullRecords   fullRecords
}

// newCycle begins a scheduling cycle of at most limit writes. usage is the teams' usage before
// the cycle.
func (s *schedulingState) newCycle(now time.Time, limit int, usage resources.Usage) *cycle {
	return &cycle{
		schedulingState: s,
		transaction:     newTransaction(limit),
		now:             now,
		usage:           maps.Clone(usage),
		placed:          map[wire.JobID]int{},
		completed:       map[wire.JobID]int{},
		commands:        newCommandBatches(),
		heldQuota:       map[wire.JobID]bool{},
		victims: victimFacts{
			updated:     map[*placement.Node]bool{},
			replicaSets: map[wire.JobID]*placement.ReplicaSet{},
		},
		fullRecords: newFullRecords(),
	}
}

// planCycle plans a scheduling cycle of at most limit writes. Jobs may search for preemption
// victims only if preempting is set.
func (s *schedulingState) planCycle(now time.Time, limit int, preempting bool) *cycle {
	assignments := s.ownAssignments()
	hasAssignments := len(assignments) > 0
	c := s.newCycle(now, limit, s.nodes.usage)
	s.moves.renewClaims(s.view, s.nodes, now)
	s.judgeFailedJobs(now)
	c.openOversizedGroups()
	c.openFullGroups()
	c.finishCompletedJobs(hasAssignments)
	if hasAssignments {
		s.consultAdvisor(now)
	}
	queue := s.jobs.pending(assignments, s.advice.current, now)
	if len(queue) > 0 && !c.excludeUncertainCommits() {
		queue = nil
	}
	c.applyPendingEvidence(hasAssignments, len(queue) > 0)
	for job := range c.completed {
		c.finishJob(job)
	}
	c.storeDependencyCancellations(hasAssignments)
	if preempting {
		c.victims.searchShares = victimSearchShares(queue)
	}
	c.fullSearchShare = min(1, maxFullSearches/float64(max(1, len(queue))))
	c.holdMovingQuota()
	for _, entry := range queue {
		c.placeJob(entry)
	}
	return c
}

// canAddPrecondition reports whether a precondition on another job's record fits. A transaction
// may have four preconditions per write; each write needs one on its own record, and each team's
// assignment may need one.
func (c *cycle) canAddPrecondition() bool {
	ops := c.limits.txnOps()
	return len(c.jobPreconditions) < min(2*ops, 3*ops-len(c.view.Assignments))
}

// openGroup adds a group's next record to the transaction, if it isn't part of it yet, and returns
// it. It returns nil if the group is unknown, the transaction is full or has no room for the
// record, or the record is too large to be written without a split.
func (c *cycle) openGroup(group string) *groupUpdate {
	if update := c.groupUpdates[group]; update != nil {
		return update
	}
	current := c.view.Groups[group]
	if c.isFull() || current == nil || c.splitParts[group] == 0 && c.layout.oversized[group] && current.RetainedSize() > c.limits.valueBytes(1) {
		return nil
	}
	update := &groupUpdate{GroupUpdate: c.view.UpdateGroup(group)}
	update.size = update.EncodedSize()
	if len(c.groupUpdates) > 0 && c.bytes()+update.size > statecache.MaxTxnRecordBytes {
		return nil
	}
	c.groupUpdates[group] = update
	for _, rec := range update.Machines {
		if n := c.nodes.node(rec.Name); n != nil {
			n.NeedsOwnWrite = false
		}
	}
	return update
}
