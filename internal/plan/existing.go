package plan

import (
	"container/heap"
	"math"

	"lynxledge/internal/place"
)

// poolChoice is what a pool's machines mean to the job in hand. It is the same for all
// of them, so it is worked out once for each job.
type poolChoice struct {
	allowed  bool
	share    float64 // of a machine, that a task takes
	limit    float64 // latest start on a machine that is up
	starting float64 // latest start on a machine that is coming up
	kind     bool    // as cheap as the job may have it
}

// candidate is a slot that may take a task of the job in hand. A pass looks at every
// machine for every job: candidates hold no pointers, and their list is used again.
type candidate struct {
	at   float64 // when the task could start there
	slot int32
	kind bool
}

// candidates is a heap, the slot that is free first on top.
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
func (c *candidates) Push(x any)   { *c = append(*c, x.(candidate)) }
func (c *candidates) Pop() any {
	last := len(*c) - 1
	top := (*c)[last]
	*c = (*c)[:last]
	return top
}

// drop takes the top off; heap.Pop would allocate for it.
func (c *candidates) drop() {
	last := len(*c) - 1
	c.Swap(0, last)
	*c = (*c)[:last]
	if last > 0 {
		heap.Fix(c, 0)
	}
}

// onExisting puts up to count tasks on the machines that have room for them
// first, if they start there before a new machine could be up or still end in
// time: then they put no load on new machines past the boot lag. A machine that
// boots for longer than the lag covers load from its rental on: another one
// would not be up sooner, and every pass would rent it again. It returns how
// many found room. Machines are looked at once for a job, not for each task.
func (p *pass) onExisting(d Demand, count int, need place.Resources, zones place.Zones, run float64) int {
	choices := p.poolChoices(d, need, zones, run)
	open := p.candidates[:0]
	for i, s := range p.room {
		choice := &choices[s.pool]
		if !choice.allowed {
			continue
		}
		if at := s.free(choice.share); at <= choice.latest(s) {
			open = append(open, candidate{at: at, slot: int32(i), kind: choice.kind})
		}
	}
	p.candidates = open
	heap.Init(&open)
	found := 0
	for found < count && len(open) > 0 {
		top := &open[0]
		s := p.room[top.slot]
		if !zones.Allows(d.Job, s.m.Pool.Zone) {
			open.drop()
			continue
		}
		choice := &choices[s.pool]
		s.add(top.at+run, choice.share)
		s.taken = true
		zones[s.m.Pool.Zone]++
		found++
		if top.at = s.free(choice.share); top.at > choice.latest(s) {
			open.drop()
		} else {
			heap.Fix(&open, 0)
		}
	}
	return found
}

// latest is until when a task must be able to start on a slot.
func (c *poolChoice) latest(s *slot) float64 {
	if s.ready > 0 {
		return c.starting
	}
	return c.limit
}

// poolChoices tells of each pool that there are machines of what they mean to the job.
func (p *pass) poolChoices(d Demand, need place.Resources, zones place.Zones, run float64) []poolChoice {
	choices := make([]poolChoice, len(p.held))
	latest := p.LagS
	if !d.Job.Service() && !math.IsInf(d.DeadlineS, 1) {
		latest = max(latest, d.DeadlineS-run)
	}
	for i, pool := range p.held {
		if !p.allows(d, pool, zones) {
			continue
		}
		machineType := p.types[pool.Type]
		choices[i] = poolChoice{
			allowed:  true,
			share:    need.Share(place.Capacity(machineType)),
			limit:    latest,
			starting: max(latest, machineType.BootS),
			kind:     pool.Spot == d.Job.Spot,
		}
	}
	return choices
}
