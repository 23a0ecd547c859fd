package recovery

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// linearProgram determines how many replicas of each group go to each node pool, so that the
// total weight of the placed replicas is maximal.
type linearProgram struct {
	constraints []constraint
	variables   []variable
}

// variable is the number of a group's replicas that are assigned to a pool.
type variable struct {
	group  *replicaGroup
	pool   int // index
	weight float64
}

// constraint requires the sum of the variables, each times its coefficient, to be at most
// upperBound.
type constraint struct {
	coefficients map[int]float64 // by variable
	upperBound   float64
}

// Limits on a program's size, and so on the solver's work. Groups beyond them are placed by
// first-fit only.
const (
	maxConstraints = 64
	maxVariables   = 96
)

// buildProgram builds the program of as many groups, in their order, as the limits allow.
func buildProgram(in *Input, capacity *freeCapacity) *linearProgram {
	groups := groupReplicas(in.Services)
	addZoneLimits(groups, in.Services, capacity.zones())
	program := &linearProgram{}
	for n := 1; n <= len(groups); n++ {
		larger := programFor(in, capacity, groups[:n])
		if len(larger.constraints) > maxConstraints || len(larger.variables) > maxVariables {
			break
		}
		program = larger
	}
	return program
}

func programFor(in *Input, capacity *freeCapacity, groups []*replicaGroup) *linearProgram {
	p := &linearProgram{}
	for _, group := range groups {
		p.addGroup(group, capacity)
	}
	p.constrainPools(capacity)
	p.constrainTeams(in)
	return p
}

// addGroup adds a variable for each pool that a group may use, and the constraints that
// concern the group alone.
func (p *linearProgram) addGroup(group *replicaGroup, capacity *freeCapacity) {
	total := constraint{coefficients: map[int]float64{}, upperBound: float64(group.count)}
	byZone := map[wire.Zone]constraint{}
	for i, pool := range capacity.pools {
		if !group.mayUse(pool) {
			continue
		}
		v := len(p.variables)
		p.variables = append(p.variables, variable{group, i, priorityWeight(group.job) * poolPreference(group.job, pool)})
		total.coefficients[v] = 1
		if group.key.spread {
			inZone, ok := byZone[pool.zone]
			if !ok {
				inZone = constraint{coefficients: map[int]float64{}, upperBound: float64(group.zoneLimits[pool.zone])}
				byZone[pool.zone] = inZone
			}
			inZone.coefficients[v] = 1
		}
	}
	if len(total.coefficients) == 0 {
		return
	}
	p.constraints = append(p.constraints, total)
	for _, zone := range capacity.zones() {
		if inZone, ok := byZone[zone]; ok {
			p.constraints = append(p.constraints, inZone)
		}
	}
}

// mayUse reports whether a pool is allowed for the group's replicas and has capacity for at
// least one.
func (g *replicaGroup) mayUse(pool *nodePool) bool {
	return pool.allows(g.job) && (g.key.boundZone == "" || g.key.boundZone == pool.zone) && pool.replicaCapacity(g.key.need) > 0
}

// onDemandDiscount is the share by which an on-demand pool weighs less for jobs that allow spot.
const onDemandDiscount = 0.05

// poolPreference returns the factor on a job's weight that makes the solver prefer spot pools
// where the job allows spot.
func poolPreference(job *wire.Job, pool *nodePool) float64 {
	if job.AllowSpot && !pool.spot {
		return 1 - onDemandDiscount
	}
	return 1
}

// resourceAmounts are accessors of the resources that pools are constrained by, in the order of
// the constraints.
var resourceAmounts = [...]func(resources.Vector) float64{
	func(v resources.Vector) float64 { return v.CPUs },
	func(v resources.Vector) float64 { return v.MemoryGB },
	func(v resources.Vector) float64 { return v.GPUs },
}

// constrainPools limits what is assigned to each pool by the pool's free capacity.
func (p *linearProgram) constrainPools(capacity *freeCapacity) {
	for i, pool := range capacity.pools {
		for _, amount := range resourceAmounts {
			if amount(resources.OfMachineType(pool.machineType)) == 0 {
				continue
			}
			c := constraint{coefficients: map[int]float64{}}
			for v, variable := range p.variables {
				if need := amount(variable.group.key.need); variable.pool == i && need > 0 {
					c.coefficients[v] = need
					c.upperBound = math.Max(c.upperBound, amount(pool.freeFor(variable.group.key.need)))
				}
			}
			if len(c.coefficients) > 0 {
				p.constraints = append(p.constraints, c)
			}
		}
	}
}

// constrainTeams limits the CPUs of a team's pending replicas by what its quota leaves. Replicas
// at risk are already part of the team's usage.
func (p *linearProgram) constrainTeams(in *Input) {
	done := map[wire.TeamName]bool{}
	for _, variable := range p.variables {
		name := variable.group.key.team
		team := in.TeamQuota(name)
		if done[name] || team.MaxCPUs == 0 {
			continue
		}
		done[name] = true
		c := constraint{coefficients: map[int]float64{}, upperBound: math.Max(0, team.MaxCPUs-in.Usage[name].CPUs)}
		for v, other := range p.variables {
			if other.group.key.team == name && !other.group.key.atRisk {
				c.coefficients[v] = other.group.key.need.CPUs
			}
		}
		if len(c.coefficients) > 0 {
			p.constraints = append(p.constraints, c)
		}
	}
}

const solverTolerance = 1e-9

// maximize solves the program with the simplex method, and returns the variables' values. Each
// constraint gets a slack variable. The slack variables are a feasible initial basis, since no
// upper bound is negative.
func (p *linearProgram) maximize() ([]float64, error) {
	rows, columns := len(p.constraints), len(p.variables)
	costs := make([]float64, columns+rows)
	for i, variable := range p.variables {
		costs[i] = -variable.weight
	}
	matrix := mat.NewDense(rows, columns+rows, nil)
	upperBounds := make([]float64, rows)
	basis := make([]int, rows)
	for i, c := range p.constraints {
		for v, coefficient := range c.coefficients {
			matrix.Set(i, v, coefficient)
		}
		matrix.Set(i, columns+i, 1)
		upperBounds[i], basis[i] = c.upperBound, columns+i
	}
	_, values, err := lp.Simplex(costs, matrix, upperBounds, solverTolerance, basis)
	if err != nil {
		return nil, err
	}
	return values[:columns], nil
}
