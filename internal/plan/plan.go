// Package plan is the SCS loop of the design: it turns the work that waits and
// the machines there are into rentals and returns. It is pure.
package plan

import (
	"math"
	"slices"
	"strings"

	"lynxledge/internal/place"
	"lynxledge/wire"
)

// Pool is a type in a zone, spot or ordinary: what one rental names.
type Pool struct {
	Type, Zone string
	Spot       bool
}

// Demand is a job's tasks that wait for a machine.
type Demand struct {
	Job       *wire.Job
	Count     int
	DeadlineS float64 // from now; may be past
	RunS      float64 // expected running time of a task
	Zones     place.Zones
}

// Held is a task on a machine.
type Held struct {
	Job   *wire.Job
	LeftS float64 // expected time until it ends; +Inf for services
}

// Machine is one rented machine, up or not.
type Machine struct {
	Name  string
	Pool  Pool
	AgeS  float64
	Tasks []Held
	Open  bool // may take tasks, now or once it is up
}

// Input is what a pass looks at.
type Input struct {
	Types    []wire.MachineType
	Demands  []Demand
	Machines []Machine
	Refused  func(Pool) bool // the cloud had no such machine lately
	LagS     float64
	PassS    float64
	BillingS float64
	Headroom float64 // share of urgent work's room to keep free
}

// Rent is a number of machines to rent.
type Rent struct {
	Pool
	Count int
	Load  float64
}

// Plan is what a pass decides.
type Plan struct {
	Rent   []Rent
	Return []string
	Unmet  int // tasks for which no pool is to be had
}

// slot is a machine's room past the boot lag, in shares of the machine.
type slot struct {
	m     *Machine
	typ   *wire.MachineType
	free  float64
	taken bool
}

// Load is a task's load on a machine type: running time over window, times
// the largest share, capped at that share; the full share for an empty or
// past window and for services.
func Load(share, runS, windowS float64, service bool) float64 {
	if service || windowS <= 0 || runS >= windowS {
		return share
	}
	return share * runS / windowS
}

// Make runs one pass.
func Make(in Input) Plan {
	p := &pass{Input: in, types: map[string]*wire.MachineType{}, load: map[Pool]float64{}}
	for i := range in.Types {
		p.types[in.Types[i].Name] = &in.Types[i]
	}
	p.slots()
	p.pools()
	demands := append(slices.Clone(in.Demands), p.headroom()...)
	slices.SortStableFunc(demands, func(a, b Demand) int {
		switch {
		case a.Job.Rank != b.Job.Rank:
			return int(b.Job.Rank - a.Job.Rank)
		case a.DeadlineS < b.DeadlineS:
			return -1
		case a.DeadlineS > b.DeadlineS:
			return 1
		}
		return strings.Compare(a.Job.ID, b.Job.ID)
	})
	var out Plan
	for _, d := range demands {
		out.Unmet += p.cover(d)
	}
	for pool, l := range p.load {
		if n := int(math.Ceil(l - 1e-6)); n > 0 {
			out.Rent = append(out.Rent, Rent{pool, n, l})
		}
	}
	slices.SortFunc(out.Rent, func(a, b Rent) int {
		return strings.Compare(a.Zone+a.Type+kind(a.Spot), b.Zone+b.Type+kind(b.Spot))
	})
	out.Return = p.returns()
	return out
}

func kind(spot bool) string {
	if spot {
		return "/spot"
	}
	return "/ordinary"
}

type pass struct {
	Input
	types map[string]*wire.MachineType
	room  []*slot
	order []Pool // every pool
	load  map[Pool]float64
}

// slots finds the room of the machines there are. Running tasks that will
// have ended past the boot lag leave their room to the peak.
func (p *pass) slots() {
	for i := range p.Machines {
		m := &p.Machines[i]
		t := p.types[m.Pool.Type]
		if t == nil || !m.Open {
			continue
		}
		s := &slot{m: m, typ: t, free: 1, taken: len(m.Tasks) > 0}
		for _, h := range m.Tasks {
			if h.LeftS > p.LagS {
				s.free -= place.Of(h.Job).Share(place.Capacity(t))
			}
		}
		p.room = append(p.room, s)
	}
	// Machines in use are filled first, so that idle ones can go back.
	slices.SortStableFunc(p.room, func(a, b *slot) int {
		if a.taken != b.taken {
			if a.taken {
				return -1
			}
			return 1
		}
		switch {
		case a.free < b.free:
			return -1
		case a.free > b.free:
			return 1
		}
		return strings.Compare(a.m.Name, b.m.Name)
	})
}

