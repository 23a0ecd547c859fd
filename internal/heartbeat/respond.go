package heartbeat

import (
	"log/slog"
	"slices"
	"time"

	"lynxledge/internal/reconcile"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// HandleHeartbeat answers a heartbeat of a worker. It must run in the actor; reply runs there too.
func (r *Receiver) HandleHeartbeat(heartbeat *wire.Heartbeat, reply func(Response)) {
	r.respond(heartbeat, reply, true)
}

// HandleCommandResponse handles a heartbeat that came in response to direct commands. Its evidence
// is forwarded, but it gets no response. It doesn't mark the machine as reachable, since it doesn't
// show that the machine's own heartbeats, which alone renew its lease, reach any controller.
func (r *Receiver) HandleCommandResponse(heartbeat *wire.Heartbeat) {
	r.TrySend(func() {
		machine := r.view.Machines[heartbeat.Machine]
		if machine == nil {
			return
		}
		state, _ := r.observeHeartbeat(heartbeat, time.Now())
		result := reconcile.Heartbeat(machine, heartbeat, r.view.Active)
		r.forwardEvidence(heartbeat, state, &result)
	})
}

// respond answers a heartbeat from the current view. If the view may be too old for this heartbeat
// and mayRefresh is set, it refreshes the view first.
func (r *Receiver) respond(heartbeat *wire.Heartbeat, reply func(Response), mayRefresh bool) {
	now := time.Now()
	machine := r.view.Machines[heartbeat.Machine]
	switch {
	case r.shouldRefuse(heartbeat.Machine, now.Sub(r.freshAsOf)):
		r.observeRefused(heartbeat, machine, now)
		reply(redirected(r.callbacks.FreshPeer()))
	case mayRefresh && recordOutdated(machine, heartbeat):
		r.refreshAndRespond(heartbeat, reply)
	case machine == nil:
		// The leader adopts machines that it finds in the cloud's list. A heartbeat alone
		// is not enough: it may be a delayed copy from a machine that was terminated.
		reply(refused())
	default:
		reply(r.reconcileAndRespond(heartbeat, machine, now))
	}
}

// observeRefused records a heartbeat that is refused or redirected because of the age of the view.
// Its machine still counts as reachable, except if it is partitioned inbound, so that the leader
// doesn't consider every machine unreachable after an outage of the store.
func (r *Receiver) observeRefused(heartbeat *wire.Heartbeat, machine *statecache.Machine, now time.Time) {
	if machine == nil {
		return
	}
	if state, isNew := r.observeHeartbeat(heartbeat, now); isNew && !state.inboundPartitioned {
		r.reachable[heartbeat.Machine] = true
	}
}

// recordOutdated reports whether a heartbeat suggests that its machine's record has changed since
// it was read. A higher incarnation than the recorded one does, since another controller may
// already have recorded it; the first incarnation, of which the record has none yet, does not.
func recordOutdated(machine *statecache.Machine, heartbeat *wire.Heartbeat) bool {
	return machine == nil || heartbeat.FencingToken > machine.FencingToken ||
		heartbeat.Incarnation > machine.Incarnation && machine.Incarnation > 0
}

func (r *Receiver) refreshAndRespond(heartbeat *wire.Heartbeat, reply func(Response)) {
	r.cache.Refresh(func(err error) {
		r.Send(func() {
			if err != nil {
				reply(redirected(r.callbacks.FreshPeer()))
				return
			}
			r.respond(heartbeat, reply, false)
		})
	})
}

// reconcileAndRespond compares a heartbeat with its machine's record, forwards its evidence, and
// decides whether the lease is renewed.
func (r *Receiver) reconcileAndRespond(heartbeat *wire.Heartbeat, machine *statecache.Machine, now time.Time) Response {
	state, isNew := r.observeHeartbeat(heartbeat, now)
	result := reconcile.Heartbeat(machine, heartbeat, r.view.Active)
	unreachableScheduler := r.forwardEvidence(heartbeat, state, &result)
	if unreachableScheduler != "" && now.Sub(state.redirectedAt) > r.config.Params.Workers.Heartbeats(evidenceWaitHeartbeats) {
		state.redirectedAt = now
		r.markReachable(heartbeat, state, isNew, now)
		return redirected(unreachableScheduler)
	}
	if heartbeat.FencingToken > machine.FencingToken {
		slog.Warn("fencing token beyond machine record",
			"machine", heartbeat.Machine, "fencing_token", heartbeat.FencingToken, "record_fencing_token", machine.FencingToken)
		return refused()
	}
	r.markReachable(heartbeat, state, isNew, now)
	if r.hasOverdueCancellation(machine, now) {
		// A cancelled task is still bound: let the lease expire. The evidence was forwarded
		// above nevertheless, or the machine could be refused forever: a new incarnation in
		// this heartbeat may prove that the task has terminated.
		slog.Warn("lease renewal refused", "machine", heartbeat.Machine, "reason", "cancelled task still bound")
		return refused()
	}
	if heartbeat.FencingToken < machine.FencingToken {
		state.expectAcknowledgement(machine.FencingToken, now)
	}
	return accepted(machine.FencingToken, r.allowedCommands(&result, now))
}

// allowedCommands returns the commands that a heartbeat calls for, without launches if the view is
// too old: the job may have been cancelled since. The lease keeps running tasks of a cancelled job
// within the cancellation deadline, but no further ones may start.
func (r *Receiver) allowedCommands(result *reconcile.Result, now time.Time) []wire.Command {
	commands := result.Commands
	if now.Sub(r.freshAsOf) > r.config.Params.Workers.MaxLaunchViewAge() {
		commands = slices.DeleteFunc(commands, func(command wire.Command) bool { return command.Op == wire.OpLaunch })
	}
	if commands == nil {
		return []wire.Command{}
	}
	return commands
}
