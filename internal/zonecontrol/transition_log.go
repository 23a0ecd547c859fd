package zonecontrol

import (
	"log/slog"
	"time"

	"lynxledge/internal/zonehealth"
)

// logTransition logs a recorded transition of a zone.
func logTransition(transition *zonehealth.Transition) {
	from, to := &transition.From, &transition.To
	attributes := []any{
		"zone", transition.Zone, "phase", to.Phase.String(), "previous_phase", from.Phase.String(), "evidence", to.Evidence.String(),
	}
	switch {
	case to.Phase == zonehealth.Lost:
		slog.Warn("zone lost", append(attributes, "losses", to.Losses, "hold_until", to.HoldUntil.UTC().Format(time.TimeOnly))...)
	case to.Phase == zonehealth.Returning && from.Phase != to.Phase:
		slog.Info("zone return started", attributes...)
	case to.Phase == zonehealth.Returning:
		slog.Info("zone return advanced", append(attributes, "step", to.Step+1)...)
	case to.Phase == from.Phase: // only the losses were forgotten
	case to.Phase == zonehealth.Degraded:
		slog.Info("zone degraded", attributes...)
	default:
		slog.Info("zone recovered", attributes...)
	}
}
