package statecache

import "lynxledge/wire"

// Machine is one machine of a group, with the tasks that are bound to it. It must not be modified
// once it is part of a record.
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
	DrainReason   string // why no more tasks may be bound to it; empty: it is not drained
	Terminating   bool
	// Suspected reports whether the leader receives no heartbeats from the machine, or the machine
	// receives no responses. A heartbeat of a worker that has seen this record's fencing token
	// clears it; a machine is terminated as unreachable only while it is suspected.
	Suspected bool

	encoded string // the entry that the machine was decoded from; empty if it has to be encoded
}

// Drain reasons that packages other than the autoscaler depend on.
const (
	DrainFailed      = "failed" // the cloud reports the machine as failed
	DrainUnreachable = "silent" // the machine sends no heartbeats and responds to no probe
)

// Schedulable reports whether tasks may be bound to the machine.
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

// UnboundTasks returns the bindings in a machine's old entry that are missing from its next one.
// Either may be nil.
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
	// StopToken is the fencing token of the record that first requested the task's stop; 0 while
	// it is to run. All launches of this attempt have lower tokens.
	StopToken uint64
	// GraceSeconds is the time that the task has to save its progress before it is stopped.
	GraceSeconds int
}

// TaskID returns the task's ID.
func (b *TaskBinding) TaskID() wire.TaskID { return wire.NewTaskID(b.Job, b.TaskIndex) }
