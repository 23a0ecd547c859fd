package planner

import (
	"container/heap"
	"math"
	"strings"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// demandShape is all of a demand that decides when a slot could take one of its tasks. Jobs of
// one class mostly have the same.
type demandShape struct {
	need           resources.Vector
	machineTypes   string
	zone           wire.Zone
	allowSpot      bool
	ampleZonesOnly bool
}

func shapeOf(d *pendingDemand) demandShape {
	return demandShape{
		need:           d.need,
		machineTypes:   strings.Join(d.Job.MachineTypes, " "),
		zone:           d.Job.Zone,
		allowSpot:      d.Job.AllowSpot,
		ampleZonesOnly: d.ampleZonesOnly,
	}
}

// candidate is a slot that may take a task. A planning cycle has one for each slot and shape:
// they hold no pointers.
type candidate struct {
	freeAtSeconds float64 // when the task could start there, or a time before that
	slot          int32   // index of the slot
	preferred     bool    // spot exactly if the job allows it
}

// candidates is a heap, the slot that is free first on top. The tasks put on slots since make
// them free later than it says: who takes the top has to ask the slot.
type candidates []candidate

func (c candidates) Len() int { return len(c) }
func (c candidates) Less(i, k int) bool {
	a, b := &c[i], &c[k]
	if a.freeAtSeconds != b.freeAtSeconds {
		return a.freeAtSeconds < b.freeAtSeconds
	}
	if a.preferred != b.preferred {
		return a.preferred
	}
	return a.slot < b.slot
}
func (c candidates) Swap(i, k int) { c[i], c[k] = c[k], c[i] }

// Push and Pop complete heap.Interface. They are not called: both allocate.
func (c *candidates) Push(x any) { *c = append(*c, x.(candidate)) }

// Pop removes the last candidate.
func (c *candidates) Pop() any {
	last := len(*c) - 1
	top := (*c)[last]
	*c = (*c)[:last]
	return top
}

// add puts a candidate where it belongs.
func (c *candidates) add(x candidate) {
	*c = append(*c, x)
	heap.Fix(c, len(*c)-1)
}

// dropFirst takes the top off.
func (c *candidates) dropFirst() {
	last := len(*c) - 1
	c.Swap(0, last)
	*c = (*c)[:last]
	if last > 0 {
		heap.Fix(c, 0)
	}
}

// slotQueue is the queue of the slots for demands of one shape.
type slotQueue struct {
	candidates
	lastUse int // when it was used last, counted in uses of all queues
}

// postponeFirst sets the time at which the top is free; +Inf drops it.
func (q *slotQueue) postponeFirst(freeAtSeconds float64) {
	if math.IsInf(freeAtSeconds, 1) {
		q.dropFirst()
		return
	}
	q.candidates[0].freeAtSeconds = freeAtSeconds
	heap.Fix(q, 0)
}

// maxSlotQueues is for how many shapes queues are kept at a time.
const maxSlotQueues = 16

// slotQueues holds the queues of the shapes used last.
type slotQueues struct {
	byShape map[demandShape]*slotQueue
	uses    int
}

// use returns the queue of a shape, empty and not yet filled if it is new.
func (q *slotQueues) use(shape demandShape) (queue *slotQueue, isNew bool) {
	q.uses++
	if queue = q.byShape[shape]; queue != nil {
		queue.lastUse = q.uses
		return queue, false
	}
	queue = &slotQueue{lastUse: q.uses}
	if len(q.byShape) == maxSlotQueues {
		queue.candidates = q.dropLeastRecent()
	}
	q.byShape[shape] = queue
	return queue, true
}

// dropLeastRecent drops the queue that was not used for the longest time, and returns its
// memory.
func (q *slotQueues) dropLeastRecent() candidates {
	var leastRecent demandShape
	earliest := math.MaxInt
	for shape, queue := range q.byShape {
		if queue.lastUse < earliest {
			leastRecent, earliest = shape, queue.lastUse
		}
	}
	memory := q.byShape[leastRecent].candidates[:0]
	delete(q.byShape, leastRecent)
	return memory
}
