package simulation

import (
	"fmt"
	"slices"
	"time"

	"lynxledge/wire"
)

// StartedTasks returns how many tasks have started, repeated starts included.
func (c *InvariantChecker) StartedTasks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startedTasks
}

// StartsAfterCancellation returns how many tasks workers launched after users were told that the
// job is cancelled.
func (c *InvariantChecker) StartsAfterCancellation() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsAfterCancellation
}

// FirstTaskStartedAt returns when a job's first task started; zero if none did.
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

// DegradedServices returns the accepted services of which fewer than half of the replicas run,
// without those whose cancellation was requested.
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

// UnfinishedJobs returns the accepted arrays that no user was told are done or cancelled.
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

// UnservedWork returns the groups of jobs of which fewer than half started within the given time of
// their submission. The groups are each class, each team and, of each class, the largest jobs:
// those with more than half as many tasks as its largest. It counts the accepted jobs that were
// submitted that long ago and whose cancellation was not requested.
func (c *InvariantChecker) UnservedWork(within time.Duration) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	largest := map[string]int{}
	for _, record := range c.jobs {
		largest[record.job.Class] = max(largest[record.job.Class], record.job.TaskCount)
	}
	type count struct{ started, all int }
	counts := map[string]*count{} // by group
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
