package cloud

import (
	"context"
	"log/slog"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/wire"
)

// MachineTypeLister reads the machine types.
type MachineTypeLister interface {
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
}

// Catalog is the actor that keeps the machine types and their prices.
type Catalog struct {
	*actor.Actor
	client      MachineTypeLister
	subscribers []func([]wire.MachineType)
}

// NewCatalog starts a catalog's actor until the context ends. Subscribe before Run.
func NewCatalog(ctx context.Context, client MachineTypeLister) *Catalog {
	return &Catalog{Actor: actor.Start(ctx, "catalog", 16), client: client}
}

// Subscribe registers a receiver of the machine types. All receivers share the slice.
func (c *Catalog) Subscribe(f func([]wire.MachineType)) { c.subscribers = append(c.subscribers, f) }

// Run reads the machine types every period, and after a failure every retry, until the actor
// ends.
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

// validTypes returns the valid types in a slice of their own: the lister may keep the one that it
// returned, and return it again.
func validTypes(types []wire.MachineType) []wire.MachineType {
	valid := make([]wire.MachineType, 0, len(types))
	for _, t := range types {
		if t.Name != "" && t.CPUs > 0 && t.MemoryGB >= 0 && t.HourlyPrice >= 0 && len(t.Zones) > 0 {
			valid = append(valid, t)
		}
	}
	return valid
}
