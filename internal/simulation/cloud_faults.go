package simulation

import (
	"time"

	"lynxledge/wire"
)

// StallBoots makes the next n machines never come up.
func (c *Cloud) StallBoots(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stuckBoots = n
}

// FailMachine stops the i-th running machine, with everything on it. If it is reclaimed, the
// cloud does not list it any more.
func (c *Cloud) FailMachine(i int, reclaimed bool) wire.MachineID {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := c.runningMachines()
	if len(running) == 0 {
		return ""
	}
	h := c.machines[running[i%len(running)]]
	h.worker.Kill()
	h.State = wire.InstanceFailed
	if reclaimed {
		delete(c.machines, h.ID)
	}
	return h.ID
}

// FailZone stops every machine of a zone, and provisions none there until it is restored.
func (c *Cloud) FailZone(zone wire.Zone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedZones[zone] = true
	for _, h := range c.machines {
		if h.Zone != zone {
			continue
		}
		if h.worker != nil {
			h.worker.Kill()
		}
		h.State = wire.InstanceFailed
	}
}

// RestoreZone has a failed zone provide machines again.
func (c *Cloud) RestoreZone(zone wire.Zone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.failedZones, zone)
}

// PauseMachine suspends a machine for a while.
func (c *Cloud) PauseMachine(id wire.MachineID, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.machines[id]; h != nil && h.worker != nil {
		h.worker.Pause(d)
	}
}

// FastRestart restarts a machine at once.
func (c *Cloud) FastRestart(id wire.MachineID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.machines[id]; h != nil && h.worker != nil {
		h.worker.FastRestart()
	}
}

// NotifyPreemption gives a machine notice that it will be reclaimed, which happens then.
func (c *Cloud) NotifyPreemption(id wire.MachineID, notice wire.Seconds) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.machines[id]
	if h == nil || h.worker == nil {
		return
	}
	h.worker.NotifyPreemption(notice)
	time.AfterFunc(notice.Duration(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.machines[id] == h {
			h.worker.Kill()
			delete(c.machines, id)
		}
	})
}
