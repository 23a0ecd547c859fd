package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/estimate"
	"lynxledge/internal/placement"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// jobQueue is the active jobs, and the order in which those with pending tasks are placed.
type jobQueue struct {
	config   *config.Config
	view     *statecache.View
	nodes    *nodeIndex
	runtimes *estimate.RuntimeEstimator
	backoff  *backoff

	active          map[wire.JobID]*statecache.Job
	claims          quotaClaims        // of the active jobs
	firstIncomplete map[wire.JobID]int // the lowest task of a job that may not be completed
}

func newJobQueue(cfg *config.Config, view *statecache.View, nodes *nodeIndex, runtimes *estimate.RuntimeEstimator, backoff *backoff) *jobQueue {
	return &jobQueue{
		config: cfg, view: view, nodes: nodes, runtimes: runtimes, backoff: backoff,
		active:          map[wire.JobID]*statecache.Job{},
		firstIncomplete: map[wire.JobID]int{},
	}
}

// put sets an active job.
func (q *jobQueue) put(id wire.JobID, job *statecache.Job) {
	q.active[id] = job
	q.claims.outdated = true
}

// remove drops a job that is over, or blocked.
func (q *jobQueue) remove(id wire.JobID) {
	delete(q.active, id)
	q.claims.outdated = true
	delete(q.firstIncomplete, id)
}

// withinGuarantee tells which active jobs are within their teams' guarantees.
func (q *jobQueue) withinGuarantee(quotaOf func(wire.TeamName) config.TeamQuota) map[wire.JobID]bool {
	return jobsWithinGuarantee(q.claims.current(q.active, q.view.CompletedCount), quotaOf)
}

// queuedJob is a job that has tasks to place.
type queuedJob struct {
	id            wire.JobID
	job           *statecache.Job
	assignment    uint64 // revision of the team's assignment
	maxTasks      int    // tasks to place at most
	recoversFirst bool   // a service, while zones recover
	deadlineIndex int    // how many of its deadlines it is not to keep; -1: it is starved
	// orderKey orders the jobs of one stage. It is the deadline to keep; of a job that can't
	// keep any, the work that is left; of a starved one, since when it could run; of a service
	// while zones recover, its place in the order of recovery.
	orderKey  float64
	candidate deadlineCandidate
}

// starvationLeases is how many leases a job waits without a single start until it is starved.
const starvationLeases = 3

// pending lists the jobs of the assigned teams that have tasks to place: by priority, then
// earliest deadline first. Under overload plain EDF makes every job late; so the largest of
// those that can't all be on time give way. None gives way for ever: one that is starved goes
// first in its priority with one task, or the largest would starve behind all that are smaller.
// More than that would make the whole queue late again.
//
// While zones recover, services go before all arrays, whatever their priority.
func (q *jobQueue) pending(assignments map[wire.TeamName]*statecache.Assignment, advice placement.Advice, now time.Time) []queuedJob {
	if len(assignments) == 0 {
		return nil
	}
	var queue []queuedJob
	for id, job := range q.active {
		assignment := assignments[job.Spec.Team]
		if assignment == nil {
			continue
		}
		tasks := q.view.PendingTasks(id, job)
		if tasks <= 0 || q.backoff.delays(id, now) {
			continue
		}
		entry := queuedJob{id: id, job: job, assignment: assignment.ModRevision, maxTasks: tasks}
		q.setOrder(&entry, advice, now)
		queue = append(queue, entry)
	}
	sortQueue(queue) // a fixed order among equals
	q.assignDeadlines(queue, now)
	sortQueue(queue)
	return queue
}

