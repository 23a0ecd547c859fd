package zonehealth

import (
	"time"

	"lynxledge/wire"

	"github.com/RoaringBitmap/roaring/v2"
)

// ReachabilityTracker knows which machines each zone should have, and which controllers lately
// received heartbeats of which machines. Machines are numbered, so that sets of them are
// compressed bitmaps: those of several controllers are merged without looking at single
// machines, and what a heartbeat costs does not depend on the size of the fleet.
type ReachabilityTracker struct {
	unreachableAfter time.Duration
	machines         map[wire.MachineID]trackedMachine
	nextNumber       uint32 // numbers are not reused: a late heartbeat may still name an old one
	zones            map[wire.Zone]*zoneMachines
	reachable        map[string]*window // by controller
	lastRotation     time.Time
	completeSince    time.Time // from when on no heartbeat was missed
}

type trackedMachine struct {
	number uint32
	zone   wire.Zone
}

// zoneMachines are the machines of one zone, by their numbers.
type zoneMachines struct {
	expected *roaring.Bitmap
	failed   *window
}

// NewReachabilityTracker returns a tracker that begins at a time. A machine counts as
// unreachable when no controller has received a heartbeat of it for unreachableAfter.
func NewReachabilityTracker(now time.Time, unreachableAfter time.Duration) *ReachabilityTracker {
	return &ReachabilityTracker{
		unreachableAfter: unreachableAfter,
		machines:         map[wire.MachineID]trackedMachine{},
		zones:            map[wire.Zone]*zoneMachines{},
		reachable:        map[string]*window{},
		lastRotation:     now,
		completeSince:    now,
	}
}

// noController is in place of a controller for machines that have not sent a heartbeat yet.
const noController = ""

// AddMachine adds a machine that should send heartbeats from now on. It is not unreachable
// before unreachableAfter has passed.
func (t *ReachabilityTracker) AddMachine(name wire.MachineID, zone wire.Zone) {
	machine, known := t.machines[name]
	if !known {
		machine = trackedMachine{t.nextNumber, zone}
		t.nextNumber++
		t.machines[name] = machine
		t.reachableFrom(noController).add(machine.number)
	}
	t.zone(zone).expected.Add(machine.number)
}

// RemoveMachine removes a machine that is not expected to send heartbeats any more. One that
// failed, or was given up, counts as down for a while: a zone whose machines are all gone at
// once is lost.
func (t *ReachabilityTracker) RemoveMachine(name wire.MachineID, failed bool) {
	machine, known := t.machines[name]
	if !known {
		return
	}
	delete(t.machines, name)
	zone := t.zone(machine.zone)
	zone.expected.Remove(machine.number)
	if failed {
		zone.failed.add(machine.number)
	}
}

// MachinesReachable tells of machines whose heartbeats a controller has received.
func (t *ReachabilityTracker) MachinesReachable(controller string, names []wire.MachineID) {
	reachable := t.reachableFrom(controller)
	for _, name := range names {
		if machine, known := t.machines[name]; known {
			reachable.add(machine.number)
		}
	}
}

// reachableFrom returns the machines that lately were reachable from a controller.
func (t *ReachabilityTracker) reachableFrom(controller string) *window {
	reachable := t.reachable[controller]
	if reachable == nil {
		reachable = newWindow()
		t.reachable[controller] = reachable
	}
	return reachable
}

func (t *ReachabilityTracker) zone(name wire.Zone) *zoneMachines {
	zone := t.zones[name]
	if zone == nil {
		zone = &zoneMachines{expected: roaring.New(), failed: newWindow()}
		t.zones[name] = zone
	}
	return zone
}

// maxGapMultiple is how many times the expected gap between two calls of Advance may be.
const maxGapMultiple = 3

// Advance takes note that time has passed. A gap since the last call that is much longer than
// expected means that this process stood still, and heartbeats may have been missed meanwhile:
// nothing is complete until unreachableAfter has passed again.
func (t *ReachabilityTracker) Advance(now time.Time, expectedGap, gap time.Duration) {
	if gap > maxGapMultiple*expectedGap {
		t.completeSince = now
	}
	interval := t.unreachableAfter / (windowBuckets - 1)
	for ; now.Sub(t.lastRotation) >= interval; t.lastRotation = t.lastRotation.Add(interval) {
		if now.Sub(t.lastRotation) > windowBuckets*interval { // nothing older is left
			t.lastRotation = now.Add(-windowBuckets * interval)
		}
		t.rotateWindows()
	}
}

func (t *ReachabilityTracker) rotateWindows() {
	for _, reachable := range t.reachable {
		reachable.rotate()
	}
	for _, zone := range t.zones {
		zone.failed.rotate()
	}
}

// Complete tells whether no heartbeat was missed for as long as unreachableAfter.
func (t *ReachabilityTracker) Complete(now time.Time) bool {
	return now.Sub(t.completeSince) >= t.unreachableAfter
}

// Evidence returns what is known of the machines of each zone.
func (t *ReachabilityTracker) Evidence() map[wire.Zone]Evidence {
	var all []*roaring.Bitmap
	var byController []*roaring.Bitmap
	for controller, machines := range t.reachable {
		union := machines.union()
		all = append(all, union)
		if controller != noController {
			byController = append(byController, union)
		}
	}
	reachable := roaring.FastOr(all...)
	evidence := make(map[wire.Zone]Evidence, len(t.zones))
	for name, zone := range t.zones {
		evidence[name] = zone.evidence(reachable, byController)
	}
	return evidence
}

// evidence returns what is known of the zone's machines, given those that are reachable at all
// and by controller.
func (z *zoneMachines) evidence(reachable *roaring.Bitmap, byController []*roaring.Bitmap) Evidence {
	e := Evidence{
		Expected: int(z.expected.GetCardinality()),
		Failed:   int(z.failed.union().GetCardinality()),
	}
	e.Unreachable = e.Expected - int(z.expected.AndCardinality(reachable))
	for _, fromController := range byController {
		if fromController.Intersects(z.expected) {
			e.ReachableFrom++
		}
	}
	return e
}
