package heartbeat

import (
	"time"

	"lynxledge/internal/reconcile"
	"lynxledge/wire"
)

// evidenceWaitHeartbeats is the number of heartbeat intervals for which this controller leaves
// evidence to the active scheduler before it may write the evidence itself. A worker is redirected
// to deliver evidence at most once in that time.
const evidenceWaitHeartbeats = 2

// forwardEvidence sends the evidence in a heartbeat to the active scheduler, and also gives it to
// this controller's scheduler in case the active one fails. If the active scheduler can't be
// reached, it returns the name of that controller, and the worker should be redirected there to
// deliver the evidence. If each controller wrote the evidence that it receives, there would be
// many small writes that conflict with each other.
func (r *Receiver) forwardEvidence(heartbeat *wire.Heartbeat, state *machineState, result *reconcile.Result) (unreachableScheduler string) {
	if !result.RequiresUpdate() {
		return ""
	}
	evidence := reconcile.Evidence{Heartbeat: heartbeat, TaskRuntimes: state.runtimes(result)}
	wait := time.Duration(0)
	if scheduler := r.activeScheduler(); scheduler != "" && scheduler != r.config.MemberName {
		wait = r.config.Params.Workers.Heartbeats(evidenceWaitHeartbeats)
		if !r.callbacks.SendEvidence(scheduler, evidence) {
			unreachableScheduler = scheduler
		}
	}
	r.callbacks.HandleEvidence(evidence, wait)
	return unreachableScheduler
}

// runtimes returns the runtimes, truncated to tenths of a second, of the terminated tasks that this
// controller saw running; nil if it saw none of them.
func (s *machineState) runtimes(result *reconcile.Result) map[wire.TaskID]wire.Seconds {
	var runtimes map[wire.TaskID]wire.Seconds
	for i := range result.Terminated {
		task := result.Terminated[i].TaskID()
		if startedAt, ok := s.taskStarts[task]; ok {
			if runtimes == nil {
				runtimes = map[wire.TaskID]wire.Seconds{}
			}
			runtimes[task] = wire.Seconds(int(10*time.Since(startedAt).Seconds())) / 10
		}
	}
	return runtimes
}

// activeScheduler returns the live controller that the teams are assigned to, which writes the
// records of machines; empty if there is none.
func (r *Receiver) activeScheduler() string {
	for _, assignment := range r.view.Assignments {
		if member := r.view.Members[assignment.Member]; member != nil && member.Incarnation == assignment.Incarnation {
			return assignment.Member
		}
	}
	return ""
}
