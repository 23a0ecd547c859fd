package rent

import (
	"log/slog"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
)

// edit is what the leader wants written of a machine.
type edit struct {
	suspected bool   // ask, through the record, whether anybody hears it
	drain     string // bind nothing more to it, and say why
	close     bool   // and return it
	gone      bool   // it is: the cloud answered its deletion
}

const (
	// editBytes is what an edit adds to a machine's row at most, with the guard and
	// the key of a small group.
	editBytes = 64

	// editPause, in passes, lets edits of one group come together.
	editPause = 0.02

	// whyIdle is the one reason for which a machine is returned only as it was
	// seen: with nothing bound to it.
	whyIdle = "idle"
)

// wanted tells whether an edit still changes a machine's row.
func (e edit) wanted(b *statecache.Machine) bool {
	switch {
	case b == nil:
		return false
	case e.gone:
		return true
	case e.close:
		return !b.Terminating && (e.drain != whyIdle || len(b.Bindings) == 0)
	case e.drain != "":
		return b.DrainReason == ""
	}
	return !b.Suspected
}

// applyTo changes a machine's row in the group's next record.
func (e edit) applyTo(d *statecache.GroupUpdate, machine string) {
	if e.gone {
		d.RemoveMachine(machine)
		return
	}
	row := d.UpdateMachine(machine)
	row.Suspected = row.Suspected || e.suspected
	row.Terminating = row.Terminating || e.close
	if e.drain != "" {
		row.DrainReason = e.drain
	}
}

// edit has something written of a machine with the next transaction. What goes
// further takes the place of what was wanted before.
func (r *Renter) edit(m string, e edit) {
	if old := r.edits[m]; old.gone || old.close && !e.gone || old.drain != "" && e.suspected {
		return
	}
	r.edits[m] = e
	if !r.writing {
		r.flushLater()
	}
}

func (r *Renter) flushLater() {
	r.After(config.Seconds(r.cfg.Operator.PlanningInterval*editPause), r.flush)
}

// flush writes the edits: as many groups as a transaction holds. That machines
// are gone needs no leadership; the rest does.
func (r *Renter) flush() {
	if r.writing || len(r.edits) == 0 {
		return
	}
	// What waits is put together when it can be written, not before: its guards
	// would be old by then.
	maxWrites := r.cfg.Params.Store.TxnOpsLimit()
	writes := min(maxWrites, int(r.pace.Tokens()))
	if writes < 1 {
		r.flushAfterWrites(1)
		return
	}
	batch := r.draftEdits(writes, maxWrites)
	waiting := batch.assemble(r.cfg.Params.Store.ValueSizeLimit(), r.view.AssignmentRevisions())
	if batch.commit.Ops() == 0 {
		if waiting && writes < maxWrites {
			r.flushAfterWrites(maxWrites - writes)
		}
		return
	}
	r.writing = true
	r.commit(batch.commit, func(out statecache.Outcome) {
		r.writing = false
		if out == statecache.Committed {
			for _, group := range batch.groups {
				r.editsWritten(group.edits)
			}
			r.remove()
			r.flush()
		} else if len(r.edits) > 0 {
			r.flushLater()
		}
	})
}

// flushAfterWrites flushes once the pace allows so many more writes.
func (r *Renter) flushAfterWrites(writes int) {
	r.After(config.Seconds(float64(writes)/float64(r.pace.Limit())), r.flush)
}

// editBatch is one transaction of edits in the making.
type editBatch struct {
	writes    int // that the transaction may have now
	maxWrites int // that a transaction may ever have
	groups    map[string]*groupEdits
	commit    statecache.Commit
}

// groupEdits are the edits of one group, and its next record.
type groupEdits struct {
	draft *statecache.GroupUpdate
	edits map[string]edit // by machine
}

// draftEdits applies edits to the next records of their groups, and drops those that
// nothing has to be written for any more.
func (r *Renter) draftEdits(writes, maxWrites int) *editBatch {
	batch := &editBatch{writes: writes, maxWrites: maxWrites, groups: map[string]*groupEdits{}}
	lead, leads := r.lead()
	needsLeader := false
	bytes := 0
	for m, e := range r.edits {
		b := r.view.Machines[m]
		if !e.wanted(b) || !leads && !e.gone {
			delete(r.edits, m)
			continue
		}
		group := batch.groups[b.Group]
		if group == nil {
			if len(batch.groups) == writes {
				continue
			}
			d := r.view.UpdateGroup(b.Group)
			size := d.EncodedSize() + editBytes*len(d.Machines)
			if len(batch.groups) > 0 && bytes+size > statecache.MaxTxnRecordBytes {
				continue
			}
			bytes += size
			group = &groupEdits{draft: d, edits: map[string]edit{}}
			batch.groups[b.Group] = group
		}
		e.applyTo(group.draft, m)
		group.edits[m] = e
		needsLeader = needsLeader || !e.gone
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
func (b *editBatch) assemble(valueBytes int, hands map[string]uint64) (waiting bool) {
	var large []string
	for name, group := range b.groups {
		if group.draft.TrimToFit(valueBytes) {
			group.draft.AddTo(&b.commit)
		} else {
			large = append(large, name)
		}
	}
	split := false
	for _, name := range large {
		if !split && b.addSplit(b.groups[name].draft, valueBytes, len(hands)) {
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
func (b *editBatch) addSplit(d *statecache.GroupUpdate, valueBytes, hands int) bool {
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

// editsWritten forgets edits that stand in the state service.
func (r *Renter) editsWritten(edits map[string]edit) {
	for m, e := range edits {
		if r.edits[m] == e {
			delete(r.edits, m)
		}
		if b := r.view.Machines[m]; b != nil && e.close {
			slog.Info("returning machine", "machine", m, "why", e.drain, "tasks", len(b.Bindings),
				"age_s", (time.Now().UnixMilli()-b.ProvisionedAt)/1000, "type", b.MachineType, "zone", b.Zone, "spot", b.Spot)
		}
	}
}