// setOrder says by what a job with pending tasks is ordered.
func (q *jobQueue) setOrder(entry *queuedJob, advice placement.Advice, now time.Time) {
	job := entry.job
	if advice != nil && job.Spec.IsService() {
		entry.recoversFirst, entry.orderKey = true, float64(advice.RecoveryOrder(entry.id))
		return
	}
	age := config.Milliseconds(int64(statecache.TimestampOf(now) - job.RunnableSince()))
	pendingTasks := entry.maxTasks
	if age > starvationLeases*q.config.Params.Workers.LeaseDuration && pendingTasks == job.TaskCount {
		entry.deadlineIndex, entry.orderKey = -1, float64(job.RunnableSince())
		if !job.Spec.IsService() {
			entry.maxTasks = 1
		}
		return
	}
	runtimeSeconds := q.runtimes.EstimateSeconds(job.Spec)
	entry.candidate = deadlineCandidate{clusterSeconds: runtimeSeconds * float64(pendingTasks) / q.nodes.slotsFor(job.Spec), runtimeSeconds: runtimeSeconds}
	for _, deadline := range estimate.Deadlines(q.config, job, config.Seconds(runtimeSeconds), age, age) {
		entry.candidate.deadlineSeconds = append(entry.candidate.deadlineSeconds, (deadline - age).Seconds())
	}
}

// assignDeadlines tells of the jobs of a sorted queue which deadline each is to keep, one
// priority after the other.
func (q *jobQueue) assignDeadlines(queue []queuedJob, now time.Time) {
	freeSeconds := q.busySeconds()
	for first := 0; first < len(queue); {
		end := first
		for end < len(queue) && queue[end].recoversFirst == queue[first].recoversFirst && queue[end].job.Spec.Priority == queue[first].job.Spec.Priority {
			end++
		}
		freeSeconds = assignDeadlinesOfPriority(queue[first:end], freeSeconds, now)
		first = end
	}
}

// busySeconds is how long the cluster is busy with the arrays' tasks that run: they are half
// done, taken all together.
func (q *jobQueue) busySeconds() float64 {
	seconds := 0.0
	for id, job := range q.active {
		if n := len(q.view.Bindings[id]); n > 0 && !job.Spec.IsService() {
			seconds += q.runtimes.EstimateSeconds(job.Spec) / 2 * float64(n) / q.nodes.slotsFor(job.Spec)
		}
	}
	return seconds
}

// assignDeadlinesOfPriority tells of the queued jobs of one priority which deadline each is to keep,
// given when the priorities above leave the cluster to it, and returns when this one does.
func assignDeadlinesOfPriority(queue []queuedJob, freeSeconds float64, now time.Time) float64 {
	var candidates []deadlineCandidate
	var positions []int
	for i := range queue {
		if queue[i].deadlineIndex < 0 {
			freeSeconds += queue[i].candidate.clusterSeconds
		} else if !queue[i].job.Spec.IsService() {
			candidates = append(candidates, queue[i].candidate)
			positions = append(positions, i)
		}
	}
	stages, endSeconds := chooseDeadlines(candidates, freeSeconds)
	for n, i := range positions {
		entry := &queue[i]
		entry.deadlineIndex = stages[n]
		if deadlines := entry.candidate.deadlineSeconds; entry.deadlineIndex < len(deadlines) {
			entry.orderKey = float64(now.UnixMilli())/1000 + deadlines[entry.deadlineIndex]
		} else {
			entry.orderKey = entry.candidate.clusterSeconds
		}
	}
	return endSeconds
}

// sortQueue sorts the queue: services that recover first, then by priority, then by deadline
// stage, then by the key of the stage.
func sortQueue(queue []queuedJob) {
	slices.SortFunc(queue, func(a, b queuedJob) int {
		if a.recoversFirst != b.recoversFirst {
			if a.recoversFirst {
				return -1
			}
			return 1
		}
		if a.job.Spec.Priority != b.job.Spec.Priority {
			return int(b.job.Spec.Priority - a.job.Spec.Priority)
		}
		if a.deadlineIndex != b.deadlineIndex {
			return a.deadlineIndex - b.deadlineIndex
		}
		if a.orderKey != b.orderKey {
			return cmp.Compare(a.orderKey, b.orderKey)
		}
		return strings.Compare(string(a.id), string(b.id))
	})
}
