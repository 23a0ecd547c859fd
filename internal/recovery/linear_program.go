package recovery

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// linearProgram distributes replica groups over node pools: how many of each group go to each
// pool so that the weight of those that find capacity is the largest.
type linearProgram struct {
	constraints []constraint
	variables   []variable
}

// variable is the number of a group's replicas that go to a pool.
type variable struct {
	group  *replicaGroup
	pool   int // index
	weight float64
}

// constraint says that the sum of the variables, each times its coefficient, is at most the
// bound.
type constraint struct {
	coefficients map[int]float64 // by variable
	bound        float64
}

// Bounds of a program's size, and so of the solver's work. Groups beyond them are left
// to first-fit alone.
const (
	maxConstraints = 64
	maxVariables   = 96
)

// buildProgram makes the program of as many groups as its bounds allow.
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
	total := constraint{coefficients: map[int]float64{}, bound: float64(group.count)}
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
				inZone = constraint{coefficients: map[int]float64{}, bound: float64(group.zoneLimits[pool.zone])}
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

// mayUse tells whether the group's replicas may go to a pool that has capacity for any.
func (g *replicaGroup) mayUse(pool *nodePool) bool {
	return pool.allows(g.job) && (g.key.boundZone == "" || g.key.boundZone == pool.zone) && pool.replicaCapacity(g.key.need) > 0
}

// onDemandDiscount is by how much a pool that suits a job less is worth less.
const onDemandDiscount = 0.05

// poolPreference makes a pool that suits a job better worth a little more.
func poolPreference(job *wire.Job, pool *nodePool) float64 {
	if job.AllowSpot && !pool.spot {
		return 1 - onDemandDiscount
	}
	return 1
}

// resourceAmounts are the resources that pools are constrained by, in the constraints' order.
var resourceAmounts = [...]func(resources.Vector) float64{
	func(v resources.Vector) float64 { return v.CPUs },
	func(v resources.Vector) float64 { return v.MemoryGB },
	func(v resources.Vector) float64 { return v.GPUs },
}

// constrainPools bounds what goes to each pool by what is free there.
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
					c.bound = math.Max(c.bound, amount(pool.freeFor(variable.group.key.need)))
				}
			}
			if len(c.coefficients) > 0 {
				p.constraints = append(p.constraints, c)
			}
		}
	}
}

// constrainTeams bounds what pending replicas of a team take by its limit. Those at risk
// count towards it already.
func (p *linearProgram) constrainTeams(in *Input) {
	done := map[wire.TeamName]bool{}
	for _, variable := range p.variables {
		name := variable.group.key.team
		team := in.TeamQuota(name)
		if done[name] || team.MaxCPUs == 0 {
			continue
		}
		done[name] = true
		c := constraint{coefficients: map[int]float64{}, bound: math.Max(0, team.MaxCPUs-in.Usage[name].CPUs)}
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

// maximize solves the program with the simplex method, and returns the variables' values. Every
// constraint has a slack variable, and these are a feasible start, since no bound is negative.
func (p *linearProgram) maximize() ([]float64, error) {
	rows, columns := len(p.constraints), len(p.variables)
	costs := make([]float64, columns+rows)
	for i, variable := range p.variables {
		costs[i] = -variable.weight
	}
	matrix := mat.NewDense(rows, columns+rows, nil)
	bounds := make([]float64, rows)
	basis := make([]int, rows)
	for i, c := range p.constraints {
		for v, coefficient := range c.coefficients {
			matrix.Set(i, v, coefficient)
		}
		matrix.Set(i, columns+i, 1)
		bounds[i], basis[i] = c.bound, columns+i
	}
	_, values, err := lp.Simplex(costs, matrix, bounds, solverTolerance, basis)
	if err != nil {
		return nil, err
	}
	return values[:columns], nil
}
