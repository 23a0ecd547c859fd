package resources

import (
	"math"

	"lynxledge/wire"
)

// Vector is an amount of what a machine offers.
type Vector struct{ CPUs, GPUs, MemoryGB float64 }

// OfTask is what a task of a job requests.
func OfTask(job *wire.Job) Vector { return Vector{job.CPUs, job.GPUs, job.MemoryGB} }

// OfMachineType is what a machine of a type has.
func OfMachineType(t *wire.MachineType) Vector { return Vector{t.CPUs, t.GPUs, t.MemoryGB} }

// RoundingTolerance is by how much sums of decimal amounts may be off.
const RoundingTolerance = 1e-6

// Plus returns v and n times the other vector.
func (v Vector) Plus(other Vector, n float64) Vector {
	return Vector{v.CPUs + n*other.CPUs, v.GPUs + n*other.GPUs, v.MemoryGB + n*other.MemoryGB}
}

// Fits tells whether v is within limit.
func (v Vector) Fits(limit Vector) bool {
	return v.CPUs <= limit.CPUs+RoundingTolerance && v.GPUs <= limit.GPUs+RoundingTolerance && v.MemoryGB <= limit.MemoryGB+RoundingTolerance
}

// Share is the largest share that v takes of a machine; infinite if the machine has none of what
// v needs.
func (v Vector) Share(machine Vector) float64 {
	share := 0.0
	for _, amount := range [...]struct{ taken, offered float64 }{{v.CPUs, machine.CPUs}, {v.GPUs, machine.GPUs}, {v.MemoryGB, machine.MemoryGB}} {
		switch {
		case amount.offered > 0:
			share = math.Max(share, amount.taken/amount.offered)
		case amount.taken > 0:
			return math.Inf(1)
		}
	}
	return share
}
