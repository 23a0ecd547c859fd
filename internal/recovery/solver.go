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
	maxRows    = 64
	maxColumns = 96
)

const solverTolerance = 1e-9

// groupKey is all that decides where a replica may go. Replicas that share it are one
// group of the program.
type groupKey struct {
	team         wire.TeamName
	types        string
	zone         wire.Zone
	need         resources.Vector
	rank         wire.Priority
	spot, spread bool
	pinned       wire.Zone // the zone that its other replicas leave it
	atRisk       bool
}

func keyOf(s *Service, atRisk bool) groupKey {
	j := s.Job
	key := groupKey{
		team: j.Team, types: strings.Join(j.MachineTypes, " "), zone: j.Zone,
		need: resources.OfTask(j), rank: j.Priority, spot: j.AllowSpot, spread: j.SpreadZones, atRisk: atRisk,
	}
	if j.SingleZone {
		for zone, n := range s.Zones {
			if atRisk {
				n -= s.AtRisk[zone]
			}
			if n > 0 {
				key.pinned = zone
			}
		}
	}
	return key
}

type group struct {
	key      groupKey
	job      *wire.Job // any of its services
	count    int
	zoneRoom map[wire.Zone]int // of services that spread: replicas that a zone may still have
}

// groups gathers the replicas of services, in the services' order.
func groups(services []*Service) []*group {
	var list []*group
	byKey := map[groupKey]*group{}
	add := func(s *Service, count int, atRisk bool) {
		if count == 0 {
			return
		}
		key := keyOf(s, atRisk)
		g := byKey[key]
		if g == nil {
			g = &group{key: key, job: s.Job, zoneRoom: map[wire.Zone]int{}}
			byKey[key] = g
			list = append(list, g)
		}
		g.count += count
	}
	for _, s := range services {
		add(s, s.Waiting, false)
	}
	for _, s := range services {
		add(s, s.AtRiskCount(), true)
	}
	return list
}

// addZoneRoom counts how many replicas of the groups' services each zone may still have.
func addZoneRoom(list []*group, services []*Service, zones []wire.Zone) {
	byKey := map[groupKey]*group{}
	for _, g := range list {
		byKey[g.key] = g
	}
	for _, s := range services {
		if !s.Job.SpreadZones {
			continue
		}
		for _, atRisk := range []bool{false, true} {
			g := byKey[keyOf(s, atRisk)]
			if g == nil {
				continue
			}
			bound := s.Zones
			if atRisk {
				bound = s.zonesAfterLoss()
			}
			for _, zone := range zones {
				g.zoneRoom[zone] += max(0, (s.Job.TaskCount+1)/2-bound[zone])
			}
		}
	}
}

// shares is how many replicas of each group the solver gives to each bucket.
type shares struct {
	left map[groupKey][]float64
}

// has tells whether a bucket has any of a group's share left.
func (s *shares) has(key groupKey, bucket int) bool {
	left := s.left[key]
	return left != nil && left[bucket] >= leastShare
}

func (s *shares) take(key groupKey, bucket int) { s.left[key][bucket]-- }

// leastShare is the part of a replica from which on a share is rounded up.
const leastShare = 0.5

// program is the linear program in the making.
type program struct {
	rows    []row
	columns []column
}

type column struct {
	group  *group
	bucket int
	weight float64
}

// row is a constraint: the sum of the coefficients' columns is at most the bound.
type row struct {
	coefficients map[int]float64 // by column
	bound        float64
}

// solve distributes the replicas; nil if there is nothing to distribute, or the solver
// finds no solution.
func solve(in *Input) *shares {
	room := newRoom(in.Nodes)
	p := build(in, room)
	if len(p.columns) == 0 {
		return nil
	}
	x, err := p.maximize()
	if err != nil {
		slog.Debug("solver gave up; services are placed in their order", "err", err, "rows", len(p.rows), "columns", len(p.columns))
		return nil
	}
	s := &shares{left: map[groupKey][]float64{}}
	for i, c := range p.columns {
		if s.left[c.group.key] == nil {
			s.left[c.group.key] = make([]float64, len(room.buckets))
		}
		s.left[c.group.key][c.bucket] = x[i]
	}
	return s
}

