package resources

import (
	"math"

	"lynxledge/wire"
)

// Vector is an amount of each resource that a machine offers.
type Vector struct{ CPUs, GPUs, MemoryGB float64 }

// OfTask returns what a task of a job requests.
func OfTask(job *wire.Job) Vector { return Vector{job.CPUs, job.GPUs, job.MemoryGB} }

// OfMachineType returns what a machine of a type offers.
func OfMachineType(t *wire.MachineType) Vector { return Vector{t.CPUs, t.GPUs, t.MemoryGB} }

// RoundingTolerance is the rounding error allowed in sums of decimal amounts.
const RoundingTolerance = 1e-6

// AddScaled returns v + n*other.
func (v Vector) AddScaled(other Vector, n float64) Vector {
	return Vector{v.CPUs + n*other.CPUs, v.GPUs + n*other.GPUs, v.MemoryGB + n*other.MemoryGB}
}

// Fits reports whether v is within limit, up to RoundingTolerance.
func (v Vector) Fits(limit Vector) bool {
	return v.CPUs <= limit.CPUs+RoundingTolerance && v.GPUs <= limit.GPUs+RoundingTolerance && v.MemoryGB <= limit.MemoryGB+RoundingTolerance
}

// Share returns the largest share that v takes of any resource of a machine, +Inf if the machine
// has none of a resource that v needs.
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
