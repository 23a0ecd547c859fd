package simulation

import (
	"slices"
	"time"

	"lynxledge/wire"
)

// maxIdleWait limits how long, once all faults are over, a task may wait although a machine that it
// may run on has free capacity for it.
const maxIdleWait = 90 * time.Second

// CheckIdleCapacity checks that no task of an accepted job waits for longer than maxIdleWait while
// one machine that is up has free capacity for it all the time and its team's limit allows it.
//
// The capacity must be that of a single machine: even when all machines are in use, at any moment
// some machine has just finished a task and not yet started the next.
func (c *InvariantChecker) CheckIdleCapacity(up []wire.Instance, types []wire.MachineType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.faultsOver {
		return
	}
	now := time.Now()
	running := c.recordFreeCapacity(up, types, now)
	for id, record := range c.jobs {
		j := record.job
		limit := c.teams[j.Team].MaxCPUs
		if !record.accepted || record.finalState != "" || record.cancellationRequested || c.awaitsDependencies(record) || len(record.completed)+running[id] >= j.TaskCount ||
			limit > 0 && c.usedCPUs[j.Team]+j.CPUs > limit || c.machineWithCapacity(record, up, now) == "" {
			record.waitingDespiteCapacitySince = time.Time{}
			continue
		}
		if record.waitingDespiteCapacitySince.IsZero() {
			record.waitingDespiteCapacitySince = now
		}
		since := now.Add(-maxIdleWait)
		if !record.waitingDespiteCapacitySince.Before(since) {
			continue
		}
		if machine := c.machineWithCapacity(record, up, since); machine != "" {
			c.violation("left waiting: %s (%d of %d done, %d run) beside room for it on %s", id, len(record.completed), j.TaskCount, running[id], machine)
			record.waitingDespiteCapacitySince = now
		}
	}
}

// recordFreeCapacity records the free capacity of each machine that is up, and counts each job's
// tasks that are on machines.
func (c *InvariantChecker) recordFreeCapacity(up []wire.Instance, types []wire.MachineType, now time.Time) (running map[wire.JobID]int) {
	used := map[wire.MachineID]capacity{}
	running = map[wire.JobID]int{}
	for task, instance := range c.running {
		id, _, _ := wire.ParseTaskID(task)
		running[id]++
		j, u := c.jobs[id].job, used[instance.ID]
		used[instance.ID] = capacity{u.cpus + j.CPUs, u.memoryGB + j.MemoryGB}
	}
	previous := c.freeCapacity
	c.freeCapacity = make(map[wire.MachineID]*freeCapacity, len(up))
	for _, instance := range up {
		i := slices.IndexFunc(types, func(t wire.MachineType) bool { return t.Name == instance.MachineType })
		if i < 0 {
			continue
		}
		free := previous[instance.ID]
		if free == nil {
			free = &freeCapacity{firstSeenAt: now}
		}
		c.freeCapacity[instance.ID] = free
		u := used[instance.ID]
		free.add(now, capacity{types[i].CPUs - u.cpus, types[i].MemoryGB - u.memoryGB})
	}
	return running
}

// machineWithCapacity returns a machine that is up, on which one more task of a job may start and
// which has had free capacity for it at all times since then; empty if there is none.
func (c *InvariantChecker) machineWithCapacity(record *jobRecord, up []wire.Instance, since time.Time) wire.MachineID {
	i := slices.IndexFunc(up, func(instance wire.Instance) bool {
		free := c.freeCapacity[instance.ID]
		if free == nil || free.firstSeenAt.After(since) {
			return false
		}
		available := free.minSince(since)
		return record.job.CPUs <= available.cpus+1e-6 && record.job.MemoryGB <= available.memoryGB+1e-6 && record.mayStart(instance)
	})
	if i < 0 {
		return ""
	}
	return up[i].ID
}

type capacity struct{ cpus, memoryGB float64 }

// freeCapacity tracks how much of a machine has been free.
type freeCapacity struct {
	firstSeenAt time.Time // when it was first seen up
	cpus        slidingMinimum
	memoryGB    slidingMinimum
}

func (f *freeCapacity) add(now time.Time, free capacity) {
	f.cpus.add(now, free.cpus)
	f.memoryGB.add(now, free.memoryGB)
}

// minSince returns what was free at all times since then.
func (f *freeCapacity) minSince(since time.Time) capacity {
	return capacity{f.cpus.minSince(since), f.memoryGB.minSince(since)}
}

// slidingMinimum is a monotonic queue: it holds, in order of time, the samples that are the minimum
// of some window up to now, and so each is less than those after it. Samples older than
// maxIdleWait are dropped, except the latest.
type slidingMinimum []sample

type sample struct {
	at    time.Time
	value float64
}

func (s *slidingMinimum) add(now time.Time, value float64) {
	samples := *s
	for len(samples) > 0 && samples[len(samples)-1].value >= value {
		samples = samples[:len(samples)-1]
	}
	for len(samples) > 0 && now.Sub(samples[0].at) > maxIdleWait {
		samples = samples[1:]
	}
	*s = append(samples, sample{now, value})
}

// minSince returns the least value sampled at a time or later, the latest if there is none.
func (s slidingMinimum) minSince(at time.Time) float64 {
	i, _ := slices.BinarySearchFunc(s, at, func(x sample, at time.Time) int { return x.at.Compare(at) })
	return s[min(i, len(s)-1)].value
}
