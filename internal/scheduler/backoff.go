package scheduler

import (
	"log/slog"
	"math"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// probeAfter is the number of failures since a success after which a job's
// tasks are tried one at a time: it may have been submitted with a mistake.
const probeAfter = 3

// jobFailures backs a job off after tasks of it failed.
type jobFailures struct {
	count    int
	until    time.Time
	machines map[wire.MachineID]bool
}

// learnFromTerminations learns from what a group's new record says of the tasks that left.
func (p *Scheduler) learnFromTerminations(g *statecache.MachineGroup, now time.Time) {
	for i := range g.Terminations {
		gone := &g.Terminations[i]
		switch gone.Reason {
		case wire.ReasonCompleted:
			delete(p.failures, gone.Job)
		case wire.ReasonError, wire.ReasonUnknown, wire.ReasonInsufficientCapacity, wire.ReasonAttemptConflict:
			p.backOffJob(gone.Job, gone.Machine, gone.Reason, now)
		}
	}
	p.runtimes.Observe(g.Terminations, p.view.Jobs)
}

// backOffJob backs a job off: a refusal for want of room for one report, a real
// failure twice as long each time, up to a lease: no job is left waiting beside
// room for much longer than that.
func (p *Scheduler) backOffJob(job wire.JobID, machine wire.MachineID, why wire.ExitReason, now time.Time) {
	f := p.failures[job]
	if f == nil {
		f = &jobFailures{machines: map[wire.MachineID]bool{}}
		p.failures[job] = f
	}
	f.machines[machine] = true
	if why == wire.ReasonInsufficientCapacity || why == wire.ReasonAttemptConflict {
		p.avoidUntil[machine] = now.Add(p.config.Params.Workers.Heartbeats(1))
		return
	}
	f.count++
	workers := p.config.Params.Workers
	wait := min(workers.Heartbeats(math.Pow(2, float64(min(f.count, 6)-2))), workers.LeaseDuration)
	f.until = now.Add(wait)
	slog.Info("task failed", "job", job, "machine", machine, "why", why, "failures", f.count, "wait_s", wait.Seconds())
}
