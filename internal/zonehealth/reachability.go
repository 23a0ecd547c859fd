package zonehealth

import (
	"time"

	"lynxledge/wire"

	"github.com/RoaringBitmap/roaring/v2"
)

// ReachabilityTracker tracks which machines are expected in each zone, and which controllers
// recently received heartbeats from which machines. Machines are numbered, so that sets of them
// are compressed bitmaps: the sets of several controllers are merged without iterating over
// machines, and the cost of a heartbeat does not depend on the size of the fleet.
type ReachabilityTracker struct {
	unreachableAfter time.Duration
	machines         map[wire.MachineID]trackedMachine
	nextNumber       uint32 // numbers are not reused: windows may still hold those of removed machines
	zones            map[wire.Zone]*zoneMachines
	reachable        map[string]*window // machines with recent heartbeats, by controller
	lastRotation     time.Time
	completeSince    time.Time // since when this process can't have missed heartbeats
}

type trackedMachine struct {
	number uint32
	zone   wire.Zone
}

// zoneMachines holds the numbers of one zone's machines.
type zoneMachines struct {
	expected *roaring.Bitmap
	failed   *window // failed or drained as unreachable
}

// NewReachabilityTracker returns a tracker that starts at now. A machine counts as unreachable
// once no controller has received a heartbeat from it for unreachableAfter, or up to a third
// longer, since heartbeats expire a bucket at a time.
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

// noController is the key in reachable for new machines, which may not have sent a heartbeat yet.
const noController = ""

// AddMachine adds a machine that is expected to send heartbeats from now on. A new machine counts
// as reachable until unreachableAfter has passed.
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

// RemoveMachine removes a machine that is no longer expected to send heartbeats. One that failed,
// or was drained as unreachable, counts as down for at least unreachableAfter, so that a zone whose
// machines all disappear at once is recognized as lost.
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

// MachinesReachable records that a controller has received heartbeats from machines. Unknown
// machines are ignored.
func (t *ReachabilityTracker) MachinesReachable(controller string, names []wire.MachineID) {
	reachable := t.reachableFrom(controller)
	for _, name := range names {
		if machine, known := t.machines[name]; known {
			reachable.add(machine.number)
		}
	}
}

// reachableFrom returns the window of machines that were recently reachable from a controller.
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

// maxGapMultiple is the multiple of the expected gap between two calls of Advance above which the
// process is taken to have stalled.
const maxGapMultiple = 3

// Advance rotates the windows up to now. A gap since the last call that is much longer than
// expected means that this process stalled and may have missed heartbeats: the evidence is not
// complete until unreachableAfter has passed again.
func (t *ReachabilityTracker) Advance(now time.Time, expectedGap, gap time.Duration) {
	if gap > maxGapMultiple*expectedGap {
		t.completeSince = now
	}
	interval := t.unreachableAfter / (windowBuckets - 1)
	for ; now.Sub(t.lastRotation) >= interval; t.lastRotation = t.lastRotation.Add(interval) {
		if now.Sub(t.lastRotation) > windowBuckets*interval { // all buckets have expired
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

// Complete reports whether this process can't have missed heartbeats during the last
// unreachableAfter.
func (t *ReachabilityTracker) Complete(now time.Time) bool {
	return now.Sub(t.completeSince) >= t.unreachableAfter
}

// Evidence returns the evidence on the machines of each zone.
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

// evidence returns the evidence on the zone's machines, given the machines that are reachable
// from any controller, and those of each.
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
