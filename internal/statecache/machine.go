package statecache

import "lynxledge/wire"

// Machine is one machine of a group, with the tasks that are bound to it. It is never written
// to once it is part of a record.
type Machine struct {
	Name          wire.MachineID
	Group         string
	MachineType   string
	Zone          wire.Zone
	Spot          bool
	ProvisionedAt Timestamp
	Address       string
	Incarnation   uint64 // 0: the worker has never sent a heartbeat
	FencingToken  uint64
	Bindings      []TaskBinding
	DrainReason   string // why nothing more may be bound to it
	Terminating   bool
	// Suspected: the leader gets no heartbeats of the machine, or the machine gets no replies.
	// A heartbeat that has seen this record's fencing token clears it; a machine is terminated
	// as unreachable only while it is suspected.
	Suspected bool

	encoded string // as the record has it
}

// Drain reasons that others than the autoscaler depend on.
const (
	DrainFailed      = "failed" // the cloud says so
	DrainUnreachable = "silent" // no heartbeats come, and it answers no probe
)

// Schedulable tells whether tasks may be bound to the machine.
func (m *Machine) Schedulable() bool {
	return m.Incarnation > 0 && m.DrainReason == "" && !m.Terminating && !m.Suspected
}

// FindBinding returns the binding of a task, or nil.
func (m *Machine) FindBinding(job wire.JobID, taskIndex int) *TaskBinding {
	for i := range m.Bindings {
		if binding := &m.Bindings[i]; binding.TaskIndex == taskIndex && binding.Job == job {
			return binding
		}
	}
	return nil
}

// successor returns a copy of the machine's entry for a new record, with a higher fencing token.
func (m *Machine) successor(term uint64) *Machine {
	next := *m
	next.Bindings = append([]TaskBinding(nil), m.Bindings...)
	next.FencingToken = max(m.FencingToken+1, FirstToken(term))
	next.encoded = ""
	return &next
}

// UnboundTasks returns the bindings of a machine's entry that its next one lacks. Either may be
// nil.
func UnboundTasks(old, next *Machine) []*TaskBinding {
	var unbound []*TaskBinding
	if old == nil {
		return unbound
	}
	for i := range old.Bindings {
		if binding := &old.Bindings[i]; next == nil || next.FindBinding(binding.Job, binding.TaskIndex) == nil {
			unbound = append(unbound, binding)
		}
	}
	return unbound
}

// TaskBinding is one task bound to a machine.
type TaskBinding struct {
	Job       wire.JobID
	TaskIndex int
	Attempt   uint64
	// StopToken is the fencing token of the record that first had the task stopped; 0 while it
	// is to run. No launch of this attempt has a token of StopToken or more.
	StopToken uint64
	// GraceSeconds is the time that the task has to save its progress before it is stopped.
	GraceSeconds int
}

// TaskID returns the task's ID.
func (b *TaskBinding) TaskID() wire.TaskID { return wire.NewTaskID(b.Job, b.TaskIndex) }
