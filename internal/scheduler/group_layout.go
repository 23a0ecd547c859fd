package scheduler

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"lynxledge/internal/statecache"
)

// groupLayout tracks the sizes of the groups' records, and the groups whose records should be split.
type groupLayout struct {
	limits    recordLimits
	bytes     map[string]int  // sizes of the groups' records, without terminations
	oversized map[string]bool // groups whose records are close to or beyond the limit of a value
	full      map[string]bool // groups whose records have no room for bindings while their machines have capacity
}

func newGroupLayout(limits recordLimits) *groupLayout {
	return &groupLayout{limits: limits, bytes: map[string]int{}, oversized: map[string]bool{}, full: map[string]bool{}}
}

// observe updates the layout from a group's new record; nil if it was deleted. Full records are
// detected only when a job finds no node (jobPlacement.requestRecordRoom).
func (l *groupLayout) observe(name string, group *statecache.MachineGroup) {
	delete(l.oversized, name)
	if group == nil {
		delete(l.bytes, name)
		delete(l.full, name)
		return
	}
	l.bytes[name] = group.RetainedSize()
	if l.bytes[name] > l.limits.valueBytes(splitFillShare) {
		l.oversized[name] = true
	}
}

// isFull reports whether a group's record is large enough to be split for more bindings.
func (l *groupLayout) isFull(name string) bool {
	return l.bytes[name] > l.limits.valueBytes(fullSplitFillShare)
}

// openOversizedGroups adds the groups to be split to the transaction, as far as it has room: those
// whose records are, or may become, too large to be written, by growth or because the limit of a
// value has been lowered.
func (c *cycle) openOversizedGroups() {
	if len(c.layout.oversized) == 0 || !c.ownsAllTeams() {
		return
	}
	for name := range c.layout.oversized {
		group := c.view.Groups[name]
		if group == nil || len(group.Machines)+len(group.Completions) < 2 {
			delete(c.layout.oversized, name)
			continue
		}
		parts := min(statecache.MaxSplitParts(group.RetainedSize(), c.limits.store.ValueSizeLimit()), c.limits.txnOps()-1)
		if c.ops()+1+parts > c.limit {
			return // left to a cycle with more writes
		}
		c.openToSplit(name, parts)
	}
}

// openToSplit adds a group to the transaction, to be split into itself and at most parts new groups. It
// returns nil if the transaction has no room for it.
func (c *cycle) openToSplit(name string, parts int) *groupUpdate {
	c.splitParts[name] = parts
	update := c.openGroup(name)
	if update == nil {
		delete(c.splitParts, name)
	}
	return update
}

// halvingWrites is the number of writes that splitting a record in half takes.
const halvingWrites = 2

// openFullGroups adds the groups whose records keep tasks from machines with capacity to the
// transaction, in at most half of its writes, but at least one: to be split in half if all teams are
// assigned to this process, and otherwise to have their completions moved to completion chunks.
// Two halves take up less than a split by size leaves them, and no merge undoes it: together they are
// larger than merged groups may be.
func (c *cycle) openFullGroups() {
	for name := range c.layout.full {
		opened := c.ops()
		if opened+halvingWrites > c.limit || opened > 0 && opened+halvingWrites > c.limit/2 {
			return // left to a later cycle
		}
		delete(c.layout.full, name) // marked again if it is still full when a job needs room
		if !c.layout.isFull(name) || c.groupUpdates[name] != nil {
			continue
		}
		switch group := c.view.Groups[name]; {
		case len(group.Machines) > 1 && c.ownsAllTeams():
			c.halved[name] = c.openToSplit(name, halvingWrites-1) != nil
		case len(group.Completions) > 0:
			if update := c.openGroup(name); update != nil {
				c.compactCompletions(update)
				update.size = update.RetainedSize()
			}
		}
	}
}