// build makes the program of as many groups as its bounds allow.
func build(in *Input, room *room) *program {
	list := groups(in.Services)
	addZoneRoom(list, in.Services, zonesOf(room))
	p := &program{}
	for n := 1; n <= len(list); n++ {
		next := programOf(in, room, list[:n])
		if len(next.rows) > maxRows || len(next.columns) > maxColumns {
			break
		}
		p = next
	}
	return p
}

func zonesOf(r *room) []wire.Zone {
	var zones []wire.Zone
	for _, b := range r.buckets {
		if len(zones) == 0 || zones[len(zones)-1] != b.zone { // buckets are sorted by zone
			zones = append(zones, b.zone)
		}
	}
	return zones
}

func programOf(in *Input, room *room, list []*group) *program {
	p := &program{}
	for _, g := range list {
		p.addGroup(g, room)
	}
	p.limitBuckets(room)
	p.limitTeams(in)
	return p
}

// addGroup adds a column for each bucket that a group may use, and the rows that
// concern the group alone.
func (p *program) addGroup(g *group, room *room) {
	all := row{coefficients: map[int]float64{}, bound: float64(g.count)}
	byZone := map[wire.Zone]row{}
	for i, b := range room.buckets {
		if !b.allows(g.job) || g.key.pinned != "" && g.key.pinned != b.zone || b.whole(g.key.need) == 0 {
			continue
		}
		c := len(p.columns)
		p.columns = append(p.columns, column{g, i, weight(g.job) * preference(g.job, b)})
		all.coefficients[c] = 1
		if g.key.spread {
			z, ok := byZone[b.zone]
			if !ok {
				z = row{coefficients: map[int]float64{}, bound: float64(g.zoneRoom[b.zone])}
				byZone[b.zone] = z
			}
			z.coefficients[c] = 1
		}
	}
	if len(all.coefficients) == 0 {
		return
	}
	p.rows = append(p.rows, all)
	for _, zone := range zonesOf(room) {
		if z, ok := byZone[zone]; ok {
			p.rows = append(p.rows, z)
		}
	}
}

// preference makes a bucket that suits a job better worth a little more.
func preference(j *wire.Job, b *bucket) float64 {
	if j.AllowSpot && !b.spot {
		return 1 - preferenceStep
	}
	return 1
}

const preferenceStep = 0.05

// limitBuckets bounds what is put into each bucket by what is free there.
func (p *program) limitBuckets(room *room) {
	for i, b := range room.buckets {
		amounts := [...]func(resources.Vector) float64{
			func(r resources.Vector) float64 { return r.CPUs },
			func(r resources.Vector) float64 { return r.MemoryGB },
			func(r resources.Vector) float64 { return r.GPUs },
		}
		for _, amount := range amounts {
			if amount(resources.OfMachineType(b.machineType)) == 0 {
				continue
			}
			r := row{coefficients: map[int]float64{}}
			for c, column := range p.columns {
				if need := amount(column.group.key.need); column.bucket == i && need > 0 {
					r.coefficients[c] = need
					r.bound = math.Max(r.bound, amount(b.free(column.group.key.need)))
				}
			}
			if len(r.coefficients) > 0 {
				p.rows = append(p.rows, r)
			}
		}
	}
}

// limitTeams bounds what waiting replicas of a team take by its limit. Those at risk
// count towards it already.
func (p *program) limitTeams(in *Input) {
	done := map[wire.TeamName]bool{}
	for _, column := range p.columns {
		name := column.group.key.team
		team := in.TeamQuota(name)
		if done[name] || team.MaxCPUs == 0 {
			continue
		}
		done[name] = true
		r := row{coefficients: map[int]float64{}, bound: math.Max(0, team.MaxCPUs-in.Usage[name].CPUs)}
		for c, other := range p.columns {
			if other.group.key.team == name && !other.group.key.atRisk {
				r.coefficients[c] = other.group.key.need.CPUs
			}
		}
		if len(r.coefficients) > 0 {
			p.rows = append(p.rows, r)
		}
	}
}

// maximize solves the program with the simplex method. Every row has a slack variable,
// and these are a feasible start, since no bound is negative.
func (p *program) maximize() ([]float64, error) {
	rows, columns := len(p.rows), len(p.columns)
	costs := make([]float64, columns+rows)
	for i, c := range p.columns {
		costs[i] = -c.weight
	}
	matrix := mat.NewDense(rows, columns+rows, nil)
	bounds := make([]float64, rows)
	basis := make([]int, rows)
	for i, r := range p.rows {
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
