package scheduler

import (
	"math"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

// Resources is an amount of a machine.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// RequestOf is what a task of a job takes.
func RequestOf(j *wire.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// Capacity is what a machine of a type has.
func Capacity(t *wire.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }

const roundingTolerance = 1e-6 // sums of decimal amounts

// Plus adds o n times.
func (r Resources) Plus(o Resources, n float64) Resources {
	return Resources{r.CPUs + n*o.CPUs, r.GPUs + n*o.GPUs, r.MemoryGB + n*o.MemoryGB}
}

// Fits tells whether r is within limit.
func (r Resources) Fits(limit Resources) bool {
	return r.CPUs <= limit.CPUs+roundingTolerance && r.GPUs <= limit.GPUs+roundingTolerance && r.MemoryGB <= limit.MemoryGB+roundingTolerance
}

// Share is the largest share that r takes of a machine.
func (r Resources) Share(machine Resources) float64 {
	s := 0.0
	for _, p := range [][2]float64{{r.CPUs, machine.CPUs}, {r.GPUs, machine.GPUs}, {r.MemoryGB, machine.MemoryGB}} {
		switch {
		case p[1] > 0:
			s = math.Max(s, p[0]/p[1])
		case p[0] > 0:
			return math.Inf(1)
		}
	}
	return s
}

// Usage is what a team's tasks use until they are proved gone.
type Usage map[string]Resources

// WithinLimit tells whether a team may take more.
func (t Usage) WithinLimit(team config.TeamQuota, more Resources) bool {
	u := t[team.Name].Plus(more, 1)
	return (team.MaxCPUs == 0 || u.CPUs <= team.MaxCPUs+roundingTolerance) &&
		(team.MaxGPUs == 0 || u.GPUs <= team.MaxGPUs+roundingTolerance)
}

// WithinGuarantee tells whether a team with more still has no more than it is
// guaranteed.
func (t Usage) WithinGuarantee(team config.TeamQuota, more Resources) bool {
	u := t[team.Name].Plus(more, 1)
	return u.CPUs <= team.GuaranteedCPUs+roundingTolerance && u.GPUs <= team.GuaranteedGPUs+roundingTolerance
}
