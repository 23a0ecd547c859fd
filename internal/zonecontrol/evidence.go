package zonecontrol

import (
	"time"

	"lynxledge/internal/resources"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// evidence returns the evidence on every known zone: on its machines, its controllers, and its
// exhausted machine pools.
func (c *Controller) evidence(now time.Time) map[wire.Zone]zonehealth.Evidence {
	evidence := c.reachability.Evidence()
	// A process that started after a zone had lost its last machine knows the zone only from
	// the record. Without evidence the zone would not be evaluated, and would stay lost forever.
	for name := range statusesOf(c.view.ZoneRecoveries) {
		if _, known := evidence[name]; !known {
			evidence[name] = zonehealth.Evidence{}
		}
	}
	for name, e := range evidence {
		c.countControllers(name, &e)
		c.countPools(name, now, &e)
		evidence[name] = e
	}
	return evidence
}

// countControllers counts the zone's controllers, and those of them that are not members.
func (c *Controller) countControllers(zone wire.Zone, e *zonehealth.Evidence) {
	count := func(member string, memberZone wire.Zone) {
		if memberZone != zone {
			return
		}
		e.Controllers++
		if c.view.Members[member] == nil {
			e.ControllersDown++
		}
	}
	count(c.config.MemberName, c.config.Zone)
	for _, peer := range c.config.Peers {
		count(peer.Name, peer.Zone)
	}
}

// countPools counts the zone's machine pools, and those of them that are exhausted.
func (c *Controller) countPools(zone wire.Zone, now time.Time, e *zonehealth.Evidence) {
	for i := range c.machineTypes {
		machineType := &c.machineTypes[i]
		for _, offeredZone := range machineType.Zones {
			if offeredZone != zone {
				continue
			}
			for _, spot := range []bool{false, true} {
				e.Pools++
				if now.Before(c.exhaustedPools[resources.Pool{MachineType: machineType.Name, Zone: zone, Spot: spot}]) {
					e.PoolsExhausted++
				}
			}
		}
	}
}
