package zonehealth

import (
	"time"

	"lynxledge/wire"

	"github.com/RoaringBitmap/roaring/v2"
)

// ReachabilityTracker is which machines each zone should have, and which of them were heard lately
// by which controller. Machines are numbered, so that sets of them are compressed
// bitmaps: those of several controllers merge without looking at single machines, and
// what a report costs does not depend on the size of the fleet.
type ReachabilityTracker struct {
	unreachableAfter time.Duration
	machines         map[wire.MachineID]trackedMachine
	nextNumber       uint32 // numbers are not used again: a late report may still name an old one
	zones            map[wire.Zone]*zoneMachines
	reachable        map[string]*window // by controller
	lastRotation     time.Time
	completeSince    time.Time // from when on nothing was missed
}

type trackedMachine struct {
	number uint32
	zone   wire.Zone
}

type zoneMachines struct {
	expected *roaring.Bitmap
	failed   *window
}

// NewReachabilityTracker begins at a time. A machine counts as silent when no controller has heard
// it for silence.
func NewReachabilityTracker(now time.Time, silence time.Duration) *ReachabilityTracker {
	return &ReachabilityTracker{
		unreachableAfter: silence,
		machines:         map[wire.MachineID]trackedMachine{},
		zones:            map[wire.Zone]*zoneMachines{},
		reachable:        map[string]*window{},
		lastRotation:     now,
		completeSince:    now,
	}
}

// noController is whose hearing machines are put into that nobody has heard yet.
const noController = ""

// AddMachine notes that a machine should report from now on. It has the whole time of
// silence to be heard.
func (c *ReachabilityTracker) AddMachine(name wire.MachineID, zone wire.Zone) {
	m, known := c.machines[name]
	if !known {
		m = trackedMachine{c.nextNumber, zone}
		c.nextNumber++
		c.machines[name] = m
		c.reachableFrom(noController).add(m.number)
	}
	c.zone(zone).expected.Add(m.number)
}

// RemoveMachine notes that a machine is not expected any more. One that failed, or was given
// up, counts as down for a while: a zone whose machines are all gone at once is lost.
func (c *ReachabilityTracker) RemoveMachine(name wire.MachineID, failed bool) {
	m, known := c.machines[name]
	if !known {
		return
	}
	delete(c.machines, name)
	sets := c.zone(m.zone)
	sets.expected.Remove(m.number)
	if failed {
		sets.failed.add(m.number)
	}
}

// MachinesReachable notes that a controller has heard machines.
func (c *ReachabilityTracker) MachinesReachable(controller string, names []wire.MachineID) {
	h := c.reachableFrom(controller)
	for _, name := range names {
		if m, known := c.machines[name]; known {
			h.add(m.number)
		}
	}
}

func (c *ReachabilityTracker) reachableFrom(controller string) *window {
	h := c.reachable[controller]
	if h == nil {
		h = newWindow()
		c.reachable[controller] = h
	}
	return h
}

func (c *ReachabilityTracker) zone(zone wire.Zone) *zoneMachines {
	s := c.zones[zone]
	if s == nil {
		s = &zoneMachines{expected: roaring.New(), failed: newWindow()}
		c.zones[zone] = s
	}
	return s
}

// Advance lets time pass. A gap that is longer than it should be means that this
// process stood still, and what was said meanwhile may be lost: nothing is complete
// until a whole time of silence has passed again.
func (c *ReachabilityTracker) Advance(now time.Time, expectedGap, gap time.Duration) {
	if gap > maxGapMultiple*expectedGap {
		c.completeSince = now
	}
	for step := c.unreachableAfter / (windowBuckets - 1); now.Sub(c.lastRotation) >= step; c.lastRotation = c.lastRotation.Add(step) {
		if now.Sub(c.lastRotation) > windowBuckets*step { // nothing older is left
			c.lastRotation = now.Add(-windowBuckets * step)
		}
		for _, h := range c.reachable {
			h.rotate()
		}
		for _, z := range c.zones {
			z.failed.rotate()
		}
	}
}

// maxGapMultiple is how many times the expected gap between two calls of Advance may be.
const maxGapMultiple = 3

// Complete tells whether the census has missed nothing for the time of silence.
func (c *ReachabilityTracker) Complete(now time.Time) bool {
	return now.Sub(c.completeSince) >= c.unreachableAfter
}

// Evidence is what is known of the machines of each zone.
func (c *ReachabilityTracker) Evidence() map[wire.Zone]Evidence {
	var all []*roaring.Bitmap
	var byController []*roaring.Bitmap
	for controller, h := range c.reachable {
		union := h.union()
		all = append(all, union)
		if controller != noController {
			byController = append(byController, union)
		}
	}
	heard := roaring.FastOr(all...)
	out := make(map[wire.Zone]Evidence, len(c.zones))
	for name, sets := range c.zones {
		e := Evidence{
			Expected: int(sets.expected.GetCardinality()),
			Failed:   int(sets.failed.union().GetCardinality()),
		}
		e.Unreachable = e.Expected - int(sets.expected.AndCardinality(heard))
		for _, h := range byController {
			if h.Intersects(sets.expected) {
				e.ReachableFrom++
			}
		}
		out[name] = e
	}
	return out
}
