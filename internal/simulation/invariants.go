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

// InvariantChecker follows what workers do and what users are told, and keeps every violation of
// the protocol's rules.
type InvariantChecker struct {
	mu                      sync.Mutex
	teams                   map[wire.TeamName]config.TeamQuota
	cancellationDeadline    time.Duration
	jobs                    map[wire.JobID]*jobRecord
	running                 map[wire.TaskID]wire.Instance // task: machine
	usedCPUs                map[wire.TeamName]float64
	violations              []string
	started                 int
	startsAfterCancellation int // tasks ordered to start after their job's confirmed cancellation
	faultsOver              bool
	onCompletion            func(*wire.Job)
	freeCapacity            map[wire.MachineID]*freeCapacity // of running machines
}

// jobRecord is what the checker knows of a job.
type jobRecord struct {
	job                      *wire.Job
	runTime                  time.Duration
	completed                map[int]bool
	runningByZone            map[wire.Zone]int // its tasks that are on machines
	accepted                 bool
	finalState               wire.JobState
	cancellationRequested    bool
	submittedAt              time.Time
	firstTaskStartedAt       time.Time
	answeredAt               time.Time // when a question about it was last answered
	cancelledAt              time.Time
	waitsBesideCapacitySince time.Time // since when a task waits although a machine has capacity for it
}

// NewInvariantChecker returns a checker of a deployment.
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

// Violations lists the violations found so far.
func (c *InvariantChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Submitted registers a job before its first submission. Its tasks run for a time.
func (c *InvariantChecker) Submitted(j *wire.Job, runTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[j.ID] == nil {
		c.jobs[j.ID] = &jobRecord{job: j, runTime: runTime, completed: map[int]bool{}, runningByZone: map[wire.Zone]int{}, submittedAt: time.Now()}
	}
}

// Accepted tells whether a user knows that a job was accepted.
func (c *InvariantChecker) Accepted(id wire.JobID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id].accepted
}

// OnJobCompleted sets what happens at the moment at which the last task of an array completes;
// nil: nothing.
func (c *InvariantChecker) OnJobCompleted(f func(*wire.Job)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onCompletion = f
}

// CancellationRequested notes that the user wants a job cancelled.
func (c *InvariantChecker) CancellationRequested(id wire.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record := c.jobs[id]; record != nil {
		record.cancellationRequested = true
	}
}

// FaultsOver begins the time after all faults: from then on every job must be answered for.
func (c *InvariantChecker) FaultsOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultsOver = true
	for _, record := range c.jobs {
		record.answeredAt, record.waitsBesideCapacitySince = time.Now(), time.Time{}
	}
}

// RunTime is how long a task runs on a worker that is commanded to launch it.
func (c *InvariantChecker) RunTime(task wire.TaskID) (runTime time.Duration, forever bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, _, ok := wire.ParseTaskID(task)
	record := c.jobs[id]
	if !ok || record == nil {
		return 0, false, errors.New("unknown")
	}
	if !record.cancelledAt.IsZero() {
		c.startsAfterCancellation++
	}
	return record.runTime, record.job.IsService(), nil
}

// TaskEnded records that a task is no longer on a machine.
func (c *InvariantChecker) TaskEnded(machine wire.MachineID, task wire.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[task].ID == machine {
		c.removeRunning(task)
	}
}

// addRunning takes a task into the sums, in place of where it was; the caller holds the lock.
func (c *InvariantChecker) addRunning(record *jobRecord, task wire.TaskID, instance wire.Instance) {
	c.removeRunning(task)
	c.running[task] = instance
	record.runningByZone[instance.Zone]++
	c.usedCPUs[record.job.Team] += record.job.CPUs
}

// removeRunning takes a task out of the sums; the caller holds the lock.
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
	fresh := !record.completed[n]
	record.completed[n] = true
	if c.onCompletion != nil && fresh && len(record.completed) == record.job.TaskCount {
		go c.onCompletion(record.job)
	}
}

// cancellation tells whether the cancellation of a job, or of one that it depends on, was
// requested, and since when a user knows of one.
func (c *InvariantChecker) cancellation(record *jobRecord) (requested bool, since time.Time) {
	seen := map[*jobRecord]bool{}
	for todo := []*jobRecord{record}; len(todo) > 0; {
		record, todo = todo[len(todo)-1], todo[:len(todo)-1]
		if record == nil || seen[record] {
			continue
		}
		seen[record] = true
		requested = requested || record.cancellationRequested
		if !record.cancelledAt.IsZero() && (since.IsZero() || record.cancelledAt.Before(since)) {
			since = record.cancelledAt
		}
		for _, dependency := range record.job.Dependencies {
			todo = append(todo, c.jobs[dependency])
		}
	}
	return requested, since
}

// awaitsDependencies tells whether a job waits for jobs that it depends on.
func (c *InvariantChecker) awaitsDependencies(record *jobRecord) bool {
	return slices.ContainsFunc(record.job.Dependencies, func(id wire.JobID) bool {
		dependency := c.jobs[id]
		return len(dependency.completed) < dependency.job.TaskCount || dependency.finalState != wire.JobDone
	})
}

// mayStart tells whether the job allows a machine, given its tasks that are on
// machines.
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
