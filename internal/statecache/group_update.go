package statecache

import (
	"slices"
	"strings"

	"lynxledge/wire"
)

// successor copies the row for a rewrite, with a higher token.
func (b *Machine) successor(term uint64) *Machine {
	n := *b
	n.Bindings = append([]TaskBinding(nil), b.Bindings...)
	n.FencingToken = max(b.FencingToken+1, FirstToken(term))
	n.encoded = ""
	return &n
}

// GroupUpdate is the next record of a group in the making.
type GroupUpdate struct {
	MachineGroup
	term    uint64
	updated map[wire.MachineID]*Machine // rows rewritten
}

// UpdateGroup begins the next record of a group.
func (v *View) UpdateGroup(name string) *GroupUpdate {
	d := &GroupUpdate{MachineGroup: *v.Groups[name], term: v.CurrentTerm(), updated: map[wire.MachineID]*Machine{}}
	d.Machines = slices.Clone(d.Machines)
	d.Terminations = nil
	d.Completions = make(map[wire.JobID][]int, len(d.Completions))
	for job, ns := range v.Groups[name].Completions {
		if v.Active(job) {
			d.Completions[job] = ns
		}
	}
	return d
}

// UpdateMachine is a machine's row, to be changed: its token is higher than before.
func (d *GroupUpdate) UpdateMachine(machine wire.MachineID) *Machine {
	if b := d.updated[machine]; b != nil {
		return b
	}
	i, ok := d.machineIndex(machine)
	if !ok {
		return nil
	}
	b := d.Machines[i].successor(d.term)
	d.Machines[i], d.updated[machine] = b, b
	return b
}

// RemoveMachine takes a machine out that is gone.
func (d *GroupUpdate) RemoveMachine(machine wire.MachineID) {
	if i, ok := d.machineIndex(machine); ok {
		d.Machines = slices.Delete(d.Machines, i, i+1)
	}
}

// AdoptedGroupName names the group of a machine that was found, not rented. A late
// copy of the commit that made it must find it still there: only what is rented
// is guarded on an intent besides, so an adopted machine's group is not absorbed.
func AdoptedGroupName(machine wire.MachineID) string { return adoptedGroupPrefix + string(machine) }

const adoptedGroupPrefix = "a."

// MustKeepKey tells whether the group must keep its key while it has machines.
func (d *GroupUpdate) MustKeepKey() bool { return strings.HasPrefix(d.Name, adoptedGroupPrefix) }

// AllMachinesStarted tells whether all machines of the group have been up: from then on
// nothing but the billing of idle ones asks when they were rented.
func (d *GroupUpdate) AllMachinesStarted() bool {
	return !slices.ContainsFunc(d.Machines, func(b *Machine) bool { return b.Incarnation == 0 })
}

// Merge takes over everything of another group of the same pool, whose record
// is to go with the same commit. Every group costs writes of its own, and what
// is rented in place of lost machines would stay in groups of one.
func (d *GroupUpdate) Merge(o *GroupUpdate) {
	for _, b := range o.Machines {
		n := *b
		n.encoded = "" // leaves out what the other group's rows had in common
		i, _ := d.machineIndex(n.Name)
		d.Machines = slices.Insert(d.Machines, i, &n)
	}
	for job, ns := range o.Completions {
		for _, n := range ns {
			d.MarkCompleted(job, n)
		}
	}
	d.Terminations = append(d.Terminations, o.Terminations...)
	d.ProvisionedAt = min(d.ProvisionedAt, o.ProvisionedAt)
}

// MarkCompleted notes a completed task.
func (d *GroupUpdate) MarkCompleted(job wire.JobID, n int) {
	ns := d.Completions[job]
	if i, ok := slices.BinarySearch(ns, n); !ok {
		d.Completions[job] = slices.Insert(slices.Clone(ns), i, n)
	}
}

func (d *GroupUpdate) machineIndex(machine wire.MachineID) (int, bool) {
	return slices.BinarySearchFunc(d.Machines, machine, func(b *Machine, m wire.MachineID) int { return strings.Compare(string(b.Name), string(m)) })
}

// TrimToFit drops what is only worth knowing until the record is within limit
// bytes; false when it can't be made to fit.
func (d *GroupUpdate) TrimToFit(limit int) bool {
	size := d.EncodedSize()
	for size > limit && len(d.Terminations) > 0 {
		size -= TerminationBytes(&d.Terminations[len(d.Terminations)-1])
		d.Terminations = d.Terminations[:len(d.Terminations)-1]
	}
	return size <= limit
}

// Empty tells whether nothing is left that has to be kept.
func (d *GroupUpdate) Empty() bool { return len(d.Machines) == 0 && len(d.Completions) == 0 }

// AddDeletionTo makes the removal of an absorbed group part of a commit.
func (d *GroupUpdate) AddDeletionTo(c *Commit) {
	key := Key(KindMachineGroup, d.Name)
	c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key, ModRevision: d.ModRevision})
	c.Deletes = append(c.Deletes, key)
}

// AddTo makes the rewrite part of a commit, guarded on the group as it was.
func (d *GroupUpdate) AddTo(c *Commit) {
	if d.Empty() {
		d.AddDeletionTo(c)
		return
	}
	key := Key(KindMachineGroup, d.Name)
	c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key, ModRevision: d.ModRevision})
	c.Puts = append(c.Puts, Put{Key: key, Record: &d.MachineGroup})
}
