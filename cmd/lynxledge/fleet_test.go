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

// fleet is a deployment of many machines, with its own settings.
type fleet struct {
	clusterSize
	tweak func(*config.Params)
	// jobs of the opening, and their sizes
	arrays, urgent, services int
	tasks, replicas          int
	cpus, mem                float64
	lostZone                 wire.Zone // its machines are cut off for a while; none if empty
	fewSockets               bool      // one controller's can't hold all machines
}

// machines is how many there are to rent.
func (f *fleet) machines() int {
	n := 0
	for _, t := range f.machineTypes {
		n += f.poolSizes[t.Name] * 2 * len(t.Zones)
	}
	return n
}

// threeSizes are the machine types of the fleets of three controllers.
var threeSizes = []wire.MachineType{
	{Name: "s", CPUs: 4, MemoryGB: 8, CacheGB: 35, ImageFetchGBps: 1, HourlyPrice: 0.15, HourlySpotPrice: 0.06, BootTime: 20, Zones: []wire.Zone{"a"}},
	{Name: "m", CPUs: 16, MemoryGB: 64, CacheGB: 25, ImageFetchGBps: 1, HourlyPrice: 0.67, HourlySpotPrice: 0.28, BootTime: 20, Zones: []wire.Zone{"a"}},
	{Name: "l", CPUs: 64, MemoryGB: 256, CacheGB: 40, ImageFetchGBps: 1, HourlyPrice: 2.59, HourlySpotPrice: 1.01, BootTime: 20, Zones: []wire.Zone{"a", "b"}},
}

// twoSizes are those of the fleets of seven.
var twoSizes = []wire.MachineType{
	{Name: "s", CPUs: 4, MemoryGB: 32, CacheGB: 35, ImageFetchGBps: 1, HourlyPrice: 0.19, HourlySpotPrice: 0.05, BootTime: 20, Zones: []wire.Zone{"a", "b"}},
	{Name: "b", CPUs: 16, MemoryGB: 128, CacheGB: 40, ImageFetchGBps: 1, HourlyPrice: 0.78, HourlySpotPrice: 0.2, BootTime: 20, Zones: []wire.Zone{"b", "c"}},
}

