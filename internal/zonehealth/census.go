package zonehealth

import (
	"time"

	"lynxledge/wire"

	"github.com/RoaringBitmap/roaring/v2"
)

// Census is which machines each zone should have, and which of them were heard lately
// by which controller. Machines are numbered, so that sets of them are compressed
// bitmaps: those of several controllers merge without looking at single machines, and
// what a report costs does not depend on the size of the fleet.
type Census struct {
	silence  time.Duration
	machines map[wire.MachineID]machine
	next     uint32 // numbers are not used again: a late report may still name an old one
	zones    map[wire.Zone]*zoneSets
	hearings map[string]*window // by controller
	rotated  time.Time
	since    time.Time // from when on nothing was missed
}

type machine struct {
	number uint32
	zone   wire.Zone
}

type zoneSets struct {
	expected *roaring.Bitmap
	failed   *window
}

// NewCensus begins at a time. A machine counts as silent when no controller has heard
// it for silence.
func NewCensus(now time.Time, silence time.Duration) *Census {
	return &Census{
		silence:  silence,
		machines: map[wire.MachineID]machine{},
		zones:    map[wire.Zone]*zoneSets{},
		hearings: map[string]*window{},
		rotated:  now,
		since:    now,
	}
}

// notReachable is whose hearing machines are put into that nobody has heard yet.
const notReachable = ""

// Expect notes that a machine should report from now on. It has the whole time of
// silence to be heard.
func (c *Census) Expect(name wire.MachineID, zone wire.Zone) {
	m, known := c.machines[name]
	if !known {
		m = machine{c.next, zone}
		c.next++
		c.machines[name] = m
		c.hearing(notReachable).add(m.number)
	}
	c.sets(zone).expected.Add(m.number)
}

// Dismiss notes that a machine is not expected any more. One that failed, or was given
// up, counts as down for a while: a zone whose machines are all gone at once is lost.
func (c *Census) Dismiss(name wire.MachineID, failed bool) {
	m, known := c.machines[name]
	if !known {
		return
	}
	delete(c.machines, name)
	sets := c.sets(m.zone)
	sets.expected.Remove(m.number)
	if failed {
		sets.failed.add(m.number)
	}
}

// MachinesReachable notes that a controller has heard machines.
func (c *Census) MachinesReachable(controller string, names []wire.MachineID) {
	h := c.hearing(controller)
	for _, name := range names {
		if m, known := c.machines[name]; known {
			h.add(m.number)
		}
	}
}

func (c *Census) hearing(controller string) *window {
	h := c.hearings[controller]
	if h == nil {
		h = newWindow()
		c.hearings[controller] = h
	}
	return h
}

func (c *Census) sets(zone wire.Zone) *zoneSets {
	s := c.zones[zone]
	if s == nil {
		s = &zoneSets{expected: roaring.New(), failed: newWindow()}
		c.zones[zone] = s
	}
	return s
}

// Advance lets time pass. A gap that is longer than it should be means that this
// process stood still, and what was said meanwhile may be lost: nothing is complete
// until a whole time of silence has passed again.
func (c *Census) Advance(now time.Time, expectedGap, gap time.Duration) {
	if gap > maxGaps*expectedGap {
		c.since = now
	}
	for step := c.silence / (windowBuckets - 1); now.Sub(c.rotated) >= step; c.rotated = c.rotated.Add(step) {
		if now.Sub(c.rotated) > windowBuckets*step { // nothing older is left
			c.rotated = now.Add(-windowBuckets * step)
		}
		for _, h := range c.hearings {
			h.rotate()
		}
		for _, z := range c.zones {
			z.failed.rotate()
		}
	}
}

// maxGaps is how many times the expected gap between two calls of Advance may be.
const maxGaps = 3

// Complete tells whether the census has missed nothing for the time of silence.
func (c *Census) Complete(now time.Time) bool { return now.Sub(c.since) >= c.silence }

// Evidence is what is known of the machines of each zone.
func (c *Census) Evidence() map[wire.Zone]Evidence {
	var all []*roaring.Bitmap
	var byController []*roaring.Bitmap
	for controller, h := range c.hearings {
		union := h.union()
		all = append(all, union)
		if controller != notReachable {
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
		e.Silent = e.Expected - int(sets.expected.AndCardinality(heard))
		for _, h := range byController {
			if h.Intersects(sets.expected) {
				e.HeardBy++
			}
		}
		out[name] = e
	}
	return out
}
