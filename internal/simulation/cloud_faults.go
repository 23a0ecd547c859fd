package simulation

import (
	"time"

	"lynxledge/wire"
)

// StallBoots makes the next n machines never finish booting.
func (c *Cloud) StallBoots(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalledBoots = n
}

// MakeBootsFaulty makes every task fail on the next n machines that come up in a zone.
func (c *Cloud) MakeBootsFaulty(zone wire.Zone, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultyBoots[zone] = n
}

// FailMachine stops the i-th running machine, modulo their number, with its tasks, and returns its
// ID, empty if none runs. If it is reclaimed, the cloud no longer lists it.
func (c *Cloud) FailMachine(i int, reclaimed bool) wire.MachineID {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := c.runningMachines()
	if len(running) == 0 {
		return ""
	}
	m := c.machines[running[i%len(running)]]
	m.worker.Kill()
	m.State = wire.InstanceFailed
	if reclaimed {
		delete(c.machines, m.ID)
	}
	return m.ID
}

// FailZone stops every machine of a zone and provisions none there until RestoreZone.
func (c *Cloud) FailZone(zone wire.Zone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedZones[zone] = true
	for _, m := range c.machines {
		if m.Zone != zone {
			continue
		}
		if m.worker != nil {
			m.worker.Kill()
		}
		m.State = wire.InstanceFailed
	}
}

// RestoreZone lets a failed zone provision machines again; those that failed stay failed.
func (c *Cloud) RestoreZone(zone wire.Zone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.failedZones, zone)
}

// PauseMachine suspends a machine for d.
func (c *Cloud) PauseMachine(id wire.MachineID, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[id]; m != nil && m.worker != nil {
		m.worker.Pause(d)
	}
}

// FastRestart restarts a machine without downtime.
func (c *Cloud) FastRestart(id wire.MachineID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[id]; m != nil && m.worker != nil {
		m.worker.FastRestart()
	}
}

// NotifyPreemption notifies a machine that it will be reclaimed, and reclaims it after notice.
func (c *Cloud) NotifyPreemption(id wire.MachineID, notice wire.Seconds) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[id]
	if m == nil || m.worker == nil {
		return
	}
	m.worker.NotifyPreemption(notice)
	time.AfterFunc(notice.Duration(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.machines[id] == m {
			m.worker.Kill()
			delete(c.machines, id)
		}
	})
}
