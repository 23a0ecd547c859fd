package planner

import (
	"container/heap"
	"math"
	"strings"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// demandShape holds the properties of a demand that determine when a bin can take one of its tasks.
// Jobs of one class mostly have the same shape.
type demandShape struct {
	need               resources.Vector
	machineTypes       string
	zone               wire.Zone
	allowSpot          bool
	excludeScarceZones bool
}

func shapeOf(d *pendingDemand) demandShape {
	return demandShape{
		need:               d.need,
		machineTypes:       strings.Join(d.Job.MachineTypes, " "),
		zone:               d.Job.Zone,
		allowSpot:          d.Job.AllowSpot,
		excludeScarceZones: d.excludeScarceZones,
	}
}

// candidate is a bin that may take a task. It holds no pointers, because a planning cycle has
// one for each bin and shape.
type candidate struct {
	freeAtSeconds float64 // lower bound on when a task can start there
	bin           int32   // index into cycle.bins
	preferred     bool    // as in poolFit
}

// candidateHeap is a heap with the bin that is free earliest on top. Tasks assigned to a bin since
// it was added make it free later than its candidate says, so callers check the top with its bin.
type candidateHeap []candidate

func (c candidateHeap) Len() int { return len(c) }
func (c candidateHeap) Less(i, k int) bool {
	a, b := &c[i], &c[k]
	if a.freeAtSeconds != b.freeAtSeconds {
		return a.freeAtSeconds < b.freeAtSeconds
	}
	if a.preferred != b.preferred {
		return a.preferred
	}
	return a.bin < b.bin
}
func (c candidateHeap) Swap(i, k int) { c[i], c[k] = c[k], c[i] }

// Push and Pop are required by heap.Interface. They are not called, because both allocate.
func (c *candidateHeap) Push(x any) { *c = append(*c, x.(candidate)) }

// Pop removes the last candidate.
func (c *candidateHeap) Pop() any {
	last := len(*c) - 1
	top := (*c)[last]
	*c = (*c)[:last]
	return top
}

// add inserts a candidate.
func (c *candidateHeap) add(x candidate) {
	*c = append(*c, x)
	heap.Fix(c, len(*c)-1)
}

// dropFirst removes the top.
func (c *candidateHeap) dropFirst() {
	last := len(*c) - 1
	c.Swap(0, last)
	*c = (*c)[:last]
	if last > 0 {
		heap.Fix(c, 0)
	}
}

// binQueue is the queue of bins for demands of one shape.
type binQueue struct {
	candidateHeap
	lastUse int // value of binQueues.uses at its last use
}

// postponeFirst sets the time at which the top is free, and removes it if that is +Inf.
func (q *binQueue) postponeFirst(freeAtSeconds float64) {
	if math.IsInf(freeAtSeconds, 1) {
		q.dropFirst()
		return
	}
	q.candidateHeap[0].freeAtSeconds = freeAtSeconds
	heap.Fix(q, 0)
}

// maxBinQueues is the number of shapes whose queues are kept at a time.
const maxBinQueues = 16

// binQueues is an LRU cache of queues by shape.
type binQueues struct {
	byShape map[demandShape]*binQueue
	uses    int // number of calls of getOrCreate
}

// getOrCreate returns the queue of a shape, which is empty and to be filled if it is new.
func (q *binQueues) getOrCreate(shape demandShape) (queue *binQueue, isNew bool) {
	q.uses++
	if queue = q.byShape[shape]; queue != nil {
		queue.lastUse = q.uses
		return queue, false
	}
	queue = &binQueue{lastUse: q.uses}
	if len(q.byShape) == maxBinQueues {
		queue.candidateHeap = q.evictLeastRecentlyUsed()
	}
	q.byShape[shape] = queue
	return queue, true
}

// evictLeastRecentlyUsed removes the least recently used queue, and returns its memory for reuse.
func (q *binQueues) evictLeastRecentlyUsed() candidateHeap {
	var leastRecent demandShape
	earliest := math.MaxInt
	for shape, queue := range q.byShape {
		if queue.lastUse < earliest {
			leastRecent, earliest = shape, queue.lastUse
		}
	}
	buffer := q.byShape[leastRecent].candidateHeap[:0]
	delete(q.byShape, leastRecent)
	return buffer
}