func (p *pass) pools() {
	for i := range p.Types {
		for _, z := range p.Types[i].Zones {
			p.order = append(p.order, Pool{p.Types[i].Name, z, false}, Pool{p.Types[i].Name, z, true})
		}
	}
}

// headroom asks for room that urgent arrivals find free: a share of what work
// of rank high and prod holds and waits for.
func (p *pass) headroom() []Demand {
	if p.Headroom <= 0 {
		return nil
	}
	type key struct {
		rank wire.Rank
		spot bool
	}
	sum := map[key]float64{}
	sample := map[key]*wire.Job{}
	add := func(j *wire.Job, n int) {
		if j == nil || j.Rank < wire.RankHigh {
			return
		}
		k := key{j.Rank, j.Spot}
		sum[k] += float64(n) * j.CPUs
		if s := sample[k]; s == nil || j.CPUs > s.CPUs || j.CPUs == s.CPUs && j.ID < s.ID {
			sample[k] = j
		}
	}
	for i := range p.Machines {
		for _, h := range p.Machines[i].Tasks {
			add(h.Job, 1)
		}
	}
	for _, d := range p.Demands {
		add(d.Job, d.Count)
	}
	var out []Demand
	for k, cpus := range sum {
		j := *sample[k]
		j.Zone, j.OneZone, j.Spread = "", false, false
		n := int(math.Ceil(cpus * p.Headroom / j.CPUs))
		out = append(out, Demand{Job: &j, Count: n, DeadlineS: math.Inf(1), RunS: 1, Zones: place.Zones{}})
	}
	return out
}

// cover finds room for a demand: on the machines there are, then on the
// cheapest pool that can be had. It returns the tasks left without.
func (p *pass) cover(d Demand) int {
	need := place.Of(d.Job)
	zones := place.Zones{}
	for z, n := range d.Zones {
		zones[z] = n
	}
	window := d.DeadlineS - p.LagS
	whole := d.Job.Service() || math.IsInf(d.DeadlineS, 1)
	unmet := 0
	for range d.Count {
		if p.onExisting(d.Job, need, zones, d.RunS, window, whole) {
			continue
		}
		pool, share, ok := p.cheapest(d.Job, need, zones)
		if !ok {
			unmet++
			continue
		}
		p.load[pool] += Load(share, d.RunS, window, whole)
		zones[pool.Zone]++
	}
	return unmet
}

func (p *pass) onExisting(j *wire.Job, need place.Res, zones place.Zones, runS, window float64, whole bool) bool {
	for pref := range 2 { // the kind the job would be rented for first
		for _, s := range p.room {
			pool := s.m.Pool
			if (pref == 0) != (pool.Spot == j.Spot) || !place.Allowed(j, pool.Type, pool.Zone, pool.Spot) || !zones.Allows(j, pool.Zone) {
				continue
			}
			l := Load(need.Share(place.Capacity(s.typ)), runS, window, whole)
			if l > s.free+1e-6 {
				continue
			}
			s.free -= l
			s.taken = true
			zones[pool.Zone]++
			return true
		}
	}
	return false
}

// cheapest is the pool in which a task's share of a machine costs least. A
// pool with room left in its last counted machine costs only what it adds.
func (p *pass) cheapest(j *wire.Job, need place.Res, zones place.Zones) (Pool, float64, bool) {
	var best Pool
	bestShare, bestCost := 0.0, math.Inf(1)
	for _, pool := range p.order {
		t := p.types[pool.Type]
		if !place.Allowed(j, pool.Type, pool.Zone, pool.Spot) || !zones.Allows(j, pool.Zone) || p.Refused(pool) {
			continue
		}
		share := need.Share(place.Capacity(t))
		if share > 1+1e-9 {
			continue
		}
		price := t.Price
		if pool.Spot {
			price = t.SpotPrice
		}
		if cost := price * share; cost < bestCost {
			best, bestShare, bestCost = pool, share, cost
		}
	}
	return best, bestShare, !math.IsInf(bestCost, 1)
}

// returns names idle machines that no load was put on and that are near a
// multiple of the billing period.
func (p *pass) returns() []string {
	var out []string
	for _, s := range p.room {
		if s.taken || len(s.m.Tasks) > 0 {
			continue
		}
		if rest := p.BillingS - math.Mod(s.m.AgeS, p.BillingS); rest <= 2*p.PassS {
			out = append(out, s.m.Name)
		}
	}
	return out
}
