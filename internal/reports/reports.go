// Package reports answers the workers' reports, and passes on what they prove
// to the controller that writes it.
package reports

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/place"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Reply answers a report: 200 with a body, or 421 towards another node, or
// 503 when neither is possible.
type Reply struct {
	Accept   bool
	Body     wire.HeartbeatResponse
	ReportTo string
}

// Links are a reports actor's ways to the rest of its controller.
type Links struct {
	// Elsewhere names a controller with a fresh view, or nothing.
	Elsewhere func() string
	// Alone tells whether there are other controllers, but none is heard.
	Alone func() bool
	// Note gives what a report proves to this controller's placer, which writes
	// it after wait unless another has.
	Note func(n place.Observation, wait time.Duration)
	// Tell passes it on to another controller; false if that is out of reach.
	Tell func(member string, n place.Observation) bool
}

// Reports is the actor that hears the workers.
type Reports struct {
	*actor.Actor
	cfg    *config.Config
	boot   uint64
	ledger *statecache.Cache
	to     Links

	view     *statecache.View
	fresh    time.Time
	heard    map[string]bool
	seenBy   []func(machines []string)
	last     map[string]*contact
	sentAway map[string]bool // machines sent away since the view was fresh last
}

// contact is what this node knows of a machine from hearing it.
type contact struct {
	session, seq uint64
	answered     uint64    // the token of the first answer that the machine has not acknowledged
	since        time.Time // when that was given
	deaf         bool
	sent         time.Time            // when it was sent to the controller that writes
	began        map[string]time.Time // tasks: first seen running
}

// Start runs the actor.
func Start(ctx context.Context, cfg *config.Config, boot uint64, l *statecache.Cache, to Links) *Reports {
	r := &Reports{
		Actor: actor.Start(ctx, "reports", 512), cfg: cfg, boot: boot, ledger: l, to: to,
		view:  statecache.NewUnfinishedView(statecache.ChunkTasks(cfg.Params.Store.MaxValueKB)),
		heard: map[string]bool{}, last: map[string]*contact{}, sentAway: map[string]bool{},
	}
	l.Subscribe(func(d statecache.Update) { r.Send(func() { r.apply(d) }) })
	r.Every(config.Seconds(cfg.Params.Workers.HeartbeatInterval/3), r.announceHeard)
	return r
}

// Heard registers a receiver of the machines that reported lately; to be
// called before the first report.
func (r *Reports) Heard(f func(machines []string)) { r.seenBy = append(r.seenBy, f) }

func (r *Reports) apply(d statecache.Update) {
	if d.FreshAsOf.After(r.fresh) {
		r.fresh = d.FreshAsOf
		clear(r.sentAway)
	}
	for _, c := range d.Changes {
		for _, b := range r.view.Apply(c) {
			if b.New == nil {
				delete(r.last, b.Machine)
			} else if k := r.last[b.Machine]; k != nil {
				for _, t := range statecache.UnboundTasks(b.Old, b.New) {
					delete(k.began, t.TaskName())
				}
			}
		}
	}
}

// announceHeard tells who was heard.
func (r *Reports) announceHeard() {
	if len(r.heard) == 0 {
		return
	}
	list := make([]string, 0, len(r.heard))
	for m := range r.heard {
		list = append(list, m)
	}
	clear(r.heard)
	for _, f := range r.seenBy {
		f(list)
	}
}

// renewalWindow is the time between the last moment at which this node surely knew
// every cancellation and the moment at which it must stop renewing leases.
func (r *Reports) renewalWindow() time.Duration {
	w := r.cfg.Params.Workers
	return config.Seconds(w.CancellationDeadline - w.LeaseDuration - cancelMargin*w.HeartbeatInterval)
}

// cancelMargin, in report intervals, is left for clocks that drift and for
// workers that look at their leases now and then. A lease counts from when the
// report was sent, so answers under way need none.
const cancelMargin = 0.5

// refuses tells whether this node must not, or had better not, answer a worker.
// Beyond spare, renewing leases could keep a cancelled task beyond its time.
// Workers that another controller can serve are sent to it long before that.
// A node that hears no other can't tell its own isolation from an outage for
// all: it sends each worker away once, to look for a better one, and goes on
// answering those that come back.
func (r *Reports) refuses(machine string, age time.Duration) bool {
	switch {
	case age > r.renewalWindow():
		return true
	case age <= min(r.renewalWindow()/2, config.Seconds(r.cfg.Params.Workers.HeartbeatInterval)):
		return false
	case r.to.Elsewhere() != "":
		return true
	case r.to.Alone() && !r.sentAway[machine]:
		r.sentAway[machine] = true
		return true
	}
	return false
}

