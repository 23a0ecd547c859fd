package scheduler

import (
	"log/slog"
	"time"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

// MaxLaunchViewAge is how old the view may be from which a task is launched.
func MaxLaunchViewAge(cfg *config.Config) time.Duration {
	return cfg.Params.Workers.Heartbeats(launchViewAgeHeartbeats)
}

// launchViewAgeHeartbeats, in report intervals, is what a ledger that has state keeps its view
// under when nothing changes.
const launchViewAgeHeartbeats = 0.75

// launch sends the commands of a round that stands, under the tokens of its
// own rows: a later row may have ordered a task stopped again. What is lost or
// refused is repeated when the worker reports. That is left to a report, too, if
// the commit took long, or this process stood still since: a job may have been
// cancelled after its guard held.
func (p *Scheduler) launch(r *cycle) {
	if time.Since(r.now) > MaxLaunchViewAge(p.config) {
		return
	}
	for m, rec := range r.launchedMachines {
		cmd := wire.CommandBatch{FencingToken: rec.FencingToken, Incarnation: rec.Incarnation, Commands: append(r.stops[m], r.launches[m]...)}
		slog.Debug("placing", "machine", m, "starts", len(r.launches[m]), "stops", len(r.stops[m]), "first", cmd.Commands[len(r.stops[m])].Task)
		go func() {
			rep, err := p.workers.SendCommands(p.ctx, rec.Address, cmd)
			if err != nil {
				slog.Debug("commands unanswered", "machine", m, "err", err)
				p.Send(func() { p.avoidUntil[m] = time.Now().Add(p.config.Params.Workers.Heartbeats(1)) })
				return
			}
			p.onCommandResponse(rep)
		}()
	}
}
