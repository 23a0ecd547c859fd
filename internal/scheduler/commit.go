package scheduler

import (
	"log/slog"
	"maps"
	"time"

	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// cycle is one commit in the making: what reports prove, jobs that end by it,
// and new bindings, all that concerns a group in one write.
type cycle struct {
	now                     time.Time
	limit                   int // writes
	groupUpdates            map[string]*groupUpdate
	completionChunks        map[string]*statecache.CompletionChunk // by key
	finishedJobs            map[wire.JobID]int                     // jobs that end: writes that takes
	splitParts              map[string]int                         // groups to split: new records at most
	cancellations           map[wire.JobID]*statecache.Job         // jobs whose cancellation is stored
	completed               map[wire.JobID]int                     // jobs: tasks marked here
	jobPreconditions        map[wire.JobID]uint64                  // guarded jobs
	assignmentPreconditions map[wire.TeamName]uint64
	placed                  map[wire.JobID]int
	usage                   resources.Usage
	guaranteed              map[wire.JobID]bool // jobs within their teams' guarantees
	launches                map[wire.MachineID][]wire.Command
	stops                   map[wire.MachineID][]wire.Command
	terminated              int                                    // tasks that left
	terminationBytes        int                                    // bytes of what the records say of them
	launchedMachines        map[wire.MachineID]*statecache.Machine // of the machines with starts
	onCommitted             []func()
	victimFactsUpdated      map[*Node]bool            // brought up to date for choices of victims
	updatedGroupNodes       []*Node                   // with room, in groups that are written anyhow
	updatedGroupCount       int                       // number of those groups
	victimSearchShare       map[wire.Priority]float64 // part of the jobs that may look for others' places
}

// newCycle begins a round of at most so many writes. tally is what teams use before it.
func newCycle(now time.Time, limit int, tally resources.Usage) *cycle {
	return &cycle{
		now:                     now,
		limit:                   limit,
		groupUpdates:            map[string]*groupUpdate{},
		completionChunks:        map[string]*statecache.CompletionChunk{},
		finishedJobs:            map[wire.JobID]int{},
		splitParts:              map[string]int{},
		cancellations:           map[wire.JobID]*statecache.Job{},
		completed:               map[wire.JobID]int{},
		jobPreconditions:        map[wire.JobID]uint64{},
		assignmentPreconditions: map[wire.TeamName]uint64{},
		placed:                  map[wire.JobID]int{},
		usage:                   maps.Clone(tally),
		launches:                map[wire.MachineID][]wire.Command{},
		stops:                   map[wire.MachineID][]wire.Command{},
		launchedMachines:        map[wire.MachineID]*statecache.Machine{},
		victimFactsUpdated:      map[*Node]bool{},
	}
}

type groupUpdate struct {
	*statecache.GroupUpdate
	size int // of the record, at most
}

// Parts of the value limit: bound tasks may fill the first, the rest is for
// what a record says when they end; marks are folded beyond the second.
const (
	bindingFillShare    = 0.8
	urgentFillShare     = 0.9 // for tasks of priority high and above: the others must not leave them without a record
	compactionFillShare = 0.7
	mergeFillShare      = 0.6 // groups are merged up to here
	splitFillShare      = 0.9 // a record beyond is split
	crowdedFillShare    = 0.7 // a record beyond that takes no more tasks is split too
)

func (p *Scheduler) valueSizeShare(part float64) int {
	return int(float64(p.config.Params.Store.ValueSizeLimit()) * part)
}

func (r *cycle) ops() int {
	n := len(r.groupUpdates) + len(r.completionChunks) + len(r.cancellations)
	for _, parts := range r.splitParts {
		n += parts
	}
	for _, w := range r.finishedJobs {
		n += w
	}
	return n
}

// isFull: no more groups can be written.
func (r *cycle) isFull() bool { return r.ops() >= r.limit || r.bytes() >= statecache.MaxTxnRecordBytes }

// bytes is at most the size of the commit. Records may have a size at which a
// transaction reaches the limit of a body long before that of its writes.
func (r *cycle) bytes() int {
	n := r.terminationBytes
	for _, d := range r.groupUpdates {
		n += d.size + statecache.WriteOverheadBytes
	}
	for _, f := range r.completionChunks {
		n += 4*len(f.Bits)/3 + statecache.WriteOverheadBytes
	}
	n += statecache.WriteOverheadBytes * (len(r.finishedJobs) + len(r.cancellations)*(1+cancelledJobBytes/statecache.WriteOverheadBytes))
	return n + statecache.WriteOverheadBytes*(len(r.jobPreconditions)+len(r.assignmentPreconditions))
}

// cancelledJobBytes is the most that the record of a cancelled job takes.
const cancelledJobBytes = 1024

// canAddPrecondition tells whether more jobs can be guarded: a transaction may have four
// guards for each write; each write needs one of its own, and so may every team's hand
// record.
func (p *Scheduler) canAddPrecondition(r *cycle) bool {
	ops := p.config.Params.Store.TxnOpsLimit()
	return len(r.jobPreconditions) < min(2*ops, 3*ops-len(p.view.Assignments))
}

// openGroup makes a group's next record part of the round; nil when it is full.
func (p *Scheduler) openGroup(r *cycle, group string) *groupUpdate {
	if d := r.groupUpdates[group]; d != nil {
		return d
	}
	if r.isFull() || p.view.Groups[group] == nil || r.splitParts[group] == 0 && p.oversizedGroups[group] && p.view.Groups[group].RetainedSize() > p.valueSizeShare(1) {
		return nil
	}
	d := &groupUpdate{GroupUpdate: p.view.UpdateGroup(group)}
	d.size = d.EncodedSize()
	if len(r.groupUpdates) > 0 && r.bytes()+d.size > statecache.MaxTxnRecordBytes {
		return nil
	}
	r.groupUpdates[group] = d
	for _, b := range d.Machines {
		if n := p.nodes[b.Name]; n != nil {
			n.NeedsOwnWrite = false
		}
	}
	return d
}

// commit makes the round's changes, if there are any.
func (p *Scheduler) commit(r *cycle) {
	c := statecache.Commit{RetryUntilCertain: true, RetryFor: p.config.Params.Workers.Heartbeats(0.5)}
	var touched []wire.MachineID
	for _, d := range r.groupUpdates {
		for _, b := range d.Machines {
			touched = append(touched, b.Name)
		}
	}
	if !p.splitGroups(r, &c) {
		p.resetNodes(touched)
		return
	}
	p.mergeGroups(r, &c)
	c.RequireAssignments(r.assignmentPreconditions)
	for id, stamp := range r.jobPreconditions {
		c.Preconditions = append(c.Preconditions, wire.Precondition{Key: statecache.Key(statecache.KindJob, string(id)), ModRevision: stamp})
	}
	for key, d := range r.completionChunks {
		c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key, ModRevision: d.ModRevision})
		c.Puts = append(c.Puts, statecache.Put{Key: key, Record: d})
	}
	for id, rec := range r.cancellations {
		c.Puts = append(c.Puts, statecache.Put{Key: statecache.Key(statecache.KindJob, string(id)), Record: rec})
	}
	for job, writes := range r.finishedJobs {
		j := p.view.Jobs[job]
		c.Puts = append(c.Puts, statecache.Put{Key: statecache.Key(statecache.KindJob, string(job)), Record: &statecache.Job{
			State: wire.JobDone, TaskCount: j.TaskCount, SubmittedAt: j.SubmittedAt, FinishedAt: statecache.TimestampOf(r.now),
		}})
		// The done set goes with the write that calls the job done.
		for chunk := range p.view.CompletionChunks[job] {
			if writes--; writes > 0 {
				c.Deletes = append(c.Deletes, statecache.CompletionChunkKey(job, chunk))
			}
		}
	}
	for _, d := range r.groupUpdates {
		for job := range r.finishedJobs {
			delete(d.Completions, job)
		}
		if !d.TrimToFit(p.valueSizeShare(1)) {
			slog.Error("record too large; nothing is written", "group", d.Name, "bytes", d.EncodedSize(), "machines", len(d.Machines))
			// Rows grow when they are rewritten in a later term: the next round splits the
			// record, or it would be tried in vain again and again.
			p.oversizedGroups[d.Name] = true
			p.resetNodes(touched)
			return
		}
		d.AddTo(&c)
	}
	if c.Ops() == 0 {
		return
	}
	p.writeLimiter.ReserveN(r.now, c.Ops())
	p.commitInFlight = true
	p.pendingOwnWrites = c.Ops()
	slog.Debug("round",
		"writes", c.Ops(),
		"limit", r.limit,
		"groups", len(r.groupUpdates),
		"of", len(p.view.Groups),
		"done_sets", len(r.completionChunks),
		"jobs_done", len(r.finishedJobs),
		"cancellations", len(r.cancellations),
		"placed", sum(r.placed),
		"departed", r.terminated,
		"groups_waiting", len(p.pendingEvidence))
	p.cache.Commit(c, func(out statecache.Outcome) {
		p.Send(func() {
			p.commitInFlight = false
			p.pendingOwnWrites = 0 // told by now, or not made
			p.resetNodes(touched)
			if out == statecache.Committed {
				for _, f := range r.onCommitted {
					f()
				}
				p.launch(r)
			}
			p.schedule()
		})
	})
}

func sum(m map[wire.JobID]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// resetNodes makes nodes that a round has changed say again what their rows do.
func (p *Scheduler) resetNodes(machines []wire.MachineID) {
	for _, m := range machines {
		if b := p.view.Machines[m]; b != nil {
			p.refreshNode(m, b)
		}
	}
}
