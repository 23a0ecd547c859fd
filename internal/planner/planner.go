package planner

import (
	"math"
	"slices"
	"strings"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Demand is a job's tasks that wait for a machine.
type Demand struct {
	Job             *wire.Job
	Count           int
	Deadline        float64 // from now; may be past
	Runtime         float64 // expected running time of a task
	Late            bool    // no deadline can be kept any more: it comes after the others of its priority
	Overdue         bool    // any machine will do, whatever it costs
	NeedsOwnMachine bool    // only in the zones that offer the most types
	Zones           placement.ZoneCounts
}

// RunningTask is a task on a machine.
type RunningTask struct {
	Job       *wire.Job
	Remaining float64 // expected time until it ends; +Inf for services
}

// Machine is one rented machine, up or not.
type Machine struct {
	Name wire.MachineID
	Pool resources.Pool
	Age  float64
	// ReadyS is the expected time until it takes tasks; 0 once it is up.
	ReadyIn     float64
	Tasks       []RunningTask
	Schedulable bool // may take tasks, now or once it is up
}

// Input is what a pass looks at.
type Input struct {
	Types    []wire.MachineType
	Demands  []Demand
	Machines []Machine
	Refused  func(resources.Pool) bool // the cloud had no such machine lately
	// Avoided tells which zones nothing is rented in for work that may go elsewhere; nil:
	// none.
	Avoided          func(zone wire.Zone) bool
	BootLag          float64
	PlanningInterval float64
	BillingPeriod    float64
	HeadroomShare    float64 // share of urgent work's room to keep free
	MaxPriceMultiple float64 // how many times the cheapest pool's cost is too much
}

// ScaleOutRequest is a number of machines to rent.
type ScaleOutRequest struct {
	resources.Pool
	Count int
	Load  float64
	Tasks float64 // that one machine holds when it is full
}

// Plan is what a pass decides.
type Plan struct {
	ScaleOut []ScaleOutRequest
	ScaleIn  []wire.MachineID
	Unmet    int // tasks for which no pool is to be had
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

// Compute runs one pass.
func Compute(in Input) Plan {
	p := &planning{
		Input:        in,
		machineTypes: map[string]*wire.MachineType{},
		offer:        map[wire.Zone]int{},
		load:         map[resources.Pool]float64{},
		tasks:        map[resources.Pool]int{},
		share:        map[resources.Pool]float64{},
		heldIndex:    map[resources.Pool]int{},
		queues:       map[demandShape]*slotQueue{},
	}
	for i := range in.Types {
		p.machineTypes[in.Types[i].Name] = &in.Types[i]
	}
	p.slots()
	p.pools()
	demands := append(slices.Clone(in.Demands), p.headroom()...)
	slices.SortStableFunc(demands, func(a, b Demand) int {
		switch {
		case a.Job.Priority != b.Job.Priority:
			return int(b.Job.Priority - a.Job.Priority)
		case a.Late != b.Late:
			if b.Late {
				return -1
			}
			return 1
		case a.Deadline < b.Deadline:
			return -1
		case a.Deadline > b.Deadline:
			return 1
		}
		return strings.Compare(string(a.Job.ID), string(b.Job.ID))
	})
	var out Plan
	for _, d := range demands {
		out.Unmet += p.cover(d)
	}
	for pool, l := range p.load {
		if n := int(math.Ceil(l - 1e-6)); n > 0 {
			out.ScaleOut = append(out.ScaleOut, ScaleOutRequest{pool, n, l, float64(p.tasks[pool]) / p.share[pool]})
		}
	}
	slices.SortFunc(out.ScaleOut, func(a, b ScaleOutRequest) int {
		return strings.Compare(string(a.Zone)+a.MachineType+kind(a.Spot), string(b.Zone)+b.MachineType+kind(b.Spot))
	})
	out.ScaleIn = p.returns()
	return out
}

func kind(spot bool) string {
	if spot {
		return "/spot"
	}
	return "/ordinary"
}

type planning struct {
	Input
	machineTypes map[string]*wire.MachineType
	offer        map[wire.Zone]int // types to rent in a zone
	most         int
	room         []*capacitySlot
	order        []resources.Pool // every pool
	load         map[resources.Pool]float64
	tasks        map[resources.Pool]int     // that put load on it
	share        map[resources.Pool]float64 // sum of their shares

	held      []resources.Pool // pools that there are machines of
	heldIndex map[resources.Pool]int

	queues     map[demandShape]*slotQueue
	demands    int         // that have asked for a queue
	passedOver []candidate // memory that is used again
}

func (p *planning) pools() {
	for i := range p.Types {
		for _, z := range p.Types[i].Zones {
			p.offer[z]++
			p.most = max(p.most, p.offer[z])
			p.order = append(p.order, resources.Pool{MachineType: p.Types[i].Name, Zone: z, Spot: false}, resources.Pool{MachineType: p.Types[i].Name, Zone: z, Spot: true})
		}
	}
}

// headroom asks for room that urgent arrivals find free: a share of what work
// of priority high and prod holds and waits for, in zones that are not scarce.
func (p *planning) headroom() []Demand {
	if p.HeadroomShare <= 0 {
		return nil
	}
	type key struct {
		rank wire.Priority
		spot bool
	}
	sum := map[key]float64{}
	sample := map[key]*wire.Job{}
	add := func(j *wire.Job, n int) {
		if j == nil || j.Priority < wire.PriorityHigh {
			return
		}
		k := key{j.Priority, j.AllowSpot}
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
		j.Zone, j.SingleZone, j.SpreadZones = "", false, false
		n := int(math.Ceil(cpus * p.HeadroomShare / j.CPUs))
		out = append(out, Demand{Job: &j, Count: n, Deadline: math.Inf(1), Runtime: 1, NeedsOwnMachine: true})
	}
	return out
}

// returns names idle machines that no load was put on and that are near a
// multiple of the billing period.
func (p *planning) returns() []wire.MachineID {
	var out []wire.MachineID
	for _, s := range p.room {
		if s.taken || len(s.machine.Tasks) > 0 {
			continue
		}
		if rest := p.BillingPeriod - math.Mod(s.machine.Age, p.BillingPeriod); rest <= 2*p.PlanningInterval {
			out = append(out, s.machine.Name)
		}
	}
	return out
}
