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

// jobQueue holds the active jobs, and orders those with pending tasks for placement.
type jobQueue struct {
	config   *config.Config
	view     *statecache.View
	nodes    *nodeIndex
	runtimes *estimate.RuntimeEstimator
	backoff  *backoff

	active          map[wire.JobID]*statecache.Job
	claims          quotaClaims        // of the active jobs
	firstIncomplete map[wire.JobID]int // all tasks of a job below this index are completed
}

func newJobQueue(cfg *config.Config, view *statecache.View, nodes *nodeIndex, runtimes *estimate.RuntimeEstimator, backoff *backoff) *jobQueue {
	return &jobQueue{
		config: cfg, view: view, nodes: nodes, runtimes: runtimes, backoff: backoff,
		active:          map[wire.JobID]*statecache.Job{},
		firstIncomplete: map[wire.JobID]int{},
	}
}

// put adds or replaces an active job.
func (q *jobQueue) put(id wire.JobID, job *statecache.Job) {
	q.active[id] = job
	q.claims.outdated = true
}

// remove removes a job that has ended or is blocked.
func (q *jobQueue) remove(id wire.JobID) {
	delete(q.active, id)
	q.claims.outdated = true
	delete(q.firstIncomplete, id)
}

// withinGuarantee returns the active jobs that are within their teams' guarantees.
func (q *jobQueue) withinGuarantee(quotaOf func(wire.TeamName) config.TeamQuota) map[wire.JobID]bool {
	return jobsWithinGuarantee(q.claims.current(q.active, q.view.CompletedCount), quotaOf)
}

// queuedJob is a job with pending tasks.
type queuedJob struct {
	id            wire.JobID
	job           *statecache.Job
	assignment    uint64 // revision of the team's assignment
	maxTasks      int    // maximum number of tasks to place in this cycle
	recoversFirst bool   // it is a service, and zones are recovering
	deadlineIndex int    // index of the deadline to meet; the number of deadlines if it can't meet any; -1 if starved
	// orderKey orders the jobs of the same priority and deadlineIndex: by the deadline to meet, by
	// the remaining work of jobs that can't meet any, by the time since which starved jobs could
	// run, and by the recovery order of services while zones recover.
	orderKey  float64
	candidate deadlineCandidate
}

// starvationLeases is the wait, in lease durations, after which a job without any bound or completed
// task counts as starved.
const starvationLeases = 3

// pending returns the jobs of the assigned teams with pending tasks, by priority, then earliest
// deadline first. Under overload plain EDF makes every job late, so of the jobs that can't all be on
// time the largest are postponed. They would starve behind smaller jobs, so a starved job goes first
// within its priority, but an array with one task only: more would make the whole queue late again.
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
	sortQueue(queue) // makes the choice of deadlines independent of map order
	q.assignDeadlines(queue, now)
	sortQueue(queue)
	return queue
}

// setOrder sets what a queued job is ordered by: its recovery order, its starvation, or the
// candidate from which its deadline is chosen.
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

// assignDeadlines sets the deadline that each job of a sorted queue is to meet, one priority after
// the other.
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

// busySeconds estimates how long the cluster is busy with the running tasks of arrays. It assumes
// that on average half of their runtime is left.
func (q *jobQueue) busySeconds() float64 {
	seconds := 0.0
	for id, job := range q.active {
		if n := len(q.view.Bindings[id]); n > 0 && !job.Spec.IsService() {
			seconds += q.runtimes.EstimateSeconds(job.Spec) / 2 * float64(n) / q.nodes.slotsFor(job.Spec)
		}
	}
	return seconds
}

// assignDeadlinesOfPriority sets the deadline that each queued job of one priority is to meet.
// freeSeconds is when the cluster is free of the jobs of higher priority. It returns when the jobs
// of this priority that can meet a deadline are finished as well.
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
	chosen, endSeconds := chooseDeadlines(candidates, freeSeconds)
	for n, i := range positions {
		entry := &queue[i]
		entry.deadlineIndex = chosen[n]
		if deadlines := entry.candidate.deadlineSeconds; entry.deadlineIndex < len(deadlines) {
			entry.orderKey = float64(now.UnixMilli())/1000 + deadlines[entry.deadlineIndex]
		} else {
			entry.orderKey = entry.candidate.clusterSeconds
		}
	}
	return endSeconds
}

// sortQueue sorts the queue: services that go first while zones recover, then by priority, by
// deadline index, by order key and by job ID.
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
