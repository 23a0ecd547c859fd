package statecache

import "lynxledge/wire"

// MachineTable is the part of a view that knows machine groups, their machines with the tasks
// that are bound to them, and machines that are being provisioned.
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

// MachineChange is what the change of a group means for one machine.
type MachineChange struct {
	Machine  wire.MachineID
	Old, New *Machine // nil: there is none
}

// replaceMachines replaces the machines of a group's former record with those of its next one,
// either of which may be nil, and returns what changed.
func (t *MachineTable) replaceMachines(former, next *MachineGroup) []MachineChange {
	changes := t.compareGroups(former, next)
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

// compareGroups returns the machines whose entries differ between two records of a group. Both
// list them by name, and share the entries that are equal.
func (t *MachineTable) compareGroups(former, next *MachineGroup) []MachineChange {
	var changes []MachineChange
	var before, after []*Machine
	if former != nil {
		before = former.Machines
	}
	if next != nil {
		after = next.Machines
	}
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && before[0].Name < after[0].Name:
			// A machine that another group has taken over still exists.
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

// unbindTasks removes the bindings of a machine's former entry, unless they are another's by now.
func (t *MachineTable) unbindTasks(name wire.MachineID, former *Machine) {
	if former == nil {
		return
	}
	for i := range former.Bindings {
		binding := &former.Bindings[i]
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
