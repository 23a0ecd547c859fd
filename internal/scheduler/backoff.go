package scheduler

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/jobhealth"
	"lynxledge/internal/placement"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

const (
	firstDelayHeartbeats = 0.5 // a job's first delay, in heartbeat intervals
	maxDelayDoublings    = 5   // times that the delay is doubled, at most
)

// backoff delays jobs whose tasks failed or were preempted right after placement, and avoids
// machines that refused tasks or didn't respond to commands.
type backoff struct {
	workers        config.WorkerTimings
	failures       map[wire.JobID]*jobFailures
	preemptedUntil map[wire.JobID]time.Time     // end of the delay of arrays with a task preempted right after placement
	avoidedUntil   map[wire.MachineID]time.Time // machines get no tasks before this time
}

// jobFailures records a job's failures and refusals since its last success.
type jobFailures struct {
	jobhealth.Failures
	refusedBy map[wire.MachineID]bool // machines that refused its tasks
	delays    int                     // number of times the job was delayed
	until     time.Time               // the job is not placed before this time
	outlived  bool                    // a bound task has outlived the failed ones
	judgeAt   time.Time               // when its bound tasks are judged next
	reportAt  time.Time               // when the next log line is due if tasks are held back
}

// avoids reports whether the job's tasks failed on a machine or were refused by it.
func (f *jobFailures) avoids(machine wire.MachineID) bool {
	return f.OnMachine(machine) || f.refusedBy[machine]
}

func newBackoff(workers config.WorkerTimings) *backoff {
	return &backoff{
		workers:        workers,
		failures:       map[wire.JobID]*jobFailures{},
		preemptedUntil: map[wire.JobID]time.Time{},
		avoidedUntil:   map[wire.MachineID]time.Time{},
	}
}

// observe updates the backoff from the terminations in a group's new record.
func (b *backoff) observe(terminations []statecache.Termination, now time.Time) {
	for i := range terminations {
		t := &terminations[i]
		switch t.Reason {
		case wire.ReasonCompleted:
			delete(b.failures, t.Job)
		case wire.ReasonError, wire.ReasonUnknown, wire.ReasonInsufficientCapacity, wire.ReasonAttemptConflict:
			b.recordFailure(t, now)
		}
	}
}

// recordFailure records a failed task. After a refusal (insufficient capacity or an attempt
// conflict) the machine is avoided for one heartbeat interval. After any other failure the job is
// delayed, twice as long each time up to the lease duration, so that no job waits much longer than
// that while there is free capacity. Failures during a delay don't extend it: the tasks were placed
// before it began.
func (b *backoff) recordFailure(t *statecache.Termination, now time.Time) {
	f := b.failures[t.Job]
	if f == nil {
		f = &jobFailures{refusedBy: map[wire.MachineID]bool{}}
		b.failures[t.Job] = f
	}
	if t.Reason == wire.ReasonInsufficientCapacity || t.Reason == wire.ReasonAttemptConflict {
		f.AddRefusal(now)
		f.refusedBy[t.Machine] = true
		b.avoidMachine(t.Machine, now)
		return
	}
	f.Add(t, now)
	if !now.Before(f.until) {
		f.delays++
		f.until = now.Add(b.delay(f.delays))
		f.judgeAt = f.until
	}
	slog.Info("task failed", "job", t.Job, "machine", t.Machine, "reason", t.Reason, "failures", f.Count(), "backoff_seconds", f.until.Sub(now).Seconds())
}

// delay returns how long the n-th delay of a job since its last success is.
func (b *backoff) delay(n int) time.Duration {
	doublings := min(n-1, maxDelayDoublings)
	delay := b.workers.Heartbeats(firstDelayHeartbeats * math.Pow(2, float64(doublings)))
	return min(delay, b.workers.LeaseDuration)
}

// recordEarlyPreemption delays an array by one heartbeat interval, because one of its tasks was
// preempted right after placement. It would take the next free capacity and be preempted again,
// each time wasting two writes and a launch.
func (b *backoff) recordEarlyPreemption(job wire.JobID, now time.Time) {
	b.preemptedUntil[job] = now.Add(b.workers.Heartbeats(1))
}

// delays reports whether a job must not be placed yet.
func (b *backoff) delays(job wire.JobID, now time.Time) bool {
	if f := b.failures[job]; f != nil && now.Before(f.until) {
		return true
	}
	return now.Before(b.preemptedUntil[job])
}

// holdsBack reports whether a job's tasks are to be tried one at a time, since the job itself may be
// faulty.
func (b *backoff) holdsBack(job wire.JobID) bool {
	f := b.failures[job]
	return f != nil && f.Suspected() && !f.outlived
}

// reportHeldBack logs, at most once per lease duration, that a job's pending tasks are held back
// after failures.
func (b *backoff) reportHeldBack(job wire.JobID, bound, pending int, now time.Time) {
	f := b.failures[job]
	if now.Before(f.reportAt) {
		return
	}
	f.reportAt = now.Add(b.workers.LeaseDuration)
	slog.Info("tasks held back after failures",
		"job", job,
		"failures", f.Count(),
		"machines", f.Machines(),
		"bound", bound,
		"pending", pending)
}

// hasFailed reports whether a job has failed or was refused since its last success.
func (b *backoff) hasFailed(job wire.JobID) bool { return b.failures[job] != nil }

// withoutFailed returns the nodes on which the job has neither failed nor been refused since its
// last success, or all if there are none.
func (b *backoff) withoutFailed(job wire.JobID, nodes []*placement.Node) []*placement.Node {
	f := b.failures[job]
	if f == nil {
		return nodes
	}
	others := slices.DeleteFunc(slices.Clone(nodes), func(n *placement.Node) bool { return f.avoids(n.Name) })
	if len(others) == 0 {
		return nodes
	}
	return others
}

// avoidMachine keeps tasks away from a machine for one heartbeat interval.
func (b *backoff) avoidMachine(machine wire.MachineID, now time.Time) {
	b.avoidedUntil[machine] = now.Add(b.workers.Heartbeats(1))
}

// avoids reports whether no tasks may be placed on a machine yet.
func (b *backoff) avoids(machine wire.MachineID, now time.Time) bool {
	return now.Before(b.avoidedUntil[machine])
}

// forgetJob drops the state of a job that has ended or is blocked.
func (b *backoff) forgetJob(job wire.JobID) {
	delete(b.failures, job)
	delete(b.preemptedUntil, job)
}

// forgetMachine drops the state of a machine that no longer exists.
func (b *backoff) forgetMachine(machine wire.MachineID) { delete(b.avoidedUntil, machine) }