// splitGroups splits the groups that were opened to be split, and adds the new groups to the
// commit. It returns false if a group can't be split.
func (c *cycle) splitGroups(txn *statecache.Commit) bool {
	for name := range c.splitParts {
		parts, err := c.splitGroup(name)
		if err != nil {
			slog.Error("group split failed, nothing written", "group", name, "bytes", c.groupUpdates[name].RetainedSize(), "error", err)
			delete(c.layout.oversized, name)
			return false
		}
		for _, part := range parts {
			slog.Debug("group split", "group", name, "new_group", part.Name, "machines", len(part.Machines))
			part.AddTo(txn) // the group that was split is added later, by addGroupsTo
		}
		maps.Copy(c.assignmentPreconditions, c.view.AssignmentRevisions())
	}
	return true
}

// splitGroup splits a group that was opened to be split, and returns the new groups.
func (c *cycle) splitGroup(name string) ([]*statecache.GroupUpdate, error) {
	update := c.groupUpdates[name]
	if c.halved[name] {
		return update.SplitInHalf(), nil
	}
	return update.Split(c.limits.store.ValueSizeLimit(), c.splitParts[name])
}

// mergeGroups merges groups that the cycle writes anyway, that belong to the same pool and whose
// contents fit into one record: fewer groups take fewer writes, so free capacity is known sooner.
// Only groups whose machines have no free capacity are merged: with two groups of new machines the
// record would be full long before the machines. As for splits, all teams must be assigned to this
// process (see ownsAllTeams).
func (c *cycle) mergeGroups(txn *statecache.Commit) {
	if len(c.groupUpdates) < 2 || !c.ownsAllTeams() {
		return
	}
	names := c.groupsBySize()
	merged := false
	for i, name := range names {
		if into := c.groupUpdates[name]; into != nil && c.splitParts[name] == 0 && c.fullyUsed(into) {
			merged = c.mergeInto(into, names[i+1:], txn) || merged
		}
	}
	if merged {
		maps.Copy(c.assignmentPreconditions, c.view.AssignmentRevisions())
	}
}

// groupsBySize returns the groups in the transaction by descending number of machines, since
// smaller groups are merged into larger ones.
func (c *cycle) groupsBySize() []string {
	names := slices.Collect(maps.Keys(c.groupUpdates))
	slices.SortFunc(names, func(a, b string) int {
		if more := len(c.groupUpdates[b].Machines) - len(c.groupUpdates[a].Machines); more != 0 {
			return more
		}
		return strings.Compare(a, b)
	})
	return names
}

// mergeInto merges into a group those of the others that may be merged and fit. It reports whether
// any was merged.
func (c *cycle) mergeInto(into *groupUpdate, others []string, txn *statecache.Commit) bool {
	merged := false
	size := into.EncodedSize()
	for _, name := range others {
		other := c.groupUpdates[name]
		if other == nil || !c.mayMerge(into, other) || size+other.EncodedSize() > c.limits.valueBytes(mergeFillShare) {
			continue
		}
		into.Merge(other.GroupUpdate)
		other.AddDeletionTo(txn)
		delete(c.groupUpdates, name)
		size = into.EncodedSize()
		merged = true
	}
	return merged
}

// mayMerge reports whether a group may be merged into another, apart from the size of the record.
func (c *cycle) mayMerge(into, other *groupUpdate) bool {
	return c.splitParts[other.Name] == 0 &&
		other.MachineType == into.MachineType && other.Zone == into.Zone && other.Spot == into.Spot &&
		!other.MustKeepKey() && c.fullyUsed(other)
}

// fullyUsed reports whether a group's record will hardly grow because all its machines have started
// and none has free capacity.
func (c *cycle) fullyUsed(update *groupUpdate) bool {
	return update.AllMachinesStarted() && !slices.ContainsFunc(update.Machines, func(rec *statecache.Machine) bool {
		n := c.nodes.node(rec.Name)
		return n != nil && n.HasCapacity()
	})
}
