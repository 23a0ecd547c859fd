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
	Late      bool    // no deadline can be kept any more: it comes after the others of its priority
	Overdue   bool    // any machine will do, whatever it costs
	Roomy     bool    // only in the zones that offer the most types
	Zones     place.Zones
}

// Held is a task on a machine.
type Held struct {
	Job   *wire.Job
	LeftS float64 // expected time until it ends; +Inf for services
}

// Machine is one rented machine, up or not.
type Machine struct {
	Name string
	Pool Pool
	AgeS float64
	// ReadyS is the expected time until it takes tasks; 0 once it is up.
	ReadyS float64
	Tasks  []Held
	Open   bool // may take tasks, now or once it is up
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
	Premium  float64 // how many times the cheapest pool's cost is too much
}

// Rent is a number of machines to rent.
type Rent struct {
	Pool
	Count int
	Load  float64
	Tasks float64 // that one machine holds when it is full
}

// Plan is what a pass decides.
type Plan struct {
	Rent   []Rent
	Return []string
	Unmet  int // tasks for which no pool is to be had
}

// slot is a machine there is, and when the tasks on it, or meant for it, end.
type slot struct {
	m     *Machine
	pool  int // index among the pools that there are machines of
	typ   *wire.MachineType
	ready float64 // seconds from now until it takes tasks
	ends  []end   // in order of time
	taken bool
}

type end struct{ at, share float64 }

// free is the earliest time at which a share of the machine is free.
func (s *slot) free(share float64) float64 {
	room := 1.0
	for _, e := range s.ends {
		room -= e.share
	}
	at := s.ready
	for _, e := range s.ends {
		if room >= share-1e-6 {
			break
		}
		room += e.share
		at = math.Max(at, e.at)
	}
	if room < share-1e-6 {
		return math.Inf(1)
	}
	return at
}

func (s *slot) add(at, share float64) {
	i, _ := slices.BinarySearchFunc(s.ends, at, func(e end, at float64) int {
		switch {
		case e.at < at:
			return -1
		case e.at > at:
			return 1
		}
		return 0
	})
	s.ends = slices.Insert(s.ends, i, end{at, share})
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
	p := &pass{
		Input:     in,
		types:     map[string]*wire.MachineType{},
		offer:     map[string]int{},
		load:      map[Pool]float64{},
		tasks:     map[Pool]int{},
		share:     map[Pool]float64{},
		heldIndex: map[Pool]int{},
		queues:    map[demandShape]*slotQueue{},
	}
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
		case a.Late != b.Late:
			if b.Late {
				return -1
			}
			return 1
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
			out.Rent = append(out.Rent, Rent{pool, n, l, float64(p.tasks[pool]) / p.share[pool]})
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
	offer map[string]int // types to rent in a zone
	most  int
	room  []*slot
	order []Pool // every pool
	load  map[Pool]float64
	tasks map[Pool]int     // that put load on it
	share map[Pool]float64 // sum of their shares

	held      []Pool // pools that there are machines of
	heldIndex map[Pool]int

	queues     map[demandShape]*slotQueue
	demands    int         // that have asked for a queue
	passedOver []candidate // memory that is used again
}

// slots finds the machines there are, and when their tasks end.
func (p *pass) slots() {
	for i := range p.Machines {
		m := &p.Machines[i]
		t := p.types[m.Pool.Type]
		if t == nil || !m.Open {
			continue
		}
		s := &slot{m: m, pool: p.poolIndex(m.Pool), typ: t, ready: m.ReadyS, taken: len(m.Tasks) > 0}
		for _, h := range m.Tasks {
			s.add(h.LeftS, place.RequestOf(h.Job).Share(place.Capacity(t)))
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
		if d := len(b.ends) - len(a.ends); d != 0 {
			return d
		}
		return strings.Compare(a.m.Name, b.m.Name)
	})
}

// poolIndex is the place of a pool among those that there are machines of.
func (p *pass) poolIndex(pool Pool) int {
	i, known := p.heldIndex[pool]
	if !known {
		i = len(p.held)
		p.held = append(p.held, pool)
		p.heldIndex[pool] = i
	}
	return i
}

