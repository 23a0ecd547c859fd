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

// NewCatalog makes a catalog; Subscribe before Run.
func NewCatalog(ctx context.Context, c MachineTypeLister) *Catalog {
	return &Catalog{Actor: actor.Start(ctx, "catalog", 16), client: c}
}

// Subscribe registers a receiver of the types.
func (c *Catalog) Subscribe(f func([]wire.MachineType)) { c.subscribers = append(c.subscribers, f) }

// Run reads the types every period, and oftener until it has them.
func (c *Catalog) Run(ctx context.Context, period, retry time.Duration) {
	types, err := c.client.MachineTypes(ctx)
	next := period
	if err != nil || len(types) == 0 {
		slog.Info("machine types not read", "err", err, "types", len(types))
		next = retry
	} else {
		// A slice of its own: the lister may keep, and hand out again, the one it returned.
		valid := make([]wire.MachineType, 0, len(types))
		for _, t := range types {
			if t.Name != "" && t.CPUs > 0 && t.MemoryGB >= 0 && t.HourlyPrice >= 0 && len(t.Zones) > 0 {
				valid = append(valid, t)
			}
		}
		for _, f := range c.subscribers {
			f(valid)
		}
	}
	c.After(next, func() { go c.Run(ctx, period, retry) })
}
