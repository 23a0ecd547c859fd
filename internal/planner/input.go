package planner

import (
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Demand is tasks of one job that wait for a machine.
type Demand struct {
	Job             *wire.Job
	Count           int
	DeadlineSeconds float64 // may be past, or +Inf
	RuntimeSeconds  float64 // expected runtime of a task
	Late            bool    // no deadline can be met any more: it comes after the others of its priority
	Overdue         bool    // any machine will do, whatever its price
	Zones           placement.ZoneCounts

	ampleZonesOnly bool // only zones that offer as many machine types as any
}

// RunningTask is a task on a machine.
type RunningTask struct {
	Job              *wire.Job
	RemainingSeconds float64 // expected time until it ends; +Inf for services
}

// Machine is an existing machine, or one that is being provisioned.
type Machine struct {
	Name           wire.MachineID
	Pool           resources.Pool
	AgeSeconds     float64
	ReadyInSeconds float64 // expected time until it takes tasks; 0 once it is up
	Tasks          []RunningTask
	Schedulable    bool // may take tasks, now or once it is up
}

// Input is what a planning cycle is computed from.
type Input struct {
	MachineTypes []wire.MachineType
	Demands      []Demand
	Machines     []Machine
	Exhausted    func(resources.Pool) bool // tells of pools that ran out of machines lately
	// AvoidedZone tells of zones in which nothing is provisioned for jobs that may run in
	// another. Nil stands for none.
	AvoidedZone             func(zone wire.Zone) bool
	BootLagSeconds          float64
	PlanningIntervalSeconds float64
	BillingPeriodSeconds    float64
	HeadroomShare           float64 // share of the capacity of urgent jobs to keep free
	MaxPriceMultiple        float64 // limit on a pool's price, in multiples of the cheapest's; 0: none
}

// ScaleOutRequest is a number of machines to provision.
type ScaleOutRequest struct {
	resources.Pool
	Count           int
	Load            float64
	TasksPerMachine float64 // when it is full
}
