package statecache

import "lynxledge/wire"

// Shares of the limit of a value up to which bindings may fill a group's record. The rest is for
// completions and terminations when the tasks end.
const (
	BindingFillShare      = 0.8
	HighPriorityFillShare = 0.9 // for tasks of priority high and above, so that others don't use up their room
)

// BindingFillShareOf returns the share of the limit of a value up to which bindings of tasks of a
// priority may fill a group's record.
func BindingFillShareOf(priority wire.Priority) float64 {
	if priority >= wire.PriorityHigh {
		return HighPriorityFillShare
	}
	return BindingFillShare
}

// Sizes of parts of a group's record, in bytes: upper bounds unless called typical.
const (
	groupOverheadBytes      = 160 // all but machines, completions and names
	pendingAddressBytes     = 24  // the address of a machine that has none yet
	machineOverheadBytes    = 30  // typical machine without bindings
	bindingOverheadBytes    = 8   // typical binding, without its job's ID
	completionOverheadBytes = 8   // a job's completed tasks, without their indexes and the job's ID
	entrySeparatorBytes     = 3   // quotes and a comma
	typicalJobIDBytes       = len(jobPrefix) + 6
	typicalBindingBytes     = typicalJobIDBytes + bindingOverheadBytes
)

// BindingBytes returns the number of bytes that a binding typically adds to a record.
func BindingBytes(job wire.JobID) int { return len(job) + bindingOverheadBytes }

// RetainedSize returns an upper bound on the size of the record in bytes without its
// terminations, which the group's next update drops.
func (g *MachineGroup) RetainedSize() int {
	a := commonAffixes(g.Machines)
	n := emptyGroupBytes(g.MachineType, g.Zone, len(a.Name)+len(a.Address)+len(a.Port))
	for i, entry := range g.encodeMachines(a) {
		n += g.Machines[i].entryBytes(entry)
	}
	for job, tasks := range g.Completions {
		n += completionBytes(job, tasks)
	}
	return n
}

// SoleMachineSize returns an upper bound on the size in bytes of a record that holds the machine and
// nothing else: the least that splits of its group can reduce its record to.
func (m *Machine) SoleMachineSize() int {
	entry := m.encoded
	if entry == "" {
		entry = m.encode(affixes{})
	}
	return emptyGroupBytes(m.MachineType, m.Zone, len(m.Name)+len(m.Address)) + m.entryBytes(entry)
}

// BindingRoom returns how many more tasks can typically be bound to the machine within limit bytes
// of its record, once that holds no other machine.
func (m *Machine) BindingRoom(limit int) int {
	return max(0, (limit-m.SoleMachineSize())/typicalBindingBytes)
}

// BindingRoom returns how many more tasks the record typically has room for within limit bytes.
func (g *MachineGroup) BindingRoom(limit int) int {
	return max(0, (limit-g.RetainedSize())/typicalBindingBytes)
}

// emptyGroupBytes returns an upper bound on the size of a record without machines and completions,
// whose affixes have the given length.
func emptyGroupBytes(machineType string, zone wire.Zone, affixBytes int) int {
	return groupOverheadBytes + len(machineType) + len(zone) + affixBytes
}

// EncodedSize returns an upper bound on the size of the record in bytes.
func (g *MachineGroup) EncodedSize() int {
	n := g.RetainedSize()
	for i := range g.Terminations {
		n += TerminationBytes(&g.Terminations[i])
	}
	return n
}

// entryBytes returns an upper bound on the size of the machine's entry in a record, also after
// the machine has got its address.
func (m *Machine) entryBytes(entry string) int {
	if m.Address == "" {
		return len(entry) + entrySeparatorBytes + pendingAddressBytes
	}
	return len(entry) + entrySeparatorBytes
}

// completionBytes returns an upper bound on the size of a job's completed tasks in a record.
func completionBytes(job wire.JobID, tasks []int) int {
	return len(job) + completionOverheadBytes + len(encodeCompletions(tasks))
}

// MachinesPerGroup returns how many machines a new group may have so that its record typically
// stays within limit bytes when each machine holds tasksPerMachine tasks.
func MachinesPerGroup(limit int, tasksPerMachine float64) int {
	each := machineOverheadBytes + tasksPerMachine*float64(typicalBindingBytes)
	return max(1, int(float64(limit-groupOverheadBytes)/each))
}
