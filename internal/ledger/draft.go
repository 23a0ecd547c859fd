package ledger

import (
	"slices"
	"strings"

	"lynxledge/wire"
)

// next copies the row for a rewrite, with a higher token.
func (b *Machine) next(term uint64) *Machine {
	n := *b
	n.Tasks = append([]BoundTask(nil), b.Tasks...)
	n.Token = max(b.Token+1, Token(term))
	n.row = ""
	return &n
}

// Draft is the next record of a group in the making.
type Draft struct {
	Group
	term  uint64
	fresh map[string]*Machine // rows rewritten
}

// Draft begins the next record of a group.
func (v *View) Draft(name string) *Draft {
	d := &Draft{Group: *v.Groups[name], term: v.CurrentTerm(), fresh: map[string]*Machine{}}
	d.Machines = slices.Clone(d.Machines)
	d.Departures = nil
	d.Marks = make(map[string][]int, len(d.Marks))
	for job, ns := range v.Groups[name].Marks {
		if v.Active(job) {
			d.Marks[job] = ns
		}
	}
	return d
}

// Edit is a machine's row, to be changed: its token is higher than before.
func (d *Draft) Edit(machine string) *Machine {
	if b := d.fresh[machine]; b != nil {
		return b
	}
	i, ok := d.index(machine)
	if !ok {
		return nil
	}
	b := d.Machines[i].next(d.term)
	d.Machines[i], d.fresh[machine] = b, b
	return b
}

// Drop takes a machine out that is gone.
func (d *Draft) Drop(machine string) {
	if i, ok := d.index(machine); ok {
		d.Machines = slices.Delete(d.Machines, i, i+1)
	}
}

// AdoptedName names the group of a machine that was found, not rented. A late
// copy of the commit that made it must find it still there: only what is rented
// is guarded on an intent besides, so an adopted machine's group is not absorbed.
func AdoptedName(machine string) string { return adoptedPrefix + machine }

const adoptedPrefix = "a."

// Lasting tells whether the group must keep its key while it has machines.
func (d *Draft) Lasting() bool { return strings.HasPrefix(d.Name, adoptedPrefix) }

// Settled tells whether all machines of the group have been up: from then on
// nothing but the billing of idle ones asks when they were rented.
func (d *Draft) Settled() bool {
	return !slices.ContainsFunc(d.Machines, func(b *Machine) bool { return b.Session == 0 })
}

// Absorb takes over everything of another group of the same pool, whose record
// is to go with the same commit. Every group costs writes of its own, and what
// is rented in place of lost machines would stay in groups of one.
func (d *Draft) Absorb(o *Draft) {
	for _, b := range o.Machines {
		n := *b
		n.row = "" // leaves out what the other group's rows had in common
		i, _ := d.index(n.Name)
		d.Machines = slices.Insert(d.Machines, i, &n)
	}
	for job, ns := range o.Marks {
		for _, n := range ns {
			d.Mark(job, n)
		}
	}
	d.Departures = append(d.Departures, o.Departures...)
	d.At = min(d.At, o.At)
}

// Mark notes a completed task.
func (d *Draft) Mark(job string, n int) {
	ns := d.Marks[job]
	if i, ok := slices.BinarySearch(ns, n); !ok {
		d.Marks[job] = slices.Insert(slices.Clone(ns), i, n)
	}
}

func (d *Draft) index(machine string) (int, bool) {
	return slices.BinarySearchFunc(d.Machines, machine, func(b *Machine, m string) int { return strings.Compare(b.Name, m) })
}

// Fit drops what is only worth knowing until the record is within limit
// bytes; false when it can't be made to fit.
func (d *Draft) Fit(limit int) bool {
	size := d.Size()
	for size > limit && len(d.Departures) > 0 {
		size -= GoneBytes(&d.Departures[len(d.Departures)-1])
		d.Departures = d.Departures[:len(d.Departures)-1]
	}
	return size <= limit
}

// Empty tells whether nothing is left that has to be kept.
func (d *Draft) Empty() bool { return len(d.Machines) == 0 && len(d.Marks) == 0 }

// Remove makes the removal of an absorbed group part of a commit.
func (d *Draft) Remove(c *Commit) {
	key := Key(KindBind, d.Name)
	c.Guards = append(c.Guards, wire.Guard{Key: key, Version: d.Stamp})
	c.Delete = append(c.Delete, key)
}

// AddTo makes the rewrite part of a commit, guarded on the group as it was.
func (d *Draft) AddTo(c *Commit) {
	if d.Empty() {
		d.Remove(c)
		return
	}
	key := Key(KindBind, d.Name)
	c.Guards = append(c.Guards, wire.Guard{Key: key, Version: d.Stamp})
	c.Puts = append(c.Puts, Put{Key: key, Rec: &d.Group})
}
