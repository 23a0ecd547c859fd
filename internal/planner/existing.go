package planner

import (
	"container/heap"
	"math"

	"lynxledge/internal/resources"
)

// Limits on the tasks of one demand that a planning cycle assigns to existing machines: the
// larger of a minimum and a number per machine. Beyond it the machines are treated as full.
const (
	minTasksConsidered        = 1000
	tasksConsideredPerMachine = 4
)

// maxTasksConsidered limits the work that a planning cycle spends on one demand.
func (c *cycle) maxTasksConsidered() int {
	return max(minTasksConsidered, tasksConsideredPerMachine*len(c.bins))
}

// poolFit describes how the machines of a pool suit a demand. It is the same for all of them, so
// it is computed once per demand and pool.
type poolFit struct {
	allowed                   bool
	share                     float64 // of a machine that a task takes
	latestReadyStartSeconds   float64 // on a machine that takes tasks now
	latestUnreadyStartSeconds float64 // on a machine that will take tasks later, e.g. while it boots
	preferred                 bool    // spot machines if the job allows them, else on-demand ones
}

// latestStartSecondsOn returns the time by which a task must start if it is assigned to a bin.
func (f *poolFit) latestStartSecondsOn(bin *machineBin) float64 {
	if bin.machine.ReadyInSeconds > 0 {
		return f.latestUnreadyStartSeconds
	}
	return f.latestReadyStartSeconds
}

// coverByExisting assigns up to count tasks to existing machines, those that are free earliest
// first, and returns how many it assigns. A task is assigned only if it can start within the boot
// lag, before a new machine could be up, or early enough to meet its deadline; it then adds no load
// on new machines. A machine whose type takes longer than the lag to boot is used as soon as it is
// being provisioned: a further one would not be up sooner, and otherwise every planning cycle would
// provision one.
func (c *cycle) coverByExisting(d *pendingDemand, count int) (covered int) {
	fits, latestStartSeconds := c.poolFits(d)
	queue := c.queueFor(shapeOf(d), fits)
	passedOver := c.passedOver[:0] // put back below: later demands of the shape may use these bins
	for covered < count && queue.Len() > 0 {
		first := queue.candidateHeap[0]
		bin := c.bins[first.bin]
		fit := &fits[bin.pool]
		if freeAtSeconds := bin.freeAtSeconds(fit.share); freeAtSeconds > first.freeAtSeconds {
			queue.postponeFirst(freeAtSeconds)
			continue
		}
		if first.freeAtSeconds > latestStartSeconds {
			break
		}
		zone := bin.machine.Pool.Zone
		if first.freeAtSeconds > fit.latestStartSecondsOn(bin) || !d.zones.Allows(d.Job, zone) {
			passedOver = append(passedOver, first)
			queue.dropFirst()
			continue
		}
		bin.addTask(first.freeAtSeconds+d.occupiedSeconds, fit.share)
		bin.inUse = true
		d.zones[zone]++
		covered++
		queue.postponeFirst(bin.freeAtSeconds(fit.share))
	}
	for _, skipped := range passedOver {
		queue.add(skipped)
	}
	c.passedOver = passedOver
	return covered
}

// queueFor returns the queue of bins for a shape. The bins are scanned once per shape rather than
// once per demand, as there may be many machines and many jobs.
func (c *cycle) queueFor(shape demandShape, fits []poolFit) *binQueue {
	queue, isNew := c.queues.getOrCreate(shape)
	if !isNew {
		return queue
	}
	for i, bin := range c.bins {
		fit := &fits[bin.pool]
		if !fit.allowed {
			continue
		}
		if at := bin.freeAtSeconds(fit.share); !math.IsInf(at, 1) {
			queue.candidateHeap = append(queue.candidateHeap, candidate{freeAtSeconds: at, bin: int32(i), preferred: fit.preferred})
		}
	}
	heap.Init(queue)
	return queue
}

// poolFits returns how each of the existing pools suits a demand, by index, and the latest start
// on any of them.
func (c *cycle) poolFits(d *pendingDemand) (fits []poolFit, latestStartSeconds float64) {
	fits = make([]poolFit, len(c.existingPools.pools))
	latestReadyStartSeconds := c.BootLagSeconds
	if !d.unbounded {
		latestReadyStartSeconds = max(latestReadyStartSeconds, d.DeadlineSeconds-d.occupiedSeconds)
	}
	latestStartSeconds = latestReadyStartSeconds
	for i, pool := range c.existingPools.pools {
		if !c.pools.allows(d.Demand, pool) {
			continue
		}
		machineType := c.pools.machineTypes[pool.MachineType]
		fits[i] = poolFit{
			allowed:                   true,
			share:                     d.need.Share(resources.OfMachineType(machineType)),
			latestReadyStartSeconds:   latestReadyStartSeconds,
			latestUnreadyStartSeconds: max(latestReadyStartSeconds, float64(machineType.BootTime)),
			preferred:                 pool.Spot == d.Job.AllowSpot,
		}
		latestStartSeconds = max(latestStartSeconds, fits[i].latestUnreadyStartSeconds)
	}
	return fits, latestStartSeconds
}
