package resources

// Pool is a type in a zone, spot or ordinary: what one rental names.
type Pool struct {
	MachineType, Zone string
	Spot              bool
}
