package autoscaler

import (
	"context"
	"log/slog"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// probe asks a machine that missed a heartbeat directly.
func (r *Autoscaler) probe(name wire.MachineID, m *statecache.Machine) {
	l := r.liveness.of(name)
	if l.probing {
		return
	}
	l.probing = true
	callOutside(r,
		func(ctx context.Context) (*wire.Heartbeat, error) { return r.prober.Inspect(ctx, m.Address) },
		func(response *wire.Heartbeat, err error) { r.handleProbeResponse(name, m.Incarnation, response, err) })
}

// handleProbeResponse takes what a machine answered, or that it didn't.
func (r *Autoscaler) handleProbeResponse(name wire.MachineID, incarnation uint64, response *wire.Heartbeat, err error) {
	l := r.liveness.machines[name]
	if l == nil {
		return // it was terminated meanwhile
	}
	l.probing = false
	now := time.Now()
	if err != nil || response.Machine != name {
		l.lastFailedProbe = now
		return
	}
	if l.probeSucceeded(response, incarnation, now) {
		slog.Info("outbound partition detected", "machine", name, "incarnation", response.Incarnation)
	}
	r.onProbeResponse(response)
}
