package statecache

import (
	"lynxledge/wire"
)

// MachineGroup is the record of machines that were rented together. One write holds
// all that starts and ends on them at about the same time, so the rate of
// writes doesn't grow with the number of tasks.
type MachineGroup struct {
	Name          string
	MachineType   string
	Zone          wire.Zone
	Spot          bool
	ProvisionedAt int64      // time of day of the rental, ms
	Machines      []*Machine // by name
	// Marks are completed tasks of jobs that are not over, until they are
	// folded into the jobs' done sets.
	Completions  map[wire.JobID][]int
	Terminations []Termination // tasks that left with this write
	ModRevision  uint64

	affixes affixes // what the rows of the record leave out
}

// Termination tells why a task left its machine.
type Termination struct {
	Machine   wire.MachineID
	Job       wire.JobID
	TaskIndex int
	Reason    wire.ExitReason
	Runtime   float64 // 0: not known
}

// TaskID is the task's name.
func (g *Termination) TaskID() wire.TaskID { return wire.NewTaskID(g.Job, g.TaskIndex) }

// Why a task left its machine, besides the workers' own reasons.
const (
	ReasonIncarnationEnded wire.ExitReason = "session_lost"
	ReasonNeverStarted     wire.ExitReason = "never_started"
)

// Reasons for which machines are drained that others than the renter look at.
const (
	DrainFailed      = "failed" // the cloud says so
	DrainUnreachable = "silent" // nobody hears it, and it answers no probe
)

// Machine is one machine of a group and all that is bound to it. It is never
// written to once it is part of a record.
type Machine struct {
	Name          wire.MachineID
	Group         string
	MachineType   string
	Zone          wire.Zone
	Spot          bool
	ProvisionedAt int64 // time of day of the rental, ms
	Address       string
	Incarnation   uint64 // 0: never reported
	FencingToken  uint64
	Bindings      []TaskBinding
	DrainReason   string // why nothing new may be bound
	Terminating   bool
	// Suspected: the leader hears nothing of the machine, or it doesn't hear us.
	// A report that has seen this record's token takes the mark away; a machine
	// is returned as silent only with the mark.
	Suspected bool

	encoded string // as it stands in the record
}

// Schedulable tells whether tasks may be bound to the machine.
func (b *Machine) Schedulable() bool {
	return b.Incarnation > 0 && b.DrainReason == "" && !b.Terminating && !b.Suspected
}

// FindBinding returns the bound task of this name, or nil.
func (b *Machine) FindBinding(job wire.JobID, n int) *TaskBinding {
	for i := range b.Bindings {
		if t := &b.Bindings[i]; t.TaskIndex == n && t.Job == job {
			return t
		}
	}
	return nil
}

// UnboundTasks lists the tasks of old that a machine's next row lacks; either may be
// nil.
func UnboundTasks(old, next *Machine) []*TaskBinding {
	var out []*TaskBinding
	if old == nil {
		return out
	}
	for i := range old.Bindings {
		if t := &old.Bindings[i]; next == nil || next.FindBinding(t.Job, t.TaskIndex) == nil {
			out = append(out, t)
		}
	}
	return out
}

// NewMachineGroup makes the first record of machines; names must be sorted.
func NewMachineGroup(name, typ string, zone wire.Zone, spot bool, at int64, machines []wire.MachineID, token uint64) *MachineGroup {
	g := &MachineGroup{Name: name, MachineType: typ, Zone: zone, Spot: spot, ProvisionedAt: at}
	for _, m := range machines {
		g.Machines = append(g.Machines, &Machine{Name: m, FencingToken: token})
	}
	return g
}