// contact is what is known of a machine; news is false for a copy or a report
// older than one heard before: it says nothing of the machine as it is now.
func (r *Reports) contact(rep *wire.Heartbeat) (k *contact, news bool) {
	k = r.last[rep.Machine]
	if k == nil {
		k = &contact{began: map[string]time.Time{}}
		if r.view.Machines[rep.Machine] != nil { // not for strangers: there may be any number
			r.last[rep.Machine] = k
		}
	}
	if rep.Incarnation < k.session || rep.Incarnation == k.session && rep.Sequence <= k.seq {
		return k, false
	}
	k.session, k.seq = rep.Incarnation, rep.Sequence
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		if _, ok := k.began[t.Task]; !ok && t.State == wire.TaskRunning {
			k.began[t.Task] = time.Now()
		}
	}
	if rep.FencingToken >= k.answered {
		k.answered, k.since, k.deaf = 0, time.Time{}, false
	}
	return k, true
}

// Handle takes a report that came as an answer to direct commands: what it
// proves counts, but nobody waits for orders. It is no sign that the machine's own
// reports, which alone keep its lease, reach anybody.
func (r *Reports) Handle(rep *wire.Heartbeat) {
	r.Post(func() {
		rec := r.view.Machines[rep.Machine]
		if rec == nil {
			return
		}
		k, _ := r.contact(rep)
		proof := place.Reconcile(rec, rep, r.view.Active)
		r.forward(rep, k, &proof)
	})
}

// Report answers a worker; reply runs in the actor.
func (r *Reports) Report(rep *wire.Heartbeat, reply func(Reply)) { r.answer(rep, reply, true) }

// answer answers by the view as it is, or, if it may be too old for this report, once
// after it was refreshed.
func (r *Reports) answer(rep *wire.Heartbeat, reply func(Reply), mayRefresh bool) {
	now := time.Now()
	rec := r.view.Machines[rep.Machine]
	if r.refuses(rep.Machine, now.Sub(r.fresh)) {
		r.refuse(rep, rec, reply)
		return
	}
	if mayRefresh && outdated(rec, rep) {
		r.refreshAndAnswer(rep, reply)
		return
	}
	if rec == nil {
		// The leader adopts a machine that it finds in the cloud's list. Its
		// report alone may be a late copy, of a machine that was returned.
		reply(Reply{})
		return
	}
	k, news := r.contact(rep)
	proof := place.Reconcile(rec, rep, r.view.Active)
	writer := r.forward(rep, k, &proof)
	if writer != "" && now.Sub(k.sent) > config.Seconds(2*r.cfg.Params.Workers.HeartbeatInterval) {
		k.sent = now
		r.hear(rep, k, news, now)
		reply(Reply{ReportTo: writer})
		return
	}
	if rep.FencingToken > rec.FencingToken {
		slog.Warn("worker has seen a token beyond its record", "machine", rep.Machine, "token", rep.FencingToken, "record", rec.FencingToken)
		reply(Reply{})
		return
	}
	r.hear(rep, k, news, now)
	if r.overdue(rec, now) {
		// A cancelled task is still bound here: let the lease run out. What the
		// report proves counts all the same, or the machine would be refused for
		// ever: that its session is a new one may be the proof.
		slog.Warn("cancelled work still on machine; its lease is not renewed", "machine", rep.Machine)
		reply(Reply{})
		return
	}
	if k.answered == 0 && rep.FencingToken < rec.FencingToken {
		k.answered, k.since = rec.FencingToken, now
	}
	reply(Reply{Accept: true, Body: wire.HeartbeatResponse{FencingToken: rec.FencingToken, Commands: r.orders(&proof, now)}})
}

// outdated tells whether a report shows that its machine's record has changed since it was
// read. A later session than the first is a reason to look, since another controller may
// have written it.
func outdated(rec *statecache.Machine, rep *wire.Heartbeat) bool {
	return rec == nil || rep.FencingToken > rec.FencingToken || rep.Incarnation > rec.Incarnation && rec.Incarnation > 0
}

