package autoscaler

import (
	"log/slog"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// updateDelayCycles is the delay of a flush, in planning cycles, so that updates of one group are
// written together.
const updateDelayCycles = 0.02

// updateQueue holds the machine updates that are pending.
type updateQueue struct {
	pending        map[wire.MachineID]machineUpdate
	commitInFlight bool
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{pending: map[wire.MachineID]machineUpdate{}}
}

// add adds an update if it supersedes the machine's pending one, which it then replaces. It reports
// whether the update was added.
func (q *updateQueue) add(machine wire.MachineID, update machineUpdate) bool {
	if !update.supersedes(q.pending[machine]) {
		return false
	}
	q.pending[machine] = update
	return true
}

// forget drops a machine's pending update.
func (q *updateQueue) forget(machine wire.MachineID) { delete(q.pending, machine) }

// removeCommitted drops updates that were written, unless others have replaced them meanwhile.
func (q *updateQueue) removeCommitted(updates map[wire.MachineID]machineUpdate) {
	for machine, update := range updates {
		if q.pending[machine] == update {
			delete(q.pending, machine)
		}
	}
}

// enqueueUpdate queues a machine update for the next transaction.
func (a *Autoscaler) enqueueUpdate(machine wire.MachineID, update machineUpdate) {
	if a.updates.add(machine, update) && !a.updates.commitInFlight {
		a.flushLater()
	}
}

// flushLater schedules a flush after a delay in which more updates may arrive.
func (a *Autoscaler) flushLater() {
	a.After(a.config.Operator.PlanningIntervals(updateDelayCycles), a.flush)
}

// flushWhenWritesAvailable schedules a flush for when that many more writes are available.
func (a *Autoscaler) flushWhenWritesAvailable(writes int) {
	a.After(a.writes.refillTime(writes), a.flush)
}

// flush writes the pending updates of as many groups as fit into one transaction.
func (a *Autoscaler) flush() {
	if a.updates.commitInFlight || len(a.updates.pending) == 0 {
		return
	}
	// The transaction is assembled only when it can be written: if assembled earlier, its
	// preconditions would be outdated by then.
	maxWrites := a.config.Params.Store.TxnOpsLimit()
	writes := min(maxWrites, a.writes.available())
	if writes < 1 {
		a.flushWhenWritesAvailable(1)
		return
	}
	batch := a.collectUpdates(writes, maxWrites)
	leftPending := batch.assemble(a.config.Params.Store.ValueSizeLimit(), a.view.AssignmentRevisions())
	if batch.commit.Ops() == 0 {
		if leftPending && writes < maxWrites {
			a.flushWhenWritesAvailable(maxWrites - writes)
		}
		return
	}
	a.updates.commitInFlight = true
	a.commit(batch.commit, func(outcome statecache.Outcome) { a.handleFlushed(batch, outcome) })
}

// handleFlushed continues after the commit of a batch.
func (a *Autoscaler) handleFlushed(batch *updateBatch, outcome statecache.Outcome) {
	a.updates.commitInFlight = false
	if outcome != statecache.Committed {
		if len(a.updates.pending) > 0 {
			a.flushLater()
		}
		return
	}
	for _, group := range batch.groups {
		a.updates.removeCommitted(group.machines)
		a.logScaleIn(group.machines)
	}
	a.terminateMachines()
	a.flush()
}

// collectUpdates applies pending updates to the next records of their groups, and drops those that
// are no longer needed. Removing a terminated machine requires no leadership; all other updates do.
func (a *Autoscaler) collectUpdates(writes, maxWrites int) *updateBatch {
	batch := newUpdateBatch(writes, maxWrites)
	lead, isLeader := a.leadership()
	needsLeadership := false
	for machine, update := range a.updates.pending {
		record := a.view.Machines[machine]
		if !update.stillNeeded(record) || !isLeader && !update.terminated {
			a.updates.forget(machine)
			continue
		}
		if group := batch.group(a.view, record.Group); group != nil {
			group.add(machine, update)
			needsLeadership = needsLeadership || !update.terminated
		}
	}
	if needsLeadership {
		batch.commit.Preconditions = append(batch.commit.Preconditions, lead.Precondition())
	}
	return batch
}

// logScaleIn logs those of the written updates that scale in a machine.
func (a *Autoscaler) logScaleIn(updates map[wire.MachineID]machineUpdate) {
	for machine, update := range updates {
		m := a.view.Machines[machine]
		if m == nil || !update.scaleIn {
			continue
		}
		slog.Info("scaling in machine",
			"machine", machine,
			"reason", update.drainReason,
			"tasks", len(m.Bindings),
			"age_seconds", (statecache.TimestampOf(time.Now())-m.ProvisionedAt)/1000,
			"machine_type", m.MachineType,
			"zone", m.Zone,
			"spot", m.Spot)
	}
}
