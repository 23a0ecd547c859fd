package scheduler

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"lynxledge/internal/statecache"
)

// ownsAllTeams tells whether all teams are handed to this process. Only then it moves
// machines from one record to another: a later assignment makes the guards fail, so
// that no other may miss what is bound to a machine on its way.
func (p *Scheduler) ownsAllTeams() bool {
	hands := len(p.view.Assignments)
	return hands > 0 && hands <= p.config.Params.Store.TxnOpsLimit() && len(p.ownAssignments()) == hands
}

// openOversizedGroups takes groups into the round whose records are, or may become, too large
// to be written: by what they hold, or since the limit of a value has fallen.
func (p *Scheduler) openOversizedGroups(r *cycle) {
	if len(p.oversizedGroups) == 0 || !p.ownsAllTeams() {
		return
	}
	for _, groups := range []map[string]bool{p.oversizedGroups, p.crowdedGroups} {
		for group := range groups {
			g := p.view.Groups[group]
			if g == nil || len(g.Machines)+len(g.Completions) < 2 {
				delete(groups, group)
				continue
			}
			if r.groupUpdates[group] != nil {
				continue
			}
			parts := min(statecache.MaxSplitParts(g.RetainedSize(), p.config.Params.Store.ValueSizeLimit()), p.config.Params.Store.TxnOpsLimit()-1)
			if r.ops()+1+parts > r.limit {
				return // in a round that has room for it
			}
			r.splitParts[group] = parts
			if p.openGroup(r, group) == nil {
				delete(r.splitParts, group)
			}
		}
	}
}

// splitGroups makes records that are too large several; false if one can't be split.
func (p *Scheduler) splitGroups(r *cycle, c *statecache.Commit) bool {
	for group, maxParts := range r.splitParts {
		d := r.groupUpdates[group]
		parts, err := d.Split(p.config.Params.Store.ValueSizeLimit(), maxParts)
		if err != nil {
			slog.Error("record can't be split; nothing is written", "group", group, "bytes", d.RetainedSize(), "err", err)
			delete(p.oversizedGroups, group)
			return false
		}
		for _, part := range parts {
			slog.Debug("group split", "group", group, "into", part.Name, "machines", len(part.Machines))
			part.AddTo(c) // the record that it comes from follows with the other drafts
		}
		maps.Copy(r.assignmentPreconditions, p.view.AssignmentRevisions())
		delete(p.crowdedGroups, group)
	}
	return true
}

// mergeGroups makes one record of groups that are written together anyhow, belong to
// one pool and fit: the fewer groups, the fewer writes, and the sooner a place
// that is free is known to be. Their machines must be full: two groups that begin
// fit into a record that is full long before the machines are. Only who places for all teams does: a later hand
// record makes the guards fail, so that no other may miss what is bound to a
// machine on its way from one record to the next.
func (p *Scheduler) mergeGroups(r *cycle, c *statecache.Commit) {
	if len(r.groupUpdates) < 2 || !p.ownsAllTeams() {
		return
	}
	names := slices.Collect(maps.Keys(r.groupUpdates))
	slices.SortFunc(names, func(a, b string) int { // the largest take over
		if d := len(r.groupUpdates[b].Machines) - len(r.groupUpdates[a].Machines); d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	merged := false
	for i, name := range names {
		into := r.groupUpdates[name]
		if into == nil || r.splitParts[name] > 0 || !p.fullyUsed(into) {
			continue
		}
		size := into.EncodedSize()
		for _, other := range names[i+1:] {
			d := r.groupUpdates[other]
			if d == nil || r.splitParts[other] > 0 || d.MachineType != into.MachineType || d.Zone != into.Zone || d.Spot != into.Spot || d.MustKeepKey() || !p.fullyUsed(d) {
				continue
			}
			if more := d.EncodedSize(); size+more <= p.valueSizeShare(mergeFillShare) {
				into.Merge(d.GroupUpdate)
				d.AddDeletionTo(c)
				delete(r.groupUpdates, other)
				size = into.EncodedSize()
				merged = true
			}
		}
	}
	if !merged {
		return
	}
	maps.Copy(r.assignmentPreconditions, p.view.AssignmentRevisions())
}

// fullyUsed tells whether a group's record will hardly grow: all its machines have
// been up, and none has room.
func (p *Scheduler) fullyUsed(d *groupUpdate) bool {
	return d.AllMachinesStarted() && !slices.ContainsFunc(d.Machines, func(b *statecache.Machine) bool {
		n := p.nodes.node(b.Name)
		return n != nil && n.HasCapacity()
	})
}