// Two shapes of a fleet: few controllers over a fast state service, and many over one
// that takes some 20 changes a second. Each with half as many machines again as the
// larger deployments have, and with 4,000: on small controllers then, those with few
// sockets among them.
var fleets = map[string]*fleet{
	"three controllers, 1360 machines": {
		clusterSize: clusterSize{
			members: 3, poolSizes: map[string]int{"s": 520, "m": 130, "l": 15},
			machineTypes: threeSizes,
		},
		tweak: func(p *config.Params) {
			p.Workers = config.WorkerTimings{HeartbeatInterval: 5 * time.Second, LeaseDuration: 34 * time.Second, CancellationDeadline: 64 * time.Second}
			p.Store = config.StoreLimits{RequestRate: 600, WriteRate: 180, MaxValueKB: 8, MaxTxnOps: 24}
			p.Resources = config.ControllerResources{CPUCores: 0.336, MemoryMB: 220, FileDescriptorLimit: 2783}
		},
		arrays: 50, urgent: 50, services: 330, tasks: 50, replicas: 12, cpus: 4, mem: 4,
	},
	"seven controllers, 2250 machines": {
		clusterSize: clusterSize{
			members: 7, poolSizes: map[string]int{"s": 452, "b": 111},
			machineTypes: twoSizes,
		},
		tweak: func(p *config.Params) {
			p.Workers = config.WorkerTimings{HeartbeatInterval: 8 * time.Second, LeaseDuration: 44 * time.Second, CancellationDeadline: 74 * time.Second}
			p.Store = config.StoreLimits{RequestRate: 180, WriteRate: 18, MaxValueKB: 4, MaxTxnOps: 8}
			p.Cloud = config.CloudLimits{RequestRate: 10, ListLag: 10 * time.Second}
			p.Resources = config.ControllerResources{CPUCores: 0.252, MemoryMB: 322, FileDescriptorLimit: 4233}
		},
		arrays: 30, urgent: 4, services: 260, tasks: 100, replicas: 12, cpus: 4, mem: 29,
	},
	"seven controllers, 4064 machines": {
		clusterSize: clusterSize{
			members: 7, poolSizes: map[string]int{"s": 820, "b": 196},
			machineTypes: twoSizes,
		},
		tweak: func(p *config.Params) {
			p.Workers = config.WorkerTimings{HeartbeatInterval: 8 * time.Second, LeaseDuration: 44 * time.Second, CancellationDeadline: 74 * time.Second}
			p.Store = config.StoreLimits{RequestRate: 200, WriteRate: 20, MaxValueKB: 4, MaxTxnOps: 8}
			p.Cloud = config.CloudLimits{RequestRate: 10, ListLag: 10 * time.Second}
			p.Resources = config.ControllerResources{CPUCores: 0.09, MemoryMB: 212, FileDescriptorLimit: 5000}
		},
		arrays: 44, urgent: 4, services: 390, tasks: 100, replicas: 12, cpus: 4, mem: 29, lostZone: "c", fewSockets: true,
	},
	"three controllers, 4056 machines, few sockets": {
		clusterSize: clusterSize{
			members: 3, poolSizes: map[string]int{"s": 1560, "m": 390, "l": 39},
			machineTypes: threeSizes,
		},
		tweak: func(p *config.Params) {
			p.Workers = config.WorkerTimings{HeartbeatInterval: 5 * time.Second, LeaseDuration: 34 * time.Second, CancellationDeadline: 64 * time.Second}
			p.Store = config.StoreLimits{RequestRate: 150, WriteRate: 50, MaxValueKB: 8, MaxTxnOps: 24}
			p.Resources = config.ControllerResources{CPUCores: 0.3, MemoryMB: 300, FileDescriptorLimit: 800}
		},
		arrays: 150, urgent: 50, services: 800, tasks: 50, replicas: 12, cpus: 4, mem: 4, lostZone: "b", fewSockets: true,
	},
}

