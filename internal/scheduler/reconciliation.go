package scheduler

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"lynxledge/internal/reconcile"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// finishCompletedJobs ends jobs whose last tasks are marked already.
func (p *Scheduler) finishCompletedJobs(r *cycle, placing bool) {
	for job, since := range p.fullyCompletedSince {
		if !p.view.AllTasksCompleted(job) {
			delete(p.fullyCompletedSince, job)
		} else if placing || r.now.Sub(since) > p.config.Params.Workers.Heartbeats(1) {
			p.finishJob(r, job)
		}
	}
}

// storeDependencyCancellations stores that jobs are cancelled with a predecessor, a few at a time:
// everybody derives it, so there is no haste, but what is over for good need not be
// followed any more.
func (p *Scheduler) storeDependencyCancellations(r *cycle, placing bool) {
	for id, j := range p.cancelledDependents {
		if !placing || r.ops() >= r.limit/2 || !p.canAddPrecondition(r) {
			return
		}
		r.cancellations[id] = j.Cancelled(j.FinishedAt)
		r.jobPreconditions[id] = j.ModRevision
	}
}

// finishJob calls a job done once all its tasks are, as far as the commit has room.
func (p *Scheduler) finishJob(r *cycle, job wire.JobID) {
	j := p.view.Jobs[job]
	if !p.view.Active(job) || r.finishedJobs[job] > 0 || p.view.CompletedCount(job)+r.completed[job] < j.TaskCount {
		return
	}
	chunks := len(p.view.CompletionChunks[job])
	if r.ops()+1+min(chunks, p.config.Params.Store.TxnOpsLimit()/2) > r.limit || !p.canAddPrecondition(r) {
		return
	}
	r.finishedJobs[job] = 1 + min(chunks, r.limit-r.ops()-1)
	r.jobPreconditions[job] = j.ModRevision
	at := j.SubmittedAt.Time()
	r.onCommitted = append(r.onCommitted, func() { slog.Debug("job done", "job", job, "age_s", int(time.Since(at).Seconds())) })
}

