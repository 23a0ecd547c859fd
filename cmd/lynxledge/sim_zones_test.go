package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
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

// zoneMachineTypes are machines in three zones.
var zoneMachineTypes = []wire.MachineType{
	{Name: "s", CPUs: 4, MemoryGB: 16, CacheGB: 20, ImageFetchGBps: 1, HourlyPrice: 1, HourlySpotPrice: 0.4, BootTime: 20, Zones: []wire.Zone{"a", "b", "c"}},
}

// zoneClusterSize is a cluster over three zones with a controller in each.
func zoneClusterSize(recovery bool) clusterSize {
	s := clusterSize{members: 3, machineTypes: zoneMachineTypes, poolSize: 8, memberZones: []wire.Zone{"a", "b", "c"}}
	if recovery {
		s.operatorSettings = func(o *config.OperatorSettings) {
			section := config.DefaultZoneRecovery()
			o.ZoneRecovery = &section
		}
	}
	return s
}

// zoneCluster is a world with services and a steady flow of arrays, whose history is
// checked.
type zoneCluster struct {
	*cluster
	orderChecker   *history.RecoveryOrderChecker
	services       []*wire.Job
	restored       map[wire.JobID]time.Duration // service: from the loss until it was whole again
	lostAt         time.Time
	elapsedSeconds int
	workload       zoneWorkload
	partitions     map[wire.Zone]*zonePartition // zones that are cut off
}

// zonePartition is a cut of a zone: machines that come up in it are cut off too.
type zonePartition struct {
	holdMessages bool
	machines     map[wire.MachineID]bool
}

// zoneWorkload is the work on a zoneWorld.
type zoneWorkload struct {
	pinnedReplicas int // replicas of a service in each zone that is allowed no other
	services       int // that spread over zones, of 2 to 4 replicas
	arrayTasks     int // tasks of an array, of which one comes every three seconds, at least
}

var smallZoneWorkload = zoneWorkload{pinnedReplicas: 8, services: 8, arrayTasks: 6}

// newZoneCluster begins with services in all zones, and more arrays than fit.
func newZoneCluster(ctx context.Context, seed uint64, recovery bool) *zoneCluster {
	return newLoadedZoneCluster(ctx, seed, recovery, zoneClusterSize(recovery), smallZoneWorkload, nil)
}

func newLoadedZoneCluster(ctx context.Context, seed uint64, recovery bool, size clusterSize, load zoneWorkload, tweak func(*config.Params)) *zoneCluster {
	c := &zoneCluster{workload: load, cluster: newCluster(ctx, seed, size, func(p *config.Params) {
		p.Teams = []config.TeamQuota{{Name: "red"}, {Name: "blue"}}
		p.Zones = []wire.Zone{"a", "b", "c"}
		if tweak != nil {
			tweak(p)
		}
	})}
	c.restored = map[wire.JobID]time.Duration{}
	c.partitions = map[wire.Zone]*zonePartition{}
	c.orderChecker = history.NewRecoveryOrderChecker(c.cfg.Params, zoneMachineTypes, c.store.FirstSentAt, !recovery)
	observer := statecache.Start(ctx, &simulation.StoreConn{Store: c.store, Network: c.network, Member: "observer", Timeout: time.Second}, statecache.Options{
		ChunkTasks: statecache.ChunkTasks(c.cfg.Params.Store.MaxValueKB), WatchHold: 5 * time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond,
	})
	observer.Subscribe(c.orderChecker.Apply)
	observer.Run()
	c.advanceWithArrays(5)
	for _, zone := range []wire.Zone{"a", "b", "c"} { // fills machines enough for a verdict
		c.submitService(load.pinnedReplicas, func(j *wire.Job) { j.Zone, j.SpreadZones, j.CPUs = zone, false, 2 })
	}
	for i := range load.services {
		c.submitService(2+i%3, func(j *wire.Job) { j.Priority = wire.Priority(1 + i%3) })
	}
	c.advanceWithArrays(75)
	return c
}

// submitService submits a service that spreads over zones.
func (c *zoneCluster) submitService(replicas int, change func(*wire.Job)) *wire.Job {
	c.jobCount++
	j := &wire.Job{
		ID: wire.JobID(fmt.Sprintf("req-%06d", c.jobCount)), Class: "live", Team: "red", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: replicas,
		CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, SpreadZones: true,
	}
	change(j)
	c.invariants.Submitted(j, 0)
	c.submitted = append(c.submitted, j)
	c.services = append(c.services, j)
	c.request(http.MethodPost, "/work", j.ID, j)
	return j
}

// advanceWithArrays lets seconds pass, in which arrays arrive, and notes which services are whole.
func (c *zoneCluster) advanceWithArrays(seconds int) {
	for range seconds {
		c.elapsedSeconds++
		if c.elapsedSeconds%3 == 0 {
			c.jobCount++
			c.submitArray(wire.JobID(fmt.Sprintf("req-%06d", c.jobCount)), "blue", c.workload.arrayTasks+c.elapsedSeconds%5, time.Duration(8+c.elapsedSeconds%9)*time.Second, func(j *wire.Job) {
				j.Priority = wire.Priority(1 + c.elapsedSeconds%2)
			})
		}
		c.advance(time.Second)
		c.extendPartitions()
		c.recordRestored()
	}
}

