package heartbeat

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/reconcile"
	"lynxledge/internal/scheduler"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Response answers a report: 200 with a body, or 421 towards another node, or
// 503 when neither is possible.
type Response struct {
	Accepted   bool
	Body       wire.HeartbeatResponse
	RedirectTo string
}

// Routes are a reports actor's ways to the rest of its controller.
type Routes struct {
	// Elsewhere names a controller with a fresh view, or nothing.
	FreshPeer func() string
	// Alone tells whether there are other controllers, but none is heard.
	Isolated func() bool
	// Note gives what a report proves to this controller's placer, which writes
	// it after wait unless another has.
	ApplyEvidence func(n reconcile.Evidence, wait time.Duration)
	// Tell passes it on to another controller; false if that is out of reach.
	SendEvidence func(member string, n reconcile.Evidence) bool
}

// Receiver is the actor that hears the workers.
type Receiver struct {
	*actor.Actor
	config      *config.Config
	incarnation uint64
	cache       *statecache.Cache
	routes      Routes

	view        *statecache.View
	freshAsOf   time.Time
	reachable   map[wire.MachineID]bool
	onReachable []func(machines []wire.MachineID)
	contacts    map[wire.MachineID]*contact
	redirected  map[wire.MachineID]bool // machines sent away since the view was fresh last
}

// contact is what this node knows of a machine from hearing it.
type contact struct {
	incarnation, sequence uint64
	unacknowledgedToken   uint64    // the token of the first answer that the machine has not acknowledged
	unacknowledgedSince   time.Time // when that was given
	inboundPartitioned    bool
	redirectedAt          time.Time                 // when it was sent to the controller that writes
	taskStarts            map[wire.TaskID]time.Time // tasks: first seen running
}

// Start runs the actor.
func Start(ctx context.Context, cfg *config.Config, boot uint64, l *statecache.Cache, to Routes) *Receiver {
	r := &Receiver{
		Actor: actor.Start(ctx, "reports", 512), config: cfg, incarnation: boot, cache: l, routes: to,
		view:      statecache.NewUnfinishedView(statecache.ChunkTasks(cfg.Params.Store.MaxValueKB)),
		reachable: map[wire.MachineID]bool{}, contacts: map[wire.MachineID]*contact{}, redirected: map[wire.MachineID]bool{},
	}
	l.Subscribe(func(d statecache.Update) { r.Send(func() { r.apply(d) }) })
	r.Every(cfg.Params.Workers.HeartbeatInterval/3, r.announceReachable)
	return r
}

// OnReachable registers a receiver of the machines that reported lately; to be
// called before the first report.
func (r *Receiver) OnReachable(f func(machines []wire.MachineID)) {
	r.onReachable = append(r.onReachable, f)
}

func (r *Receiver) apply(d statecache.Update) {
	if d.FreshAsOf.After(r.freshAsOf) {
		r.freshAsOf = d.FreshAsOf
		clear(r.redirected)
	}
	for _, c := range d.Changes {
		for _, b := range r.view.Apply(c) {
			if b.New == nil {
				delete(r.contacts, b.Machine)
			} else if k := r.contacts[b.Machine]; k != nil {
				for _, t := range statecache.UnboundTasks(b.Old, b.New) {
					delete(k.taskStarts, t.TaskID())
				}
			}
		}
	}
}

// announceReachable tells who was heard.
func (r *Receiver) announceReachable() {
	if len(r.reachable) == 0 {
		return
	}
	list := make([]wire.MachineID, 0, len(r.reachable))
	for m := range r.reachable {
		list = append(list, m)
	}
	clear(r.reachable)
	for _, f := range r.onReachable {
		f(list)
	}
}

// renewalWindow is the time between the last moment at which this node surely knew
// every cancellation and the moment at which it must stop renewing leases.
func (r *Receiver) renewalWindow() time.Duration {
	w := r.config.Params.Workers
	return w.CancellationDeadline - w.LeaseDuration - w.Heartbeats(cancellationMarginHeartbeats)
}

// cancellationMarginHeartbeats, in report intervals, is left for clocks that drift and for
// workers that look at their leases now and then. A lease counts from when the
// report was sent, so answers under way need none.
const cancellationMarginHeartbeats = 0.5

// shouldRefuse tells whether this node must not, or had better not, answer a worker.
// Beyond spare, renewing leases could keep a cancelled task beyond its time.
// Workers that another controller can serve are sent to it long before that.
// A node that hears no other can't tell its own isolation from an outage for
// all: it sends each worker away once, to look for a better one, and goes on
// answering those that come back.
func (r *Receiver) shouldRefuse(machine wire.MachineID, age time.Duration) bool {
	switch {
	case age > r.renewalWindow():
		return true
	case age <= min(r.renewalWindow()/2, r.config.Params.Workers.HeartbeatInterval):
		return false
	case r.routes.FreshPeer() != "":
		return true
	case r.routes.Isolated() && !r.redirected[machine]:
		r.redirected[machine] = true
		return true
	}
	return false
}

