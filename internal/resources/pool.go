package resources

import "lynxledge/wire"

// Pool is a type in a zone, spot or ordinary: what one rental names.
type Pool struct {
	MachineType string
	Zone        wire.Zone
	Spot        bool
}
