package autoscaler

import (
	"log/slog"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// updateOverheadBytes is the most that an update adds to a machine's record, with an allowance for
// the precondition and the key of a small group.
const updateOverheadBytes = 64

// updateBatch collects the machine updates of one transaction.
type updateBatch struct {
	writes    int // limit for this transaction: what the write budget allows now
	maxWrites int // the store's limit for any transaction
	groups    map[string]*groupUpdates
	bytes     int // upper bound of the size of the groups' records
	commit    statecache.Commit
}

// groupUpdates holds the machine updates of one group, and the group's next record.
type groupUpdates struct {
	update   *statecache.GroupUpdate
	machines map[wire.MachineID]machineUpdate
}

func newUpdateBatch(writes, maxWrites int) *updateBatch {
	return &updateBatch{writes: writes, maxWrites: maxWrites, groups: map[string]*groupUpdates{}}
}

func newGroupUpdates(update *statecache.GroupUpdate) *groupUpdates {
	return &groupUpdates{update: update, machines: map[wire.MachineID]machineUpdate{}}
}

// add applies a machine update to the group's next record.
func (g *groupUpdates) add(machine wire.MachineID, update machineUpdate) {
	update.applyTo(g.update, machine)
	g.machines[machine] = update
}

// group returns the updates of a group, which it adds to the batch if necessary. It returns nil if
// the transaction has no room for the group's record.
func (b *updateBatch) group(view *statecache.View, name string) *groupUpdates {
	if group := b.groups[name]; group != nil {
		return group
	}
	if len(b.groups) == b.writes {
		return nil
	}
	update := view.UpdateGroup(name)
	size := update.EncodedSize() + updateOverheadBytes*len(update.Machines)
	if len(b.groups) > 0 && b.bytes+size > statecache.MaxTxnRecordBytes {
		return nil
	}
	b.bytes += size
	group := newGroupUpdates(update)
	b.groups[name] = group
	return group
}

// assemble adds the records to the transaction. At most one record that has become larger than
// maxValueBytes is split, if the transaction has writes left for its parts; a split requires all
// assignments as preconditions. The updates of a record that can't be written are removed from
// the batch and stay pending; assemble reports whether there are any. If they counted as written,
// a machine to be scaled in would never be terminated.
func (b *updateBatch) assemble(maxValueBytes int, assignments map[wire.TeamName]uint64) (leftPending bool) {
	var large []string
	for name, group := range b.groups {
		if group.update.TrimToFit(maxValueBytes) {
			group.update.AddTo(&b.commit)
		} else {
			large = append(large, name)
		}
	}
	split := false
	for _, name := range large {
		if !split && b.addSplit(b.groups[name].update, maxValueBytes, len(assignments)) {
			split = true
			continue
		}
		leftPending = true
		delete(b.groups, name)
	}
	if split {
		b.commit.RequireAssignments(assignments)
	}
	return leftPending
}

// addSplit splits a record and adds it and its parts to the transaction. It returns false if that
// is not possible.
func (b *updateBatch) addSplit(update *statecache.GroupUpdate, maxValueBytes, assignments int) bool {
	maxParts := b.writes - b.commit.Ops() - 1
	parts, err := update.Split(maxValueBytes, maxParts)
	if err != nil && b.writes < b.maxWrites {
		return false // a transaction with more writes may have room
	}
	// A transaction may have a few preconditions per write, which is enough for the leader's,
	// those of the records, and at most maxWrites assignments.
	if err != nil || !update.TrimToFit(maxValueBytes) || assignments > b.maxWrites {
		slog.Error("group split failed, nothing written", "group", update.Name, "bytes", update.EncodedSize(), "error", err)
		return false
	}
	for _, part := range parts {
		slog.Debug("group split", "group", update.Name, "new_group", part.Name, "machines", len(part.Machines))
	}
	update.AddSplitTo(&b.commit, parts)
	return true
}
