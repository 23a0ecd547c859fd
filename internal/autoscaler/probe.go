package autoscaler

import (
	"context"
	"log/slog"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// probe requests the status of a machine that missed a heartbeat, unless a probe is in flight.
func (a *Autoscaler) probe(name wire.MachineID, m *statecache.Machine) {
	l := a.liveness.of(name)
	if l.probing {
		return
	}
	l.probing = true
	callAsync(a,
		func(ctx context.Context) (*wire.Heartbeat, error) { return a.prober.Inspect(ctx, m.Address) },
		func(response *wire.Heartbeat, err error) { a.handleProbeResponse(name, m.Incarnation, response, err) })
}

// handleProbeResponse handles the response to a probe, or its failure.
func (a *Autoscaler) handleProbeResponse(name wire.MachineID, incarnation uint64, response *wire.Heartbeat, err error) {
	l := a.liveness.machines[name]
	if l == nil {
		return // it has been terminated meanwhile
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
	a.onProbeResponse(response)
}
