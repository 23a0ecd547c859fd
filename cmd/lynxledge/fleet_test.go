package main

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

// fleet is a deployment of many machines with its own settings and workload.
type fleet struct {
	clusterSpec
	adjust func(*config.Params)
	// the initial work: numbers of jobs, their typical sizes, and the resources of a batch task
	arrays, urgent, services int
	tasks, replicas          int
	cpus, memoryGB           float64
	partitionedZone          wire.Zone // its machines are partitioned for a while; empty: none are
	fewSockets               bool      // one controller has fewer inbound sockets than there are machines
}

// maxMachines returns the number of machines that the cloud can provision.
func (f *fleet) maxMachines() int {
	n := 0
	for _, t := range f.machineTypes {
		n += f.poolSizes[t.Name] * 2 * len(t.Zones)
	}
	return n
}

// threeMachineTypes are the machine types of the fleets with three controllers.
var threeMachineTypes = []wire.MachineType{
	{Name: "s", CPUs: 4, MemoryGB: 8, CacheGB: 35, ImageFetchGBps: 1, HourlyPrice: 0.15, HourlySpotPrice: 0.06, BootTime: 20, Zones: []wire.Zone{"a"}},
	{Name: "m", CPUs: 16, MemoryGB: 64, CacheGB: 25, ImageFetchGBps: 1, HourlyPrice: 0.67, HourlySpotPrice: 0.28, BootTime: 20, Zones: []wire.Zone{"a"}},
	{Name: "l", CPUs: 64, MemoryGB: 256, CacheGB: 40, ImageFetchGBps: 1, HourlyPrice: 2.59, HourlySpotPrice: 1.01, BootTime: 20, Zones: []wire.Zone{"a", "b"}},
}

// twoMachineTypes are the machine types of the fleets with seven controllers.
var twoMachineTypes = []wire.MachineType{
	{Name: "s", CPUs: 4, MemoryGB: 32, CacheGB: 35, ImageFetchGBps: 1, HourlyPrice: 0.19, HourlySpotPrice: 0.05, BootTime: 20, Zones: []wire.Zone{"a", "b"}},
	{Name: "b", CPUs: 16, MemoryGB: 128, CacheGB: 40, ImageFetchGBps: 1, HourlyPrice: 0.78, HourlySpotPrice: 0.2, BootTime: 20, Zones: []wire.Zone{"b", "c"}},
}

// Timings and limits that fleets with the same number of controllers share.
var (
	timingsOfThree     = config.WorkerTimings{HeartbeatInterval: 5 * time.Second, LeaseDuration: 34 * time.Second, CancellationDeadline: 64 * time.Second}
	timingsOfSeven     = config.WorkerTimings{HeartbeatInterval: 8 * time.Second, LeaseDuration: 44 * time.Second, CancellationDeadline: 74 * time.Second}
	cloudLimitsOfSeven = config.CloudLimits{RequestRate: 10, ListLag: 10 * time.Second}
)

// fleets are of two kinds: three controllers with a fast store, and seven with one that takes some
// 20 writes a second. Each kind comes with 1.5 times the machines of the larger deployments, and
// with some 4,000 machines on small controllers, whose sockets are too few for all machines.
var fleets = map[string]*fleet{
	"three controllers, 1360 machines": {
		clusterSpec: clusterSpec{
			members: 3, poolSizes: map[string]int{"s": 520, "m": 130, "l": 15},
			machineTypes: threeMachineTypes,
		},
		adjust: func(p *config.Params) {
			p.Workers = timingsOfThree
			p.Store = config.StoreLimits{RequestRate: 600, WriteRate: 180, MaxValueKB: 8, MaxTxnOps: 24}
			p.Resources = config.ControllerResources{CPUs: 0.336, MemoryMB: 220, FileDescriptorLimit: 2783}
		},
		arrays: 50, urgent: 50, services: 330, tasks: 50, replicas: 12, cpus: 4, memoryGB: 4,
	},
	"seven controllers, 2250 machines": {
		clusterSpec: clusterSpec{
			members: 7, poolSizes: map[string]int{"s": 452, "b": 111},
			machineTypes: twoMachineTypes,
		},
		adjust: func(p *config.Params) {
			p.Workers = timingsOfSeven
			p.Store = config.StoreLimits{RequestRate: 180, WriteRate: 18, MaxValueKB: 4, MaxTxnOps: 8}
			p.Cloud = cloudLimitsOfSeven
			p.Resources = config.ControllerResources{CPUs: 0.252, MemoryMB: 322, FileDescriptorLimit: 4233}
		},
		arrays: 30, urgent: 4, services: 260, tasks: 100, replicas: 12, cpus: 4, memoryGB: 29,
	},
	"seven controllers, 4064 machines": {
		clusterSpec: clusterSpec{
			members: 7, poolSizes: map[string]int{"s": 820, "b": 196},
			machineTypes: twoMachineTypes,
		},
		adjust: func(p *config.Params) {
			p.Workers = timingsOfSeven
			p.Store = config.StoreLimits{RequestRate: 200, WriteRate: 20, MaxValueKB: 4, MaxTxnOps: 8}
			p.Cloud = cloudLimitsOfSeven
			p.Resources = config.ControllerResources{CPUs: 0.09, MemoryMB: 212, FileDescriptorLimit: 5000}
		},
		arrays: 66, urgent: 4, services: 390, tasks: 100, replicas: 12, cpus: 4, memoryGB: 29, partitionedZone: "c", fewSockets: true,
	},
	"three controllers, 4056 machines, few sockets": {
		clusterSpec: clusterSpec{
			members: 3, poolSizes: map[string]int{"s": 1560, "m": 390, "l": 39},
			machineTypes: threeMachineTypes,
		},
		adjust: func(p *config.Params) {
			p.Workers = timingsOfThree
			p.Store = config.StoreLimits{RequestRate: 150, WriteRate: 50, MaxValueKB: 8, MaxTxnOps: 24}
			p.Resources = config.ControllerResources{CPUs: 0.3, MemoryMB: 300, FileDescriptorLimit: 800}
		},
		arrays: 150, urgent: 50, services: 800, tasks: 50, replicas: 12, cpus: 4, memoryGB: 4, partitionedZone: "b", fewSockets: true,
	},
}

