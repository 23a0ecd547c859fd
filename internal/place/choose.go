// Package place binds tasks to machines: the choice is pure, and an actor
// makes it through the state service for the teams handed to this controller.
package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/ledger"
	"lynxledge/wire"
)

// Resources is an amount of a machine.
type Resources struct{ CPUs, GPUs, Mem float64 }

// RequestOf is what a task of a job takes.
func RequestOf(j *wire.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// Capacity is what a machine of a type has.
func Capacity(t *wire.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }

const slack = 1e-6 // sums of decimal amounts

// Plus adds o n times.
func (r Resources) Plus(o Resources, n float64) Resources {
	return Resources{r.CPUs + n*o.CPUs, r.GPUs + n*o.GPUs, r.Mem + n*o.Mem}
}

// Fits tells whether r is within limit.
func (r Resources) Fits(limit Resources) bool {
	return r.CPUs <= limit.CPUs+slack && r.GPUs <= limit.GPUs+slack && r.Mem <= limit.Mem+slack
}

// Share is the largest share that r takes of a machine.
func (r Resources) Share(machine Resources) float64 {
	s := 0.0
	for _, p := range [][2]float64{{r.CPUs, machine.CPUs}, {r.GPUs, machine.GPUs}, {r.Mem, machine.Mem}} {
		switch {
		case p[1] > 0:
			s = math.Max(s, p[0]/p[1])
		case p[0] > 0:
			return math.Inf(1)
		}
	}
	return s
}

// Allowed tells whether a job's tasks may run on a type, in a zone and on a
// kind of machine at all.
func Allowed(j *wire.Job, typ, zone string, spot bool) bool {
	return (len(j.Types) == 0 || slices.Contains(j.Types, typ)) &&
		(j.Zone == "" || j.Zone == zone) && (j.Spot || !spot)
}

// Task is one task on a node, as far as the choice cares.
type Task struct {
	Job        *wire.Job // nil when its job is unknown
	N          int
	Stops      bool      // ordered to stop
	Guaranteed bool      // its job fits its team's guarantee with the team's earlier jobs
	Last       bool      // its job has no task waiting: stopping it delays the job
	Since      time.Time // when it was first seen bound
	Spent      float64   // seconds since then
}

// Node is a machine that may take tasks.
type Node struct {
	Name  string
	Group string
	Type  *wire.MachineType
	Zone  string
	Spot  bool
	Open  bool      // tasks may be bound to it
	Used  Resources // of tasks that are to stay
	Tasks []Task
	Image func(image string) bool
	// NeedsOwnWrite: using it takes a write of its own. Few groups are written at once.
	NeedsOwnWrite bool

	roomy int         // place in the index of nodes with room, from 1
	all   int         // place among all nodes, from 1
	held  []*wire.Job // one for each task that the sums count
	pool  *pool       // the pool that counts it as open
}

// HasRoom tells whether the node has any of its processors and memory left.
func (n *Node) HasRoom() bool {
	return n.Open && n.Used.CPUs < n.Type.CPUs-slack && (n.Type.MemoryGB == 0 || n.Used.Mem < n.Type.MemoryGB-slack)
}

// Usage is what a team's tasks use until they are proved gone.
type Usage map[string]Resources

// WithinLimit tells whether a team may take more.
func (t Usage) WithinLimit(team config.Team, more Resources) bool {
	u := t[team.Name].Plus(more, 1)
	return (team.CPUsMax == 0 || u.CPUs <= team.CPUsMax+slack) &&
		(team.GPUsMax == 0 || u.GPUs <= team.GPUsMax+slack)
}

// WithinGuarantee tells whether a team with more still has no more than it is
// guaranteed.
func (t Usage) WithinGuarantee(team config.Team, more Resources) bool {
	u := t[team.Name].Plus(more, 1)
	return u.CPUs <= team.CPUs+slack && u.GPUs <= team.GPUs+slack
}

// Zones counts a job's tasks by zone, those that are stopping included.
type Zones map[string]int

// ZonesOf counts a job's bound tasks by zone.
func ZonesOf(v *ledger.View, job string) Zones {
	z := Zones{}
	for _, m := range v.Bound[job] {
		z[v.Machines[m].Zone]++
	}
	return z
}

// Allows tells whether one more task of the job may be in a zone now.
func (z Zones) Allows(j *wire.Job, zone string) bool {
	if j.OneZone {
		for other, n := range z {
			if n > 0 && other != zone {
				return false
			}
		}
	}
	return !j.Spread || z[zone] < (j.Tasks+1)/2
}

// maxSample bounds a choice: beyond it a random sample of the machines is
// looked at in place of all of them.
const maxSample = 64

// Sample returns at most maxSample of the nodes. Those left out are found by
// later samples: each round draws anew.
func Sample(nodes []*Node, rng *rand.Rand) []*Node {
	if len(nodes) <= maxSample {
		return slices.Clone(nodes)
	}
	out := make([]*Node, 0, maxSample)
	if len(nodes) > 4*maxSample { // drawn one by one: no work that grows with the machines
		seen := make(map[int]bool, maxSample)
		for len(out) < maxSample {
			if i := rng.IntN(len(nodes)); !seen[i] {
				seen[i] = true
				out = append(out, nodes[i])
			}
		}
		return out
	}
	for _, i := range rng.Perm(len(nodes))[:maxSample] {
		out = append(out, nodes[i])
	}
	return out
}

// CanTake tells whether the node has room for one more task of a job, which needs that
// much, and the job allows it, given the zones of its other tasks.
func (n *Node) CanTake(j *wire.Job, need Resources, zones Zones) bool {
	return Allowed(j, n.Type.Name, n.Zone, n.Spot) && zones.Allows(j, n.Zone) &&
		n.Used.Plus(need, 1).Fits(Capacity(n.Type))
}

// Offers tells how many machine types can be rented in a zone, as a share of
// the zone that offers most.
type Offers map[string]float64

// Pick returns the node with room that suits a task of the job best, or nil.
// Urgent work goes where its image is; the rest packs machines that are in
// use already, and spot machines before ordinary ones.
func Pick(j *wire.Job, zones Zones, offers Offers, nodes []*Node) *Node {
	var best *Node
	bestScore := math.Inf(1)
	need := RequestOf(j)
	for _, n := range nodes {
		if !n.CanTake(j, need, zones) {
			continue
		}
		if s := score(j, zones, offers, n, Capacity(n.Type)); s < bestScore {
			best, bestScore = n, s
		}
	}
	return best
}

// score orders the nodes that have room; the lowest is best. Its parts are
// shares of one machine.
func score(j *wire.Job, zones Zones, offers Offers, n *Node, limit Resources) float64 {
	s := 1 - n.Used.Share(limit)
	if !n.Image(j.Image) {
		if j.Rank >= wire.RankHigh {
			s += 4
		} else {
			s += 0.3
		}
	}
	if j.Spot && !n.Spot {
		s += 2 // keep ordinary machines for those that need them
	}
	if !n.Spot && !(j.Spread && j.Tasks > 1) {
		// Room in a zone with few types to rent is for those that must go there.
		s += 6 * (1 - offers[n.Zone])
	}
	if j.Spread {
		s += 8 * float64(zones[n.Zone]) / float64(j.Tasks)
	}
	if n.NeedsOwnWrite {
		s += 0.25
	}
	return s
}

// Victims is a set of tasks to stop on a node so that another fits.
type Victims struct {
	Node  *Node
	Tasks []int // indices into Node.Tasks
	Cost  float64
}

// Preempt finds the cheapest set of tasks to stop for a task of job j. Work
// of lower priority may go; with the team inside its guarantee so may work of any
// priority that another team runs beyond its own. Nothing else may.
func Preempt(j *wire.Job, zones Zones, offers Offers, nodes []*Node, tally Usage, team func(string) config.Team) *Victims {
	var best *Victims
	bestScore := 0.0
	need := RequestOf(j)
	guaranteed := tally.WithinGuarantee(team(j.Team), need)
	for _, n := range nodes {
		if !Allowed(j, n.Type.Name, n.Zone, n.Spot) || !zones.Allows(j, n.Zone) {
			continue
		}
		v := victims(j, n, need, guaranteed, tally, team)
		if v == nil {
			continue
		}
		if s := score(j, zones, offers, n, Capacity(n.Type)); best == nil || s-bestScore < -1 || s-bestScore < 1 && v.Cost < best.Cost {
			best, bestScore = v, s
		}
	}
	return best
}

func victims(j *wire.Job, n *Node, need Resources, guaranteed bool, tally Usage, team func(string) config.Team) *Victims {
	limit := Capacity(n.Type)
	type candidate struct {
		i    int
		cost float64
	}
	var cands []candidate
	for i, t := range n.Tasks {
		if t.Job == nil || t.Stops {
			continue
		}
		lower := t.Job.Rank < j.Rank
		if !lower && (!guaranteed || t.Guaranteed || t.Job.Team == j.Team) {
			continue
		}
		lost := t.Spent
		if t.Job.CheckpointS > 0 {
			lost = math.Min(lost, t.Job.CheckpointS)
		}
		if t.Job.Service() {
			lost += 60 // a replica's users notice
		} else if t.Last {
			lost += t.Job.EstimateS
		}
		cands = append(cands, candidate{i, (1 + lost) * t.Job.CPUs * float64(1+3*t.Job.Rank)})
	}
	slices.SortFunc(cands, func(a, b candidate) int {
		if a.cost < b.cost {
			return -1
		}
		if a.cost > b.cost {
			return 1
		}
		return a.i - b.i
	})
	v := &Victims{Node: n}
	used := n.Used
	left := Usage{}
	for _, c := range cands {
		if used.Plus(need, 1).Fits(limit) {
			break
		}
		t := n.Tasks[c.i]
		if t.Job.Rank >= j.Rank {
			// Stopping it must leave its team with its guarantee.
			owner := team(t.Job.Team)
			u, ok := left[owner.Name]
			if !ok {
				u = tally[owner.Name]
			}
			if u.CPUs <= owner.CPUs+slack && u.GPUs <= owner.GPUs+slack {
				continue
			}
			left[owner.Name] = u.Plus(RequestOf(t.Job), -1)
		}
		used = used.Plus(RequestOf(t.Job), -1)
		v.Tasks = append(v.Tasks, c.i)
		v.Cost += c.cost
	}
	if len(v.Tasks) == 0 || !used.Plus(need, 1).Fits(limit) {
		return nil
	}
	return v
}

// Move finds a replica that could as well run in another zone, where there is
// room for it, and whose going makes room for a task that must spread into
// its zone. The replica is stopped to be placed again.
func Move(j *wire.Job, zones Zones, nodes []*Node) *Victims {
	if !j.Spread || !j.Service() {
		return nil
	}
	need := RequestOf(j)
	for _, n := range nodes {
		if !Allowed(j, n.Type.Name, n.Zone, n.Spot) || !zones.Allows(j, n.Zone) {
			continue
		}
		elsewhere := slices.DeleteFunc(slices.Clone(nodes), func(o *Node) bool { return o.Zone == n.Zone })
		for i, t := range n.Tasks {
			if t.Job == nil || t.Stops || !t.Job.Service() || t.Job.Spread && t.Job.Tasks > 1 || t.Job.CheckpointS > 0 {
				continue
			}
			if !n.Used.Plus(RequestOf(t.Job), -1).Plus(need, 1).Fits(Capacity(n.Type)) {
				continue
			}
			if to := Pick(t.Job, Zones{}, Offers{}, elsewhere); to != nil && to.Image(t.Job.Image) {
				to.Used = to.Used.Plus(RequestOf(t.Job), 1) // one room is not for two
				return &Victims{Node: n, Tasks: []int{i}}
			}
		}
	}
	return nil
}
