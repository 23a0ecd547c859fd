package statecache

import "lynxledge/wire"

// Sizes of parts of a group's record, in bytes: upper bounds unless called typical.
const (
	groupOverheadBytes      = 160 // all but machines, completions and names
	pendingAddressBytes     = 24  // the address of a machine that has none yet
	machineOverheadBytes    = 30  // typical machine without bindings
	bindingOverheadBytes    = 8   // typical binding, without its job's ID
	completionOverheadBytes = 8   // a job's completed tasks, without their indexes and the job's ID
	entrySeparatorBytes     = 3   // quotes and a comma
)

// BindingBytes returns the number of bytes that a binding typically adds to a record.
func BindingBytes(job wire.JobID) int { return len(job) + bindingOverheadBytes }

// RetainedSize returns an upper bound on the size of the record in bytes without its
// terminations, which the group's next update drops.
func (g *MachineGroup) RetainedSize() int {
	a := commonAffixes(g.Machines)
	n := groupOverheadBytes + len(g.MachineType) + len(g.Zone) + len(a.Name) + len(a.Address) + len(a.Port)
	for i, entry := range g.encodeMachines(a) {
		n += g.Machines[i].entryBytes(entry)
	}
	for job, tasks := range g.Completions {
		n += completionBytes(job, tasks)
	}
	return n
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
	each := machineOverheadBytes + tasksPerMachine*(float64(len(jobPrefix))+6+bindingOverheadBytes)
	return max(1, int(float64(limit-groupOverheadBytes)/each))
}