func (r *Reports) refreshAndAnswer(rep *wire.Heartbeat, reply func(Reply)) {
	r.ledger.Refresh(func(err error) {
		r.Send(func() {
			if err != nil {
				reply(Reply{ReportTo: r.to.Elsewhere()})
				return
			}
			r.answer(rep, reply, false)
		})
	})
}

// refuse sends a worker away. It is heard all the same: after an outage the leader must
// not take every machine for silent.
func (r *Reports) refuse(rep *wire.Heartbeat, rec *statecache.Machine, reply func(Reply)) {
	if rec != nil {
		if k, news := r.contact(rep); news && !k.deaf {
			r.heard[rep.Machine] = true
		}
	}
	reply(Reply{ReportTo: r.to.Elsewhere()})
}

// hear counts a machine as heard if its report is news, and the machine hears too.
func (r *Reports) hear(rep *wire.Heartbeat, k *contact, news bool, now time.Time) {
	if news && !r.deaf(rep, k, now) {
		r.heard[rep.Machine] = true
	}
}

// orders are those that a report calls for, but for launches if the view is too old for
// them: a job may have been cancelled since. Its tasks that run are kept within cancel_s by
// their lease, but none may start any more.
func (r *Reports) orders(proof *place.Proof, now time.Time) []wire.Command {
	orders := proof.Orders
	if now.Sub(r.fresh) > place.LaunchAge(r.cfg) {
		orders = slices.DeleteFunc(orders, func(o wire.Command) bool { return o.Op == wire.OpLaunch })
	}
	if orders == nil {
		return []wire.Command{}
	}
	return orders
}

// deaf tells whether a machine is heard, but doesn't hear: it was answered
// with a token that its reports still don't show two reports later. Such a
// machine doesn't count as heard, so the leader marks and returns it.
func (r *Reports) deaf(rep *wire.Heartbeat, k *contact, now time.Time) bool {
	was := k.deaf
	k.deaf = k.answered > 0 && now.Sub(k.since) > config.Seconds(deafReports*r.cfg.Params.Workers.HeartbeatInterval)
	if k.deaf && !was {
		slog.Info("machine doesn't hear", "machine", rep.Machine, "token", rep.FencingToken, "answered", k.answered)
	}
	return k.deaf
}

// deafReports is for how many report intervals a machine may show no sign of
// what it was answered.
const deafReports = 2.5

// overdue tells whether a task of a job cancelled long ago is still bound.
func (r *Reports) overdue(rec *statecache.Machine, now time.Time) bool {
	for i := range rec.Bindings {
		j := r.view.Jobs[rec.Bindings[i].Job]
		if j != nil && j.State == wire.JobCancelled && now.Sub(time.UnixMilli(j.FinishedAt)) > r.renewalWindow() {
			return true
		}
	}
	return false
}

// forward gives what a report proves to the controller that writes it. This one's
// placer keeps it too, for the case that the other is lost. If the other is out
// of reach, forward returns its name: the worker had better tell it. That each
// controller wrote its own part would be many small writes that hinder each
// other.
func (r *Reports) forward(rep *wire.Heartbeat, k *contact, proof *place.Proof) (unreached string) {
	if !proof.Changes() {
		return ""
	}
	n := place.Observation{Report: rep}
	for i := range proof.Gone {
		task := proof.Gone[i].TaskName()
		if begun, ok := k.began[task]; ok {
			if n.RanS == nil {
				n.RanS = map[string]float64{}
			}
			n.RanS[task] = float64(int(10*time.Since(begun).Seconds())) / 10
		}
	}
	wait := time.Duration(0)
	if w := r.writer(); w != "" && w != r.cfg.MemberName {
		wait = config.Seconds(2 * r.cfg.Params.Workers.HeartbeatInterval)
		if !r.to.Tell(w, n) {
			unreached = w
		}
	}
	r.to.Note(n, wait)
	return unreached
}

// writer is the controller that writes what is bound: the one that the teams
// are handed to.
func (r *Reports) writer() string {
	for _, h := range r.view.Assignments {
		if m := r.view.Members[h.Member]; m != nil && m.Incarnation == h.Incarnation {
			return h.Member
		}
	}
	return ""
}
