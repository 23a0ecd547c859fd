package rent

import (
	"log/slog"
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/place"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// countErrors tells a faulty machine from a faulty job: a job fails on every
// machine, a faulty machine fails whatever job it is given.
func (r *Renter) countErrors(gone []statecache.Termination) {
	for i := range gone {
		g := &gone[i]
		b := r.view.Machines[g.Machine]
		if b == nil {
			continue
		}
		failed := r.contact(g.Machine).failedJobs
		switch g.Reason {
		case wire.ReasonCompleted:
			clear(failed)
		case wire.ReasonError:
			failed[g.Job] = true
		}
		if len(failed) >= faultyJobs && b.DrainReason == "" && r.leads() {
			slog.Warn("machine looks faulty", "machine", g.Machine, "type", b.MachineType, "zone", b.Zone, "failed_jobs", len(failed))
			r.edit(g.Machine, edit{drain: "faulty"})
		}
	}
}

// faultyJobs is how many jobs must fail on a machine, with no success between.
const faultyJobs = 3

// hearing is which machines the leader hears.
type hearing struct {
	all         int            // machines that have been up
	up, unheard map[string]int // by zone; unheard: for more than a report
	doubtful    []string       // to be marked as suspected
	silent      []string       // heard by nobody, and they answer no probe
}

// cutOff tells whether a zone looks cut off: most of its machines are silent at once, and
// they are not just a few.
func (h *hearing) cutOff(zone string) bool {
	return h.unheard[zone] >= cutFrom && 2*h.unheard[zone] > h.up[zone]
}

// mostSilent tells whether most machines of all zones are silent: rather this controller
// hears nobody.
func (h *hearing) mostSilent() bool { return 2*len(h.silent) > h.all }

// watch looks for machines that are lost: never up, silent or unlisted. A
// machine is never taken for gone; it is returned, which makes it so.
func (r *Renter) watch() {
	if !r.leads() {
		return
	}
	now := time.Now()
	h := r.listen(now)
	for _, m := range h.doubtful {
		r.edit(m, edit{suspected: true})
	}
	r.tidy()
	r.flush()
	r.remove()
	r.returnSilent(now, h)
}

// listen finds out which machines are heard, and probes those that aren't.
func (r *Renter) listen(now time.Time) *hearing {
	report := r.reports(1)
	silence := r.reports(r.cfg.Operator.UnreachableHeartbeats)
	h := &hearing{up: map[string]int{}, unheard: map[string]int{}}
	for m, b := range r.view.Machines {
		if b.Terminating { // it is being deleted
			continue
		}
		if b.Incarnation == 0 {
			r.awaitBoot(now, m, b)
			continue
		}
		h.all++
		h.up[b.Zone]++
		known := r.contact(m)
		since := now.Sub(known.heard)
		if since > report*3/2 {
			r.probe(m, b)
			h.unheard[b.Zone]++
		}
		if (since > silence*2/3 || known.mute) && !b.Suspected {
			h.doubtful = append(h.doubtful, m)
		}
		if since > silence && known.unanswered.After(known.heard) {
			h.silent = append(h.silent, m)
		}
	}
	return h
}

// awaitBoot returns a machine that was started long ago and never reported.
func (r *Renter) awaitBoot(now time.Time, m string, b *statecache.Machine) {
	if age := now.Sub(time.UnixMilli(b.ProvisionedAt)); age > config.Seconds(r.bootS(b.MachineType)*r.cfg.Operator.BootTimeoutMultiple) {
		r.close(m, "never came up")
	}
}

// reports is a number of the workers' report intervals.
func (r *Renter) reports(n float64) time.Duration {
	return config.Seconds(r.cfg.Params.Workers.HeartbeatInterval * n)
}

// markedReports is for how many report intervals a machine has to be marked as suspected
// before it is returned. A leader that is cut off from the workers hears none, and then
// the mesh may be silent too: others have that time to take the mark away.
const markedReports = 4.0 / 3

// returnSilent returns machines that are silent, but for those that had better be kept.
func (r *Renter) returnSilent(now time.Time, h *hearing) {
	var others []*place.Node // made once, for there may be many silent machines
	for _, m := range h.silent {
		row, known := r.view.Machines[m], r.contact(m)
		if !row.Suspected || now.Sub(known.marked) < r.reports(markedReports) || r.mayReturn(row, now.Sub(known.heard), h) {
			continue
		}
		if now.Sub(known.heard) < r.keptFor() {
			if others == nil {
				others = r.openNodes()
			}
			if !r.replaceable(row, others) {
				continue
			}
		}
		r.close(m, statecache.DrainUnreachable)
	}
}

// keptFor is for how long a silent machine may be kept. One that stopped is listed as
// failed long before; one that is cut off ends its tasks after a lease, but may be back
// sooner than another.
func (r *Renter) keptFor() time.Duration {
	return config.Seconds(2 * r.cfg.Params.Workers.LeaseDuration)
}

// mayReturn tells whether a silent machine is rather cut off than lost. It will be back
// with its images, and a new one in its place would not be heard either. While a zone
// recovers, the last to be heard again are as little lost as the first.
func (r *Renter) mayReturn(m *statecache.Machine, silentFor time.Duration, h *hearing) bool {
	switch {
	case silentFor >= r.keptFor():
		return false
	case h.mostSilent():
		return true
	case h.cutOff(m.Zone) || r.zones.Recovers(r.view.ZoneRecoveries, m.Zone):
		return !r.zones.Evacuates(r.view, m, silentFor)
	}
	return false
}

// cutFrom is the least number of silent machines by which a zone is taken for
// cut off: fewer may well have died.
const cutFrom = 5

// openNodes are the machines that take tasks, but for those of lost zones, as far as
// replicas fill them: work of lower priority makes room.
func (r *Renter) openNodes() []*place.Node {
	types := map[string]*wire.MachineType{}
	for i := range r.types {
		types[r.types[i].Name] = &r.types[i]
	}
	nodes := make([]*place.Node, 0, len(r.view.Machines))
	for m, b := range r.view.Machines {
		if types[b.MachineType] == nil || !b.Schedulable() || r.zones.Lost(r.view.ZoneRecoveries, b.Zone) {
			continue
		}
		n := &place.Node{Name: m, Type: types[b.MachineType], Zone: b.Zone, Spot: b.Spot}
		for i := range b.Bindings {
			if j := r.view.Jobs[b.Bindings[i].Job]; j != nil && j.Spec != nil && j.Spec.Priority == wire.PriorityProduction {
				n.Used = n.Used.Plus(place.RequestOf(j.Spec), 1)
			}
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// replaceable tells whether all replicas of a silent machine have room on other nodes.
// If not, it is kept for as long as its lease may run: a machine that is cut off goes on
// serving, a new one takes its time to boot, and the cloud may have none.
func (r *Renter) replaceable(silent *statecache.Machine, nodes []*place.Node) bool {
	before := map[*place.Node]place.Resources{}
	defer func() { // the next silent machine is judged for itself
		for n, used := range before {
			n.Used = used
		}
	}()
	for _, t := range silent.Bindings {
		j := r.view.Jobs[t.Job]
		if j == nil || !j.Active() || !j.Spec.IsService() {
			continue
		}
		zones := place.ZonesOf(r.view, t.Job)
		zones[silent.Zone]--
		need := place.RequestOf(j.Spec)
		i := slices.IndexFunc(nodes, func(n *place.Node) bool { return n.CanTake(j.Spec, need, zones) })
		if i < 0 {
			return false
		}
		n := nodes[i]
		if _, changed := before[n]; !changed {
			before[n] = n.Used
		}
		n.Used = n.Used.Plus(need, 1)
	}
	return true
}

// probe asks a silent machine directly.
func (r *Renter) probe(m string, b *statecache.Machine) {
	known := r.contact(m)
	if known.probing {
		return
	}
	known.probing = true
	go func() {
		rep, err := r.prober.Inspect(r.ctx, b.Address)
		r.Send(func() { r.probed(m, b.Incarnation, rep, err) })
	}()
}

// probed takes what a silent machine said, or didn't. One that answers is not
// lost, it may just have no way to whom it reports. But if its lease has run out
// meanwhile, it loses all it is given again and again: from then on its answers
// don't count, until a report comes from it.
func (r *Renter) probed(m string, session uint64, rep *wire.Heartbeat, err error) {
	known := r.contacts[m]
	if known == nil {
		return // it was returned meanwhile
	}
	known.probing = false
	now := time.Now()
	if err != nil || rep.Machine != m {
		known.unanswered = now
		return
	}
	if rep.Incarnation > session && !known.mute {
		slog.Info("machine answers, but its reports reach nobody", "machine", m, "session", rep.Incarnation)
		known.mute = true
	}
	if known.mute {
		known.unanswered = now
	} else {
		known.heard = now
	}
	r.report(rep)
}
