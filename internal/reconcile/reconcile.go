package reconcile

import (
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Result is the result of comparing a machine's record with a heartbeat.
type Result struct {
	Commands         []wire.Command
	Terminated       []statecache.Termination // bound tasks that have certainly terminated
	ToFence          []statecache.TaskBinding // absent tasks of cancelled jobs that a delayed launch could still start
	NewIncarnation   bool                     // the heartbeat's incarnation is later than the record's
	RecordOutdated   bool                     // the worker has seen a higher fencing token than the record's
	ReachableAgain   bool                     // the worker has seen the token of the record that suspects the machine
	PreemptionNotice bool                     // the cloud will reclaim the machine, and the record doesn't drain it yet
}

// RequiresUpdate reports whether the record has to be updated.
func (r *Result) RequiresUpdate() bool {
	return len(r.Terminated) > 0 || len(r.ToFence) > 0 || r.NewIncarnation || r.RecordOutdated || r.ReachableAgain || r.PreemptionNotice
}

// Heartbeat compares a machine's record with a heartbeat of its worker. A bound task has certainly
// terminated only if the heartbeat reports its attempt as exited, has a later incarnation, or lacks
// the attempt and has a fencing token that fences off every launch of the attempt. Absence alone
// proves nothing, because a launch may be in flight.
func Heartbeat(rec *statecache.Machine, heartbeat *wire.Heartbeat, active func(job wire.JobID) bool) Result {
	var result Result
	if heartbeat.Incarnation < rec.Incarnation {
		return result // delayed: sent before the worker's lease expired
	}
	// The update that marked the machine suspected raised its fencing token. Only a heartbeat sent
	// after a response to the worker since then has that token; delayed copies of older ones don't.
	result.ReachableAgain = rec.Suspected && !rec.Terminating && heartbeat.FencingToken >= rec.FencingToken
	result.RecordOutdated = heartbeat.FencingToken > rec.FencingToken
	if heartbeat.Incarnation > rec.Incarnation {
		result.NewIncarnation = true
		for i := range rec.Bindings {
			result.confirmTermination(rec, &rec.Bindings[i], statecache.ReasonIncarnationEnded)
		}
		return result
	}
	result.PreemptionNotice = heartbeat.PreemptionNotice != nil && rec.DrainReason == ""
	statuses := make(map[wire.TaskID]*wire.TaskStatus, len(heartbeat.Tasks)) // created here so that it doesn't escape to the heap
	result.matchTasks(rec, heartbeat, statuses)
	result.compareBindings(rec, heartbeat, statuses, active)
	return result
}

// matchTasks fills statuses, by task, with those of bound attempts, and adds the commands for all
// other tasks in the heartbeat.
func (r *Result) matchTasks(rec *statecache.Machine, heartbeat *wire.Heartbeat, statuses map[wire.TaskID]*wire.TaskStatus) {
	attempts := make(map[wire.TaskID]uint64, len(rec.Bindings))
	for i := range rec.Bindings {
		attempts[rec.Bindings[i].TaskID()] = rec.Bindings[i].Attempt
	}
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		if attempt, bound := attempts[status.Task]; bound && attempt == status.Attempt {
			statuses[status.Task] = status
		} else {
			r.handleUnboundTask(status)
		}
	}
}

// compareBindings compares the record's bindings with the statuses of their attempts. It adds no
// launches while a task on the machine is given time for a checkpoint, since that task still
// occupies the capacity.
func (r *Result) compareBindings(rec *statecache.Machine, heartbeat *wire.Heartbeat, statuses map[wire.TaskID]*wire.TaskStatus, active func(job wire.JobID) bool) {
	var launches []wire.Command
	checkpointing := false
	for i := range rec.Bindings {
		binding := &rec.Bindings[i]
		task := binding.TaskID()
		if status := statuses[task]; status != nil {
			if r.comparePresent(rec, binding, status, active(binding.Job)) {
				checkpointing = true
			}
		} else if r.compareAbsent(rec, binding, heartbeat.FencingToken, active(binding.Job)) {
			launches = append(launches, wire.Command{Op: wire.OpLaunch, Task: task, Attempt: binding.Attempt})
		}
	}
	if !checkpointing {
		r.Commands = append(r.Commands, launches...)
	}
}

// comparePresent handles a binding whose attempt is on the machine. It reports whether the task is
// being stopped with a grace period for a checkpoint.
func (r *Result) comparePresent(rec *statecache.Machine, binding *statecache.TaskBinding, status *wire.TaskStatus, active bool) (checkpointing bool) {
	if status.State == wire.TaskExited {
		r.confirmTermination(rec, binding, status.ExitReason)
		return false
	}
	if binding.StopToken == 0 && active {
		return false
	}
	grace := wire.Seconds(binding.GraceSeconds)
	if !active {
		grace = 0 // nobody needs the checkpoint of a cancelled task
	}
	if status.State != wire.TaskCheckpointing || grace == 0 {
		r.Commands = append(r.Commands, wire.Command{Op: wire.OpStop, Task: status.Task, Attempt: binding.Attempt, GracePeriod: &grace})
	}
	return grace > 0
}

// compareAbsent handles a binding whose attempt isn't on the machine. It reports whether the task
// is to be launched.
func (r *Result) compareAbsent(rec *statecache.Machine, binding *statecache.TaskBinding, seenToken uint64, active bool) (launch bool) {
	switch {
	case binding.StopToken > 0:
		if seenToken >= binding.StopToken { // the worker refuses any launch of the attempt from now on
			r.confirmTermination(rec, binding, statecache.ReasonNeverStarted)
		}
		return false
	case !active:
		r.ToFence = append(r.ToFence, *binding)
		return false
	}
	return true
}

func (r *Result) confirmTermination(rec *statecache.Machine, binding *statecache.TaskBinding, reason wire.ExitReason) {
	r.Terminated = append(r.Terminated, statecache.Termination{Machine: rec.Name, Job: binding.Job, TaskIndex: binding.TaskIndex, Reason: reason})
}

// handleUnboundTask adds the command for an attempt that isn't bound to the machine.
func (r *Result) handleUnboundTask(status *wire.TaskStatus) {
	if status.State == wire.TaskExited {
		r.Commands = append(r.Commands, wire.Command{Op: wire.OpAcknowledge, Task: status.Task, Attempt: status.Attempt})
		return
	}
	grace := wire.Seconds(0)
	r.Commands = append(r.Commands, wire.Command{Op: wire.OpStop, Task: status.Task, Attempt: status.Attempt, GracePeriod: &grace})
}
