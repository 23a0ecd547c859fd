package scheduler

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"lynxledge/internal/statecache"
)

// groupLayout knows the groups whose records should be split.
type groupLayout struct {
	limits    recordLimits
	oversized map[string]bool // groups whose records can hardly be written, or not at all
	full      map[string]bool // groups whose records are full before their machines are
}

func newGroupLayout(limits recordLimits) *groupLayout {
	return &groupLayout{limits: limits, oversized: map[string]bool{}, full: map[string]bool{}}
}

// observe looks at a group's new record, nil when it was deleted. Whether a group is crowded
// shows when tasks are bound.
func (l *groupLayout) observe(name string, group *statecache.MachineGroup) {
	delete(l.oversized, name)
	if group == nil {
		delete(l.full, name)
	} else if group.RetainedSize() > l.limits.valueBytes(splitFillShare) {
		l.oversized[name] = true
	}
}

// openOversizedGroups takes groups into the transaction whose records are, or may become, too
// large to be written: by what they hold, or since the limit of a value has fallen.
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
				return // in a cycle that has room for it
			}
			c.splitParts[name] = parts
			if c.openGroup(name) == nil {
				delete(c.splitParts, name)
			}
		}
	}
}

// splitGroups makes several groups of each one that is to be split; false if one can't be.
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
			part.AddTo(txn) // the record that it comes from follows with the other updates
		}
		maps.Copy(c.assignmentPreconditions, c.view.AssignmentRevisions())
		delete(c.layout.full, name)
	}
	return true
}

// mergeGroups makes one group of those that are written together anyhow, belong to one pool and
// fit into one record: the fewer groups, the fewer writes, and the sooner free capacity is
// known. Their machines must be full: two groups that begin would fill a record long before
// their machines. Only who places for all teams merges: a later assignment makes the
// preconditions fail, so that no other process may miss what is bound to a machine on its way
// from one record to the next.
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

// groupsBySize lists the groups in the transaction, those with the most machines first: they
// take over the others.
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

// mergeInto merges those of the other groups into one that may be and fit; false if none is.
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

// mayMerge reports whether a group may be merged into another one, if they fit into one record.
func (c *cycle) mayMerge(into, other *groupUpdate) bool {
	return c.splitParts[other.Name] == 0 &&
		other.MachineType == into.MachineType && other.Zone == into.Zone && other.Spot == into.Spot &&
		!other.MustKeepKey() && c.fullyUsed(other)
}

// fullyUsed reports whether a group's record will hardly grow: all its machines have been up, and
// none has capacity left.
func (c *cycle) fullyUsed(update *groupUpdate) bool {
	return update.AllMachinesStarted() && !slices.ContainsFunc(update.Machines, func(rec *statecache.Machine) bool {
		n := c.nodes.node(rec.Name)
		return n != nil && n.HasCapacity()
	})
}
