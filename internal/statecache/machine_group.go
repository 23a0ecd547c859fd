package statecache

import "lynxledge/wire"

// MachineGroup is the record of machines of one pool: those that were provisioned together, until
// groups are merged or split. One write covers all tasks that start or end on them at about the
// same time, so that the write rate does not grow with the number of tasks.
type MachineGroup struct {
	Name          string
	MachineType   string
	Zone          wire.Zone
	Spot          bool
	ProvisionedAt Timestamp
	Machines      []*Machine // sorted by name
	// Completions are the completed tasks of active jobs, until they are compacted into
	// completion chunks.
	Completions  map[wire.JobID][]int
	Terminations []Termination // of the tasks that this version of the record unbinds
	ModRevision  uint64

	affixes affixes // of the record that the group was decoded from
}

// GroupOptions are the contents of the first record of a group.
type GroupOptions struct {
	Name          string
	MachineType   string
	Zone          wire.Zone
	Spot          bool
	ProvisionedAt Timestamp
	Machines      []wire.MachineID // sorted
	FencingToken  uint64           // of every machine
}

// NewMachineGroup returns the first record of a group.
func NewMachineGroup(o GroupOptions) *MachineGroup {
	g := &MachineGroup{Name: o.Name, MachineType: o.MachineType, Zone: o.Zone, Spot: o.Spot, ProvisionedAt: o.ProvisionedAt}
	for _, name := range o.Machines {
		g.Machines = append(g.Machines, &Machine{Name: name, FencingToken: o.FencingToken})
	}
	return g
}

// Termination records why a task's binding to a machine ended.
type Termination struct {
	Machine   wire.MachineID
	Job       wire.JobID
	TaskIndex int
	Reason    wire.ExitReason
	Runtime   wire.Seconds // 0: not known
}

// TaskID returns the task's ID.
func (t *Termination) TaskID() wire.TaskID { return wire.NewTaskID(t.Job, t.TaskIndex) }

// Reasons of terminations other than those that workers report.
const (
	ReasonIncarnationEnded wire.ExitReason = "session_lost"
	ReasonNeverStarted     wire.ExitReason = "never_started"
)
