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

	// New records are filled to splitFill of the limit, so that they can grow. Where that takes
	// too many of them, they are filled further, in steps.
	splitFill     = 0.7
	splitFillStep = 0.1
)

// MaxSplitParts returns how many new records a split of a record of this size takes at most.
func MaxSplitParts(size, limit int) int {
	fill := int(splitFill * float64(limit))
	return (size + fill - 1) / fill
}

// Split makes the group fit into values of limit bytes: what does not fit is moved to new
// groups, at most maxParts, which it returns. The group keeps its key and the rest. Nothing
// changes if that can't be done.
//
// The caller commits all records in one transaction that is conditional on every assignment
// (AssignmentRevisions, RequireAssignments): a controller that teams are assigned to later has
// seen the machines move, so it misses nothing that is bound to them.
func (u *GroupUpdate) Split(limit, maxParts int) ([]*GroupUpdate, error) {
	for fill := splitFill; ; fill += splitFillStep {
		rest := *u
		parts := rest.splitToFill(int(min(fill, 1) * float64(limit)))
		if len(parts) <= maxParts {
			*u = rest
			return parts, nil
		}
		if fill >= 1 {
			return nil, ErrTooManyParts
		}
	}
}

// AddSplitTo adds the group's new record and its parts, as Split returned them, to a commit.
// Views apply new groups first, so no machine is missing in between.
func (u *GroupUpdate) AddSplitTo(c *Commit, parts []*GroupUpdate) {
	for _, part := range parts {
		part.AddTo(c)
	}
	u.AddTo(c)
}

// splitToFill moves what is beyond fill bytes to new groups, none of them larger than that,
// unless a single machine is. Machines and completions stay as they are.
func (u *GroupUpdate) splitToFill(fill int) []*GroupUpdate {
	machines, completions := u.Machines, u.Completions
	split := newGroupSplit(u, fill)
	u.Machines, u.Completions = nil, map[wire.JobID][]int{}

	whole := MachineGroup{Machines: machines, affixes: u.affixes}
	for i, entry := range whole.encodeMachines(commonAffixes(machines)) {
		part := split.partWithRoom(machines[i].entryBytes(entry))
		moved := *machines[i]
		moved.encoded = "" // with other affixes
		part.Machines = append(part.Machines, &moved)
	}
	for job, tasks := range completions {
		for some := range slices.Chunk(tasks, completionsPerPart) {
			part := split.partWithRoom(completionBytes(job, some))
			part.Completions[job] = append(part.Completions[job], some...)
		}
	}
	return split.parts[1:]
}

// groupSplit distributes the contents of a group over itself and new groups.
type groupSplit struct {
	group        *GroupUpdate
	firstMachine string // a machine that only this group had
	maxBytes     int
	emptyBytes   int // of a record without machines and completions
	parts        []*GroupUpdate
	sizes        []int // of the parts' records, at most
}

func newGroupSplit(u *GroupUpdate, fill int) *groupSplit {
	affixBytes := 0
	for _, m := range u.Machines {
		affixBytes = max(affixBytes, len(m.Name)+len(m.Address))
	}
	firstMachine := u.Name
	if len(u.Machines) > 0 {
		firstMachine = string(u.Machines[0].Name)
	}
	empty := groupOverheadBytes + len(u.MachineType) + len(u.Zone) + affixBytes
	return &groupSplit{
		group: u, firstMachine: firstMachine, maxBytes: fill, emptyBytes: empty,
		parts: []*GroupUpdate{u}, sizes: []int{empty},
	}
}

// partWithRoom returns the first part with room for so many bytes, or a new one.
func (s *groupSplit) partWithRoom(size int) *GroupUpdate {
	for i := range s.parts {
		if s.sizes[i]+size <= s.maxBytes || s.sizes[i] == s.emptyBytes {
			s.sizes[i] += size
			return s.parts[i]
		}
	}
	part := s.newPart()
	s.parts = append(s.parts, part)
	s.sizes = append(s.sizes, s.emptyBytes+size)
	return part
}

// newPart returns an empty group. Its name was never used before: it has the revision of the
// record that is split, and a machine that only that record had then.
func (s *groupSplit) newPart() *GroupUpdate {
	group := MachineGroup{
		Name:          fmt.Sprintf("%s%d.%d.%s", splitPrefix, s.group.ModRevision, len(s.parts), s.firstMachine),
		MachineType:   s.group.MachineType,
		Zone:          s.group.Zone,
		Spot:          s.group.Spot,
		ProvisionedAt: s.group.ProvisionedAt,
		Completions:   map[wire.JobID][]int{},
	}
	return &GroupUpdate{MachineGroup: group, term: s.group.term, updated: map[wire.MachineID]*Machine{}}
}
