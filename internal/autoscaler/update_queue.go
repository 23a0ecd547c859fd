package autoscaler

import (
	"log/slog"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// updateDelayCycles, in planning cycles, is for how long the updates of one group are collected.
const updateDelayCycles = 0.02

// updateQueue holds the machine updates that wait to be written.
type updateQueue struct {
	pending        map[wire.MachineID]machineUpdate
	commitInFlight bool
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{pending: map[wire.MachineID]machineUpdate{}}
}

// add adds an update; what goes further takes the place of what was wanted before. It tells
// whether the update is pending now.
func (q *updateQueue) add(machine wire.MachineID, update machineUpdate) bool {
	if !update.supersedes(q.pending[machine]) {
		return false
	}
	q.pending[machine] = update
	return true
}

// forget drops the update of a machine that is gone.
func (q *updateQueue) forget(machine wire.MachineID) { delete(q.pending, machine) }

// committed drops updates that were written, unless others have taken their place.
func (q *updateQueue) committed(updates map[wire.MachineID]machineUpdate) {
	for machine, update := range updates {
		if q.pending[machine] == update {
			delete(q.pending, machine)
		}
	}
}

// enqueueUpdate has a machine update written with the next transaction.
func (r *Autoscaler) enqueueUpdate(machine wire.MachineID, update machineUpdate) {
	if r.updates.add(machine, update) && !r.updates.commitInFlight {
		r.flushLater()
	}
}

// flushLater flushes once more updates may have come together.
func (r *Autoscaler) flushLater() {
	r.After(r.config.Operator.PlanningIntervals(updateDelayCycles), r.flush)
}

// flushAfterWrites flushes once so many more writes are available.
func (r *Autoscaler) flushAfterWrites(writes int) { r.After(r.writes.timeFor(writes), r.flush) }

// flush writes pending updates: those of as many groups as a transaction holds.
func (r *Autoscaler) flush() {
	if r.updates.commitInFlight || len(r.updates.pending) == 0 {
		return
	}
	// The transaction is put together when it can be written, not before: its preconditions
	// would be old by then.
	maxWrites := r.config.Params.Store.TxnOpsLimit()
	writes := min(maxWrites, r.writes.available())
	if writes < 1 {
		r.flushAfterWrites(1)
		return
	}
	batch := r.collectUpdates(writes, maxWrites)
	waiting := batch.assemble(r.config.Params.Store.ValueSizeLimit(), r.view.AssignmentRevisions())
	if batch.commit.Ops() == 0 {
		if waiting && writes < maxWrites {
			r.flushAfterWrites(maxWrites - writes)
		}
		return
	}
	r.updates.commitInFlight = true
	r.commit(batch.commit, func(outcome statecache.Outcome) { r.handleFlushed(batch, outcome) })
}

// handleFlushed goes on after the commit of a batch.
func (r *Autoscaler) handleFlushed(batch *updateBatch, outcome statecache.Outcome) {
	r.updates.commitInFlight = false
	if outcome != statecache.Committed {
		if len(r.updates.pending) > 0 {
			r.flushLater()
		}
		return
	}
	for _, group := range batch.groups {
		r.updates.committed(group.machines)
		r.logScaleIn(group.machines)
	}
	r.terminateMachines()
	r.flush()
}

// collectUpdates applies pending updates to the next records of their groups, and drops those
// that nothing has to be written for any more. That machines are gone needs no leadership; the
// rest does.
func (r *Autoscaler) collectUpdates(writes, maxWrites int) *updateBatch {
	batch := newUpdateBatch(writes, maxWrites)
	lead, leads := r.leadership()
	needsLeadership := false
	for machine, update := range r.updates.pending {
		record := r.view.Machines[machine]
		if !update.stillNeeded(record) || !leads && !update.terminated {
			r.updates.forget(machine)
			continue
		}
		if group := batch.group(r.view, record.Group); group != nil {
			group.add(machine, update)
			needsLeadership = needsLeadership || !update.terminated
		}
	}
	if needsLeadership {
		batch.commit.Preconditions = append(batch.commit.Preconditions, lead.Precondition())
	}
	return batch
}

// logScaleIn logs which of the updates written scale in a machine.
func (r *Autoscaler) logScaleIn(updates map[wire.MachineID]machineUpdate) {
	for machine, update := range updates {
		m := r.view.Machines[machine]
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
