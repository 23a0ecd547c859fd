package statecache

import (
	"errors"
	"fmt"
	"slices"

	"lynxledge/wire"
)

// ErrTooManyParts says that a record can't be split into as few records as are allowed.
var ErrTooManyParts = errors.New("the record needs more parts than the transaction has room for")

const (
	splitPrefix = "s."
	// completionsPerPart is how many completed tasks of one job are moved together.
	completionsPerPart = 32

	// New records are filled to splitFill of the limit, so that they can grow. Where
	// that takes too many of them, they are filled further, in steps.
	splitFill     = 0.7
	splitFillStep = 0.1
)

// MaxSplitParts is how many new records a split of a record of this size takes at most.
func MaxSplitParts(size, limit int) int {
	fill := int(splitFill * float64(limit))
	return (size + fill - 1) / fill
}

// Split makes the group fit into values of limit bytes: what doesn't fit goes to new
// groups, at most maxParts, which the result lists. The group keeps its key and the
// rest. Nothing is changed if that can't be done.
//
// The caller commits all records in one transaction that is guarded on every assignment
// (AssignmentStamps, GuardAssignments): a controller that teams are assigned to later has
// seen the machines move, so it misses nothing that is bound to them.
func (d *GroupUpdate) Split(limit, maxParts int) ([]*GroupUpdate, error) {
	for fill := splitFill; ; fill += splitFillStep {
		rest := *d
		parts := rest.splitToFill(int(min(fill, 1) * float64(limit)))
		if len(parts) <= maxParts {
			*d = rest
			return parts, nil
		}
		if fill >= 1 {
			return nil, ErrTooManyParts
		}
	}
}

// AddSplitTo makes the group's rewrite and its parts, as Split returned them, part of
// a commit. Views see new records first, so no machine is missing in between.
func (d *GroupUpdate) AddSplitTo(c *Commit, parts []*GroupUpdate) {
	for _, part := range parts {
		part.AddTo(c)
	}
	d.AddTo(c)
}

// splitToFill moves what is beyond fill bytes to new groups, none of them larger than
// that, unless a single machine is. Machines and marks stay as they are.
func (d *GroupUpdate) splitToFill(fill int) []*GroupUpdate {
	machines, marks := d.Machines, d.Completions
	p := newGroupSplit(d, fill)
	d.Machines, d.Completions = nil, map[wire.JobID][]int{}

	whole := MachineGroup{Machines: machines, affixes: d.affixes}
	for i, row := range whole.encodeMachines(commonAffixes(machines)) {
		size := len(row) + machineSeparatorBytes
		if machines[i].Address == "" {
			size += pendingAddressBytes
		}
		part := p.firstWithRoom(size)
		moved := *machines[i]
		moved.encoded = "" // it leaves out what the other group's rows had in common
		part.Machines = append(part.Machines, &moved)
	}
	for job, tasks := range marks {
		for some := range slices.Chunk(tasks, completionsPerPart) {
			part := p.firstWithRoom(len(job) + completionOverheadBytes + len(encodeCompletions(some)))
			part.Completions[job] = append(part.Completions[job], some...)
		}
	}
	return p.parts[1:]
}

// groupSplit distributes the contents of a group over itself and new groups.
type groupSplit struct {
	group        *GroupUpdate
	firstMachine string // a machine that only this group had
	maxBytes     int
	emptyBytes   int // bytes of a record without machines and marks
	parts        []*GroupUpdate
	sizes        []int // of the parts' records, at most
}

func newGroupSplit(d *GroupUpdate, fill int) *groupSplit {
	shared := 0 // what all rows have in common stands once in each record
	for _, machine := range d.Machines {
		shared = max(shared, len(machine.Name)+len(machine.Address))
	}
	from := d.Name
	if len(d.Machines) > 0 {
		from = string(d.Machines[0].Name)
	}
	empty := groupOverheadBytes + len(d.MachineType) + len(d.Zone) + shared
	return &groupSplit{group: d, firstMachine: from, maxBytes: fill, emptyBytes: empty, parts: []*GroupUpdate{d}, sizes: []int{empty}}
}

// firstWithRoom is the first part with room for so many bytes, or a new one.
func (p *groupSplit) firstWithRoom(size int) *GroupUpdate {
	for i := range p.parts {
		if p.sizes[i]+size <= p.maxBytes || p.sizes[i] == p.emptyBytes {
			p.sizes[i] += size
			return p.parts[i]
		}
	}
	part := p.newPart()
	p.parts = append(p.parts, part)
	p.sizes = append(p.sizes, p.emptyBytes+size)
	return part
}

// newPart makes an empty group. Its name was never used before: it holds the revision
// of the record that is split, and a machine that only that record had then.
func (p *groupSplit) newPart() *GroupUpdate {
	group := MachineGroup{
		Name:          fmt.Sprintf("%s%d.%d.%s", splitPrefix, p.group.ModRevision, len(p.parts), p.firstMachine),
		MachineType:   p.group.MachineType,
		Zone:          p.group.Zone,
		Spot:          p.group.Spot,
		ProvisionedAt: p.group.ProvisionedAt,
		Completions:   map[wire.JobID][]int{},
	}
	return &GroupUpdate{MachineGroup: group, term: p.group.term, updated: map[wire.MachineID]*Machine{}}
}

// AssignmentRevisions are the stamps of all assignments, by team.
func (v *View) AssignmentRevisions() map[wire.TeamName]uint64 {
	stamps := make(map[wire.TeamName]uint64, len(v.Assignments))
	for team, assignment := range v.Assignments {
		stamps[team] = assignment.ModRevision
	}
	return stamps
}

// RequireAssignments guards a commit on assignments, given by team.
func (c *Commit) RequireAssignments(stamps map[wire.TeamName]uint64) {
	for team, stamp := range stamps {
		c.Preconditions = append(c.Preconditions, wire.Precondition{Key: Key(KindAssignment, string(team)), ModRevision: stamp})
	}
}
