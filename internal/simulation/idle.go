package simulation

import (
	"slices"
	"time"

	"lynxledge/wire"
)

// maxIdleWait is how long a task may wait, once all troubles are over, beside a
// machine that fits and has room.
const maxIdleWait = 90 * time.Second

// CheckIdleCapacity checks that no accepted job is left waiting while a machine that is up has
// had room for it all the time and its team was under its limit.
//
// The room has to be one machine's: where all machines are in use, at any moment one of
// them has just ended a task and not begun the next.
func (r *InvariantChecker) CheckIdleCapacity(up []wire.Instance, types []wire.MachineType) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.faultsOver {
		return
	}
	now := time.Now()
	on := r.recordFreeCapacity(up, types, now)
	for id, t := range r.jobs {
		j := t.job
		limit := r.teams[j.Team].MaxCPUs
		if !t.accepted || t.finalState != "" || t.cancellationRequested || r.awaitsDependencies(t) || len(t.completed)+on[id] >= j.TaskCount ||
			limit > 0 && r.usedCPUs[j.Team]+j.CPUs > limit || r.machineWithCapacity(t, up, now) == "" {
			t.waitsBesideCapacitySince = time.Time{}
			continue
		}
		if t.waitsBesideCapacitySince.IsZero() {
			t.waitsBesideCapacitySince = now
		}
		since := now.Add(-maxIdleWait)
		if !t.waitsBesideCapacitySince.Before(since) {
			continue
		}
		if machine := r.machineWithCapacity(t, up, since); machine != "" {
			r.violation("left waiting: %s (%d of %d done, %d run) beside room for it on %s", id, len(t.completed), j.TaskCount, on[id], machine)
			t.waitsBesideCapacitySince = now
		}
	}
}

// recordFreeCapacity notes how much of each machine that is up is free, and counts each job's
// tasks that are on machines.
func (r *InvariantChecker) recordFreeCapacity(up []wire.Instance, types []wire.MachineType, now time.Time) (on map[wire.JobID]int) {
	used := map[wire.MachineID]capacity{}
	on = map[wire.JobID]int{}
	for task, h := range r.running {
		id, _, _ := wire.ParseTaskID(task)
		on[id]++
		j, u := r.jobs[id].job, used[h.ID]
		used[h.ID] = capacity{u.cpus + j.CPUs, u.memoryGB + j.MemoryGB}
	}
	gone := r.freeCapacity
	r.freeCapacity = make(map[wire.MachineID]*freeCapacity, len(up))
	for _, h := range up {
		i := slices.IndexFunc(types, func(x wire.MachineType) bool { return x.Name == h.MachineType })
		if i < 0 {
			continue
		}
		room := gone[h.ID]
		if room == nil {
			room = &freeCapacity{firstSeenAt: now}
		}
		r.freeCapacity[h.ID] = room
		u := used[h.ID]
		room.add(now, capacity{types[i].CPUs - u.cpus, types[i].MemoryGB - u.memoryGB})
	}
	return on
}

// machineWithCapacity names a machine that is up, on which one more task of a job may start, and
// that has had room for it at all times since then, if there is one.
func (r *InvariantChecker) machineWithCapacity(t *jobRecord, up []wire.Instance, since time.Time) wire.MachineID {
	i := slices.IndexFunc(up, func(h wire.Instance) bool {
		room := r.freeCapacity[h.ID]
		if room == nil || room.firstSeenAt.After(since) {
			return false
		}
		least := room.least(since)
		return t.job.CPUs <= least.cpus+1e-6 && t.job.MemoryGB <= least.memoryGB+1e-6 && t.mayStart(h)
	})
	if i < 0 {
		return ""
	}
	return up[i].ID
}

type capacity struct{ cpus, memoryGB float64 }

// freeCapacity is how much of a machine has been free.
type freeCapacity struct {
	firstSeenAt time.Time // when it was first seen up
	cpus        slidingMinimum
	memoryGB    slidingMinimum
}

func (f *freeCapacity) add(now time.Time, free capacity) {
	f.cpus.add(now, free.cpus)
	f.memoryGB.add(now, free.memoryGB)
}

// least is what was free at all times since then.
func (f *freeCapacity) least(since time.Time) capacity {
	return capacity{f.cpus.since(since), f.memoryGB.since(since)}
}

// slidingMinimum holds the samples that may be the least of some time up to now: each is
// less than those after it. Samples older than mayWait are dropped, but for the last.
type slidingMinimum []sample

type sample struct {
	at    time.Time // until then it stood
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

// since is the least sample taken at that time or later.
func (s slidingMinimum) since(at time.Time) float64 {
	i, _ := slices.BinarySearchFunc(s, at, func(x sample, at time.Time) int { return x.at.Compare(at) })
	return s[min(i, len(s)-1)].value
}
