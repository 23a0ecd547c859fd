package heartbeat

import (
	"log/slog"
	"slices"
	"time"

	"lynxledge/internal/reconcile"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// HandleHeartbeat answers a worker. It runs in the actor, and so does reply.
func (r *Receiver) HandleHeartbeat(heartbeat *wire.Heartbeat, reply func(Response)) {
	r.respond(heartbeat, reply, true)
}

// HandleCommandResponse takes a heartbeat that came in response to direct commands: what it
// proves counts, but nobody waits for commands. It is no sign that the machine's own heartbeats,
// which alone renew its lease, reach anybody.
func (r *Receiver) HandleCommandResponse(heartbeat *wire.Heartbeat) {
	r.Post(func() {
		machine := r.view.Machines[heartbeat.Machine]
		if machine == nil {
			return
		}
		c, _ := r.contact(heartbeat, time.Now())
		result := reconcile.Heartbeat(machine, heartbeat, r.view.Active)
		r.forwardEvidence(heartbeat, c, &result)
	})
}

// respond answers by the view as it is, or, if that may be too old for this heartbeat, once
// after it was refreshed.
func (r *Receiver) respond(heartbeat *wire.Heartbeat, reply func(Response), mayRefresh bool) {
	now := time.Now()
	machine := r.view.Machines[heartbeat.Machine]
	switch {
	case r.shouldRefuse(heartbeat.Machine, now.Sub(r.freshAsOf)):
		r.observeRefused(heartbeat, machine, now)
		reply(redirected(r.routes.FreshPeer()))
	case mayRefresh && recordOutdated(machine, heartbeat):
		r.refreshAndRespond(heartbeat, reply)
	case machine == nil:
		// The leader adopts a machine that it finds in the cloud's list. Its heartbeat
		// alone may be a late copy, of a machine that was terminated.
		reply(refused())
	default:
		reply(r.reconcileAndRespond(heartbeat, machine, now))
	}
}

// observeRefused takes note of a heartbeat that is not answered: after an outage the leader must
// not take every machine for unreachable.
func (r *Receiver) observeRefused(heartbeat *wire.Heartbeat, machine *statecache.Machine, now time.Time) {
	if machine == nil {
		return
	}
	if c, isNew := r.contact(heartbeat, now); isNew && !c.inboundPartitioned {
		r.reachable[heartbeat.Machine] = true
	}
}

// recordOutdated tells whether a heartbeat shows that its machine's record has changed since it
// was read. A later incarnation than the first is a reason to refresh, since another controller
// may have written it.
func recordOutdated(machine *statecache.Machine, heartbeat *wire.Heartbeat) bool {
	return machine == nil || heartbeat.FencingToken > machine.FencingToken ||
		heartbeat.Incarnation > machine.Incarnation && machine.Incarnation > 0
}

func (r *Receiver) refreshAndRespond(heartbeat *wire.Heartbeat, reply func(Response)) {
	r.cache.Refresh(func(err error) {
		r.Send(func() {
			if err != nil {
				reply(redirected(r.routes.FreshPeer()))
				return
			}
			r.respond(heartbeat, reply, false)
		})
	})
}

// reconcileAndRespond compares a heartbeat with its machine's record, forwards what it proves,
// and decides whether the lease is renewed.
func (r *Receiver) reconcileAndRespond(heartbeat *wire.Heartbeat, machine *statecache.Machine, now time.Time) Response {
	c, isNew := r.contact(heartbeat, now)
	result := reconcile.Heartbeat(machine, heartbeat, r.view.Active)
	unreachedWriter := r.forwardEvidence(heartbeat, c, &result)
	if unreachedWriter != "" && now.Sub(c.redirectedAt) > r.config.Params.Workers.Heartbeats(evidenceWaitHeartbeats) {
		c.redirectedAt = now
		r.markReachable(heartbeat, c, isNew, now)
		return redirected(unreachedWriter)
	}
	if heartbeat.FencingToken > machine.FencingToken {
		slog.Warn("fencing token beyond machine record",
			"machine", heartbeat.Machine, "fencing_token", heartbeat.FencingToken, "record_fencing_token", machine.FencingToken)
		return refused()
	}
	r.markReachable(heartbeat, c, isNew, now)
	if r.hasOverdueCancellation(machine, now) {
		// A cancelled task is still bound here: let the lease expire. What the heartbeat
		// proves counts all the same, or the machine would be refused for ever: that its
		// incarnation is a new one may be the proof.
		slog.Warn("lease renewal refused", "machine", heartbeat.Machine, "reason", "cancelled task still bound")
		return refused()
	}
	if heartbeat.FencingToken < machine.FencingToken {
		c.expectAcknowledgement(machine.FencingToken, now)
	}
	return accepted(machine.FencingToken, r.allowedCommands(&result, now))
}

// allowedCommands are those that a heartbeat calls for, except launches if the view is too old
// for them: a job may have been cancelled since. Its running tasks are kept within the
// cancellation deadline by their lease, but none may start any more.
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
