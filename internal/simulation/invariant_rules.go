package simulation

import (
	"net/http"
	"time"

	"lynxledge/wire"
)

// maxUnanswered limits how long all requests about an accepted job may go unanswered once all
// faults are over.
const maxUnanswered = 75 * time.Second

// TaskStarted records the start of a task on a machine, and checks the invariants of starts.
func (c *InvariantChecker) TaskStarted(instance wire.Instance, task wire.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startedTasks++
	id, _, _ := wire.ParseTaskID(task)
	record := c.jobs[id]
	c.checkRanTwice(task, instance)
	c.checkDependenciesDone(record, task)
	c.checkPlacement(record, task, instance)
	if record.firstTaskStartedAt.IsZero() {
		record.firstTaskStartedAt = time.Now()
	}
	c.addRunning(record, task, instance)
	c.checkQuota(record.job.Team)
	c.checkStartAfterCancellation(record, task)
}

// checkRanTwice checks ran_twice: no task starts on a machine while it is on another.
func (c *InvariantChecker) checkRanTwice(task wire.TaskID, instance wire.Instance) {
	if other, ok := c.running[task]; ok {
		c.violation("ran_twice: %s starts on %s while on %s", task, instance.ID, other.ID)
	}
}

// checkDependenciesDone checks too_early: no task starts before all tasks of the jobs that its job
// depends on have completed.
func (c *InvariantChecker) checkDependenciesDone(record *jobRecord, task wire.TaskID) {
	for _, id := range record.job.Dependencies {
		if dependency := c.jobs[id]; len(dependency.completed) < dependency.job.TaskCount {
			c.violation("too_early: %s starts with %d of %d tasks of %s done", task, len(dependency.completed), dependency.job.TaskCount, id)
		}
	}
}

// checkPlacement checks wrong_place: a task starts only on a machine type, in a zone and on a price
// class (spot or not) that its job allows, given the job's other tasks on machines at that moment.
func (c *InvariantChecker) checkPlacement(record *jobRecord, task wire.TaskID, instance wire.Instance) {
	if !record.mayStart(instance) {
		c.violation("wrong_place: %s on %s (%s %s spot=%v), its tasks by zone: %v", task, instance.ID, instance.MachineType, instance.Zone, instance.Spot, record.runningByZone)
	}
}

// checkQuota checks quota: a team's tasks use no more CPUs than the team's limit.
func (c *InvariantChecker) checkQuota(team wire.TeamName) {
	if used, limit := c.usedCPUs[team], c.teams[team].MaxCPUs; limit > 0 && used > limit+1e-6 {
		c.violation("quota: %s uses %v of %v", team, used, limit)
	}
}

// checkStartAfterCancellation checks ran_cancelled at a start: no task starts once the cancellation
// deadline has passed since a user was told that its job is cancelled.
func (c *InvariantChecker) checkStartAfterCancellation(record *jobRecord, task wire.TaskID) {
	if !record.cancelledAt.IsZero() && time.Since(record.cancelledAt) > c.cancellationDeadline {
		c.violation("ran_cancelled: %s starts %v after", task, time.Since(record.cancelledAt))
	}
}

// CheckCancelled checks ran_cancelled: no task is on a machine once the cancellation deadline has
// passed since a user was told that its job is cancelled.
func (c *InvariantChecker) CheckCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.running {
		id, _, _ := wire.ParseTaskID(task)
		if record := c.jobs[id]; !record.cancelledAt.IsZero() && time.Since(record.cancelledAt) > c.cancellationDeadline {
			c.violation("ran_cancelled: %s is on a machine %v after", task, time.Since(record.cancelledAt))
		}
	}
}

// MalformedRequest checks the response to a malformed submission: no controller may accept it.
func (c *InvariantChecker) MalformedRequest(body string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if status == http.StatusOK || status == http.StatusCreated {
		c.violation("accepted: %s", body)
	}
}

// JobAnswered checks the response to a user's request about a job, and records the state in it.
func (c *InvariantChecker) JobAnswered(id wire.JobID, status int, state wire.JobState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.jobs[id]
	if record == nil {
		c.checkInvented(id, status, state)
		return
	}
	if c.checkForgotten(record, status); status != http.StatusOK && status != http.StatusCreated {
		return
	}
	record.accepted, record.answeredAt = true, time.Now()
	requested, cancelledAt := c.cancellation(record)
	c.checkOrphaned(id, state, cancelledAt)
	c.checkWentBack(record, state)
	c.checkNotDone(record, state)
	c.checkCancelledByUser(id, state, requested)
	if isFinal(state) && record.finalState == "" {
		record.finalState = state
		if state == wire.JobCancelled {
			record.cancelledAt = time.Now()
		}
	}
}

func isFinal(state wire.JobState) bool { return state == wire.JobDone || state == wire.JobCancelled }

// checkInvented checks invented: no request about a job that was never submitted gets 200.
func (c *InvariantChecker) checkInvented(id wire.JobID, status int, state wire.JobState) {
	if status == http.StatusOK {
		c.violation("invented: %s is %s", id, state)
	}
}

// checkForgotten checks forgotten: no request about an accepted job, a repeated submission
// included, gets 400, 404 or 422.
func (c *InvariantChecker) checkForgotten(record *jobRecord, status int) {
	if record.accepted && (status == http.StatusNotFound || status == http.StatusBadRequest || status == http.StatusUnprocessableEntity) {
		c.violation("forgotten: %s gets %d", record.job.ID, status)
	}
}

// checkOrphaned checks orphaned: a job is done or cancelled once the cancellation deadline has
// passed since a user was told that it, or a job that it depends on, is cancelled.
func (c *InvariantChecker) checkOrphaned(id wire.JobID, state wire.JobState, cancelledAt time.Time) {
	if !isFinal(state) && !cancelledAt.IsZero() && time.Since(cancelledAt) > c.cancellationDeadline {
		c.violation("orphaned: %s is %s %v after a job before it was cancelled", id, state, time.Since(cancelledAt))
	}
}

// checkWentBack checks went_back: a job reported done or cancelled is not reported otherwise later.
func (c *InvariantChecker) checkWentBack(record *jobRecord, state wire.JobState) {
	if record.finalState != "" && state != record.finalState {
		c.violation("went_back: %s was %s, is %s", record.job.ID, record.finalState, state)
	}
}

// checkNotDone checks not_done: no job is reported done before all of its tasks have completed.
func (c *InvariantChecker) checkNotDone(record *jobRecord, state wire.JobState) {
	if state == wire.JobDone && len(record.completed) < record.job.TaskCount {
		c.violation("not_done: %s with %d of %d", record.job.ID, len(record.completed), record.job.TaskCount)
	}
}

// checkCancelledByUser checks went_back: no job is reported cancelled unless the cancellation of
// it, or of a job that it depends on, was requested.
func (c *InvariantChecker) checkCancelledByUser(id wire.JobID, state wire.JobState, requested bool) {
	if state == wire.JobCancelled && !requested {
		c.violation("went_back: %s is called cancelled", id)
	}
}

// CheckUnanswered checks forgotten for accepted jobs whose polls all fail. The protocol counts a
// job as forgotten if they fail for 90 s while most others get answers; maxUnanswered is stricter.
func (c *InvariantChecker) CheckUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, record := range c.jobs {
		if record.accepted && record.finalState == "" && time.Since(record.answeredAt) > maxUnanswered {
			c.violation("forgotten: %s is not answered for", id)
			record.answeredAt = time.Now()
		}
	}
}
