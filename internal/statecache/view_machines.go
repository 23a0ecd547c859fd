package statecache

import "lynxledge/wire"

// MachineTable is the part of a view that holds machine groups, their machines with the tasks
// bound to them, and the intents to provision machines.
type MachineTable struct {
	Groups              map[string]*MachineGroup
	Machines            map[wire.MachineID]*Machine
	Bindings            map[wire.JobID]map[int]wire.MachineID // the machine that a task is bound to, by job and task index
	ProvisioningIntents map[string]*ProvisioningIntent
}

func newMachineTable() MachineTable {
	return MachineTable{
		Groups:              map[string]*MachineGroup{},
		Machines:            map[wire.MachineID]*Machine{},
		Bindings:            map[wire.JobID]map[int]wire.MachineID{},
		ProvisioningIntents: map[string]*ProvisioningIntent{},
	}
}

// MachineChange is the change of one machine that results from the change of a group.
type MachineChange struct {
	Machine  wire.MachineID
	Old, New *Machine // Old is nil if the machine is new, New if it was removed
}

// replaceMachines replaces the machines of a group's previous record with those of its next one,
// either of which may be nil, and returns what changed.
func (t *MachineTable) replaceMachines(previous, next *MachineGroup) []MachineChange {
	changes := t.compareGroups(previous, next)
	for _, c := range changes {
		t.unbindTasks(c.Machine, c.Old)
		if c.New == nil {
			delete(t.Machines, c.Machine)
			continue
		}
		t.Machines[c.Machine] = c.New
		t.bindTasks(c.Machine, c.New)
	}
	return changes
}

// compareGroups returns the machines that differ between two records of a group. Both records are
// sorted by machine name, and share the machines whose entries are equal.
func (t *MachineTable) compareGroups(previous, next *MachineGroup) []MachineChange {
	var changes []MachineChange
	var before, after []*Machine
	if previous != nil {
		before = previous.Machines
	}
	if next != nil {
		after = next.Machines
	}
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && before[0].Name < after[0].Name:
			// Unless another group has taken over the machine, it is removed.
			if t.Machines[before[0].Name] == before[0] {
				changes = append(changes, MachineChange{before[0].Name, before[0], nil})
			}
			before = before[1:]
		case len(before) == 0 || after[0].Name < before[0].Name:
			changes = append(changes, MachineChange{after[0].Name, t.Machines[after[0].Name], after[0]})
			after = after[1:]
		default:
			if before[0] != after[0] {
				changes = append(changes, MachineChange{after[0].Name, before[0], after[0]})
			}
			before, after = before[1:], after[1:]
		}
	}
	return changes
}

// unbindTasks removes the bindings of a machine's previous entry, except those of tasks that have
// been bound to another machine since.
func (t *MachineTable) unbindTasks(name wire.MachineID, previous *Machine) {
	if previous == nil {
		return
	}
	for i := range previous.Bindings {
		binding := &previous.Bindings[i]
		if t.Bindings[binding.Job][binding.TaskIndex] == name {
			delete(t.Bindings[binding.Job], binding.TaskIndex)
			if len(t.Bindings[binding.Job]) == 0 {
				delete(t.Bindings, binding.Job)
			}
		}
	}
}

func (t *MachineTable) bindTasks(name wire.MachineID, machine *Machine) {
	for i := range machine.Bindings {
		binding := &machine.Bindings[i]
		if t.Bindings[binding.Job] == nil {
			t.Bindings[binding.Job] = map[int]wire.MachineID{}
		}
		t.Bindings[binding.Job][binding.TaskIndex] = name
	}
}