// play runs a fleet through an opening that wants every machine, then through
// the loss of the controller that places, an outage of the state service, and
// the loss of many machines at once.
func (f *fleet) play(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	c := newCluster(ctx, 1, f.clusterSize, func(p *config.Params) {
		f.tweak(p)
		p.Teams = []config.TeamQuota{{Name: "red", GuaranteedCPUs: 2000}, {Name: "blue", GuaranteedCPUs: 2000}}
	})
	s := c.cfg.Params.Store
	c.store.SetLimits(simulation.StoreLimits{WriteRate: s.WriteRate, MaxValueKB: s.MaxValueKB, MaxTxnOps: s.MaxTxnOps, MaxWatchEvents: 500})
	c.advance(5 * time.Second)
	n := 0
	job := func(class string, tasks int) *wire.Job {
		n++
		due := wire.Seconds(120)
		j := &wire.Job{
			ID: wire.JobID(fmt.Sprintf("req-%06d", n)), Class: class, Team: []wire.TeamName{"red", "blue"}[n%2], Kind: wire.KindArray, Priority: wire.PriorityNormal,
			TaskCount: tasks, CPUs: f.cpus, MemoryGB: f.mem, Image: fmt.Sprintf("img-%d", n%10), ImageGB: 1, AllowSpot: n/2%2 == 0, EstimatedRuntime: 40, Deadline: &due,
		}
		switch class {
		case "urgent":
			j.Priority, j.CPUs, j.MemoryGB, j.EstimatedRuntime = wire.PriorityHigh, 1, 1.5, 10
		case "live":
			j.Kind, j.Priority, j.SpreadZones, j.AllowSpot, j.CPUs, j.MemoryGB = wire.KindService, wire.PriorityProduction, true, false, 2, f.mem/8
			j.EstimatedRuntime, j.Deadline = 0, nil
		}
		return j
	}
	var todo []*wire.Job // not accepted yet
	submit := func(j *wire.Job) {
		c.invariants.Submitted(j, config.Seconds(float64(j.EstimatedRuntime)*1.1))
		todo = append(todo, j)
	}
	most := 0
	step := func(d time.Duration) { // users come again with what was refused
		for end := time.Now().Add(d); time.Now().Before(end); {
			rest := todo[:0]
			for _, j := range todo {
				if s := c.request(http.MethodPost, "/work", j.ID, j); s == http.StatusCreated || s == http.StatusOK {
					c.submitted = append(c.submitted, j)
				} else {
					rest = append(rest, j)
				}
			}
			todo = rest
			c.advance(time.Second)
			most = max(most, len(c.cloud.RunningMachines()))
		}
	}
	for i := range f.services {
		submit(job("live", 2+2*(i*7%f.replicas)))
	}
	for i := range f.arrays {
		submit(job("batch", f.tasks/2+i*f.tasks/f.arrays))
	}
	for range 8 {
		for i := range f.urgent / 4 {
			submit(job("urgent", 10+i))
		}
		for i := range f.arrays / 4 {
			submit(job("batch", f.tasks/2+i*f.tasks/f.arrays))
		}
		step(10 * time.Second)
	}
	for _, name := range c.members[:len(c.members)/2+1] {
		c.crash(name)
	}
	step(500 * time.Millisecond)
	for _, name := range c.members {
		if c.running[name] == nil {
			c.start(name)
		}
	}
	step(10 * time.Second)
	c.store.SetOutage(true)
	step(15 * time.Second)
	c.store.SetOutage(false)
	for i := range f.machines() / 20 {
		c.cloud.FailMachine(i*13, i%2 == 0)
	}
	step(30 * time.Second)
	if f.lostZone != "" {
		f.loseZone(c, step)
	}
	c.healAndFinish()
	for _, fault := range c.violations() {
		t.Error(fault)
	}
	for _, u := range c.invariants.UnservedWork(4 * time.Minute) {
		t.Error("not served within four minutes: ", u)
	}
	if len(todo) > 0 {
		t.Errorf("%d jobs never accepted", len(todo))
	}
	if most < f.machines()*9/10 {
		t.Errorf("%d machines of %d were ever up", most, f.machines())
	}
	cancel()
	c.shutdown()
}

// loseZone cuts a zone's machines off for less than a lease, and ends the leader meanwhile.
func (f *fleet) loseZone(c *cluster, step func(time.Duration)) {
	var lost []wire.MachineID
	for _, h := range c.cloud.Running() {
		if h.Zone == f.lostZone {
			lost = append(lost, h.ID)
			c.network.Partition(string(h.ID), "", true)
		}
	}
	step(10 * time.Second)
	c.fastRestart(c.leader())
	step(15 * time.Second)
	for _, machine := range lost {
		c.network.Heal(string(machine), "")
	}
	step(10 * time.Second)
}

// TestFleet plays fleets of many machines against the whole program: no rule is
// broken, nothing beyond the state service's limits is sent, and every class,
// team and class's largest jobs are served.
func TestFleet(t *testing.T) {
	for name, f := range fleets {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, f.play)
		})
	}
}

// With every machine reporting to the one controller that is left, and commands
// to as many of them as may be, there are sockets left for users and peers. Where they
// can't hold all machines, connections are taken back in turn: TestMoreMachinesThanSockets.
func TestSocketsLastForAFleet(t *testing.T) {
	for name, f := range fleets {
		var p config.Params
		f.tweak(&p)
		sockets := newSocketBudget(p.Resources)
		if f.fewSockets {
			if sockets.inbound >= f.machines() {
				t.Errorf("%s: %d sockets hold all machines", name, sockets.inbound)
			}
			continue
		}
		if left := p.Resources.FileDescriptorLimit - f.machines() - sockets.idleCommands - sockets.busyCommands; left < 64 {
			t.Errorf("%s: %d sockets left", name, left)
		}
		if sockets.idleCommands < f.machines()/2 {
			t.Errorf("%s: %d connections kept for %d machines", name, sockets.idleCommands, f.machines())
		}
	}
}
