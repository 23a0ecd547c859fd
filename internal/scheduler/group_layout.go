package scheduler

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"lynxledge/internal/statecache"
)

// groupLayout tracks the groups whose records should be split.
type groupLayout struct {
	limits    recordLimits
	oversized map[string]bool // groups whose records are close to or beyond the limit of a value
	full      map[string]bool // groups whose records have no room for bindings while their machines have capacity
}

func newGroupLayout(limits recordLimits) *groupLayout {
	return &groupLayout{limits: limits, oversized: map[string]bool{}, full: map[string]bool{}}
}

// observe updates the layout from a group's new record; nil if it was deleted. Full records are
// detected only when tasks are bound (cycle.markRecordFull).
func (l *groupLayout) observe(name string, group *statecache.MachineGroup) {
	delete(l.oversized, name)
	if group == nil {
		delete(l.full, name)
	} else if group.RetainedSize() > l.limits.valueBytes(splitFillShare) {
		l.oversized[name] = true
	}
}

// openOversizedGroups adds the groups to be split to the transaction, as far as it has room: those
// whose records are, or may become, too large to be written, by growth or because the limit of a
// value has been lowered, and in the same cycle those whose records are full.
func (c *cycle) openOversizedGroups() {
	if len(c.layout.oversized) == 0 || !c.ownsAllTeams() {
		return
	}
	for _, groups := range []map[string]bool{c.layout.oversized, c.layout.full} {
		for name := range groups {
			group := c.view.Groups[name]
			if group == nil || len(group.Machines)+len(group.Completions) < 2 {
				delete(groups, name)
				continue
			}
			if c.groupUpdates[name] != nil {
				continue
			}
			parts := min(statecache.MaxSplitParts(group.RetainedSize(), c.limits.store.ValueSizeLimit()), c.limits.txnOps()-1)
			if c.ops()+1+parts > c.limit {
				return // left to a cycle with more writes
			}
			c.splitParts[name] = parts
			if c.openGroup(name) == nil {
				delete(c.splitParts, name)
			}
		}
	}
}

// splitGroups splits the groups that openOversizedGroups opened, and adds the new groups to the
// commit. It returns false if a group can't be split.
func (c *cycle) splitGroups(txn *statecache.Commit) bool {
	for name, maxParts := range c.splitParts {
		update := c.groupUpdates[name]
		parts, err := update.Split(c.limits.store.ValueSizeLimit(), maxParts)
		if err != nil {
			slog.Error("group split failed, nothing written", "group", name, "bytes", update.RetainedSize(), "error", err)
			delete(c.layout.oversized, name)
			return false
		}
		for _, part := range parts {
			slog.Debug("group split", "group", name, "new_group", part.Name, "machines", len(part.Machines))
			part.AddTo(txn) // the group that was split is added later, by addGroupsTo
		}
		maps.Copy(c.assignmentPreconditions, c.view.AssignmentRevisions())
		delete(c.layout.full, name)
	}
	return true
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
