package place

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"lynxledge/internal/statecache"
)

// placesAll tells whether all teams are handed to this process. Only then it moves
// machines from one record to another: a later assignment makes the guards fail, so
// that no other may miss what is bound to a machine on its way.
func (p *Placer) placesAll() bool {
	hands := len(p.view.Assignments)
	return hands > 0 && hands <= p.cfg.Params.Store.TxnOpsLimit() && len(p.mine()) == hands
}

// openLarge takes groups into the round whose records are, or may become, too large
// to be written: by what they hold, or since the limit of a value has fallen.
func (p *Placer) openLarge(r *round) {
	if len(p.largeRecords) == 0 || !p.placesAll() {
		return
	}
	for _, groups := range []map[string]bool{p.largeRecords, p.fullRecords} {
		for group := range groups {
			g := p.view.Groups[group]
			if g == nil || len(g.Machines)+len(g.Completions) < 2 {
				delete(groups, group)
				continue
			}
			if r.drafts[group] != nil {
				continue
			}
			parts := min(statecache.MaxSplitParts(g.RetainedSize(), p.cfg.Params.Store.ValueSizeLimit()), p.cfg.Params.Store.TxnOpsLimit()-1)
			if r.ops()+1+parts > r.limit {
				return // in a round that has room for it
			}
			r.parts[group] = parts
			if p.open(r, group) == nil {
				delete(r.parts, group)
			}
		}
	}
}

// split makes records that are too large several; false if one can't be split.
func (p *Placer) split(r *round, c *statecache.Commit) bool {
	for group, maxParts := range r.parts {
		d := r.drafts[group]
		parts, err := d.Split(p.cfg.Params.Store.ValueSizeLimit(), maxParts)
		if err != nil {
			slog.Error("record can't be split; nothing is written", "group", group, "bytes", d.RetainedSize(), "err", err)
			delete(p.largeRecords, group)
			return false
		}
		for _, part := range parts {
			slog.Debug("group split", "group", group, "into", part.Name, "machines", len(part.Machines))
			part.AddTo(c) // the record that it comes from follows with the other drafts
		}
		maps.Copy(r.assignments, p.view.AssignmentRevisions())
		delete(p.fullRecords, group)
	}
	return true
}

// merge makes one record of groups that are written together anyhow, belong to
// one pool and fit: the fewer groups, the fewer writes, and the sooner a place
// that is free is known to be. Their machines must be full: two groups that begin
// fit into a record that is full long before the machines are. Only who places for all teams does: a later hand
// record makes the guards fail, so that no other may miss what is bound to a
// machine on its way from one record to the next.
func (p *Placer) merge(r *round, c *statecache.Commit) {
	if len(r.drafts) < 2 || !p.placesAll() {
		return
	}
	names := slices.Collect(maps.Keys(r.drafts))
	slices.SortFunc(names, func(a, b string) int { // the largest take over
		if d := len(r.drafts[b].Machines) - len(r.drafts[a].Machines); d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	merged := false
	for i, name := range names {
		into := r.drafts[name]
		if into == nil || r.parts[name] > 0 || !p.grown(into) {
			continue
		}
		size := into.EncodedSize()
		for _, other := range names[i+1:] {
			d := r.drafts[other]
			if d == nil || r.parts[other] > 0 || d.MachineType != into.MachineType || d.Zone != into.Zone || d.Spot != into.Spot || d.MustKeepKey() || !p.grown(d) {
				continue
			}
			if more := d.EncodedSize(); size+more <= p.valueBytes(mergeFill) {
				into.Merge(d.GroupUpdate)
				d.AddDeletionTo(c)
				delete(r.drafts, other)
				size = into.EncodedSize()
				merged = true
			}
		}
	}
	if !merged {
		return
	}
	maps.Copy(r.assignments, p.view.AssignmentRevisions())
}

// grown tells whether a group's record will hardly grow: all its machines have
// been up, and none has room.
func (p *Placer) grown(d *draft) bool {
	return d.AllMachinesStarted() && !slices.ContainsFunc(d.Machines, func(b *statecache.Machine) bool {
		n := p.nodes[b.Name]
		return n != nil && n.HasRoom()
	})
}
