package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/simulation"
	"lynxledge/internal/simulation/history"
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonecontrol"
	"lynxledge/wire"
)

// allZones are the zones of a zoneCluster.
var allZones = []wire.Zone{"a", "b", "c"}

// zoneMachineTypes are the machine types of a zoneCluster: one that all zones have.
var zoneMachineTypes = []wire.MachineType{
	{Name: "s", CPUs: 4, MemoryGB: 16, CacheGB: 20, ImageFetchGBps: 1, HourlyPrice: 1, HourlySpotPrice: 0.4, BootTime: 20, Zones: allZones},
}

// zoneClusterSpec describes a cluster over three zones with a controller in each.
func zoneClusterSpec(recovery bool) clusterSpec {
	s := clusterSpec{members: 3, machineTypes: zoneMachineTypes, poolSize: 8, memberZones: allZones}
	if recovery {
		s.operatorSettings = func(o *config.OperatorSettings) {
			section := config.DefaultZoneRecovery()
			o.ZoneRecovery = &section
		}
	}
	return s
}

// zoneCluster is a cluster over three zones with services and a steady flow of arrays. Its records
// are checked for arrays that are placed ahead of services which have waited longer.
type zoneCluster struct {
	*cluster
	orderChecker   *history.RecoveryOrderChecker
	services       []*wire.Job
	restored       map[wire.JobID]time.Duration // by service: from the first loss until all replicas ran again
	lostAt         time.Time
	elapsedSeconds int
	workload       zoneWorkload
	partitions     map[wire.Zone]*zonePartition // of the zones that are partitioned now
}

// zonePartition is the partition of a zone, which includes machines that come up later.
type zonePartition struct {
	holdMessages bool
	machines     map[wire.MachineID]bool // already partitioned
}

// zoneWorkload is the work submitted to a zoneCluster.
type zoneWorkload struct {
	pinnedReplicas int // of the service in each zone that may run in that zone only
	services       int // number of services of 2 to 4 replicas that spread over zones
	arrayTasks     int // least tasks of an array; one arrives every three seconds
}

var smallZoneWorkload = zoneWorkload{pinnedReplicas: 8, services: 8, arrayTasks: 6}

// newZoneCluster starts a cluster with services in all zones and more arrays than fit.
func newZoneCluster(ctx context.Context, seed uint64, recovery bool) *zoneCluster {
	return newLoadedZoneCluster(ctx, seed, zoneClusterOptions{spec: zoneClusterSpec(recovery), recovery: recovery, workload: smallZoneWorkload})
}

// zoneClusterOptions are the options of a zoneCluster.
type zoneClusterOptions struct {
	spec     clusterSpec
	recovery bool // zone recovery is on
	workload zoneWorkload
	adjust   func(*config.Params) // changes the settings, if not nil
}

func newLoadedZoneCluster(ctx context.Context, seed uint64, options zoneClusterOptions) *zoneCluster {
	c := &zoneCluster{
		workload:   options.workload,
		restored:   map[wire.JobID]time.Duration{},
		partitions: map[wire.Zone]*zonePartition{},
		cluster: newCluster(ctx, seed, options.spec, func(p *config.Params) {
			p.Teams = []config.TeamQuota{{Name: "red"}, {Name: "blue"}}
			p.Zones = slices.Clone(allZones)
			if options.adjust != nil {
				options.adjust(p)
			}
		}),
	}
	c.orderChecker = history.NewRecoveryOrderChecker(c.cfg.Params, zoneMachineTypes, c.store.FirstSentAt, !options.recovery)
	observe(ctx, c.store, c.network, c.cfg.Params.Store, c.orderChecker.Apply)
	c.advanceWithArrays(5)
	for _, zone := range allZones { // enough machines for the loss of a zone to be detected
		c.submitService(c.workload.pinnedReplicas, func(j *wire.Job) { j.Zone, j.SpreadZones, j.CPUs = zone, false, 2 })
	}
	for i := range c.workload.services {
		c.submitService(2+i%3, func(j *wire.Job) { j.Priority = wire.Priority(1 + i%3) })
	}
	c.advanceWithArrays(75)
	return c
}

