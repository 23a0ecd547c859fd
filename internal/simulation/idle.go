package simulation

import (
	"slices"
	"time"

	"lynxledge/wire"
)

// mayWait is how long a task may wait, once all troubles are over, beside a
// machine that fits and has room.
const mayWait = 90 * time.Second

// Idle checks that no accepted job is left waiting while a machine that is up has
// had room for it all the time and its team was under its limit.
//
// The room has to be one machine's: where all machines are in use, at any moment one of
// them has just ended a task and not begun the next.
func (r *InvariantChecker) Idle(up []wire.Instance, types []wire.MachineType) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.over {
		return
	}
	now := time.Now()
	on := r.followRoom(up, types, now)
	for id, t := range r.jobs {
		j := t.job
		limit := r.teams[j.Team].MaxCPUs
		if !t.accepted || t.final != "" || t.asked || r.waiting(t) || len(t.completed)+on[id] >= j.TaskCount ||
			limit > 0 && r.used[j.Team]+j.CPUs > limit || r.roomFor(t, up, now) == "" {
			t.waits = time.Time{}
			continue
		}
		if t.waits.IsZero() {
			t.waits = now
		}
		since := now.Add(-mayWait)
		if !t.waits.Before(since) {
			continue
		}
		if machine := r.roomFor(t, up, since); machine != "" {
			r.violation("left waiting: %s (%d of %d done, %d run) beside room for it on %s", id, len(t.completed), j.TaskCount, on[id], machine)
			t.waits = now
		}
	}
}

// followRoom notes how much of each machine that is up is free, and counts each job's
// tasks that are on machines.
func (r *InvariantChecker) followRoom(up []wire.Instance, types []wire.MachineType, now time.Time) (on map[wire.JobID]int) {
	used := map[wire.MachineID]amount{}
	on = map[wire.JobID]int{}
	for task, h := range r.on {
		id, _, _ := wire.ParseTaskID(task)
		on[id]++
		j, u := r.jobs[id].job, used[h.ID]
		used[h.ID] = amount{u.cpus + j.CPUs, u.mem + j.MemoryGB}
	}
	gone := r.free
	r.free = make(map[wire.MachineID]*freeRoom, len(up))
	for _, h := range up {
		i := slices.IndexFunc(types, func(x wire.MachineType) bool { return x.Name == h.MachineType })
		if i < 0 {
			continue
		}
		room := gone[h.ID]
		if room == nil {
			room = &freeRoom{since: now}
		}
		r.free[h.ID] = room
		u := used[h.ID]
		room.add(now, amount{types[i].CPUs - u.cpus, types[i].MemoryGB - u.mem})
	}
	return on
}

// roomFor names a machine that is up, on which one more task of a job may start, and
// that has had room for it at all times since then, if there is one.
func (r *InvariantChecker) roomFor(t *jobRecord, up []wire.Instance, since time.Time) wire.MachineID {
	i := slices.IndexFunc(up, func(h wire.Instance) bool {
		room := r.free[h.ID]
		if room == nil || room.since.After(since) {
			return false
		}
		least := room.least(since)
		return t.job.CPUs <= least.cpus+1e-6 && t.job.MemoryGB <= least.mem+1e-6 && t.mayStart(h)
	})
	if i < 0 {
		return ""
	}
	return up[i].ID
}

type amount struct{ cpus, mem float64 }

// freeRoom is how much of a machine has been free.
type freeRoom struct {
	since time.Time // when it was first seen up
	cpus  slidingMinimum
	mem   slidingMinimum
}

func (f *freeRoom) add(now time.Time, free amount) {
	f.cpus.add(now, free.cpus)
	f.mem.add(now, free.mem)
}

// least is what was free at all times since then.
func (f *freeRoom) least(since time.Time) amount {
	return amount{f.cpus.since(since), f.mem.since(since)}
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
	for len(samples) > 0 && now.Sub(samples[0].at) > mayWait {
		samples = samples[1:]
	}
	*s = append(samples, sample{now, value})
}

// since is the least sample taken at that time or later.
func (s slidingMinimum) since(at time.Time) float64 {
	i, _ := slices.BinarySearchFunc(s, at, func(x sample, at time.Time) int { return x.at.Compare(at) })
	return s[min(i, len(s)-1)].value
}