// fleetRun is one simulated run of a fleet.
type fleetRun struct {
	*cluster
	fleet        *fleet
	pending      []*wire.Job // not accepted by any controller yet
	peakMachines int         // most machines running at once
}

// start starts the fleet's controllers with two teams, and a store that keeps to its limits.
func (f *fleet) start(ctx context.Context) *fleetRun {
	r := &fleetRun{fleet: f, cluster: newCluster(ctx, 1, f.clusterSpec, func(p *config.Params) {
		f.adjust(p)
		p.Teams = []config.TeamQuota{{Name: "red", GuaranteedCPUs: 2000}, {Name: "blue", GuaranteedCPUs: 2000}}
	})}
	limits := r.cfg.Params.Store
	r.store.SetLimits(simulation.StoreLimits{WriteRate: limits.WriteRate, MaxValueKB: limits.MaxValueKB, MaxTxnOps: limits.MaxTxnOps, MaxWatchEvents: 500})
	return r
}

// run submits work for every machine. Then more than half of the controllers crash, the store has
// an outage, many machines fail at once, and a zone is partitioned if the fleet names one.
func (f *fleet) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	r := f.start(ctx)
	r.advance(5 * time.Second)
	r.submitInitialWork()
	r.crashMostMembers()
	r.failStoreAndMachines()
	if f.partitionedZone != "" {
		r.partitionZone(f.partitionedZone)
	}
	r.healAndFinish()
	r.check(t)
	cancel()
	r.shutdown()
}

// job returns the next job of a class: "batch", "urgent" or "live" (services).
func (r *fleetRun) job(class string, tasks int) *wire.Job {
	id := r.nextJobID()
	n, deadline := r.jobCount, wire.Seconds(120)
	j := &wire.Job{
		ID: id, Class: class, Team: []wire.TeamName{"red", "blue"}[n%2], Kind: wire.KindArray, Priority: wire.PriorityNormal,
		TaskCount: tasks, CPUs: r.fleet.cpus, MemoryGB: r.fleet.memoryGB, Image: fmt.Sprintf("img-%d", n%10), ImageGB: 1, AllowSpot: n/2%2 == 0,
		EstimatedRuntime: 40, Deadline: &deadline,
	}
	switch class {
	case "urgent":
		j.Priority, j.CPUs, j.MemoryGB, j.EstimatedRuntime = wire.PriorityHigh, 1, 1.5, 10
	case "live":
		j.Kind, j.Priority, j.SpreadZones, j.AllowSpot, j.CPUs, j.MemoryGB = wire.KindService, wire.PriorityProduction, true, false, 2, r.fleet.memoryGB/8
		j.EstimatedRuntime, j.Deadline = 0, nil
	}
	return j
}

// enqueue adds a job to those that advanceSubmitting submits until they are accepted.
func (r *fleetRun) enqueue(j *wire.Job) {
	r.invariants.Submitted(j, config.Seconds(float64(j.EstimatedRuntime)*1.1))
	r.pending = append(r.pending, j)
}

