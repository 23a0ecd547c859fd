package autoscaler

import (
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/estimate"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// machineCatalog holds the machine types that the cloud offers; none until they are first read.
type machineCatalog struct {
	types              []wire.MachineType
	defaultBootSeconds float64 // boot time of unknown types
}

// find returns a machine type, or nil.
func (c *machineCatalog) find(name string) *wire.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}

// byName returns the machine types by name, for repeated lookups.
func (c *machineCatalog) byName() map[string]*wire.MachineType {
	types := map[string]*wire.MachineType{}
	for i := range c.types {
		types[c.types[i].Name] = &c.types[i]
	}
	return types
}

// bootSeconds returns the boot time of a machine type, or the default for an unknown type.
func (c *machineCatalog) bootSeconds(name string) float64 {
	if t := c.find(name); t != nil {
		return float64(t.BootTime)
	}
	return c.defaultBootSeconds
}

// isBootOverdue reports whether a machine has been booting for longer than is usual for its type.
func (c *machineCatalog) isBootOverdue(m *statecache.Machine, now time.Time) bool {
	return c.bootExceeds(m, estimate.UsualBootFactor, now)
}

// bootExceeds reports whether a machine has been booting for longer than a multiple of its
// type's boot time.
func (c *machineCatalog) bootExceeds(m *statecache.Machine, multiple float64, now time.Time) bool {
	bootTime := config.Seconds(multiple * c.bootSeconds(m.MachineType))
	return m.Incarnation == 0 && now.Sub(m.ProvisionedAt.Time()) > bootTime
}

// machinePool returns the pool of a machine.
func machinePool(m *statecache.Machine) resources.Pool {
	return resources.Pool{MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot}
}

// intentPool returns the pool that an intent provisions from.
func intentPool(i *statecache.ProvisioningIntent) resources.Pool {
	return resources.Pool{MachineType: i.MachineType, Zone: i.Zone, Spot: i.Spot}
}

// instancePool returns the pool of an instance that the cloud lists.
func instancePool(i *wire.Instance) resources.Pool {
	return resources.Pool{MachineType: i.MachineType, Zone: i.Zone, Spot: i.Spot}
}
