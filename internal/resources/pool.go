package resources

import "lynxledge/wire"

// Pool is a machine type in a zone, spot or on-demand. One request to the cloud provisions machines
// from one pool.
type Pool struct {
	MachineType string
	Zone        wire.Zone
	Spot        bool
}
