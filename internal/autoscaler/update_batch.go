package autoscaler

import (
	"log/slog"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// updateOverheadBytes is what an update adds to a machine's record at most, with the
// precondition and the key of a small group.
const updateOverheadBytes = 64

// updateBatch is one transaction of machine updates in the making.
type updateBatch struct {
	writes    int // that the transaction may have now
	maxWrites int // that a transaction may ever have
	groups    map[string]*groupUpdates
	bytes     int // that the records of the groups may take
	commit    statecache.Commit
}

// groupUpdates are the machine updates of one group, and its next record.
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

// add applies a machine update.
func (g *groupUpdates) add(machine wire.MachineID, update machineUpdate) {
	update.applyTo(g.update, machine)
	g.machines[machine] = update
}

// group returns the updates of a group, nil if the transaction has no room for it.
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

// assemble puts the records into the transaction. One of them that has become larger than
// maxValueBytes is split, if the transaction has writes left for its parts; assignments are
// preconditions of a split. The updates of a record that can't be written leave the batch, and
// wait: taken for written, a machine to be scaled in was never terminated. assemble tells
// whether there are any.
func (b *updateBatch) assemble(maxValueBytes int, assignments map[wire.TeamName]uint64) (waiting bool) {
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
		waiting = true
		delete(b.groups, name)
	}
	if split {
		b.commit.RequireAssignments(assignments)
	}
	return waiting
}

// addSplit makes a record and the parts that it is split into part of the transaction; false
// if they don't fit there.
func (b *updateBatch) addSplit(update *statecache.GroupUpdate, maxValueBytes, assignments int) bool {
	maxParts := b.writes - b.commit.Ops() - 1
	parts, err := update.Split(maxValueBytes, maxParts)
	if err != nil && b.writes < b.maxWrites {
		return false // a larger transaction may have room
	}
	// A transaction has room for a few preconditions per write: the leader's, those of the
	// records, and as many assignments as writes.
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
