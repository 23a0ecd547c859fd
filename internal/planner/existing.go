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
	allowed                   bool
	share                     float64 // of a machine, that a task takes
	latestStartSeconds        float64 // on a machine that is up
	latestBootingStartSeconds float64 // on a machine that is not up yet
	preferred                 bool    // spot exactly if the job allows it
}

// latestStartSecondsOn returns by when a task must be able to start on a slot.
func (f *poolFit) latestStartSecondsOn(slot *capacitySlot) float64 {
	if slot.machine.ReadyInSeconds > 0 {
		return f.latestBootingStartSeconds
	}
	return f.latestStartSeconds
}

// coverByExisting puts up to count tasks on the existing machines, the one that is free first
// first, if they start there before a new machine could be up or still end in time: then they
// put no load on new machines past the boot lag. A machine that boots for longer than the lag
// covers load from its provisioning on: another one would not be up sooner, and every planning
// cycle would provision it again. It returns how many tasks are covered.
func (c *cycle) coverByExisting(d *pendingDemand, count int) (covered int) {
	fits, latestStartSeconds := c.poolFits(d)
	queue := c.queueFor(shapeOf(d), fits)
	passedOver := c.passedOver[:0] // slots that later demands may use
	for covered < count && queue.Len() > 0 {
		first := queue.candidates[0]
		slot := c.slots[first.slot]
		fit := &fits[slot.pool]
		if freeAtSeconds := slot.freeAtSeconds(fit.share); freeAtSeconds > first.freeAtSeconds {
			queue.postponeFirst(freeAtSeconds)
			continue
		}
		if first.freeAtSeconds > latestStartSeconds {
			break
		}
		zone := slot.machine.Pool.Zone
		if first.freeAtSeconds > fit.latestStartSecondsOn(slot) || !d.zones.Allows(d.Job, zone) {
			passedOver = append(passedOver, first)
			queue.dropFirst()
			continue
		}
		slot.addTask(first.freeAtSeconds+d.occupiedSeconds, fit.share)
		slot.inUse = true
		d.zones[zone]++
		covered++
		queue.postponeFirst(slot.freeAtSeconds(fit.share))
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
		if at := slot.freeAtSeconds(fit.share); !math.IsInf(at, 1) {
			queue.candidates = append(queue.candidates, candidate{freeAtSeconds: at, slot: int32(i), preferred: fit.preferred})
		}
	}
	heap.Init(queue)
	return queue
}

// poolFits returns what each of the existing pools means to a demand, and the latest start on
// any of them.
func (c *cycle) poolFits(d *pendingDemand) (fits []poolFit, latestStartSeconds float64) {
	fits = make([]poolFit, len(c.existingPools.pools))
	latestStartUpSeconds := c.BootLagSeconds
	if !d.unbounded {
		latestStartUpSeconds = max(latestStartUpSeconds, d.DeadlineSeconds-d.occupiedSeconds)
	}
	latestStartSeconds = latestStartUpSeconds
	for i, pool := range c.existingPools.pools {
		if !c.pools.allows(d.Demand, pool) {
			continue
		}
		machineType := c.pools.machineTypes[pool.MachineType]
		fits[i] = poolFit{
			allowed:                   true,
			share:                     d.need.Share(resources.OfMachineType(machineType)),
			latestStartSeconds:        latestStartUpSeconds,
			latestBootingStartSeconds: max(latestStartUpSeconds, float64(machineType.BootTime)),
			preferred:                 pool.Spot == d.Job.AllowSpot,
		}
		latestStartSeconds = max(latestStartSeconds, fits[i].latestBootingStartSeconds)
	}
	return fits, latestStartSeconds
}
