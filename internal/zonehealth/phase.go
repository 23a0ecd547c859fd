package zonehealth

import (
	"errors"
	"fmt"
)

// Phase is the state of a zone.
type Phase int

// Phases of a zone. It goes from Healthy to Lost, directly or through Degraded, and from Lost to
// Returning. From there it goes back to Healthy, or to Lost again.
const (
	// Healthy: the zone is used like any other.
	Healthy Phase = iota
	// Degraded: a notable share of its machines is down. It is used like a healthy zone.
	Degraded
	// Lost: most of its machines are down. Its services are placed elsewhere.
	Lost
	// Returning: its machines are reachable again, and are admitted in steps.
	Returning
)

var phaseNames = [...]string{"healthy", "degraded", "lost", "returning"}

// ErrUnknownPhase is returned for the name of a phase that this version does not know.
var ErrUnknownPhase = errors.New("unknown phase")

// String returns the phase's name, as stored in the recovery record.
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

// Recovering reports whether the zone is lost or returning, so that scheduling restricts its use.
func (p Phase) Recovering() bool { return p == Lost || p == Returning }
