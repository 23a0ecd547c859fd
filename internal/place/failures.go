package place

import (
	"log/slog"
	"math"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// probeAfter is the number of failures since a success after which a job's
// tasks are tried one at a time: it may have been submitted with a mistake.
const probeAfter = 3

// failure backs a job off after tasks of it failed.
type failure struct {
	count    int
	until    time.Time
	machines map[string]bool
}

// left learns from what a group's new record says of the tasks that left.
func (p *Placer) left(g *statecache.MachineGroup, now time.Time) {
	for i := range g.Terminations {
		gone := &g.Terminations[i]
		switch gone.Reason {
		case wire.ReasonCompleted:
			delete(p.failed, gone.Job)
		case wire.ReasonError, wire.ReasonUnknown, wire.ReasonInsufficientCapacity, wire.ReasonAttemptConflict:
			p.fail(gone.Job, gone.Machine, gone.Reason, now)
		}
	}
	p.runs.Learn(g.Terminations, p.view.Jobs)
}

// fail backs a job off: a refusal for want of room for one report, a real
// failure twice as long each time, up to a lease: no job is left waiting beside
// room for much longer than that.
func (p *Placer) fail(job, machine, why string, now time.Time) {
	f := p.failed[job]
	if f == nil {
		f = &failure{machines: map[string]bool{}}
		p.failed[job] = f
	}
	f.machines[machine] = true
	if why == wire.ReasonInsufficientCapacity || why == wire.ReasonAttemptConflict {
		p.unreliable[machine] = now.Add(p.reportS(1))
		return
	}
	f.count++
	wait := min(p.cfg.Params.Workers.HeartbeatInterval*math.Pow(2, float64(min(f.count, 6)-2)), p.cfg.Params.Workers.LeaseDuration)
	f.until = now.Add(config.Seconds(wait))
	slog.Info("task failed", "job", job, "machine", machine, "why", why, "failures", f.count, "wait_s", wait)
}
