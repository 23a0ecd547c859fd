package planner

import (
	"math"
	"slices"
	"strings"

	"lynxledge/internal/resources"
)

// machineBin is an existing machine with the expected ends of the tasks on it and of those that
// the planning cycle assigns to it.
type machineBin struct {
	machine  *Machine
	pool     int       // index into cycle.existingPools.pools
	taskEnds []taskEnd // in ascending order
	inUse    bool      // it runs tasks, or the cycle has assigned some to it
}

// taskEnd is the expected end of a task, which frees its share of the machine.
type taskEnd struct{ atSeconds, share float64 }

// freeAtSeconds returns the earliest time at which the given share of the machine is free and one
// more task can be recorded, +Inf if that is never so.
func (b *machineBin) freeAtSeconds(share float64) float64 {
	free := 1.0
	for _, end := range b.taskEnds {
		free -= end.share
	}
	at := b.machine.ReadyInSeconds
	remaining := len(b.taskEnds)
	for _, end := range b.taskEnds {
		if free >= share-resources.RoundingTolerance && b.canRecordBeside(remaining) {
			break
		}
		free += end.share
		remaining--
		at = math.Max(at, end.atSeconds)
	}
	if free < share-resources.RoundingTolerance || !b.canRecordBeside(remaining) {
		return math.Inf(1)
	}
	return at
}

// canRecordBeside reports whether the store has room for one more task of the machine beside others.
func (b *machineBin) canRecordBeside(tasks int) bool {
	return b.machine.MaxTasks == 0 || tasks < b.machine.MaxTasks
}

// addTask assigns a task to the machine, which takes a share of it until its end.
func (b *machineBin) addTask(endsAtSeconds, share float64) {
	i, _ := slices.BinarySearchFunc(b.taskEnds, endsAtSeconds, func(end taskEnd, at float64) int {
		switch {
		case end.atSeconds < at:
			return -1
		case end.atSeconds > at:
			return 1
		}
		return 0
	})
	b.taskEnds = slices.Insert(b.taskEnds, i, taskEnd{endsAtSeconds, share})
}

// addBins adds a bin for each schedulable machine, in the order of compareBins.
func (c *cycle) addBins() {
	for i := range c.Machines {
		m := &c.Machines[i]
		machineType := c.pools.machineTypes[m.Pool.MachineType]
		if machineType == nil || !m.Schedulable {
			continue
		}
		bin := &machineBin{machine: m, pool: c.existingPools.indexOf(m.Pool), inUse: len(m.Tasks) > 0}
		capacity := resources.OfMachineType(machineType)
		for _, task := range m.Tasks {
			bin.addTask(task.RemainingSeconds, resources.OfTask(task.Job).Share(capacity))
		}
		c.bins = append(c.bins, bin)
	}
	slices.SortStableFunc(c.bins, compareBins)
}

// compareBins orders bins by use, those with the most tasks first: machines in use are filled
// before idle ones, so that idle ones can be scaled in.
func compareBins(a, b *machineBin) int {
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