// contact is what is known of a machine; news is false for a copy or a report
// older than one heard before: it says nothing of the machine as it is now.
func (r *Receiver) contact(rep *wire.Heartbeat) (k *contact, news bool) {
	k = r.contacts[rep.Machine]
	if k == nil {
		k = &contact{taskStarts: map[wire.TaskID]time.Time{}}
		if r.view.Machines[rep.Machine] != nil { // not for strangers: there may be any number
			r.contacts[rep.Machine] = k
		}
	}
	if rep.Incarnation < k.incarnation || rep.Incarnation == k.incarnation && rep.Sequence <= k.sequence {
		return k, false
	}
	k.incarnation, k.sequence = rep.Incarnation, rep.Sequence
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		if _, ok := k.taskStarts[t.Task]; !ok && t.State == wire.TaskRunning {
			k.taskStarts[t.Task] = time.Now()
		}
	}
	if rep.FencingToken >= k.unacknowledgedToken {
		k.unacknowledgedToken, k.unacknowledgedSince, k.inboundPartitioned = 0, time.Time{}, false
	}
	return k, true
}

// HandleCommandResponse takes a report that came as an answer to direct commands: what it
// proves counts, but nobody waits for orders. It is no sign that the machine's own
// reports, which alone keep its lease, reach anybody.
func (r *Receiver) HandleCommandResponse(rep *wire.Heartbeat) {
	r.Post(func() {
		rec := r.view.Machines[rep.Machine]
		if rec == nil {
			return
		}
		k, _ := r.contact(rep)
		proof := reconcile.Heartbeat(rec, rep, r.view.Active)
		r.forwardEvidence(rep, k, &proof)
	})
}

// HandleHeartbeat answers a worker; reply runs in the actor.
func (r *Receiver) HandleHeartbeat(rep *wire.Heartbeat, reply func(Response)) {
	r.answer(rep, reply, true)
}

// answer answers by the view as it is, or, if it may be too old for this report, once
// after it was refreshed.
func (r *Receiver) answer(rep *wire.Heartbeat, reply func(Response), mayRefresh bool) {
	now := time.Now()
	rec := r.view.Machines[rep.Machine]
	if r.shouldRefuse(rep.Machine, now.Sub(r.freshAsOf)) {
		r.refuse(rep, rec, reply)
		return
	}
	if mayRefresh && recordOutdated(rec, rep) {
		r.refreshAndAnswer(rep, reply)
		return
	}
	if rec == nil {
		// The leader adopts a machine that it finds in the cloud's list. Its
		// report alone may be a late copy, of a machine that was returned.
		reply(Response{})
		return
	}
	k, news := r.contact(rep)
	proof := reconcile.Heartbeat(rec, rep, r.view.Active)
	writer := r.forwardEvidence(rep, k, &proof)
	if writer != "" && now.Sub(k.redirectedAt) > r.config.Params.Workers.Heartbeats(2) {
		k.redirectedAt = now
		r.markReachable(rep, k, news, now)
		reply(Response{RedirectTo: writer})
		return
	}
	if rep.FencingToken > rec.FencingToken {
		slog.Warn("worker has seen a token beyond its record", "machine", rep.Machine, "token", rep.FencingToken, "record", rec.FencingToken)
		reply(Response{})
		return
	}
	r.markReachable(rep, k, news, now)
	if r.hasOverdueCancellation(rec, now) {
		// A cancelled task is still bound here: let the lease run out. What the
		// report proves counts all the same, or the machine would be refused for
		// ever: that its session is a new one may be the proof.
		slog.Warn("cancelled work still on machine; its lease is not renewed", "machine", rep.Machine)
		reply(Response{})
		return
	}
	if k.unacknowledgedToken == 0 && rep.FencingToken < rec.FencingToken {
		k.unacknowledgedToken, k.unacknowledgedSince = rec.FencingToken, now
	}
	reply(Response{Accepted: true, Body: wire.HeartbeatResponse{FencingToken: rec.FencingToken, Commands: r.allowedCommands(&proof, now)}})
}

// recordOutdated tells whether a report shows that its machine's record has changed since it was
// read. A later session than the first is a reason to look, since another controller may
// have written it.
func recordOutdated(rec *statecache.Machine, rep *wire.Heartbeat) bool {
	return rec == nil || rep.FencingToken > rec.FencingToken || rep.Incarnation > rec.Incarnation && rec.Incarnation > 0
}

