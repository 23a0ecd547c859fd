package zonehealth

import (
	"errors"
	"fmt"
)

// Phase is the state of a zone.
type Phase int

// The phases. A zone goes from Healthy, perhaps through Degraded, to Lost; from there
// through Returning back to Healthy, or to Lost again.
const (
	// Healthy: the zone is used like any other.
	Healthy Phase = iota
	// Degraded: a notable share of its machines is down. Nothing follows from it.
	Degraded
	// Lost: most of its machines are down. Its services are placed elsewhere.
	Lost
	// Returning: its machines are reachable again, and admitted step by step.
	Returning
)

var phaseNames = [...]string{"healthy", "degraded", "lost", "returning"}

// ErrUnknownPhase is the error of a phase's name that this version does not know.
var ErrUnknownPhase = errors.New("unknown phase")

// String returns the phase's name, as records hold it.
func (p Phase) String() string { return phaseNames[p] }

// ParsePhase parses a phase's name.
func ParsePhase(name string) (Phase, error) {
	for i, n := range phaseNames {
		if n == name {
			return Phase(i), nil
		}
	}
	return Healthy, fmt.Errorf("%w %q", ErrUnknownPhase, name)
}

// Recovering tells whether scheduling must take care of the zone.
func (p Phase) Recovering() bool { return p == Lost || p == Returning }
