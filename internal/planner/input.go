package planner

import (
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Demand is a number of tasks of one job that need capacity.
type Demand struct {
	Job              *wire.Job
	Count            int
	DeadlineSeconds  float64 // negative if it has passed, +Inf if there is none
	RuntimeSeconds   float64 // expected runtime of a task
	Late             bool    // no deadline can be met: planned after the others of its priority
	IgnorePriceLimit bool    // MaxPriceMultiple does not apply
	Zones            placement.ZoneCounts

	excludeScarceZones bool // use only zones that offer the largest number of machine types
}

// RunningTask is a task bound to a machine.
type RunningTask struct {
	Job              *wire.Job
	RemainingSeconds float64 // expected time until it ends, +Inf for services
}

// Machine is an existing machine, or one that is being provisioned.
type Machine struct {
	Name           wire.MachineID
	Pool           resources.Pool
	AgeSeconds     float64
	ReadyInSeconds float64 // expected time until it can run tasks, 0 if it can now
	Tasks          []RunningTask
	Schedulable    bool // may be assigned tasks, now or once it is ready
	MaxTasks       int  // number of tasks, including Tasks, that the store has room for; 0: not limited
}

// NoTasks as a machine's MaxTasks means that the store has room for none.
const NoTasks = -1

// Input is the state of the cluster and the settings that a planning cycle is computed from.
type Input struct {
	MachineTypes []wire.MachineType
	Demands      []Demand
	Machines     []Machine
	Exhausted    func(resources.Pool) bool // reports whether a pool recently ran out of machines
	// AvoidedZone reports whether a zone is avoided: machines are provisioned there only for
	// jobs whose constraints allow no other. If it is nil, no zone is avoided.
	AvoidedZone             func(zone wire.Zone) bool
	BootLagSeconds          float64
	PlanningIntervalSeconds float64
	BillingPeriodSeconds    float64
	// HeadroomShare is the capacity to keep free for urgent jobs, as a share of the CPUs that such
	// jobs use and wait for.
	HeadroomShare float64
	// MaxPriceMultiple limits the cost of a task, as a multiple of its lowest cost in any allowed
	// pool. 0 means no limit.
	MaxPriceMultiple float64
}

// ScaleOutRequest is a number of machines to provision from a pool.
type ScaleOutRequest struct {
	resources.Pool
	Count           int
	Load            float64 // in machines, before it is rounded up to Count
	TasksPerMachine float64 // mean number of tasks on a full machine
}
