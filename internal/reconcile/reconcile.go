package reconcile

import (
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Result is what a heartbeat shows of a machine's record.
type Result struct {
	Commands         []wire.Command
	Terminated       []statecache.Termination // bound tasks that are certainly not on the machine any more
	ToFence          []statecache.TaskBinding // tasks of cancelled jobs that a late launch could still start
	NewIncarnation   bool                     // the heartbeat begins an incarnation that the record doesn't know
	RecordOutdated   bool                     // the worker has seen a fencing token beyond the record's
	ReachableAgain   bool                     // the record suspects the machine, but the worker has seen that
	PreemptionNotice bool                     // the cloud will take the machine, which the record doesn't know
}

// RequiresUpdate tells whether the record has to be rewritten.
func (r *Result) RequiresUpdate() bool {
	return len(r.Terminated) > 0 || len(r.ToFence) > 0 || r.NewIncarnation || r.RecordOutdated || r.ReachableAgain || r.PreemptionNotice
}

// Heartbeat compares a machine's record with a heartbeat of its worker. Only an exited task, a
// later incarnation, or absence under a fencing token that fences every launch of the attempt
// shows that a task has terminated; absence alone shows nothing, because a launch may be on its
// way.
func Heartbeat(rec *statecache.Machine, heartbeat *wire.Heartbeat, active func(job wire.JobID) bool) Result {
	var result Result
	if heartbeat.Incarnation < rec.Incarnation {
		return result // sent before the worker's lease ended
	}
	// The update that suspected the machine raised its token: only a worker that was answered
	// since then has seen it, and no copy of an older heartbeat has.
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
	statuses := make(map[wire.TaskID]*wire.TaskStatus, len(heartbeat.Tasks)) // made here, it need not be allocated
	result.matchTasks(rec, heartbeat, statuses)
	result.compareBindings(rec, heartbeat, statuses, active)
	return result
}

// matchTasks sets the statuses of the attempts that are bound, by task, and adds the commands for
// all other entries of the heartbeat.
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

// compareBindings compares the record's bindings with the statuses of their attempts. Launches
// wait until a task that saves a checkpoint has made room.
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

// comparePresent handles a binding whose attempt is on the machine. It tells whether the task is
// to be stopped with time for a checkpoint.
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

// compareAbsent handles a binding whose attempt isn't on the machine. It tells whether the task
// is to be launched.
func (r *Result) compareAbsent(rec *statecache.Machine, binding *statecache.TaskBinding, seenToken uint64, active bool) (launch bool) {
	switch {
	case binding.StopToken > 0:
		if seenToken >= binding.StopToken { // no launch of the attempt is carried out any more
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

// handleUnboundTask adds the command for a task or attempt that isn't bound to the machine.
func (r *Result) handleUnboundTask(status *wire.TaskStatus) {
	if status.State == wire.TaskExited {
		r.Commands = append(r.Commands, wire.Command{Op: wire.OpAcknowledge, Task: status.Task, Attempt: status.Attempt})
		return
	}
	grace := wire.Seconds(0)
	r.Commands = append(r.Commands, wire.Command{Op: wire.OpStop, Task: status.Task, Attempt: status.Attempt, GracePeriod: &grace})
}