// observe calls apply with every change of the store's records.
func observe(ctx context.Context, store *simulation.Store, network *simulation.Network, limits config.StoreLimits, apply func(statecache.Update)) {
	conn := &simulation.StoreConn{Store: store, Network: network, Member: "observer", Timeout: time.Second}
	observer := statecache.Start(ctx, conn, statecache.Options{
		ChunkTasks: statecache.ChunkTasks(limits.MaxValueKB), WatchHold: 5 * time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond,
	})
	observer.Subscribe(apply)
	observer.Run()
}

// submitService submits a service that spreads over zones, unless change adjusts it.
func (c *zoneCluster) submitService(replicas int, change func(*wire.Job)) *wire.Job {
	j := &wire.Job{
		ID: c.nextJobID(), Class: "live", Team: "red", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: replicas,
		CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, SpreadZones: true,
	}
	change(j)
	c.services = append(c.services, j)
	c.submit(j, 0)
	return j
}

// advanceWithArrays lets seconds pass while arrays arrive, and records which services run all
// replicas.
func (c *zoneCluster) advanceWithArrays(seconds int) {
	for range seconds {
		c.elapsedSeconds++
		if c.elapsedSeconds%3 == 0 {
			tasks, runtime := c.workload.arrayTasks+c.elapsedSeconds%5, time.Duration(8+c.elapsedSeconds%9)*time.Second
			c.submitArray(c.nextJobID(), "blue", tasks, runtime, func(j *wire.Job) { j.Priority = wire.Priority(1 + c.elapsedSeconds%2) })
		}
		c.advance(time.Second)
		c.extendPartitions()
		c.recordRestored()
	}
}

// extendPartitions partitions machines that came up in zones that are partitioned.
func (c *zoneCluster) extendPartitions() {
	for zone, partition := range c.partitions {
		for _, machine := range c.machinesIn(zone) {
			if !partition.machines[machine] {
				partition.machines[machine] = true
				c.network.Partition(string(machine), "", partition.holdMessages)
			}
		}
	}
}

func (c *zoneCluster) allReplicasRun(j *wire.Job) bool {
	return c.invariants.RunningTasks(j.ID) == j.TaskCount
}

// recordRestored records when each service runs all replicas again after a loss, and drops the
// record of one that lacks replicas again.
func (c *zoneCluster) recordRestored() {
	for _, j := range c.services {
		_, recorded := c.restored[j.ID]
		switch allRun := c.allReplicasRun(j); {
		case c.lostAt.IsZero():
		case allRun && !recorded:
			c.restored[j.ID] = time.Since(c.lostAt)
		case !allRun && recorded:
			delete(c.restored, j.ID)
		}
	}
}

// machinesIn lists the machines that run in a zone.
func (c *zoneCluster) machinesIn(zone wire.Zone) []wire.MachineID {
	var names []wire.MachineID
	for _, instance := range c.cloud.Running() {
		if instance.Zone == zone {
			names = append(names, instance.ID)
		}
	}
	return names
}

// membersIn lists the controllers of a zone.
func (c *zoneCluster) membersIn(zone wire.Zone) []string {
	return slices.DeleteFunc(slices.Clone(c.members), func(member string) bool { return c.zoneOf(member) != zone })
}

// partitionZone partitions every machine and controller of a zone from all other hosts.
func (c *zoneCluster) partitionZone(zone wire.Zone, holdMessages bool) {
	c.markLost()
	c.partitions[zone] = &zonePartition{holdMessages, map[wire.MachineID]bool{}}
	c.extendPartitions()
	for _, member := range c.membersIn(zone) {
		c.network.Partition(member, "", holdMessages)
	}
}

// failZone stops a zone's machines for good and crashes its controllers.
func (c *zoneCluster) failZone(zone wire.Zone) {
	c.markLost()
	c.cloud.FailZone(zone)
	for _, member := range c.membersIn(zone) {
		c.crash(member)
	}
}

