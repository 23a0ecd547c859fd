package planner

import (
	"math"
	"slices"
	"strings"

	"lynxledge/internal/resources"
)

// capacitySlot is an existing machine, and when the tasks on it, or planned for it, end.
type capacitySlot struct {
	machine  *Machine
	pool     int       // its number among the existing pools
	taskEnds []taskEnd // in order of time
	inUse    bool      // it has tasks, or demands were covered by it
}

// taskEnd is the end of a task, which frees its share of the machine.
type taskEnd struct{ atSeconds, share float64 }

// freeAtSeconds returns the earliest time at which a share of the machine is free, in seconds from
// now; +Inf if it never is.
func (s *capacitySlot) freeAtSeconds(share float64) float64 {
	free := 1.0
	for _, end := range s.taskEnds {
		free -= end.share
	}
	at := s.machine.ReadyInSeconds
	for _, end := range s.taskEnds {
		if free >= share-resources.RoundingTolerance {
			break
		}
		free += end.share
		at = math.Max(at, end.atSeconds)
	}
	if free < share-resources.RoundingTolerance {
		return math.Inf(1)
	}
	return at
}

// addTask has a task take a share of the machine until its end.
func (s *capacitySlot) addTask(endsAtSeconds, share float64) {
	i, _ := slices.BinarySearchFunc(s.taskEnds, endsAtSeconds, func(end taskEnd, at float64) int {
		switch {
		case end.atSeconds < at:
			return -1
		case end.atSeconds > at:
			return 1
		}
		return 0
	})
	s.taskEnds = slices.Insert(s.taskEnds, i, taskEnd{endsAtSeconds, share})
}

// addSlots makes the capacity slots of the schedulable machines.
func (c *cycle) addSlots() {
	for i := range c.Machines {
		m := &c.Machines[i]
		machineType := c.pools.machineTypes[m.Pool.MachineType]
		if machineType == nil || !m.Schedulable {
			continue
		}
		slot := &capacitySlot{machine: m, pool: c.existingPools.of(m.Pool), inUse: len(m.Tasks) > 0}
		capacity := resources.OfMachineType(machineType)
		for _, task := range m.Tasks {
			slot.addTask(task.RemainingSeconds, resources.OfTask(task.Job).Share(capacity))
		}
		c.slots = append(c.slots, slot)
	}
	slices.SortStableFunc(c.slots, compareSlots)
}

// compareSlots orders slots by how much they are used: machines in use are filled first, so
// that idle ones can be scaled in.
func compareSlots(a, b *capacitySlot) int {
	if a.inUse != b.inUse {
		if a.inUse {
			return -1
		}
		return 1
	}
	if more := len(b.taskEnds) - len(a.taskEnds); more != 0 {
		return more
	}
	return strings.Compare(string(a.machine.Name), string(b.machine.Name))
}
