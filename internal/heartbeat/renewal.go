package heartbeat

import (
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// cancellationMarginHeartbeats, in heartbeat intervals, is left for clocks that drift and for
// workers that check their leases only now and then. A lease counts from when the heartbeat was
// sent, so responses under way need none.
const cancellationMarginHeartbeats = 0.5

// renewalWindow is the time between the last moment at which this controller surely knew every
// cancellation and the moment at which it must stop renewing leases.
func (r *Receiver) renewalWindow() time.Duration {
	workers := r.config.Params.Workers
	return workers.CancellationDeadline - workers.LeaseDuration - workers.Heartbeats(cancellationMarginHeartbeats)
}

// shouldRefuse tells whether this controller must not, or had better not, answer a worker. With
// a view older than the renewal window, renewing leases could keep a cancelled task running
// beyond its deadline. Workers that another controller can serve are redirected to it long
// before that.
//
// A controller that reaches no other can't tell its own isolation from an outage of the store
// for all: it sends each worker away once, to look for a better one, and goes on answering those
// that come back.
func (r *Receiver) shouldRefuse(machine wire.MachineID, viewAge time.Duration) bool {
	switch {
	case viewAge > r.renewalWindow():
		return true
	case viewAge <= min(r.renewalWindow()/2, r.config.Params.Workers.HeartbeatInterval):
		return false
	case r.routes.FreshPeer() != "":
		return true
	case r.routes.Isolated() && !r.redirectedOnStale[machine]:
		r.redirectedOnStale[machine] = true
		return true
	}
	return false
}

// hasOverdueCancellation tells whether a task is still bound whose job was cancelled longer than
// the renewal window ago.
func (r *Receiver) hasOverdueCancellation(machine *statecache.Machine, now time.Time) bool {
	for i := range machine.Bindings {
		job := r.view.Jobs[machine.Bindings[i].Job]
		if job != nil && job.State == wire.JobCancelled && now.Sub(job.FinishedAt.Time()) > r.renewalWindow() {
			return true
		}
	}
	return false
}
