package cloud

import (
	"context"
	"log/slog"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/wire"
)

// MachineTypeLister lists the machine types that the cloud offers.
type MachineTypeLister interface {
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
}

// Catalog is the actor that periodically reads the machine types and their prices and passes them
// to its subscribers.
type Catalog struct {
	*actor.Actor
	client      MachineTypeLister
	subscribers []func([]wire.MachineType)
}

// StartCatalog starts a Catalog that runs until ctx ends. Subscribers must be registered before
// Run.
func StartCatalog(ctx context.Context, client MachineTypeLister) *Catalog {
	return &Catalog{Actor: actor.Start(ctx, "catalog", 16), client: client}
}

// Subscribe registers a function that receives the machine types. All subscribers share the slice.
func (c *Catalog) Subscribe(f func([]wire.MachineType)) { c.subscribers = append(c.subscribers, f) }

// Run reads the machine types now, and again after each period, or after retry if that failed, until
// the actor ends.
func (c *Catalog) Run(ctx context.Context, period, retry time.Duration) {
	next := period
	if types, err := c.client.MachineTypes(ctx); err != nil || len(types) == 0 {
		slog.Info("machine types not read", "error", err, "count", len(types))
		next = retry
	} else {
		c.publish(validTypes(types))
	}
	c.After(next, func() { go c.Run(ctx, period, retry) })
}

func (c *Catalog) publish(types []wire.MachineType) {
	for _, f := range c.subscribers {
		f(types)
	}
}

// validTypes returns the valid types in a new slice: the lister may keep the slice that it returned
// and return it again.
func validTypes(types []wire.MachineType) []wire.MachineType {
	valid := make([]wire.MachineType, 0, len(types))
	for _, t := range types {
		if t.Name != "" && t.CPUs > 0 && t.MemoryGB >= 0 && t.HourlyPrice >= 0 && len(t.Zones) > 0 {
			valid = append(valid, t)
		}
	}
	return valid
}
