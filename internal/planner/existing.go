package planner

import (
	"container/heap"
	"math"

	"lynxledge/internal/resources"
)

// Bounds of the tasks of one job that a planning cycle puts on the existing machines. Beyond
// them the machines count as full.
const (
	minTasksConsidered        = 1000
	tasksConsideredPerMachine = 4
)

// maxTasksConsidered bounds the work of a planning cycle on one job.
func (c *cycle) maxTasksConsidered() int {
	return max(minTasksConsidered, tasksConsideredPerMachine*len(c.slots))
}

// poolFit is what the machines of a pool mean to a demand. It is the same for all of them, so
// it is computed once for each demand.
type poolFit struct {
	allowed            bool
	share              float64 // of a machine, that a task takes
	latestStart        float64 // on a machine that is up, in seconds
	latestStartBooting float64 // on a machine that is not up yet, in seconds
	preferred          bool    // spot exactly if the job allows it
}

// latestStartOn returns by when a task must be able to start on a slot.
func (f *poolFit) latestStartOn(slot *capacitySlot) float64 {
	if slot.machine.ReadyInSeconds > 0 {
		return f.latestStartBooting
	}
	return f.latestStart
}

// coverByExisting puts up to count tasks on the existing machines, the one that is free first
// first, if they start there before a new machine could be up or still end in time: then they
// put no load on new machines past the boot lag. A machine that boots for longer than the lag
// covers load from its provisioning on: another one would not be up sooner, and every planning
// cycle would provision it again. It returns how many tasks are covered.
func (c *cycle) coverByExisting(d *pendingDemand, count int) (covered int) {
	fits, latestStart := c.poolFits(d)
	queue := c.queueFor(shapeOf(d), fits)
	passedOver := c.passedOver[:0] // slots that later demands may use
	for covered < count && queue.Len() > 0 {
		first := queue.candidates[0]
		slot := c.slots[first.slot]
		fit := &fits[slot.pool]
		if freeAt := slot.freeAt(fit.share); freeAt > first.freeAt {
			queue.postponeFirst(freeAt)
			continue
		}
		if first.freeAt > latestStart {
			break
		}
		zone := slot.machine.Pool.Zone
		if first.freeAt > fit.latestStartOn(slot) || !d.zones.Allows(d.Job, zone) {
			passedOver = append(passedOver, first)
			queue.dropFirst()
			continue
		}
		slot.addTask(first.freeAt+d.occupiedSeconds, fit.share)
		slot.inUse = true
		d.zones[zone]++
		covered++
		queue.postponeFirst(slot.freeAt(fit.share))
	}
	for _, skipped := range passedOver {
		queue.add(skipped)
	}
	c.passedOver = passedOver
	return covered
}

// queueFor returns the queue of the slots for a shape. The slots are looked through once for
// each shape, not for each demand: machines and jobs together may be many.
func (c *cycle) queueFor(shape demandShape, fits []poolFit) *slotQueue {
	queue, isNew := c.queues.use(shape)
	if !isNew {
		return queue
	}
	for i, slot := range c.slots {
		fit := &fits[slot.pool]
		if !fit.allowed {
			continue
		}
		if at := slot.freeAt(fit.share); !math.IsInf(at, 1) {
			queue.candidates = append(queue.candidates, candidate{freeAt: at, slot: int32(i), preferred: fit.preferred})
		}
	}
	heap.Init(queue)
	return queue
}

// poolFits returns what each of the existing pools means to a demand, and the latest start on
// any of them.
func (c *cycle) poolFits(d *pendingDemand) (fits []poolFit, latestStart float64) {
	fits = make([]poolFit, len(c.existingPools.pools))
	latestStartUp := c.BootLagSeconds
	if !d.unbounded {
		latestStartUp = max(latestStartUp, d.DeadlineSeconds-d.occupiedSeconds)
	}
	latestStart = latestStartUp
	for i, pool := range c.existingPools.pools {
		if !c.pools.allows(d.Demand, pool) {
			continue
		}
		machineType := c.pools.machineTypes[pool.MachineType]
		fits[i] = poolFit{
			allowed:            true,
			share:              d.need.Share(resources.OfMachineType(machineType)),
			latestStart:        latestStartUp,
			latestStartBooting: max(latestStartUp, float64(machineType.BootTime)),
			preferred:          pool.Spot == d.Job.AllowSpot,
		}
		latestStart = max(latestStart, fits[i].latestStartBooting)
	}
	return fits, latestStart
}
