package statecache

import "lynxledge/wire"

// Bytes that parts of a group's record take at most.
const (
	groupOverheadBytes      = 160 // besides machines, completions and names
	pendingAddressBytes     = 24  // an address that is to come
	machineOverheadBytes    = 30  // a machine without bindings, as a rule
	bindingOverheadBytes    = 8   // a binding, besides its job's ID
	completionOverheadBytes = 8   // a job's completed tasks, besides their indexes and the job's ID
	entrySeparatorBytes     = 3   // quotes and a comma
)

// BindingBytes returns what a binding adds to a record.
func BindingBytes(job wire.JobID) int { return len(job) + bindingOverheadBytes }

// RetainedSize is at most what the record will take once its terminations are gone.
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

// EncodedSize is at most the record's size in bytes.
func (g *MachineGroup) EncodedSize() int {
	n := g.RetainedSize()
	for i := range g.Terminations {
		n += TerminationBytes(&g.Terminations[i])
	}
	return n
}

// entryBytes is at most what the machine's entry takes of a record, now and with an address.
func (m *Machine) entryBytes(entry string) int {
	if m.Address == "" {
		return len(entry) + entrySeparatorBytes + pendingAddressBytes
	}
	return len(entry) + entrySeparatorBytes
}

// completionBytes is at most what completed tasks of a job take of a record.
func completionBytes(job wire.JobID, tasks []int) int {
	return len(job) + completionOverheadBytes + len(encodeCompletions(tasks))
}

// MachinesPerGroup returns how many machines a group may begin with so that its record stays
// within limit bytes when each holds some tasks.
func MachinesPerGroup(limit int, tasksPerMachine float64) int {
	each := machineOverheadBytes + tasksPerMachine*(float64(len(jobPrefix))+6+bindingOverheadBytes)
	return max(1, int(float64(limit-groupOverheadBytes)/each))
}
