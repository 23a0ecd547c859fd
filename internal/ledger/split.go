package ledger

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
	// marksPerPart is how many completed tasks of one job are moved together.
	marksPerPart = 32

	// New records are filled to splitFill of the limit, so that they can grow. Where
	// that takes too many of them, they are filled further, in steps.
	splitFill     = 0.7
	splitFillStep = 0.1
)

// PartsFor is how many new records a split of a record of this size takes at most.
func PartsFor(size, limit int) int {
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
func (d *Draft) Split(limit, maxParts int) ([]*Draft, error) {
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
func (d *Draft) AddSplitTo(c *Commit, parts []*Draft) {
	for _, part := range parts {
		part.AddTo(c)
	}
	d.AddTo(c)
}

// splitToFill moves what is beyond fill bytes to new groups, none of them larger than
// that, unless a single machine is. Machines and marks stay as they are.
func (d *Draft) splitToFill(fill int) []*Draft {
	machines, marks := d.Machines, d.Marks
	p := newPartition(d, fill)
	d.Machines, d.Marks = nil, map[string][]int{}

	whole := Group{Machines: machines, same: d.same}
	for i, row := range whole.rows(common(machines)) {
		size := len(row) + rowSeparatorBytes
		if machines[i].Addr == "" {
			size += addrBytes
		}
		part := p.firstWithRoom(size)
		moved := *machines[i]
		moved.row = "" // it leaves out what the other group's rows had in common
		part.Machines = append(part.Machines, &moved)
	}
	for job, tasks := range marks {
		for some := range slices.Chunk(tasks, marksPerPart) {
			part := p.firstWithRoom(len(job) + markBytes + len(encodeMarks(some)))
			part.Marks[job] = append(part.Marks[job], some...)
		}
	}
	return p.parts[1:]
}

// partition distributes the contents of a group over itself and new groups.
type partition struct {
	group *Draft
	from  string // a machine that only this group had
	fill  int
	empty int // bytes of a record without machines and marks
	parts []*Draft
	sizes []int // of the parts' records, at most
}

func newPartition(d *Draft, fill int) *partition {
	shared := 0 // what all rows have in common stands once in each record
	for _, machine := range d.Machines {
		shared = max(shared, len(machine.Name)+len(machine.Addr))
	}
	from := d.Name
	if len(d.Machines) > 0 {
		from = d.Machines[0].Name
	}
	empty := groupBytes + len(d.Type) + len(d.Zone) + shared
	return &partition{group: d, from: from, fill: fill, empty: empty, parts: []*Draft{d}, sizes: []int{empty}}
}

// firstWithRoom is the first part with room for so many bytes, or a new one.
func (p *partition) firstWithRoom(size int) *Draft {
	for i := range p.parts {
		if p.sizes[i]+size <= p.fill || p.sizes[i] == p.empty {
			p.sizes[i] += size
			return p.parts[i]
		}
	}
	part := p.newPart()
	p.parts = append(p.parts, part)
	p.sizes = append(p.sizes, p.empty+size)
	return part
}

// newPart makes an empty group. Its name was never used before: it holds the revision
// of the record that is split, and a machine that only that record had then.
func (p *partition) newPart() *Draft {
	group := Group{
		Name:  fmt.Sprintf("%s%d.%d.%s", splitPrefix, p.group.Stamp, len(p.parts), p.from),
		Type:  p.group.Type,
		Zone:  p.group.Zone,
		Spot:  p.group.Spot,
		At:    p.group.At,
		Marks: map[string][]int{},
	}
	return &Draft{Group: group, term: p.group.term, fresh: map[string]*Machine{}}
}

// AssignmentStamps are the stamps of all assignments, by team.
func (v *View) AssignmentStamps() map[string]uint64 {
	stamps := make(map[string]uint64, len(v.Assignments))
	for team, assignment := range v.Assignments {
		stamps[team] = assignment.Stamp
	}
	return stamps
}

// GuardAssignments guards a commit on assignments, given by team.
func (c *Commit) GuardAssignments(stamps map[string]uint64) {
	for team, stamp := range stamps {
		c.Guards = append(c.Guards, wire.Guard{Key: Key(KindAssignment, team), Version: stamp})
	}
}