// applyPendingEvidence applies what reports prove, a few groups at a time. Those go first
// whose empty places have stood empty longest, all taken together: a group of one
// machine then takes a write for one task seldom, where writes are short, and one
// in which many tasks end often. Nothing waits for more than a report. When jobs
// wait for room, some writes are left for groups that have it.
func (p *Scheduler) applyPendingEvidence(r *cycle, placing, queued bool) {
	// A writer that is slow is not dead: others that wrote for it made its guards
	// fail, and it slower yet.
	idle := r.now.Sub(p.lastTermination) > p.config.Params.Workers.Heartbeats(1)
	type due struct {
		group string
		late  bool
		empty float64 // seconds, of all places
	}
	var groups []due
	for g, machines := range p.pendingEvidence {
		d := due{group: g, empty: -1}
		for m, n := range machines {
			rec := p.view.Machines[m]
			if rec == nil || rec.Group != g {
				delete(machines, m)
				continue
			}
			waits := r.now.Sub(n.applyAt)
			if placing || waits > 0 && (idle || waits > p.config.Params.Workers.LeaseDuration) {
				d.empty = max(d.empty, 0) + waits.Seconds()*float64(max(n.exitedTasks, 1))
				d.late = d.late || waits > p.config.Params.Workers.Heartbeats(1)
			}
		}
		if len(machines) == 0 {
			delete(p.pendingEvidence, g)
		} else if d.empty >= 0 {
			groups = append(groups, d)
		}
	}
	slices.SortFunc(groups, func(a, b due) int {
		if a.late != b.late {
			if a.late {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.empty, a.empty)
	})
	limit := r.limit
	if queued {
		limit -= r.limit / 4
	}
	for _, g := range groups {
		if r.ops() >= limit || r.isFull() {
			return
		}
		for m, n := range p.pendingEvidence[g.group] {
			rec := p.view.Machines[m]
			proof := reconcile.Heartbeat(rec, n.Heartbeat, p.view.Active)
			if !proof.RequiresUpdate() {
				delete(p.pendingEvidence[g.group], m)
				continue
			}
			p.applyReconciliation(r, rec, n, &proof)
		}
		if d := r.groupUpdates[g.group]; d != nil {
			p.compactCompletions(r, d)
			d.size = d.RetainedSize() // what left, and marks that were folded, make room for others
		}
	}
}

// applyReconciliation rewrites a machine's row by what a report proves.
func (p *Scheduler) applyReconciliation(r *cycle, rec *statecache.Machine, n *pendingEvidence, proof *reconcile.Result) {
	d := p.openGroup(r, rec.Group)
	if d == nil {
		return
	}
	m, rep := rec.Name, n.Heartbeat
	next := d.UpdateMachine(m)
	next.FencingToken = max(next.FencingToken, rep.FencingToken+1)
	if proof.NewIncarnation {
		next.Incarnation, next.Address = rep.Incarnation, rep.Address
		d.size += len(rep.Address)
		r.onCommitted = append(r.onCommitted, func() {
			slog.Info("machine up", "machine", m, "session", next.Incarnation, "type", next.MachineType, "zone", next.Zone, "spot", next.Spot)
		})
	}
	next.Suspected = next.Suspected && !proof.ReachableAgain
	if proof.PreemptionNotice {
		next.DrainReason = "spot-notice"
	}
	for _, f := range proof.ToFence {
		if b := next.FindBinding(f.Job, f.TaskIndex); b != nil {
			b.StopToken = next.FencingToken
		}
	}
	for _, g := range proof.Terminated {
		g.Runtime = wire.Seconds(n.TaskRuntimes[g.TaskID()])
		if g.Reason == wire.ReasonCompleted && p.view.Active(g.Job) && !p.view.IsCompleted(g.Job, g.TaskIndex) {
			d.MarkCompleted(g.Job, g.TaskIndex)
			r.completed[g.Job]++
			d.size += 8
		}
		next.Bindings = slices.DeleteFunc(next.Bindings, func(b statecache.TaskBinding) bool { return b.Job == g.Job && b.TaskIndex == g.TaskIndex })
		d.Terminations = append(d.Terminations, g)
		r.terminated++
		r.terminationBytes += statecache.TerminationBytes(&g)
		if j := p.view.Jobs[g.Job]; j != nil && j.Spec != nil {
			r.usage[j.Spec.Team] = r.usage[j.Spec.Team].Plus(resources.OfTask(j.Spec), -1)
		}
		if g.Reason != wire.ReasonCompleted {
			r.onCommitted = append(r.onCommitted, func() { slog.Info("task left machine", "task", g.TaskID(), "machine", m, "why", g.Reason) })
		}
	}
	if node := p.nodes[m]; node != nil {
		p.loadNode(node, next)
	}
}

// compactCompletions moves a job's marks from a record that fills up into its done set. What
// the record says of tasks that left doesn't count: it is gone with the next
// write, and left out where there is no room. Counted, a group in which many
// tasks ended at once took all writes of a round to fold marks.
func (p *Scheduler) compactCompletions(r *cycle, d *groupUpdate) {
	if r.splitParts[d.Name] > 0 {
		return // there is room for the marks elsewhere
	}
	for d.RetainedSize() > p.valueSizeShare(compactionFillShare) && r.ops() < r.limit && p.canAddPrecondition(r) {
		most := wire.JobID("")
		for job, ns := range d.Completions {
			if r.finishedJobs[job] == 0 && len(ns) > len(d.Completions[most]) {
				most = job
			}
		}
		if most == "" {
			return
		}
		id := p.completionChunkFor(r, most, d.Completions[most][0])
		var bits, rest []int
		for _, n := range d.Completions[most] {
			if p.completionChunkFor(r, most, n) == id {
				_, bit := p.view.CompletionChunkOf(n)
				bits = append(bits, bit-max(0, id.FirstTask))
			} else {
				rest = append(rest, n)
			}
		}
		key := statecache.CompletionChunkKey(most, id)
		set := r.completionChunks[key]
		if set == nil {
			set = p.view.CompletionChunks[most][id]
		}
		r.completionChunks[key] = set.With(bits...)
		r.jobPreconditions[most] = p.view.Jobs[most].ModRevision
		if d.Completions[most] = rest; len(rest) == 0 {
			delete(d.Completions, most)
		}
	}
}

// completionChunkFor is the record of a job's done set that takes a task. A whole chunk takes
// what fits into it under the service's limit. While nothing says that the limit has
// fallen it takes everything, since a version that doesn't know parts may serve.
func (p *Scheduler) completionChunkFor(r *cycle, job wire.JobID, task int) statecache.CompletionChunkID {
	chunk, bit := p.view.CompletionChunkOf(task)
	id := statecache.CompletionChunkID{Chunk: chunk, FirstTask: statecache.WholeChunk}
	if !p.storeLimits.LowerLimitsInForce() {
		return id
	}
	reach := bit + 1
	if set := r.completionChunks[statecache.CompletionChunkKey(job, id)]; set != nil {
		reach = max(reach, set.Capacity())
	} else if set := p.view.CompletionChunks[job][id]; set != nil {
		reach = max(reach, set.Capacity())
	}
	if limit := p.valueSizeShare(1); statecache.CompletionValueBytes(reach) > limit {
		part := statecache.TasksPerCompletionPart(limit)
		id.FirstTask = bit / part * part
	}
	return id
}
