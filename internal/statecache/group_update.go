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
	updated map[wire.MachineID]*Machine // entries that differ from the former record
}

// UpdateGroup begins the next record of a group: without the terminations of the former one, and
// without the completions of jobs that have ended.
func (v *View) UpdateGroup(name string) *GroupUpdate {
	former := v.Groups[name]
	u := &GroupUpdate{MachineGroup: *former, term: v.CurrentTerm(), updated: map[wire.MachineID]*Machine{}}
	u.Machines = slices.Clone(former.Machines)
	u.Terminations = nil
	u.Completions = make(map[wire.JobID][]int, len(former.Completions))
	for job, tasks := range former.Completions {
		if v.Active(job) {
			u.Completions[job] = tasks
		}
	}
	return u
}

// UpdateMachine returns a machine's entry to be changed, with a higher fencing token than before;
// nil if the group does not have the machine.
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

// AdoptedGroupName returns the name of the group of a machine that was found, not provisioned. A
// late copy of the commit that created the group must find it still there: only what is
// provisioned is conditional on an intent besides, so an adopted machine's group is not merged
// into another.
func AdoptedGroupName(machine wire.MachineID) string { return adoptedGroupPrefix + string(machine) }

// MustKeepKey tells whether the group must keep its key while it has machines.
func (u *GroupUpdate) MustKeepKey() bool { return strings.HasPrefix(u.Name, adoptedGroupPrefix) }

// AllMachinesStarted tells whether all machines of the group have been up: from then on nothing
// but the billing of idle ones depends on when they were provisioned.
func (u *GroupUpdate) AllMachinesStarted() bool {
	return !slices.ContainsFunc(u.Machines, func(m *Machine) bool { return m.Incarnation == 0 })
}

// Merge takes over the contents of another group of the same pool, which the same commit is to
// delete. Every group costs writes of its own, and replacements of lost machines would stay in
// groups of one.
func (u *GroupUpdate) Merge(other *GroupUpdate) {
	for _, m := range other.Machines {
		moved := *m
		moved.encoded = "" // with other affixes
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

// Empty tells whether nothing is left that has to be kept.
func (u *GroupUpdate) Empty() bool { return len(u.Machines) == 0 && len(u.Completions) == 0 }

// AddTo adds the group's new record to a commit, or its deletion if it is empty, conditional on
// the former record.
func (u *GroupUpdate) AddTo(c *Commit) {
	if u.Empty() {
		u.AddDeletionTo(c)
		return
	}
	c.Puts = append(c.Puts, Put{Key: u.addPreconditionTo(c), Record: &u.MachineGroup})
}

// AddDeletionTo adds the deletion of the group to a commit, conditional on the former record.
func (u *GroupUpdate) AddDeletionTo(c *Commit) {
	c.Deletes = append(c.Deletes, u.addPreconditionTo(c))
}

// addPreconditionTo makes a commit conditional on the former record, and returns its key.
func (u *GroupUpdate) addPreconditionTo(c *Commit) string {
	key := Key(KindMachineGroup, u.Name)
	c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key, ModRevision: u.ModRevision})
	return key
}