func (p *pass) pools() {
	for i := range p.Types {
		for _, z := range p.Types[i].Zones {
			p.offer[z]++
			p.most = max(p.most, p.offer[z])
			p.order = append(p.order, Pool{p.Types[i].Name, z, false}, Pool{p.Types[i].Name, z, true})
		}
	}
}

// headroom asks for room that urgent arrivals find free: a share of what work
// of priority high and prod holds and waits for, in zones that are not scarce.
func (p *pass) headroom() []Demand {
	if p.Headroom <= 0 {
		return nil
	}
	type key struct {
		rank wire.Priority
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
		out = append(out, Demand{Job: &j, Count: n, DeadlineS: math.Inf(1), RunS: 1, Roomy: true})
	}
	return out
}

// cover finds room for a demand: on the machines there are, then on the
// cheapest pool that can be had. It returns the tasks left without.
func (p *pass) cover(d Demand) int {
	need := place.RequestOf(d.Job)
	zones := place.Zones{}
	for z, n := range d.Zones {
		zones[z] = n
	}
	window := d.DeadlineS - p.LagS
	whole := d.Job.Service() || math.IsInf(d.DeadlineS, 1)
	run := d.RunS
	if whole {
		run = math.Inf(1)
	}
	left := d.Count - p.onExisting(d, min(d.Count, p.maxTried()), need, zones, run)
	fixed := !d.Job.Spread && !d.Job.OneZone // every task has the same choice
	var pool Pool
	var share float64
	ok := false
	for n := range left {
		if n == 0 || !fixed {
			pool, share, ok = p.cheapest(d, need, zones)
		}
		if !ok {
			return left - n
		}
		p.load[pool] += Load(share, d.RunS, window, whole)
		p.tasks[pool]++
		p.share[pool] += share
		zones[pool.Zone]++
	}
	return 0
}

// Bounds of the tasks of one job that a pass puts on the machines there are. Beyond them
// the machines count as full.
const (
	minTried        = 1000
	triedPerMachine = 4
)

// maxTried bounds the work of a pass on one job.
func (p *pass) maxTried() int { return max(minTried, triedPerMachine*len(p.room)) }

// allows tells whether one more task of a demand may be rented a machine of a pool.
func (p *pass) allows(d Demand, pool Pool, zones place.Zones) bool {
	return p.allowsPool(d, pool) && zones.Allows(d.Job, pool.Zone)
}

// allowsPool tells the same, wherever the job's other tasks are.
func (p *pass) allowsPool(d Demand, pool Pool) bool {
	return place.Allowed(d.Job, pool.Type, pool.Zone, pool.Spot) &&
		(!d.Roomy || p.offer[pool.Zone] == p.most)
}

// nearlyEqual is how much more a larger machine may cost per task of a
// service: on fewer, larger machines images are fetched less often.
const nearlyEqual = 1.1

// cheapest is the pool in which a task's share of a machine costs least; for
// services, the largest machine of those that cost nearly as little. While the
// cheap pools are used up, work that is not overdue waits for their machines
// rather than pay a premium: the load says how many machines would be enough,
// not what one may cost.
func (p *pass) cheapest(d Demand, need place.Resources, zones place.Zones) (Pool, float64, bool) {
	j := d.Job
	type offer struct {
		pool        Pool
		share, cost float64
	}
	var offers []offer
	least, floor := math.Inf(1), math.Inf(1)
	for _, pool := range p.order {
		t := p.types[pool.Type]
		if !p.allows(d, pool, zones) {
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
		floor = math.Min(floor, price*share)
		if p.Refused(pool) {
			continue
		}
		least = math.Min(least, price*share)
		offers = append(offers, offer{pool, share, price * share})
	}
	if len(offers) == 0 || least > floor*p.Premium && p.Premium > 0 && !d.Overdue {
		return Pool{}, 0, false
	}
	limit := least
	if j.Service() {
		limit *= nearlyEqual
	}
	var best offer
	for _, o := range offers {
		if o.cost <= limit && (best.pool.Type == "" || o.share < best.share) {
			best = o
		}
	}
	return best.pool, best.share, true
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