func (r *Receiver) refreshAndAnswer(rep *wire.Heartbeat, reply func(Response)) {
	r.cache.Refresh(func(err error) {
		r.Send(func() {
			if err != nil {
				reply(Response{RedirectTo: r.routes.FreshPeer()})
				return
			}
			r.answer(rep, reply, false)
		})
	})
}

// refuse sends a worker away. It is heard all the same: after an outage the leader must
// not take every machine for silent.
func (r *Receiver) refuse(rep *wire.Heartbeat, rec *statecache.Machine, reply func(Response)) {
	if rec != nil {
		if k, news := r.contact(rep); news && !k.inboundPartitioned {
			r.reachable[rep.Machine] = true
		}
	}
	reply(Response{RedirectTo: r.routes.FreshPeer()})
}

// markReachable counts a machine as heard if its report is news, and the machine hears too.
func (r *Receiver) markReachable(rep *wire.Heartbeat, k *contact, news bool, now time.Time) {
	if news && !r.inboundPartitioned(rep, k, now) {
		r.reachable[rep.Machine] = true
	}
}

// allowedCommands are those that a report calls for, but for launches if the view is too old for
// them: a job may have been cancelled since. Its tasks that run are kept within cancel_s by
// their lease, but none may start any more.
func (r *Receiver) allowedCommands(proof *reconcile.Result, now time.Time) []wire.Command {
	orders := proof.Commands
	if now.Sub(r.freshAsOf) > scheduler.MaxLaunchViewAge(r.config) {
		orders = slices.DeleteFunc(orders, func(o wire.Command) bool { return o.Op == wire.OpLaunch })
	}
	if orders == nil {
		return []wire.Command{}
	}
	return orders
}

// inboundPartitioned tells whether a machine is heard, but doesn't hear: it was answered
// with a token that its reports still don't show two reports later. Such a
// machine doesn't count as heard, so the leader marks and returns it.
func (r *Receiver) inboundPartitioned(rep *wire.Heartbeat, k *contact, now time.Time) bool {
	was := k.inboundPartitioned
	k.inboundPartitioned = k.unacknowledgedToken > 0 && now.Sub(k.unacknowledgedSince) > r.config.Params.Workers.Heartbeats(inboundPartitionHeartbeats)
	if k.inboundPartitioned && !was {
		slog.Info("machine doesn't hear", "machine", rep.Machine, "token", rep.FencingToken, "answered", k.unacknowledgedToken)
	}
	return k.inboundPartitioned
}

// inboundPartitionHeartbeats is for how many report intervals a machine may show no sign of
// what it was answered.
const inboundPartitionHeartbeats = 2.5

// hasOverdueCancellation tells whether a task of a job cancelled long ago is still bound.
func (r *Receiver) hasOverdueCancellation(rec *statecache.Machine, now time.Time) bool {
	for i := range rec.Bindings {
		j := r.view.Jobs[rec.Bindings[i].Job]
		if j != nil && j.State == wire.JobCancelled && now.Sub(j.FinishedAt.Time()) > r.renewalWindow() {
			return true
		}
	}
	return false
}

// forwardEvidence gives what a report proves to the controller that writes it. This one's
// placer keeps it too, for the case that the other is lost. If the other is out
// of reach, forward returns its name: the worker had better tell it. That each
// controller wrote its own part would be many small writes that hinder each
// other.
func (r *Receiver) forwardEvidence(rep *wire.Heartbeat, k *contact, proof *reconcile.Result) (unreached string) {
	if !proof.RequiresUpdate() {
		return ""
	}
	n := reconcile.Evidence{Heartbeat: rep}
	for i := range proof.Terminated {
		task := proof.Terminated[i].TaskID()
		if begun, ok := k.taskStarts[task]; ok {
			if n.TaskRuntimes == nil {
				n.TaskRuntimes = map[wire.TaskID]float64{}
			}
			n.TaskRuntimes[task] = float64(int(10*time.Since(begun).Seconds())) / 10
		}
	}
	wait := time.Duration(0)
	if w := r.assignedScheduler(); w != "" && w != r.config.MemberName {
		wait = r.config.Params.Workers.Heartbeats(2)
		if !r.routes.SendEvidence(w, n) {
			unreached = w
		}
	}
	r.routes.ApplyEvidence(n, wait)
	return unreached
}

// assignedScheduler is the controller that writes what is bound: the one that the teams
// are handed to.
func (r *Receiver) assignedScheduler() string {
	for _, h := range r.view.Assignments {
		if m := r.view.Members[h.Member]; m != nil && m.Incarnation == h.Incarnation {
			return h.Member
		}
	}
	return ""
}
