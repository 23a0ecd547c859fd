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

// allZones are the zones of zone clusters.
var allZones = []wire.Zone{"a", "b", "c"}

// zoneMachineTypes are machines in three zones.
var zoneMachineTypes = []wire.MachineType{
	{Name: "s", CPUs: 4, MemoryGB: 16, CacheGB: 20, ImageFetchGBps: 1, HourlyPrice: 1, HourlySpotPrice: 0.4, BootTime: 20, Zones: allZones},
}

// zoneClusterSpec is a cluster over three zones with a controller in each.
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

// zoneCluster is a cluster with services and a steady flow of arrays, whose history is
// checked.
type zoneCluster struct {
	*cluster
	orderChecker   *history.RecoveryOrderChecker
	services       []*wire.Job
	restored       map[wire.JobID]time.Duration // service: from the loss until all replicas ran again
	lostAt         time.Time
	elapsedSeconds int
	workload       zoneWorkload
	partitions     map[wire.Zone]*zonePartition // zones that are partitioned
}

// zonePartition is the partition of a zone: machines that come up in it are partitioned too.
type zonePartition struct {
	holdMessages bool
	machines     map[wire.MachineID]bool
}

// zoneWorkload is the work on a zoneCluster.
type zoneWorkload struct {
	pinnedReplicas int // replicas of a service in each zone that is allowed no other
	services       int // that spread over zones, of 2 to 4 replicas
	arrayTasks     int // tasks of an array, of which one comes every three seconds, at least
}

var smallZoneWorkload = zoneWorkload{pinnedReplicas: 8, services: 8, arrayTasks: 6}

// newZoneCluster starts a cluster with services in all zones, and more arrays than fit.
func newZoneCluster(ctx context.Context, seed uint64, recovery bool) *zoneCluster {
	return newLoadedZoneCluster(ctx, seed, zoneClusterOptions{spec: zoneClusterSpec(recovery), recovery: recovery, workload: smallZoneWorkload})
}

// zoneClusterOptions are those of a cluster over three zones.
type zoneClusterOptions struct {
	spec     clusterSpec
	recovery bool // zone recovery is on
	workload zoneWorkload
	adjust   func(*config.Params) // changes the settings; nil: none
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
	for _, zone := range allZones { // machines enough for the loss of a zone to be recognized
		c.submitService(c.workload.pinnedReplicas, func(j *wire.Job) { j.Zone, j.SpreadZones, j.CPUs = zone, false, 2 })
	}
	for i := range c.workload.services {
		c.submitService(2+i%3, func(j *wire.Job) { j.Priority = wire.Priority(1 + i%3) })
	}
	c.advanceWithArrays(75)
	return c
}

// observe has a function see every change of the store's records.
func observe(ctx context.Context, store *simulation.Store, network *simulation.Network, limits config.StoreLimits, apply func(statecache.Update)) {
	conn := &simulation.StoreConn{Store: store, Network: network, Member: "observer", Timeout: time.Second}
	observer := statecache.Start(ctx, conn, statecache.Options{
		ChunkTasks: statecache.ChunkTasks(limits.MaxValueKB), WatchHold: 5 * time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond,
	})
	observer.Subscribe(apply)
	observer.Run()
}

// submitService submits a service that spreads over zones.
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

// advanceWithArrays lets seconds pass, in which arrays arrive, and notes which services run all
// replicas.
func (c *zoneCluster) advanceWithArrays(seconds int) {
	for range seconds {
		c.elapsedSeconds++
		if c.elapsedSeconds%3 == 0 {
			tasks, runTime := c.workload.arrayTasks+c.elapsedSeconds%5, time.Duration(8+c.elapsedSeconds%9)*time.Second
			c.submitArray(c.nextJobID(), "blue", tasks, runTime, func(j *wire.Job) { j.Priority = wire.Priority(1 + c.elapsedSeconds%2) })
		}
		c.advance(time.Second)
		c.extendPartitions()
		c.recordRestored()
	}
}

// extendPartitions partitions machines that have come up in partitioned zones.
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

// recordRestored records when the replicas of each service all run again.
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

// machinesIn names the machines that run in a zone.
func (c *zoneCluster) machinesIn(zone wire.Zone) []wire.MachineID {
	var names []wire.MachineID
	for _, instance := range c.cloud.Running() {
		if instance.Zone == zone {
			names = append(names, instance.ID)
		}
	}
	return names
}

// membersIn names the controllers of a zone.
func (c *zoneCluster) membersIn(zone wire.Zone) []string {
	return slices.DeleteFunc(slices.Clone(c.members), func(member string) bool { return c.zoneOf(member) != zone })
}

// partitionZone partitions a zone's machines and controllers from everything else.
func (c *zoneCluster) partitionZone(zone wire.Zone, holdMessages bool) {
	c.markLost()
	c.partitions[zone] = &zonePartition{holdMessages, map[wire.MachineID]bool{}}
	c.extendPartitions()
	for _, member := range c.membersIn(zone) {
		c.network.Partition(member, "", holdMessages)
	}
}

// failZone stops a zone's machines for good, and crashes its controllers.
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

// healZone ends the partition or failure of a zone, but for one in so many of its machines that
// stays partitioned; 0: for none.
func (c *zoneCluster) healZone(zone wire.Zone, butOneIn int) {
	c.cloud.RestoreZone(zone)
	delete(c.partitions, zone)
	for i, machine := range c.machinesIn(zone) {
		if butOneIn == 0 || i%butOneIn != 0 {
			c.network.Heal(string(machine), "")
		}
	}
	for _, member := range c.membersIn(zone) {
		c.network.Heal(member, "")
	}
	c.restartAll()
}

// recordedPhase is the recorded recovery phase of a zone.
func (c *zoneCluster) recordedPhase(zone wire.Zone) string { return c.orderChecker.Phase(zone) }

// advanceUntil lets time pass until something holds, for no more than so many seconds.
func (c *zoneCluster) advanceUntil(seconds int, holds func() bool) bool {
	for range seconds {
		if holds() {
			return true
		}
		c.advanceWithArrays(1)
	}
	return holds()
}

// advanceIdleUntil lets time pass without new arrays until something holds, for no more than
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

// healAndCheck ends all faults, and lists everything that is not as it must be then.
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

// withZoneCluster runs a test of a small zone cluster on a clock of its own, and shuts it down.
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

// runZoneScenario runs a scenario on a cluster with zone recovery, heals it and checks what is left.
func runZoneScenario(t *testing.T, seed uint64, scenario func(t *testing.T, c *zoneCluster)) {
	t.Helper()
	withZoneCluster(t, seed, true, func(t *testing.T, c *zoneCluster) {
		scenario(t, c)
		for _, violation := range c.healAndCheck() {
			t.Errorf("seed %d: %s", seed, violation)
		}
	})
}