// extendPartitions cuts off what has come up in zones that are.
func (c *zoneCluster) extendPartitions() {
	for zone, cut := range c.partitions {
		for _, m := range c.machinesIn(zone) {
			if !cut.machines[m] {
				cut.machines[m] = true
				c.network.Partition(string(m), "", cut.holdMessages)
			}
		}
	}
}

func (c *zoneCluster) allReplicasRun(j *wire.Job) bool {
	return c.invariants.RunningTasks(j.ID) == j.TaskCount
}

func (c *zoneCluster) recordRestored() {
	for _, j := range c.services {
		_, noted := c.restored[j.ID]
		switch whole := c.allReplicasRun(j); {
		case c.lostAt.IsZero():
		case whole && !noted:
			c.restored[j.ID] = time.Since(c.lostAt)
		case !whole && noted:
			delete(c.restored, j.ID)
		}
	}
}

// machinesIn names the machines that run in a zone.
func (c *zoneCluster) machinesIn(zone wire.Zone) []wire.MachineID {
	var names []wire.MachineID
	for _, h := range c.cloud.Running() {
		if h.Zone == zone {
			names = append(names, h.ID)
		}
	}
	return names
}

// partitionZone cuts a zone's machines off, and its controllers with them.
func (c *zoneCluster) partitionZone(zone wire.Zone, hold bool) {
	c.markLost()
	c.partitions[zone] = &zonePartition{hold, map[wire.MachineID]bool{}}
	c.extendPartitions()
	for _, n := range c.members {
		if c.zoneOf(n) == zone {
			c.network.Partition(n, "", hold)
		}
	}
}

// failZone stops a zone's machines for good, and its controllers.
func (c *zoneCluster) failZone(zone wire.Zone) {
	c.markLost()
	c.cloud.FailZone(zone)
	for _, n := range c.members {
		if c.zoneOf(n) == zone {
			c.crash(n)
		}
	}
}

func (c *zoneCluster) markLost() {
	if c.lostAt.IsZero() {
		c.lostAt = time.Now()
	}
}

// healZone ends the cut of all but some of a zone's machines.
func (c *zoneCluster) healZone(zone wire.Zone, butOneIn int) {
	c.cloud.RestoreZone(zone)
	delete(c.partitions, zone)
	for i, m := range c.machinesIn(zone) {
		if butOneIn == 0 || i%butOneIn != 0 {
			c.network.Heal(string(m), "")
		}
	}
	for _, n := range c.members {
		if c.zoneOf(n) == zone {
			c.network.Heal(n, "")
		}
	}
	c.restartAll()
}

// recordedPhase is the phase that stands in the record.
func (c *zoneCluster) recordedPhase(zone wire.Zone) string { return c.orderChecker.Phase(zone) }

// advanceUntil lets time pass until something holds, but for no more than some seconds.
func (c *zoneCluster) advanceUntil(most int, holds func() bool) bool {
	for range most {
		if holds() {
			return true
		}
		c.advanceWithArrays(1)
	}
	return holds()
}

// advanceIdleUntil lets time pass without new arrays until something holds, but for no more than
// three minutes.
func (c *zoneCluster) advanceIdleUntil(holds func() bool) bool {
	for range 180 {
		if holds() {
			return true
		}
		c.advance(time.Second)
		c.recordRestored()
	}
	return holds()
}

// healAndCheck ends all troubles, and lists everything that is not as it should be.
func (c *zoneCluster) healAndCheck() []string {
	clear(c.partitions)
	for _, zone := range []wire.Zone{"a", "b", "c"} {
		c.cloud.RestoreZone(zone)
	}
	c.healAndFinish()
	faults := append(c.violations(), c.orderChecker.Violations()...)
	for _, j := range c.services {
		if !c.advanceIdleUntil(func() bool { return c.allReplicasRun(j) }) {
			faults = append(faults, fmt.Sprintf("%s has %d of %d replicas\n%s", j.ID, c.invariants.RunningTasks(j.ID), j.TaskCount, c.statusPage()))
		}
	}
	for _, zone := range []wire.Zone{"a", "b", "c"} {
		recovering := func() bool { p := c.recordedPhase(zone); return p == "lost" || p == "returning" }
		if !c.advanceIdleUntil(func() bool { return !recovering() }) {
			faults = append(faults, fmt.Sprintf("zone %s is still %s\n%s", zone, c.recordedPhase(zone), c.statusPage()))
		}
	}
	return faults
}

// statusPage is what the leader's status page says, as the command prints it.
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

// runZoneScenario plays a scenario on a cluster with zone recovery, and has it end well.
func runZoneScenario(t *testing.T, seed uint64, scenario func(t *testing.T, c *zoneCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newZoneCluster(ctx, seed, true)
		scenario(t, c)
		for _, fault := range c.healAndCheck() {
			t.Errorf("seed %d: %s", seed, fault)
		}
		cancel()
		c.shutdown()
	})
}
