package recovery

import (
	"log/slog"
	"math"
	"strings"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// The solver distributes groups of replicas over buckets of machines as a linear
// program: how many of each group go to each bucket so that the weight of those that
// find room is the largest. It works on sums, so its result is rounded, and checked
// machine by machine by the assigner.

// Bounds of a program's size, and so of the solver's work. Groups beyond them are left
// to the order alone.
const (
	maxConstraints = 64
	maxVariables   = 96
)

const solverTolerance = 1e-9

// replicaGroupKey is all that decides where a replica may go. Replicas that share it are one
// group of the program.
type replicaGroupKey struct {
	team         wire.TeamName
	machineTypes string
	zone         wire.Zone
	need         resources.Vector
	priority     wire.Priority
	spot, spread bool
	boundZone    wire.Zone // the zone that its other replicas leave it
	atRisk       bool
}

func groupKeyOf(s *Service, atRisk bool) replicaGroupKey {
	j := s.Job
	key := replicaGroupKey{
		team: j.Team, machineTypes: strings.Join(j.MachineTypes, " "), zone: j.Zone,
		need: resources.OfTask(j), priority: j.Priority, spot: j.AllowSpot, spread: j.SpreadZones, atRisk: atRisk,
	}
	if j.SingleZone {
		for zone, n := range s.BoundByZone {
			if atRisk {
				n -= s.AtRisk[zone]
			}
			if n > 0 {
				key.boundZone = zone
			}
		}
	}
	return key
}

type replicaGroup struct {
	key        replicaGroupKey
	job        *wire.Job // any of its services
	count      int
	zoneLimits map[wire.Zone]int // of services that spread: replicas that a zone may still have
}

// groupReplicas gathers the replicas of services, in the services' order.
func groupReplicas(services []*Service) []*replicaGroup {
	var list []*replicaGroup
	byKey := map[replicaGroupKey]*replicaGroup{}
	add := func(s *Service, count int, atRisk bool) {
		if count == 0 {
			return
		}
		key := groupKeyOf(s, atRisk)
		g := byKey[key]
		if g == nil {
			g = &replicaGroup{key: key, job: s.Job, zoneLimits: map[wire.Zone]int{}}
			byKey[key] = g
			list = append(list, g)
		}
		g.count += count
	}
	for _, s := range services {
		add(s, s.Pending, false)
	}
	for _, s := range services {
		add(s, s.AtRiskCount(), true)
	}
	return list
}

// addZoneLimits counts how many replicas of the groups' services each zone may still have.
func addZoneLimits(list []*replicaGroup, services []*Service, zones []wire.Zone) {
	byKey := map[replicaGroupKey]*replicaGroup{}
	for _, g := range list {
		byKey[g.key] = g
	}
	for _, s := range services {
		if !s.Job.SpreadZones {
			continue
		}
		for _, atRisk := range []bool{false, true} {
			g := byKey[groupKeyOf(s, atRisk)]
			if g == nil {
				continue
			}
			bound := s.BoundByZone
			if atRisk {
				bound = s.boundAfterLoss()
			}
			for _, zone := range zones {
				g.zoneLimits[zone] += max(0, (s.Job.TaskCount+1)/2-bound[zone])
			}
		}
	}
}

// allocation is how many replicas of each group the solver gives to each bucket.
type allocation struct {
	remaining map[replicaGroupKey][]float64
}

// has tells whether a bucket has any of a group's share left.
func (s *allocation) has(key replicaGroupKey, bucket int) bool {
	left := s.remaining[key]
	return left != nil && left[bucket] >= minRemainingReplicas
}

func (s *allocation) take(key replicaGroupKey, bucket int) { s.remaining[key][bucket]-- }

// minRemainingReplicas is the part of a replica from which on a share is rounded up.
const minRemainingReplicas = 0.5

// linearProgram is the linear program in the making.
type linearProgram struct {
	constraints []constraint
	variables   []variable
}

type variable struct {
	group  *replicaGroup
	pool   int
	weight float64
}

// constraint is a constraint: the sum of the coefficients' columns is at most the bound.
type constraint struct {
	coefficients map[int]float64 // by column
	bound        float64
}

// solve distributes the replicas; nil if there is nothing to distribute, or the solver
// finds no solution.
func solve(in *Input) *allocation {
	room := newFreeCapacity(in.Nodes)
	p := buildProgram(in, room)
	if len(p.variables) == 0 {
		return nil
	}
	x, err := p.maximize()
	if err != nil {
		slog.Debug("solver gave up; services are placed in their order", "err", err, "rows", len(p.constraints), "columns", len(p.variables))
		return nil
	}
	s := &allocation{remaining: map[replicaGroupKey][]float64{}}
	for i, c := range p.variables {
		if s.remaining[c.group.key] == nil {
			s.remaining[c.group.key] = make([]float64, len(room.pools))
		}
		s.remaining[c.group.key][c.pool] = x[i]
	}
	return s
}

// buildProgram makes the program of as many groups as its bounds allow.
func buildProgram(in *Input, room *freeCapacity) *linearProgram {
	list := groupReplicas(in.Services)
	addZoneLimits(list, in.Services, zonesOf(room))
	p := &linearProgram{}
	for n := 1; n <= len(list); n++ {
		next := programFor(in, room, list[:n])
		if len(next.constraints) > maxConstraints || len(next.variables) > maxVariables {
			break
		}
		p = next
	}
	return p
}

func zonesOf(r *freeCapacity) []wire.Zone {
	var zones []wire.Zone
	for _, b := range r.pools {
		if len(zones) == 0 || zones[len(zones)-1] != b.zone { // buckets are sorted by zone
			zones = append(zones, b.zone)
		}
	}
	return zones
}

func programFor(in *Input, room *freeCapacity, list []*replicaGroup) *linearProgram {
	p := &linearProgram{}
	for _, g := range list {
		p.addGroup(g, room)
	}
	p.constrainPools(room)
	p.constrainTeams(in)
	return p
}

// addGroup adds a column for each bucket that a group may use, and the rows that
// concern the group alone.
func (p *linearProgram) addGroup(g *replicaGroup, room *freeCapacity) {
	all := constraint{coefficients: map[int]float64{}, bound: float64(g.count)}
	byZone := map[wire.Zone]constraint{}
	for i, b := range room.pools {
		if !b.allows(g.job) || g.key.boundZone != "" && g.key.boundZone != b.zone || b.replicaCapacity(g.key.need) == 0 {
			continue
		}
		c := len(p.variables)
		p.variables = append(p.variables, variable{g, i, priorityWeight(g.job) * poolPreference(g.job, b)})
		all.coefficients[c] = 1
		if g.key.spread {
			z, ok := byZone[b.zone]
			if !ok {
				z = constraint{coefficients: map[int]float64{}, bound: float64(g.zoneLimits[b.zone])}
				byZone[b.zone] = z
			}
			z.coefficients[c] = 1
		}
	}
	if len(all.coefficients) == 0 {
		return
	}
	p.constraints = append(p.constraints, all)
	for _, zone := range zonesOf(room) {
		if z, ok := byZone[zone]; ok {
			p.constraints = append(p.constraints, z)
		}
	}
}

// poolPreference makes a bucket that suits a job better worth a little more.
func poolPreference(j *wire.Job, b *nodePool) float64 {
	if j.AllowSpot && !b.spot {
		return 1 - onDemandDiscount
	}
	return 1
}

const onDemandDiscount = 0.05

// constrainPools bounds what is put into each bucket by what is free there.
func (p *linearProgram) constrainPools(room *freeCapacity) {
	for i, b := range room.pools {
		amounts := [...]func(resources.Vector) float64{
			func(r resources.Vector) float64 { return r.CPUs },
			func(r resources.Vector) float64 { return r.MemoryGB },
			func(r resources.Vector) float64 { return r.GPUs },
		}
		for _, amount := range amounts {
			if amount(resources.OfMachineType(b.machineType)) == 0 {
				continue
			}
			r := constraint{coefficients: map[int]float64{}}
			for c, column := range p.variables {
				if need := amount(column.group.key.need); column.pool == i && need > 0 {
					r.coefficients[c] = need
					r.bound = math.Max(r.bound, amount(b.freeFor(column.group.key.need)))
				}
			}
			if len(r.coefficients) > 0 {
				p.constraints = append(p.constraints, r)
			}
		}
	}
}

// constrainTeams bounds what waiting replicas of a team take by its limit. Those at risk
// count towards it already.
func (p *linearProgram) constrainTeams(in *Input) {
	done := map[wire.TeamName]bool{}
	for _, column := range p.variables {
		name := column.group.key.team
		team := in.TeamQuota(name)
		if done[name] || team.MaxCPUs == 0 {
			continue
		}
		done[name] = true
		r := constraint{coefficients: map[int]float64{}, bound: math.Max(0, team.MaxCPUs-in.Usage[name].CPUs)}
		for c, other := range p.variables {
			if other.group.key.team == name && !other.group.key.atRisk {
				r.coefficients[c] = other.group.key.need.CPUs
			}
		}
		if len(r.coefficients) > 0 {
			p.constraints = append(p.constraints, r)
		}
	}
}

// maximize solves the program with the simplex method. Every row has a slack variable,
// and these are a feasible start, since no bound is negative.
func (p *linearProgram) maximize() ([]float64, error) {
	rows, columns := len(p.constraints), len(p.variables)
	costs := make([]float64, columns+rows)
	for i, c := range p.variables {
		costs[i] = -c.weight
	}
	matrix := mat.NewDense(rows, columns+rows, nil)
	bounds := make([]float64, rows)
	basis := make([]int, rows)
	for i, r := range p.constraints {
		for c, coefficient := range r.coefficients {
			matrix.Set(i, c, coefficient)
		}
		matrix.Set(i, columns+i, 1)
		bounds[i], basis[i] = r.bound, columns+i
	}
	_, x, err := lp.Simplex(costs, matrix, bounds, solverTolerance, basis)
	if err != nil {
		return nil, err
	}
	return x[:columns], nil
}
