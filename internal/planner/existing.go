package planner

import (
	"container/heap"
	"math"
	"strings"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// demandShape is all of a demand that decides when a slot could take one of its tasks.
// Jobs of one class mostly have the same.
type demandShape struct {
	need  resources.Vector
	types string
	zone  wire.Zone
	spot  bool
	roomy bool
}

func shapeOf(d Demand, need resources.Vector) demandShape {
	return demandShape{
		need:  need,
		types: strings.Join(d.Job.MachineTypes, " "),
		zone:  d.Job.Zone,
		spot:  d.Job.AllowSpot,
		roomy: d.NeedsOwnMachine,
	}
}

// poolChoice is what a pool's machines mean to the job in hand. It is the same for all
// of them, so it is worked out once for each job.
type poolChoice struct {
	allowed  bool
	share    float64 // of a machine, that a task takes
	limit    float64 // latest start on a machine that is up
	starting float64 // latest start on a machine that is coming up
	kind     bool    // as cheap as the job may have it
}

// latest is until when a task must be able to start on a slot.
func (c *poolChoice) latest(s *capacitySlot) float64 {
	if s.readyAt > 0 {
		return c.starting
	}
	return c.limit
}

// candidate is a slot that may take a task. A pass holds one for each machine and shape:
// they hold no pointers.
type candidate struct {
	at   float64 // when the task could start there, or a time before that
	slot int32
	kind bool
}

// candidates is a heap, the slot that is free first on top. What has been put on slots
// since makes them free later than it says: whoever takes the top asks the slot.
type candidates []candidate

func (c candidates) Len() int { return len(c) }
func (c candidates) Less(i, k int) bool {
	a, b := &c[i], &c[k]
	if a.at != b.at {
		return a.at < b.at
	}
	if a.kind != b.kind {
		return a.kind
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

// drop takes the top off.
func (c *candidates) drop() {
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
	used int // the number of the demand that used it last
}

// maxSlotQueues is for how many shapes queues are kept at a time.
const maxSlotQueues = 16

// queue finds the slots for a shape. They are looked through once for each shape, not for
// each demand: machines and jobs together may be many.
func (p *planning) queue(shape demandShape, choices []poolChoice) *slotQueue {
	p.demands++
	if q := p.queues[shape]; q != nil {
		q.used = p.demands
		return q
	}
	q := &slotQueue{used: p.demands}
	if len(p.queues) == maxSlotQueues {
		q.candidates = p.dropOldestQueue()
	}
	p.queues[shape] = q
	for i, s := range p.room {
		choice := &choices[s.pool]
		if !choice.allowed {
			continue
		}
		if at := s.free(choice.share); !math.IsInf(at, 1) {
			q.candidates = append(q.candidates, candidate{at: at, slot: int32(i), kind: choice.kind})
		}
	}
	heap.Init(q)
	return q
}

// dropOldestQueue forgets the queue that was not used for the longest time, and returns
// its memory.
func (p *planning) dropOldestQueue() candidates {
	var oldest demandShape
	least := math.MaxInt
	for shape, q := range p.queues {
		if q.used < least {
			oldest, least = shape, q.used
		}
	}
	memory := p.queues[oldest].candidates[:0]
	delete(p.queues, oldest)
	return memory
}

// onExisting puts up to count tasks on the machines that have room for them
// first, if they start there before a new machine could be up or still end in
// time: then they put no load on new machines past the boot lag. A machine that
// boots for longer than the lag covers load from its rental on: another one
// would not be up sooner, and every pass would rent it again. It returns how
// many found room.
func (p *planning) onExisting(d Demand, count int, need resources.Vector, zones placement.ZoneCounts, run float64) int {
	choices, latest := p.poolChoices(d, need, run)
	queue := p.queue(shapeOf(d, need), choices)
	passedOver := p.passedOver[:0] // that later demands may take
	found := 0
	for found < count && queue.Len() > 0 {
		top := &queue.candidates[0]
		s := p.room[top.slot]
		choice := &choices[s.pool]
		if at := s.free(choice.share); at > top.at {
			p.postpone(queue, at)
			continue
		}
		if top.at > latest {
			break
		}
		if top.at > choice.latest(s) || !zones.Allows(d.Job, s.machine.Pool.Zone) {
			passedOver = append(passedOver, *top)
			queue.drop()
			continue
		}
		s.add(top.at+run, choice.share)
		s.taken = true
		zones[s.machine.Pool.Zone]++
		found++
		p.postpone(queue, s.free(choice.share))
	}
	for _, c := range passedOver {
		queue.add(c)
	}
	p.passedOver = passedOver
	return found
}

// postpone notes from when the top of a queue is free.
func (p *planning) postpone(queue *slotQueue, at float64) {
	if math.IsInf(at, 1) {
		queue.drop()
		return
	}
	queue.candidates[0].at = at
	heap.Fix(queue, 0)
}

// poolChoices tells of each pool that there are machines of what they mean to the job,
// and the latest start on any of them.
func (p *planning) poolChoices(d Demand, need resources.Vector, run float64) (choices []poolChoice, latest float64) {
	choices = make([]poolChoice, len(p.held))
	limit := p.BootLag
	if !d.Job.IsService() && !math.IsInf(d.Deadline, 1) {
		limit = max(limit, d.Deadline-run)
	}
	latest = limit
	for i, pool := range p.held {
		if !p.allowsPool(d, pool) {
			continue
		}
		machineType := p.machineTypes[pool.MachineType]
		choices[i] = poolChoice{
			allowed:  true,
			share:    need.Share(resources.OfMachineType(machineType)),
			limit:    limit,
			starting: max(limit, float64(machineType.BootTime)),
			kind:     pool.Spot == d.Job.AllowSpot,
		}
		latest = max(latest, choices[i].starting)
	}
	return choices, latest
}