// advanceSubmitting lets time pass, and submits all pending jobs every second.
func (r *fleetRun) advanceSubmitting(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		pending := r.pending[:0]
		for _, j := range r.pending {
			if status := r.request(http.MethodPost, "/work", j.ID, j); status == http.StatusCreated || status == http.StatusOK {
				r.submitted = append(r.submitted, j)
			} else {
				pending = append(pending, j)
			}
		}
		r.pending = pending
		r.advance(time.Second)
		r.peakMachines = max(r.peakMachines, len(r.cloud.RunningMachines()))
	}
}

// submitInitialWork submits enough work to need every machine. Half of the batch work allows spot
// machines, and nothing else may use them: while tasks end and machines boot, enough of it must be
// waiting for all of them.
func (r *fleetRun) submitInitialWork() {
	f := r.fleet
	batchTasks := func(i int) int { return f.tasks/2 + i*f.tasks/f.arrays }
	for i := range f.services {
		r.enqueue(r.job("live", 2+2*(i*7%f.replicas)))
	}
	for i := range f.arrays {
		r.enqueue(r.job("batch", batchTasks(i)))
	}
	for range 8 {
		for i := range f.urgent / 4 {
			r.enqueue(r.job("urgent", 10+i))
		}
		for i := range f.arrays / 4 {
			r.enqueue(r.job("batch", batchTasks(i)))
		}
		r.advanceSubmitting(10 * time.Second)
	}
}

// crashMostMembers crashes more than half of the controllers, and restarts them after 500 ms. They
// are the first by name, so normally the scheduling one is among them: the first that doesn't lead.
func (r *fleetRun) crashMostMembers() {
	for _, member := range r.members[:len(r.members)/2+1] {
		r.crash(member)
	}
	r.advanceSubmitting(500 * time.Millisecond)
	r.restartAll()
	r.advanceSubmitting(10 * time.Second)
}

// failStoreAndMachines causes an outage of the store, after which one machine in twenty fails.
func (r *fleetRun) failStoreAndMachines() {
	r.store.SetOutage(true)
	r.advanceSubmitting(15 * time.Second)
	r.store.SetOutage(false)
	for i := range r.fleet.maxMachines() / 20 {
		r.cloud.FailMachine(i*13, i%2 == 0)
	}
	r.advanceSubmitting(30 * time.Second)
}

// partitionZone partitions a zone's machines for less than a lease, and restarts the leader in the
// meantime.
func (r *fleetRun) partitionZone(zone wire.Zone) {
	var partitioned []wire.MachineID
	for _, instance := range r.cloud.Running() {
		if instance.Zone == zone {
			partitioned = append(partitioned, instance.ID)
			r.network.Partition(string(instance.ID), "", true)
		}
	}
	r.advanceSubmitting(10 * time.Second)
	r.fastRestart(r.leader())
	r.advanceSubmitting(15 * time.Second)
	for _, machine := range partitioned {
		r.network.Heal(string(machine), "")
	}
	r.advanceSubmitting(10 * time.Second)
}

// check reports violations, work that was not served in time or not accepted, and runs in which
// fewer than nine tenths of the machines were up.
func (r *fleetRun) check(t *testing.T) {
	t.Helper()
	for _, violation := range r.violations() {
		t.Error(violation)
	}
	for _, group := range r.invariants.UnservedWork(4 * time.Minute) {
		t.Error("not served within four minutes: ", group)
	}
	if len(r.pending) > 0 {
		t.Errorf("%d jobs never accepted", len(r.pending))
	}
	if all := r.fleet.maxMachines(); r.peakMachines < all*9/10 {
		t.Errorf("%d machines of %d were ever up", r.peakMachines, all)
	}
}

// TestFleet runs the whole program with fleets of many machines: no invariant is violated, nothing
// beyond the store's limits is sent, and every class, every team and the largest jobs of every
// class are served.
func TestFleet(t *testing.T) {
	for name, f := range fleets {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, f.run)
		})
	}
}

// A controller has sockets left for users and peers when all machines send heartbeats to it alone
// and it has as many connections for commands as the budget allows. If it has fewer sockets than
// machines, connections are closed in turn: see TestMoreMachinesThanSockets.
func TestSocketsLastForAFleet(t *testing.T) {
	for name, f := range fleets {
		var p config.Params
		f.adjust(&p)
		sockets := newSocketBudget(p.Resources)
		if f.fewSockets {
			if sockets.inbound >= f.maxMachines() {
				t.Errorf("%s: %d sockets hold all machines", name, sockets.inbound)
			}
			continue
		}
		if left := p.Resources.FileDescriptorLimit - f.maxMachines() - sockets.idleWorkerConnections - sockets.inFlightCommands; left < 64 {
			t.Errorf("%s: %d sockets left", name, left)
		}
		if sockets.idleWorkerConnections < f.maxMachines()/2 {
			t.Errorf("%s: %d connections kept for %d machines", name, sockets.idleWorkerConnections, f.maxMachines())
		}
	}
}
