package autoscaler

import (
	"log/slog"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// machineUpdate is what the leader wants written of a machine.
type machineUpdate struct {
	suspected   bool   // ask, through the record, whether anybody hears it
	drainReason string // bind nothing more to it, and say why
	scaleIn     bool   // and return it
	terminated  bool   // it is: the cloud answered its deletion
}

const (
	// updateOverheadBytes is what an edit adds to a machine's row at most, with the guard and
	// the key of a small group.
	updateOverheadBytes = 64

	// updateDelayCycles, in passes, lets edits of one group come together.
	updateDelayCycles = 0.02

	// drainReasonIdle is the one reason for which a machine is returned only as it was
	// seen: with nothing bound to it.
	drainReasonIdle = "idle"
)

// stillNeeded tells whether an edit still changes a machine's row.
func (e machineUpdate) stillNeeded(b *statecache.Machine) bool {
	switch {
	case b == nil:
		return false
	case e.terminated:
		return true
	case e.scaleIn:
		return !b.Terminating && (e.drainReason != drainReasonIdle || len(b.Bindings) == 0)
	case e.drainReason != "":
		return b.DrainReason == ""
	}
	return !b.Suspected
}

// applyTo changes a machine's row in the group's next record.
func (e machineUpdate) applyTo(d *statecache.GroupUpdate, machine wire.MachineID) {
	if e.terminated {
		d.RemoveMachine(machine)
		return
	}
	row := d.UpdateMachine(machine)
	row.Suspected = row.Suspected || e.suspected
	row.Terminating = row.Terminating || e.scaleIn
	if e.drainReason != "" {
		row.DrainReason = e.drainReason
	}
}

// enqueueUpdate has something written of a machine with the next transaction. What goes
// further takes the place of what was wanted before.
func (r *Autoscaler) enqueueUpdate(m wire.MachineID, e machineUpdate) {
	if old := r.pendingUpdates[m]; old.terminated || old.scaleIn && !e.terminated || old.drainReason != "" && e.suspected {
		return
	}
	r.pendingUpdates[m] = e
	if !r.commitInFlight {
		r.flushLater()
	}
}

func (r *Autoscaler) flushLater() {
	r.After(r.config.Operator.PlanningIntervals(updateDelayCycles), r.flush)
}

// flush writes the edits: as many groups as a transaction holds. That machines
// are gone needs no leadership; the rest does.
func (r *Autoscaler) flush() {
	if r.commitInFlight || len(r.pendingUpdates) == 0 {
		return
	}
	// What waits is put together when it can be written, not before: its guards
	// would be old by then.
	maxWrites := r.config.Params.Store.TxnOpsLimit()
	writes := min(maxWrites, int(r.writeLimiter.Tokens()))
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
	r.commitInFlight = true
	r.commit(batch.commit, func(out statecache.Outcome) {
		r.commitInFlight = false
		if out == statecache.Committed {
			for _, group := range batch.groups {
				r.updatesCommitted(group.machines)
			}
			r.terminateMachines()
			r.flush()
		} else if len(r.pendingUpdates) > 0 {
			r.flushLater()
		}
	})
}

// flushAfterWrites flushes once the pace allows so many more writes.
func (r *Autoscaler) flushAfterWrites(writes int) {
	r.After(config.Seconds(float64(writes)/float64(r.writeLimiter.Limit())), r.flush)
}

// updateBatch is one transaction of edits in the making.
type updateBatch struct {
	writes    int // that the transaction may have now
	maxWrites int // that a transaction may ever have
	groups    map[string]*groupUpdates
	commit    statecache.Commit
}

// groupUpdates are the edits of one group, and its next record.
type groupUpdates struct {
	update   *statecache.GroupUpdate
	machines map[wire.MachineID]machineUpdate // by machine
}

// collectUpdates applies edits to the next records of their groups, and drops those that
// nothing has to be written for any more.
func (r *Autoscaler) collectUpdates(writes, maxWrites int) *updateBatch {
	batch := &updateBatch{writes: writes, maxWrites: maxWrites, groups: map[string]*groupUpdates{}}
	lead, leads := r.leadership()
	needsLeader := false
	bytes := 0
	for m, e := range r.pendingUpdates {
		b := r.view.Machines[m]
		if !e.stillNeeded(b) || !leads && !e.terminated {
			delete(r.pendingUpdates, m)
			continue
		}
		group := batch.groups[b.Group]
		if group == nil {
			if len(batch.groups) == writes {
				continue
			}
			d := r.view.UpdateGroup(b.Group)
			size := d.EncodedSize() + updateOverheadBytes*len(d.Machines)
			if len(batch.groups) > 0 && bytes+size > statecache.MaxTxnRecordBytes {
				continue
			}
			bytes += size
			group = &groupUpdates{update: d, machines: map[wire.MachineID]machineUpdate{}}
			batch.groups[b.Group] = group
		}
		e.applyTo(group.update, m)
		group.machines[m] = e
		needsLeader = needsLeader || !e.terminated
	}
	if needsLeader {
		batch.commit.Preconditions = append(batch.commit.Preconditions, lead.Precondition())
	}
	return batch
}

// assemble puts the records into the transaction. One of them that has become larger
// than valueBytes is split, if the transaction has writes left for its parts; hands are
// the assignments that a split is guarded on. The edits of a record that can't be
// written leave the batch, and wait: taken for written, a closed machine was never
// returned. assemble tells whether there are any.
func (b *updateBatch) assemble(valueBytes int, hands map[wire.TeamName]uint64) (waiting bool) {
	var large []string
	for name, group := range b.groups {
		if group.update.TrimToFit(valueBytes) {
			group.update.AddTo(&b.commit)
		} else {
			large = append(large, name)
		}
	}
	split := false
	for _, name := range large {
		if !split && b.addSplit(b.groups[name].update, valueBytes, len(hands)) {
			split = true
			continue
		}
		waiting = true
		delete(b.groups, name)
	}
	if split {
		b.commit.RequireAssignments(hands)
	}
	return waiting
}

// addSplit makes a record and the parts that it is split into part of the transaction;
// false if they don't fit there.
func (b *updateBatch) addSplit(d *statecache.GroupUpdate, valueBytes, hands int) bool {
	maxParts := b.writes - b.commit.Ops() - 1
	parts, err := d.Split(valueBytes, maxParts)
	if err != nil && b.writes < b.maxWrites {
		return false // a larger transaction may have room
	}
	// A transaction has room for a few guards a write: the leader's, those of the
	// records, and as many assignments as writes.
	if err != nil || !d.TrimToFit(valueBytes) || hands > b.maxWrites {
		slog.Error("record too large; nothing is written", "group", d.Name, "bytes", d.EncodedSize(), "err", err)
		return false
	}
	for _, part := range parts {
		slog.Debug("group split", "group", d.Name, "into", part.Name, "machines", len(part.Machines))
	}
	d.AddSplitTo(&b.commit, parts)
	return true
}

// updatesCommitted forgets edits that stand in the state service.
func (r *Autoscaler) updatesCommitted(edits map[wire.MachineID]machineUpdate) {
	for m, e := range edits {
		if r.pendingUpdates[m] == e {
			delete(r.pendingUpdates, m)
		}
		if b := r.view.Machines[m]; b != nil && e.scaleIn {
			slog.Info("returning machine", "machine", m, "why", e.drainReason, "tasks", len(b.Bindings),
				"age_s", (statecache.TimestampOf(time.Now())-b.ProvisionedAt)/1000, "type", b.MachineType, "zone", b.Zone, "spot", b.Spot)
		}
	}
}
