package main

import (
	"time"
)

// waitBound is how long a job may be left waiting while a machine that fits has room.
const waitBound = 90 * time.Second

// waitingCheck checks that a job is not left waiting for longer than waitBound once the troubles are
// over, while a machine that fits has room and its team is under its limit.
type waitingCheck struct {
	world    *World
	job      *Job
	teamMost float64 // the team's limit in CPUs

	since time.Time // since when it has waited although there was room; zero: it does not
}

// observe looks at the machines now, and returns for how long the job has been left waiting.
func (c *waitingCheck) observe() time.Duration {
	if !c.isWaiting() || c.roomOn() == "" || !c.underLimit() {
		c.since = time.Time{}
		return 0
	}
	if c.since.IsZero() {
		c.since = time.Now()
	}
	return time.Since(c.since)
}

// isWaiting reports whether a task of the job is neither on a machine nor completed.
func (c *waitingCheck) isWaiting() bool {
	_, ended := c.world.counts(c.job.ID)
	return c.world.onMachines(c.job.ID)+ended < c.job.Legs
}

func (c *waitingCheck) underLimit() bool {
	w := c.world
	w.mu.Lock()
	defer w.mu.Unlock()
	used := c.job.Cores
	for leg, on := range w.running {
		if j := w.jobs[jobID(leg)]; j != nil && j.Crew == c.job.Crew {
			used += j.Cores * float64(len(on))
		}
	}
	return used <= c.teamMost
}

// roomOn returns a machine that is up, in its first session or a later one, that the job allows and
// that has room for one more of its tasks.
func (c *waitingCheck) roomOn() string {
	w := c.world
	w.mu.Lock()
	workers := append([]*Worker(nil), w.workers...)
	inZone := map[string]int{}
	for leg, on := range w.running {
		if jobID(leg) == c.job.ID {
			for m := range on {
				inZone[m.pool.yard]++
			}
		}
	}
	w.mu.Unlock()
	for _, m := range workers {
		if c.allows(m, inZone) && m.hasRoomFor(c.job) {
			return m.id
		}
	}
	return ""
}

func (c *waitingCheck) allows(m *Worker, inZone map[string]int) bool {
	j := c.job
	if m.pool.loaners && !j.Loaners || j.Yard != nil && *j.Yard != m.pool.yard {
		return false
	}
	if len(j.Builds) > 0 {
		found := false
		for _, b := range j.Builds {
			found = found || b == m.pool.build
		}
		if !found {
			return false
		}
	}
	return !j.Scatter || inZone[m.pool.yard] < (j.Legs+1)/2
}

// hasRoomFor reports whether the machine is up, sound and has room for a task of a job.
func (w *Worker) hasRoomFor(j *Job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	cores, memory := j.Cores, j.MemoryGB
	for _, t := range w.tasks {
		if t.Status != "ended" {
			cores += t.job.Cores
			memory += t.job.MemoryGB
		}
	}
	return !w.dead && !w.faulty && cores <= w.kind.Cores && memory <= w.kind.MemoryGB
}