func (c *zoneCluster) markLost() {
	if c.lostAt.IsZero() {
		c.lostAt = time.Now()
	}
}

// healZone ends the partition or failure of a zone. If exceptOneIn is n > 0, one in n machines
// stays partitioned.
func (c *zoneCluster) healZone(zone wire.Zone, exceptOneIn int) {
	c.cloud.RestoreZone(zone)
	delete(c.partitions, zone)
	for i, machine := range c.machinesIn(zone) {
		if exceptOneIn == 0 || i%exceptOneIn != 0 {
			c.network.Heal(string(machine), "")
		}
	}
	for _, member := range c.membersIn(zone) {
		c.network.Heal(member, "")
	}
	c.restartAll()
}

// recordedPhase returns a zone's recovery phase as recorded in the store.
func (c *zoneCluster) recordedPhase(zone wire.Zone) string { return c.orderChecker.Phase(zone) }

// advanceUntil lets time pass until a condition holds, up to the given number of seconds, and
// reports whether it holds.
func (c *zoneCluster) advanceUntil(seconds int, condition func() bool) bool {
	for range seconds {
		if condition() {
			return true
		}
		c.advanceWithArrays(1)
	}
	return condition()
}

// advanceIdleUntil lets up to three minutes pass without new arrays until a condition holds, and
// reports whether it does.
func (c *zoneCluster) advanceIdleUntil(condition func() bool) bool {
	for range 180 {
		if condition() {
			return true
		}
		c.advance(time.Second)
		c.recordRestored()
	}
	return condition()
}

// healAndCheck ends all faults, waits for recovery, and lists what is wrong then: violations of
// invariants and of the placement order, services that lack replicas, and zones that are still lost
// or returning.
func (c *zoneCluster) healAndCheck() []string {
	clear(c.partitions)
	for _, zone := range allZones {
		c.cloud.RestoreZone(zone)
	}
	c.healAndFinish()
	violations := append(c.violations(), c.orderChecker.Violations()...)
	for _, j := range c.services {
		if !c.advanceIdleUntil(func() bool { return c.allReplicasRun(j) }) {
			violations = append(violations, fmt.Sprintf("%s has %d of %d replicas\n%s", j.ID, c.invariants.RunningTasks(j.ID), j.TaskCount, c.statusPage()))
		}
	}
	for _, zone := range allZones {
		recovered := func() bool { phase := c.recordedPhase(zone); return phase != "lost" && phase != "returning" }
		if !c.advanceIdleUntil(recovered) {
			violations = append(violations, fmt.Sprintf("zone %s is still %s\n%s", zone, c.recordedPhase(zone), c.statusPage()))
		}
	}
	return violations
}

// statusPage returns the leader's status page as the zones command prints it.
func (c *zoneCluster) statusPage() string {
	code, body := serveRequest(c.peerHandlers[c.leader()], http.MethodGet, zonecontrol.StatusPath, nil)
	status := &zonecontrol.Status{}
	if code != http.StatusOK || json.Unmarshal(body, status) != nil {
		return fmt.Sprintf("no status: %d %s", code, body)
	}
	var page strings.Builder
	if err := printZones(&page, status, time.Now()); err != nil {
		return err.Error()
	}
	return page.String()
}

// withZoneCluster runs a test of a small zoneCluster in simulated time, and shuts it down.
func withZoneCluster(t *testing.T, seed uint64, recovery bool, test func(t *testing.T, c *zoneCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newZoneCluster(ctx, seed, recovery)
		test(t, c)
		cancel()
		c.shutdown()
	})
}

// runZoneScenario runs a scenario on a cluster with zone recovery, then heals and checks it.
func runZoneScenario(t *testing.T, seed uint64, scenario func(t *testing.T, c *zoneCluster)) {
	t.Helper()
	withZoneCluster(t, seed, true, func(t *testing.T, c *zoneCluster) {
		scenario(t, c)
		for _, violation := range c.healAndCheck() {
			t.Errorf("seed %d: %s", seed, violation)
		}
	})
}
