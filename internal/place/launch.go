package place

import (
	"log/slog"
	"time"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

// LaunchAge is how old the view may be from which a task is launched.
func LaunchAge(cfg *config.Config) time.Duration {
	return config.Seconds(launchAge * cfg.Params.Workers.HeartbeatInterval)
}

// launchAge, in report intervals, is what a ledger that has state keeps its view
// under when nothing changes.
const launchAge = 0.75

// launch sends the commands of a round that stands, under the tokens of its
// own rows: a later row may have ordered a task stopped again. What is lost or
// refused is repeated when the worker reports. That is left to a report, too, if
// the commit took long, or this process stood still since: a job may have been
// cancelled after its guard held.
func (p *Placer) launch(r *round) {
	if time.Since(r.now) > LaunchAge(p.cfg) {
		return
	}
	for m, rec := range r.rows {
		cmd := wire.CommandBatch{FencingToken: rec.FencingToken, Incarnation: rec.Incarnation, Commands: append(r.stops[m], r.starts[m]...)}
		slog.Debug("placing", "machine", m, "starts", len(r.starts[m]), "stops", len(r.stops[m]), "first", cmd.Commands[len(r.stops[m])].Task)
		go func() {
			rep, err := p.worker.Do(p.ctx, rec.Address, cmd)
			if err != nil {
				slog.Debug("commands unanswered", "machine", m, "err", err)
				p.Send(func() { p.unreliable[m] = time.Now().Add(p.reportS(1)) })
				return
			}
			p.report(rep)
		}()
	}
}
