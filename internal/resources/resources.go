package resources

import (
	"math"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

// Vector is an amount of a machine.
type Vector struct{ CPUs, GPUs, MemoryGB float64 }

// OfTask is what a task of a job takes.
func OfTask(j *wire.Job) Vector { return Vector{j.CPUs, j.GPUs, j.MemoryGB} }

// OfMachineType is what a machine of a type has.
func OfMachineType(t *wire.MachineType) Vector { return Vector{t.CPUs, t.GPUs, t.MemoryGB} }

// RoundingTolerance is by how much sums of decimal amounts may differ from what they stand for.
const RoundingTolerance = 1e-6

// Plus adds o n times.
func (r Vector) Plus(o Vector, n float64) Vector {
	return Vector{r.CPUs + n*o.CPUs, r.GPUs + n*o.GPUs, r.MemoryGB + n*o.MemoryGB}
}

// Fits tells whether r is within limit.
func (r Vector) Fits(limit Vector) bool {
	return r.CPUs <= limit.CPUs+RoundingTolerance && r.GPUs <= limit.GPUs+RoundingTolerance && r.MemoryGB <= limit.MemoryGB+RoundingTolerance
}

// Share is the largest share that r takes of a machine.
func (r Vector) Share(machine Vector) float64 {
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
type Usage map[wire.TeamName]Vector

// WithinLimit tells whether a team may take more.
func (t Usage) WithinLimit(team config.TeamQuota, more Vector) bool {
	u := t[team.Name].Plus(more, 1)
	return (team.MaxCPUs == 0 || u.CPUs <= team.MaxCPUs+RoundingTolerance) &&
		(team.MaxGPUs == 0 || u.GPUs <= team.MaxGPUs+RoundingTolerance)
}

// WithinGuarantee tells whether a team with more still has no more than it is
// guaranteed.
func (t Usage) WithinGuarantee(team config.TeamQuota, more Vector) bool {
	u := t[team.Name].Plus(more, 1)
	return u.CPUs <= team.GuaranteedCPUs+RoundingTolerance && u.GPUs <= team.GuaranteedGPUs+RoundingTolerance
}
