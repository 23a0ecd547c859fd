package statecache

import (
	"errors"
	"fmt"
	"slices"

	"lynxledge/wire"
)

// ErrTooManyParts reports that a split would need more new records than are allowed.
var ErrTooManyParts = errors.New("the record needs more parts than the transaction has room for")

const (
	splitPrefix = "s."
	// completionsPerMove is how many completed tasks of one job are moved together.
	completionsPerMove = 32

	// Records are filled to the share splitFill of the limit, so that they can grow. If that
	// takes too many new records, the share is raised in steps of splitFillStep.
	splitFill     = 0.7
	splitFillStep = 0.1
)

// MaxSplitParts returns how many new records to allow for the split of a record of this size.
func MaxSplitParts(size, limit int) int {
	partBytes := int(splitFill * float64(limit))
	return (size + partBytes - 1) / partBytes
}

// Split makes the group's record fit into limit bytes. It moves what does not fit to new groups,
// at most maxParts, and returns them; the group keeps its key and the rest. If more would be
// needed, it fails with ErrTooManyParts and the group does not change.
//
// The caller must commit all records in one transaction that is conditional on every assignment
// (AssignmentRevisions, RequireAssignments): a controller to which teams are assigned later has
// then seen the machines move, so it misses no task that is bound to them.
func (u *GroupUpdate) Split(limit, maxParts int) ([]*GroupUpdate, error) {
	for fill := splitFill; ; fill += splitFillStep {
		rest := *u
		parts := rest.splitToSize(int(min(fill, 1) * float64(limit)))
		if len(parts) <= maxParts {
			*u = rest
			return parts, nil
		}
		if fill >= 1 {
			return nil, ErrTooManyParts
		}
	}
}

// AddSplitTo adds the group's new record, and the parts that Split returned, to a commit. Views
// apply new groups first, so that no machine is missing in between.
func (u *GroupUpdate) AddSplitTo(c *Commit, parts []*GroupUpdate) {
	for _, part := range parts {
		part.AddTo(c)
	}
	u.AddTo(c)
}

// splitToSize moves what exceeds maxBytes to new groups. No record is larger than that unless it
// holds a single machine or the completions of a single move. Machines and completions are
// copied, not modified.
func (u *GroupUpdate) splitToSize(maxBytes int) []*GroupUpdate {
	split := newGroupSplit(u, maxBytes)
	for _, item := range u.takeContents() {
		item.addTo(split.partWithRoom(item.bytes))
	}
	return split.parts[1:]
}

// SplitInHalf moves about half of the group's contents, by bytes, to a new group, and returns it; the
// group keeps its key and the rest. Both hold something. It returns nothing if the contents can't be
// divided. The caller must commit both as described at Split.
func (u *GroupUpdate) SplitInHalf() []*GroupUpdate {
	part := newGroupSplit(u, 0).newPart()
	contents := u.takeContents()
	total := 0
	for i := range contents {
		total += contents[i].bytes
	}
	before := 0
	for _, item := range contents {
		if 2*before+item.bytes < total || len(contents) == 1 { // its middle is in the first half
			item.addTo(u)
		} else {
			item.addTo(part)
		}
		before += item.bytes
	}
	if part.Empty() {
		return nil
	}
	return []*GroupUpdate{part}
}

// groupItem is a part of a group's contents that a split moves as a whole: a machine, or completed
// tasks of a job.
type groupItem struct {
	machine *Machine // nil: completed tasks
	job     wire.JobID
	tasks   []int
	bytes   int // upper bound on its size in a record
}

// addTo adds the item to a group.
func (i *groupItem) addTo(u *GroupUpdate) {
	if i.machine != nil {
		u.Machines = append(u.Machines, i.machine)
		return
	}
	u.Completions[i.job] = append(u.Completions[i.job], i.tasks...)
}

// takeContents removes the machines and completions from the group, and returns them, the machines
// sorted by name and first. They are copied, not modified.
func (u *GroupUpdate) takeContents() []groupItem {
	items := make([]groupItem, 0, len(u.Machines)+len(u.Completions))
	whole := MachineGroup{Machines: u.Machines, affixes: u.affixes}
	for i, entry := range whole.encodeMachines(commonAffixes(u.Machines)) {
		moved := *u.Machines[i]
		moved.encoded = "" // the affixes may differ
		items = append(items, groupItem{machine: &moved, bytes: u.Machines[i].entryBytes(entry)})
	}
	for job, tasks := range u.Completions {
		for moved := range slices.Chunk(tasks, completionsPerMove) {
			items = append(items, groupItem{job: job, tasks: moved, bytes: completionBytes(job, moved)})
		}
	}
	u.Machines, u.Completions = nil, map[wire.JobID][]int{}
	return items
}

// groupSplit distributes the contents of a group among itself and new groups.
type groupSplit struct {
	group        *GroupUpdate
	firstMachine string // name of a machine that only this group had; the group's name if it had none
	maxBytes     int    // of a record
	emptyBytes   int    // of a record without machines and completions
	parts        []*GroupUpdate
	sizes        []int // upper bounds on the sizes of the parts' records
}

func newGroupSplit(u *GroupUpdate, maxBytes int) *groupSplit {
	affixBytes := 0
	for _, m := range u.Machines {
		affixBytes = max(affixBytes, len(m.Name)+len(m.Address))
	}
	firstMachine := u.Name
	if len(u.Machines) > 0 {
		firstMachine = string(u.Machines[0].Name)
	}
	empty := emptyGroupBytes(u.MachineType, u.Zone, affixBytes)
	return &groupSplit{
		group: u, firstMachine: firstMachine, maxBytes: maxBytes, emptyBytes: empty,
		parts: []*GroupUpdate{u}, sizes: []int{empty},
	}
}

// partWithRoom returns the first part that has room for size bytes or is empty, or a new part. It
// counts the bytes as used.
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

// newPart returns an empty group. Its name has never been used before: it contains the revision
// of the record that is split, and a machine that only that record had at that revision.
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
