package simulation

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

// InvariantChecker observes what workers do and what users are told, and records every violation
// of the protocol's invariants.
type InvariantChecker struct {
	mu                      sync.Mutex
	teams                   map[wire.TeamName]config.TeamQuota
	cancellationDeadline    time.Duration
	jobs                    map[wire.JobID]*jobRecord
	running                 map[wire.TaskID]wire.Instance // the machine of each task that is on one
	usedCPUs                map[wire.TeamName]float64
	violations              []string
	startedTasks            int                              // starts of tasks, repeated ones included
	startsAfterCancellation int                              // launches on workers after users were told that the job is cancelled
	faultsOver              bool                             // FaultsOver was called
	onCompletion            func(*wire.Job)                  // see OnJobCompleted
	freeCapacity            map[wire.MachineID]*freeCapacity // of running machines
}

// jobRecord is what the checker knows about a job.
type jobRecord struct {
	job                         *wire.Job
	runtime                     time.Duration     // of each task
	hasMistake                  bool              // every task fails after runtime
	completed                   map[int]bool      // by task index
	runningByZone               map[wire.Zone]int // how many of its tasks are on machines
	accepted                    bool              // a user was told that it was accepted
	finalState                  wire.JobState     // done or cancelled, once a user was told so
	cancellationRequested       bool
	submittedAt                 time.Time
	firstTaskStartedAt          time.Time
	answeredAt                  time.Time // when a request about it was last answered
	cancelledAt                 time.Time // when a user was first told that it is cancelled
	waitingDespiteCapacitySince time.Time // since when a task waits although a machine has free capacity for it
}

// NewInvariantChecker returns a checker for a deployment's parameters.
func NewInvariantChecker(p config.Params) *InvariantChecker {
	c := &InvariantChecker{
		teams:                map[wire.TeamName]config.TeamQuota{},
		cancellationDeadline: p.Workers.CancellationDeadline,
		jobs:                 map[wire.JobID]*jobRecord{},
		running:              map[wire.TaskID]wire.Instance{},
		usedCPUs:             map[wire.TeamName]float64{},
		freeCapacity:         map[wire.MachineID]*freeCapacity{},
	}
	for _, team := range p.Teams {
		c.teams[team.Name] = team
	}
	return c
}

func (c *InvariantChecker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Violations returns the violations found so far.
func (c *InvariantChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Submitted registers a job; call it before the job's first submission. Each task runs for runtime.
func (c *InvariantChecker) Submitted(j *wire.Job, runtime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[j.ID] == nil {
		c.jobs[j.ID] = &jobRecord{job: j, runtime: runtime, completed: map[int]bool{}, runningByZone: map[wire.Zone]int{}, submittedAt: time.Now()}
	}
}

// SetMistake makes every task of a registered job fail after its runtime, on any machine.
func (c *InvariantChecker) SetMistake(id wire.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].hasMistake = true
}

// Accepted reports whether a user was told that a job was accepted.
func (c *InvariantChecker) Accepted(id wire.JobID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id].accepted
}

// OnJobCompleted sets a function to call as soon as the last task of an array has completed; nil
// for none.
func (c *InvariantChecker) OnJobCompleted(f func(*wire.Job)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onCompletion = f
}

// CancellationRequested records that a user requested the cancellation of a job.
func (c *InvariantChecker) CancellationRequested(id wire.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record := c.jobs[id]; record != nil {
		record.cancellationRequested = true
	}
}

// FaultsOver records that all faults have ended. Time without an answer and time waiting despite
// free capacity count from now on.
func (c *InvariantChecker) FaultsOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultsOver = true
	for _, record := range c.jobs {
		record.answeredAt, record.waitingDespiteCapacitySince = time.Now(), time.Time{}
	}
}

// TaskRun is how a task runs once it has started.
type TaskRun struct {
	Duration time.Duration // until it completes or fails
	Forever  bool          // it runs until it is stopped, whatever Duration says
	Fails    bool          // it fails after Duration
}

