package simulation

import (
	"fmt"
	"slices"
	"time"

	"lynxledge/wire"
)

// StartedTasks is the number of tasks started.
func (c *InvariantChecker) StartedTasks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

// StartsAfterCancellation is how many tasks were ordered to start after their users were told
// that the job is cancelled.
func (c *InvariantChecker) StartsAfterCancellation() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsAfterCancellation
}

// FirstTaskStartedAt is when a job's first task started; zero if none did.
func (c *InvariantChecker) FirstTaskStartedAt(id wire.JobID) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id].firstTaskStartedAt
}

// RunningTasks counts the tasks of jobs that are on machines.
func (c *InvariantChecker) RunningTasks(jobs ...wire.JobID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task := range c.running {
		if id, _, _ := wire.ParseTaskID(task); slices.Contains(jobs, id) {
			n++
		}
	}
	return n
}

// DegradedServices lists accepted services, not cancelled, of which fewer than half of
// the replicas run.
func (c *InvariantChecker) DegradedServices() []wire.JobID {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := map[wire.JobID]int{}
	for task := range c.running {
		id, _, _ := wire.ParseTaskID(task)
		running[id]++
	}
	var ids []wire.JobID
	for id, record := range c.jobs {
		if record.accepted && record.finalState == "" && !record.cancellationRequested && record.job.IsService() && 2*running[id] < record.job.TaskCount {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// UnfinishedJobs lists jobs that were accepted and are not over.
func (c *InvariantChecker) UnfinishedJobs() []wire.JobID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []wire.JobID
	for id, record := range c.jobs {
		if record.accepted && record.finalState == "" && !record.job.IsService() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// UnservedWork lists the classes, teams and largest jobs of a class of which fewer
// than half of the accepted jobs, but for those whose cancellation was requested,
// started within a time.
func (c *InvariantChecker) UnservedWork(within time.Duration) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	largest := map[string]int{}
	for _, record := range c.jobs {
		largest[record.job.Class] = max(largest[record.job.Class], record.job.TaskCount)
	}
	type count struct{ started, all int }
	counts := map[string]*count{}
	for _, record := range c.jobs {
		if !record.accepted || record.cancellationRequested || time.Since(record.submittedAt) < within {
			continue
		}
		names := []string{"class " + record.job.Class, "team " + string(record.job.Team)}
		if 2*record.job.TaskCount > largest[record.job.Class] {
			names = append(names, "largest of "+record.job.Class)
		}
		for _, name := range names {
			if counts[name] == nil {
				counts[name] = &count{}
			}
			counts[name].all++
			if !record.firstTaskStartedAt.IsZero() && record.firstTaskStartedAt.Sub(record.submittedAt) <= within {
				counts[name].started++
			}
		}
	}
	var unserved []string
	for name, n := range counts {
		if 2*n.started < n.all {
			unserved = append(unserved, fmt.Sprintf("%s: %d of %d", name, n.started, n.all))
		}
	}
	slices.Sort(unserved)
	return unserved
}
