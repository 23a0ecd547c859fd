package heartbeat

import (
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// cancellationMarginHeartbeats is the safety margin, in heartbeat intervals, for clock drift and
// for workers that check their leases only periodically. It need not cover responses in flight,
// since a lease counts from when the heartbeat was sent.
const cancellationMarginHeartbeats = 0.5

// renewalWindow returns how long this controller may go on renewing leases after the last time at
// which its view certainly included every cancellation.
func (r *Receiver) renewalWindow() time.Duration {
	workers := r.config.Params.Workers
	return workers.CancellationDeadline - workers.LeaseDuration - workers.Heartbeats(cancellationMarginHeartbeats)
}

// shouldRefuse reports whether to refuse or redirect a heartbeat because of the age of the view.
// With a view older than the renewal window, renewing a lease could keep a cancelled task running
// beyond the cancellation deadline. Workers that another controller can serve are redirected to it
// long before that.
//
// A controller that reaches no other one can't tell its own isolation from a store outage that
// affects all controllers. It refuses each worker once, so that the worker tries the others, and
// accepts the heartbeats of workers that return.
func (r *Receiver) shouldRefuse(machine wire.MachineID, viewAge time.Duration) bool {
	switch {
	case viewAge > r.renewalWindow():
		return true
	case viewAge <= min(r.renewalWindow()/2, r.config.Params.Workers.HeartbeatInterval):
		return false
	case r.callbacks.FreshPeer() != "":
		return true
	case r.callbacks.Isolated() && !r.refusedWhileIsolated[machine]:
		r.refusedWhileIsolated[machine] = true
		return true
	}
	return false
}

// hasOverdueCancellation reports whether a task is still bound to the machine although its job was
// cancelled longer than the renewal window ago.
func (r *Receiver) hasOverdueCancellation(machine *statecache.Machine, now time.Time) bool {
	for i := range machine.Bindings {
		job := r.view.Jobs[machine.Bindings[i].Job]
		if job != nil && job.State == wire.JobCancelled && now.Sub(job.FinishedAt.Time()) > r.renewalWindow() {
			return true
		}
	}
	return false
}