// Run returns how a task runs, for a worker that is commanded to launch it. It counts the launch if
// the job is cancelled.
func (c *InvariantChecker) Run(task wire.TaskID) (TaskRun, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, _, ok := wire.ParseTaskID(task)
	record := c.jobs[id]
	if !ok || record == nil {
		return TaskRun{}, errors.New("unknown")
	}
	if !record.cancelledAt.IsZero() {
		c.startsAfterCancellation++
	}
	return TaskRun{Duration: record.runtime, Forever: record.job.IsService() && !record.hasMistake, Fails: record.hasMistake}, nil
}

// TaskEnded records that a task is no longer on a machine.
func (c *InvariantChecker) TaskEnded(machine wire.MachineID, task wire.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[task].ID == machine {
		c.removeRunning(task)
	}
}

// addRunning adds a task to the running tasks and the usage, in place of where it ran before; the
// caller holds the lock.
func (c *InvariantChecker) addRunning(record *jobRecord, task wire.TaskID, instance wire.Instance) {
	c.removeRunning(task)
	c.running[task] = instance
	record.runningByZone[instance.Zone]++
	c.usedCPUs[record.job.Team] += record.job.CPUs
}

// removeRunning removes a task from the running tasks and the usage; the caller holds the lock.
func (c *InvariantChecker) removeRunning(task wire.TaskID) {
	instance, ok := c.running[task]
	if !ok {
		return
	}
	id, _, _ := wire.ParseTaskID(task)
	record := c.jobs[id]
	record.runningByZone[instance.Zone]--
	c.usedCPUs[record.job.Team] -= record.job.CPUs
	delete(c.running, task)
}

// TaskCompleted records that a task completed.
func (c *InvariantChecker) TaskCompleted(task wire.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, n, _ := wire.ParseTaskID(task)
	record := c.jobs[id]
	newlyCompleted := !record.completed[n]
	record.completed[n] = true
	if c.onCompletion != nil && newlyCompleted && len(record.completed) == record.job.TaskCount {
		go c.onCompletion(record.job)
	}
}

// cancellation reports whether the cancellation of a job, or of one that it depends on, directly or
// not, was requested, and when a user was first told that one of them is cancelled.
func (c *InvariantChecker) cancellation(record *jobRecord) (requested bool, cancelledAt time.Time) {
	seen := map[*jobRecord]bool{}
	for todo := []*jobRecord{record}; len(todo) > 0; {
		record, todo = todo[len(todo)-1], todo[:len(todo)-1]
		if record == nil || seen[record] {
			continue
		}
		seen[record] = true
		requested = requested || record.cancellationRequested
		if !record.cancelledAt.IsZero() && (cancelledAt.IsZero() || record.cancelledAt.Before(cancelledAt)) {
			cancelledAt = record.cancelledAt
		}
		for _, dependency := range record.job.Dependencies {
			todo = append(todo, c.jobs[dependency])
		}
	}
	return requested, cancelledAt
}

// awaitsDependencies reports whether a job waits for jobs that it depends on. One of them counts as
// done only once a user was told so.
func (c *InvariantChecker) awaitsDependencies(record *jobRecord) bool {
	return slices.ContainsFunc(record.job.Dependencies, func(id wire.JobID) bool {
		dependency := c.jobs[id]
		return len(dependency.completed) < dependency.job.TaskCount || dependency.finalState != wire.JobDone
	})
}

// mayStart reports whether the job's placement constraints allow one more task on a machine, given
// its tasks that are on machines.
func (r *jobRecord) mayStart(instance wire.Instance) bool {
	j, inZone, elsewhere := r.job, r.runningByZone[instance.Zone], 0
	for zone, tasks := range r.runningByZone {
		if zone != instance.Zone {
			elsewhere += tasks
		}
	}
	return (len(j.MachineTypes) == 0 || slices.Contains(j.MachineTypes, instance.MachineType)) &&
		(j.Zone == "" || j.Zone == instance.Zone) &&
		(!instance.Spot || j.AllowSpot) &&
		(!j.SingleZone || elsewhere == 0) && (!j.SpreadZones || inZone < (j.TaskCount+1)/2)
}
