package heartbeat

import (
	"time"

	"lynxledge/internal/reconcile"
	"lynxledge/wire"
)

// evidenceWaitHeartbeats is for how many heartbeat intervals this controller leaves evidence to
// the one whose scheduler is active, before it writes it itself. As often, a worker is redirected
// to bring it.
const evidenceWaitHeartbeats = 2

// forwardEvidence gives what a heartbeat proves to the controller that writes it. This one's
// scheduler keeps it too, in case the other fails. If the other is out of reach, its name is
// returned: the worker had better bring the evidence itself. If each controller wrote its own
// part, these would be many small writes that conflict with each other.
func (r *Receiver) forwardEvidence(heartbeat *wire.Heartbeat, c *contact, result *reconcile.Result) (unreachedWriter string) {
	if !result.RequiresUpdate() {
		return ""
	}
	evidence := reconcile.Evidence{Heartbeat: heartbeat, TaskRuntimes: c.runtimes(result)}
	wait := time.Duration(0)
	if writer := r.assignedScheduler(); writer != "" && writer != r.config.MemberName {
		wait = r.config.Params.Workers.Heartbeats(evidenceWaitHeartbeats)
		if !r.routes.SendEvidence(writer, evidence) {
			unreachedWriter = writer
		}
	}
	r.routes.ApplyEvidence(evidence, wait)
	return unreachedWriter
}

// runtimes are the seconds, in tenths, that terminated tasks ran, as far as this controller saw
// them start; nil if it saw none.
func (c *contact) runtimes(result *reconcile.Result) map[wire.TaskID]wire.Seconds {
	var runtimes map[wire.TaskID]wire.Seconds
	for i := range result.Terminated {
		task := result.Terminated[i].TaskID()
		if startedAt, ok := c.taskStarts[task]; ok {
			if runtimes == nil {
				runtimes = map[wire.TaskID]wire.Seconds{}
			}
			runtimes[task] = wire.Seconds(int(10*time.Since(startedAt).Seconds())) / 10
		}
	}
	return runtimes
}

// assignedScheduler is the controller that writes what is bound to machines: the one that the
// teams are assigned to.
func (r *Receiver) assignedScheduler() string {
	for _, assignment := range r.view.Assignments {
		if member := r.view.Members[assignment.Member]; member != nil && member.Incarnation == assignment.Incarnation {
			return assignment.Member
		}
	}
	return ""
}
