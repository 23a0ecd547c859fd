package autoscaler

import (
	"log/slog"
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/scheduler"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// detectFaultyMachines tells a faulty machine from a faulty job: a job fails on every
// machine, a faulty machine fails whatever job it is given.
func (r *Autoscaler) detectFaultyMachines(gone []statecache.Termination) {
	for i := range gone {
		g := &gone[i]
		b := r.view.Machines[g.Machine]
		if b == nil {
			continue
		}
		failed := r.livenessOf(g.Machine).failedJobs
		switch g.Reason {
		case wire.ReasonCompleted:
			clear(failed)
		case wire.ReasonError:
			failed[g.Job] = true
		}
		if len(failed) >= faultyJobThreshold && b.DrainReason == "" && r.isLeader() {
			slog.Warn("machine looks faulty", "machine", g.Machine, "type", b.MachineType, "zone", b.Zone, "failed_jobs", len(failed))
			r.enqueueUpdate(g.Machine, machineUpdate{drainReason: "faulty"})
		}
	}
}

// faultyJobThreshold is how many jobs must fail on a machine, with no success between.
const faultyJobThreshold = 3

// livenessSurvey is which machines the leader hears.
type livenessSurvey struct {
	started                              int               // machines that have been up
	startedByZone, missedHeartbeatByZone map[wire.Zone]int // by zone; unheard: for more than a report
	toSuspect                            []wire.MachineID  // to be marked as suspected
	unreachable                          []wire.MachineID  // heard by nobody, and they answer no probe
}

// zonePartitioned tells whether a zone looks cut off: most of its machines are silent at once, and
// they are not just a few.
func (h *livenessSurvey) zonePartitioned(zone wire.Zone) bool {
	return h.missedHeartbeatByZone[zone] >= minPartitionedMachines && 2*h.missedHeartbeatByZone[zone] > h.startedByZone[zone]
}

// mostUnreachable tells whether most machines of all zones are silent: rather this controller
// hears nobody.
func (h *livenessSurvey) mostUnreachable() bool { return 2*len(h.unreachable) > h.started }

// checkLiveness looks for machines that are lost: never up, silent or unlisted. A
// machine is never taken for gone; it is returned, which makes it so.
func (r *Autoscaler) checkLiveness() {
	if !r.isLeader() {
		return
	}
	now := time.Now()
	h := r.surveyLiveness(now)
	for _, m := range h.toSuspect {
		r.enqueueUpdate(m, machineUpdate{suspected: true})
	}
	r.reconcileMachines()
	r.flush()
	r.terminateMachines()
	r.scaleInUnreachable(now, h)
}

// surveyLiveness finds out which machines are heard, and probes those that aren't.
func (r *Autoscaler) surveyLiveness(now time.Time) *livenessSurvey {
	report := r.config.Params.Workers.Heartbeats(1)
	silence := r.config.Params.Workers.Heartbeats(r.config.Operator.UnreachableHeartbeats)
	h := &livenessSurvey{startedByZone: map[wire.Zone]int{}, missedHeartbeatByZone: map[wire.Zone]int{}}
	for m, b := range r.view.Machines {
		if b.Terminating { // it is being deleted
			continue
		}
		if b.Incarnation == 0 {
			r.checkBootTimeout(now, m, b)
			continue
		}
		h.started++
		h.startedByZone[b.Zone]++
		known := r.livenessOf(m)
		since := now.Sub(known.lastReachable)
		if since > report*3/2 {
			r.probe(m, b)
			h.missedHeartbeatByZone[b.Zone]++
		}
		if (since > silence*2/3 || known.outboundPartitioned) && !b.Suspected {
			h.toSuspect = append(h.toSuspect, m)
		}
		if since > silence && known.lastFailedProbe.After(known.lastReachable) {
			h.unreachable = append(h.unreachable, m)
		}
	}
	return h
}

// checkBootTimeout returns a machine that was started long ago and never reported.
func (r *Autoscaler) checkBootTimeout(now time.Time, m wire.MachineID, b *statecache.Machine) {
	if age := now.Sub(b.ProvisionedAt.Time()); age > config.Seconds(r.bootSeconds(b.MachineType)*r.config.Operator.BootTimeoutMultiple) {
		r.scaleIn(m, "never came up")
	}
}

// suspicionHeartbeats is for how many report intervals a machine has to be marked as suspected
// before it is returned. A leader that is cut off from the workers hears none, and then
// the mesh may be silent too: others have that time to take the mark away.
const suspicionHeartbeats = 4.0 / 3

// scaleInUnreachable returns machines that are silent, but for those that had better be kept.
func (r *Autoscaler) scaleInUnreachable(now time.Time, h *livenessSurvey) {
	var others []*scheduler.Node // made once, for there may be many silent machines
	for _, m := range h.unreachable {
		row, known := r.view.Machines[m], r.livenessOf(m)
		if !row.Suspected || now.Sub(known.suspectedAt) < r.config.Params.Workers.Heartbeats(suspicionHeartbeats) || r.mayRecover(row, now.Sub(known.lastReachable), h) {
			continue
		}
		if now.Sub(known.lastReachable) < r.maxUnreachableRetention() {
			if others == nil {
				others = r.schedulableNodes()
			}
			if !r.canReplaceReplicas(row, others) {
				continue
			}
		}
		r.scaleIn(m, statecache.DrainUnreachable)
	}
}

// maxUnreachableRetention is for how long a silent machine may be kept. One that stopped is listed as
// failed long before; one that is cut off ends its tasks after a lease, but may be back
// sooner than another.
func (r *Autoscaler) maxUnreachableRetention() time.Duration {
	return r.config.Params.Workers.Leases(2)
}

// mayRecover tells whether a silent machine is rather cut off than lost. It will be back
// with its images, and a new one in its place would not be heard either. While a zone
// recovers, the last to be heard again are as little lost as the first.
func (r *Autoscaler) mayRecover(m *statecache.Machine, silentFor time.Duration, h *livenessSurvey) bool {
	switch {
	case silentFor >= r.maxUnreachableRetention():
		return false
	case h.mostUnreachable():
		return true
	case h.zonePartitioned(m.Zone) || r.zoneRecovery.IsRecovering(r.view.ZoneRecoveries, m.Zone):
		return !r.zoneRecovery.ShouldEvacuate(r.view, m, silentFor)
	}
	return false
}

// minPartitionedMachines is the least number of silent machines by which a zone is taken for
// cut off: fewer may well have died.
const minPartitionedMachines = 5

// schedulableNodes are the machines that take tasks, but for those of lost zones, as far as
// replicas fill them: work of lower priority makes room.
func (r *Autoscaler) schedulableNodes() []*scheduler.Node {
	types := map[string]*wire.MachineType{}
	for i := range r.machineTypes {
		types[r.machineTypes[i].Name] = &r.machineTypes[i]
	}
	nodes := make([]*scheduler.Node, 0, len(r.view.Machines))
	for m, b := range r.view.Machines {
		if types[b.MachineType] == nil || !b.Schedulable() || r.zoneRecovery.IsLost(r.view.ZoneRecoveries, b.Zone) {
			continue
		}
		n := &scheduler.Node{Name: m, MachineType: types[b.MachineType], Zone: b.Zone, Spot: b.Spot}
		for i := range b.Bindings {
			if j := r.view.Jobs[b.Bindings[i].Job]; j != nil && j.Spec != nil && j.Spec.Priority == wire.PriorityProduction {
				n.Used = n.Used.Plus(resources.OfTask(j.Spec), 1)
			}
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// canReplaceReplicas tells whether all replicas of a silent machine have room on other nodes.
// If not, it is kept for as long as its lease may run: a machine that is cut off goes on
// serving, a new one takes its time to boot, and the cloud may have none.
func (r *Autoscaler) canReplaceReplicas(silent *statecache.Machine, nodes []*scheduler.Node) bool {
	before := map[*scheduler.Node]resources.Vector{}
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
		zones := placement.ZoneCountsOf(r.view, t.Job)
		zones[silent.Zone]--
		need := resources.OfTask(j.Spec)
		i := slices.IndexFunc(nodes, func(n *scheduler.Node) bool { return n.CanTake(j.Spec, need, zones) })
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
func (r *Autoscaler) probe(m wire.MachineID, b *statecache.Machine) {
	known := r.livenessOf(m)
	if known.probing {
		return
	}
	known.probing = true
	go func() {
		rep, err := r.prober.Inspect(r.ctx, b.Address)
		r.Send(func() { r.handleProbeResponse(m, b.Incarnation, rep, err) })
	}()
}

// handleProbeResponse takes what a silent machine said, or didn't. One that answers is not
// lost, it may just have no way to whom it reports. But if its lease has run out
// meanwhile, it loses all it is given again and again: from then on its answers
// don't count, until a report comes from it.
func (r *Autoscaler) handleProbeResponse(m wire.MachineID, session uint64, rep *wire.Heartbeat, err error) {
	known := r.liveness[m]
	if known == nil {
		return // it was returned meanwhile
	}
	known.probing = false
	now := time.Now()
	if err != nil || rep.Machine != m {
		known.lastFailedProbe = now
		return
	}
	if rep.Incarnation > session && !known.outboundPartitioned {
		slog.Info("machine answers, but its reports reach nobody", "machine", m, "session", rep.Incarnation)
		known.outboundPartitioned = true
	}
	if known.outboundPartitioned {
		known.lastFailedProbe = now
	} else {
		known.lastReachable = now
	}
	r.onProbeResponse(rep)
}
