package statecache

import (
	"slices"
	"strings"

	"lynxledge/wire"
)

// GroupUpdate builds the next record of a group.
type GroupUpdate struct {
	MachineGroup
	term    uint64
	updated map[wire.MachineID]*Machine // entries that UpdateMachine has replaced
}

// UpdateGroup begins the next record of a group, which must exist: a copy without the previous
// terminations and without the completions of jobs that have ended.
func (v *View) UpdateGroup(name string) *GroupUpdate {
	previous := v.Groups[name]
	u := &GroupUpdate{MachineGroup: *previous, term: v.CurrentTerm(), updated: map[wire.MachineID]*Machine{}}
	u.Machines = slices.Clone(previous.Machines)
	u.Terminations = nil
	u.Completions = make(map[wire.JobID][]int, len(previous.Completions))
	for job, tasks := range previous.Completions {
		if v.Active(job) {
			u.Completions[job] = tasks
		}
	}
	return u
}

// UpdateMachine returns the entry of a machine for the new record, with a higher fencing token than
// before, for the caller to modify; nil if the group does not have the machine.
func (u *GroupUpdate) UpdateMachine(machine wire.MachineID) *Machine {
	if next := u.updated[machine]; next != nil {
		return next
	}
	i, ok := u.machineIndex(machine)
	if !ok {
		return nil
	}
	next := u.Machines[i].successor(u.term)
	u.Machines[i], u.updated[machine] = next, next
	return next
}

// RemoveMachine removes a machine that no longer exists.
func (u *GroupUpdate) RemoveMachine(machine wire.MachineID) {
	if i, ok := u.machineIndex(machine); ok {
		u.Machines = slices.Delete(u.Machines, i, i+1)
	}
}

const adoptedGroupPrefix = "a."

// AdoptedGroupName returns the name of the group of an adopted machine, one that was found running
// without a record. Such a group must not be merged into another: a delayed copy of the commit
// that created it must fail because the key still exists. A group of provisioned machines may be
// merged, since the commit that creates it is also conditional on their provisioning intent.
func AdoptedGroupName(machine wire.MachineID) string { return adoptedGroupPrefix + string(machine) }

// MustKeepKey reports whether the group must keep its key while it has machines.
func (u *GroupUpdate) MustKeepKey() bool { return strings.HasPrefix(u.Name, adoptedGroupPrefix) }

// AllMachinesStarted reports whether all machines of the group have sent a heartbeat. From then on
// only the billing of idle machines depends on ProvisionedAt.
func (u *GroupUpdate) AllMachinesStarted() bool {
	return !slices.ContainsFunc(u.Machines, func(m *Machine) bool { return m.Incarnation == 0 })
}

// Merge adds the contents of another group of the same pool, which the same commit must delete.
// Every group costs writes of its own, and without merges the replacements of lost machines would
// stay in groups of one machine.
func (u *GroupUpdate) Merge(other *GroupUpdate) {
	for _, m := range other.Machines {
		moved := *m
		moved.encoded = "" // the affixes may differ
		i, _ := u.machineIndex(moved.Name)
		u.Machines = slices.Insert(u.Machines, i, &moved)
	}
	for job, tasks := range other.Completions {
		for _, task := range tasks {
			u.MarkCompleted(job, task)
		}
	}
	u.Terminations = append(u.Terminations, other.Terminations...)
	u.ProvisionedAt = min(u.ProvisionedAt, other.ProvisionedAt)
}

// MarkCompleted adds a completed task.
func (u *GroupUpdate) MarkCompleted(job wire.JobID, task int) {
	tasks := u.Completions[job]
	if i, ok := slices.BinarySearch(tasks, task); !ok {
		u.Completions[job] = slices.Insert(slices.Clone(tasks), i, task)
	}
}

func (u *GroupUpdate) machineIndex(machine wire.MachineID) (int, bool) {
	return slices.BinarySearchFunc(u.Machines, machine, func(m *Machine, name wire.MachineID) int {
		return strings.Compare(string(m.Name), string(name))
	})
}

// TrimToFit drops terminations until the record is within limit bytes. It returns false if
// that is not enough.
func (u *GroupUpdate) TrimToFit(limit int) bool {
	size := u.EncodedSize()
	for size > limit && len(u.Terminations) > 0 {
		last := len(u.Terminations) - 1
		size -= TerminationBytes(&u.Terminations[last])
		u.Terminations = u.Terminations[:last]
	}
	return size <= limit
}

// Empty reports whether the group has neither machines nor completions, so that its record need
// not be kept.
func (u *GroupUpdate) Empty() bool { return len(u.Machines) == 0 && len(u.Completions) == 0 }

// AddTo adds the group's new record to a commit, or its deletion if it is empty, conditional on
// the previous record.
func (u *GroupUpdate) AddTo(c *Commit) {
	if u.Empty() {
		u.AddDeletionTo(c)
		return
	}
	c.Puts = append(c.Puts, Put{Key: u.addPreconditionTo(c), Record: &u.MachineGroup})
}

// AddDeletionTo adds the deletion of the group to a commit, conditional on the previous record.
func (u *GroupUpdate) AddDeletionTo(c *Commit) {
	c.Deletes = append(c.Deletes, u.addPreconditionTo(c))
}

// addPreconditionTo makes a commit conditional on the previous record, and returns its key.
func (u *GroupUpdate) addPreconditionTo(c *Commit) string {
	key := Key(KindMachineGroup, u.Name)
	c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key, ModRevision: u.ModRevision})
	return key
}
