//go:build measure

package main

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

// zoneMeasurement holds the figures of one or more simulated losses of a zone.
type zoneMeasurement struct {
	spread, pinned restoreTimes // of services that may run in other zones, and that may not
	tasksStarted   int
	cost           float64 // of the machines: machine hours times hourly price
	cpuTime        time.Duration
	allocated      uint64 // bytes
	violations     []string
	machinesLost   int
}

// restoreTimes holds the times after which services that lost replicas had all of them again.
type restoreTimes struct {
	restored           []time.Duration // time from the loss, of each restored service
	unrestored         int             // number of services that were not restored
	replicaSecondsLost float64         // sum over seconds of the replicas that did not run
}

func (r *restoreTimes) add(o *restoreTimes) {
	r.restored = append(r.restored, o.restored...)
	r.unrestored += o.unrestored
	r.replicaSecondsLost += o.replicaSecondsLost
}

func (r *restoreTimes) String() string {
	slices.Sort(r.restored)
	median, last := time.Duration(0), time.Duration(0)
	if n := len(r.restored); n > 0 {
		median, last = r.restored[n/2], r.restored[n-1]
	}
	return fmt.Sprintf("%d degraded, restored after %.0f s (median), %.0f s (last), %d never, %.0f replica seconds lost",
		len(r.restored)+r.unrestored, median.Seconds(), last.Seconds(), r.unrestored, r.replicaSecondsLost)
}

// add adds the figures of another measurement.
func (m *zoneMeasurement) add(o *zoneMeasurement) {
	m.spread.add(&o.spread)
	m.pinned.add(&o.pinned)
	m.tasksStarted += o.tasksStarted
	m.cost += o.cost
	m.cpuTime += o.cpuTime
	m.allocated += o.allocated
	m.violations = append(m.violations, o.violations...)
	m.machinesLost += o.machinesLost
}

func (m *zoneMeasurement) String() string {
	return fmt.Sprintf("%d machines lost; spread services: %v; pinned: %v; %d tasks started, price %.2f; %.1f s of CPU time, %d MB allocated; %d violations",
		m.machinesLost, &m.spread, &m.pinned, m.tasksStarted, m.cost, m.cpuTime.Seconds(), m.allocated>>20, len(m.violations))
}

// zoneFleet is a fleet over three zones, its work, and the number of seeds to run.
type zoneFleet struct {
	machines int
	workload zoneWorkload
	adjust   func(*config.Params) // changes the settings, if not nil
	seeds    uint64
}

// zoneFleets are the fleets that are measured.
var zoneFleets = []zoneFleet{
	{48, smallZoneWorkload, nil, 8},
	{400, zoneWorkload{pinnedReplicas: 60, services: 90, arrayTasks: 110}, fastStore, 3},
	{1400, zoneWorkload{pinnedReplicas: 200, services: 300, arrayTasks: 380}, fastStore, 1},
	{4000, zoneWorkload{pinnedReplicas: 560, services: 900, arrayTasks: 1100}, fastStore, 1},
}

func fastStore(p *config.Params) {
	p.Store = config.StoreLimits{RequestRate: 600, WriteRate: 180, MaxValueKB: 8, MaxTxnOps: 24}
	p.Cloud = config.CloudLimits{RequestRate: 10, ListLag: 10 * time.Second}
	p.Resources = config.ControllerResources{CPUs: 0.34, MemoryMB: 220, FileDescriptorLimit: 9000}
}

// zoneLoss describes one measured loss of a zone.
type zoneLoss struct {
	zoneFleet
	recovery bool // zone recovery is on
	fail     bool // the zone fails; otherwise it is partitioned
	seed     uint64
}

// measure measures four minutes from the loss of a zone, which is healed after about one.
func (l *zoneLoss) measure(t *testing.T) *zoneMeasurement {
	t.Helper()
	m := &zoneMeasurement{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		spec := zoneClusterSpec(l.recovery)
		spec.poolSize = l.machines / 6
		c := newLoadedZoneCluster(ctx, l.seed, zoneClusterOptions{spec: spec, recovery: l.recovery, workload: l.workload, adjust: l.adjust})
		c.setStoreLimits()
		c.advanceWithArrays(60)
		m.machinesLost = len(c.machinesIn("a"))
		startedBefore := c.invariants.StartedTasks()
		m.measureResources(func() { l.loseAndHeal(c, m) })
		m.tasksStarted = c.invariants.StartedTasks() - startedBefore
		m.violations = c.invariants.Violations()
		if l.recovery {
			m.violations = append(m.violations, c.orderChecker.Violations()...)
		}
		cancel()
		c.shutdown()
	})
	return m
}

// measureResources records the CPU time that the process uses and the memory that it allocates
// while f runs.
func (m *zoneMeasurement) measureResources(f func()) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpuTimeBefore := processCPUTime()
	f()
	m.cpuTime = processCPUTime() - cpuTimeBefore
	runtime.ReadMemStats(&after)
	m.allocated = after.TotalAlloc - before.TotalAlloc
}

// loseAndHeal makes a zone fail or be partitioned, heals it, and records lost replicas and cost in
// the meantime.
func (l *zoneLoss) loseAndHeal(c *zoneCluster, m *zoneMeasurement) {
	if l.fail {
		c.failZone("a")
	} else {
		c.partitionZone("a", false)
	}
	degraded := map[wire.JobID]bool{}
	healAfter := 48 + 4*int(l.seed) // by seed: otherwise all runs would heal at the same point of a retry interval
	for second := range 240 {
		if second == healAfter {
			c.healZone("a", 0)
		}
		c.advanceWithArrays(1)
		for _, j := range c.services {
			if missing := j.TaskCount - c.invariants.RunningTasks(j.ID); missing > 0 {
				degraded[j.ID] = true
				m.timesFor(j).replicaSecondsLost += float64(missing)
			}
		}
		m.addCost(c.cloud.Running())
	}
	for _, j := range c.services {
		if !degraded[j.ID] {
			continue
		}
		if duration, restored := c.restored[j.ID]; restored {
			m.timesFor(j).restored = append(m.timesFor(j).restored, duration)
		} else {
			m.timesFor(j).unrestored++
		}
	}
}

// addCost adds the cost of running machines for a second.
func (m *zoneMeasurement) addCost(running []wire.Instance) {
	for _, instance := range running {
		price := zoneMachineTypes[0].HourlyPrice
		if instance.Spot {
			price = zoneMachineTypes[0].HourlySpotPrice
		}
		m.cost += price / 3600
	}
}

// timesFor returns the restore times of services of the same kind, spread or pinned.
func (m *zoneMeasurement) timesFor(j *wire.Job) *restoreTimes {
	if j.SpreadZones {
		return &m.spread
	}
	return &m.pinned
}

// processCPUTime returns the user and system CPU time that this process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestMeasureZoneLoss prints what the loss and return of a zone cost with and without zone
// recovery, with the same workloads and seeds. Run with: go test -tags measure -run
// TestMeasureZoneLoss -v -timeout 60m ./cmd/lynxledge
func TestMeasureZoneLoss(t *testing.T) {
	for _, fleet := range zoneFleets {
		for _, fail := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d machines, failed %v", fleet.machines, fail), func(t *testing.T) {
				sums := map[bool]*zoneMeasurement{false: {}, true: {}}
				for seed := range fleet.seeds {
					for recovery, sum := range sums {
						loss := &zoneLoss{zoneFleet: fleet, recovery: recovery, fail: fail, seed: seed}
						sum.add(loss.measure(t))
					}
				}
				for recovery, sum := range sums {
					t.Logf("%d runs, zone recovery %v: %v", fleet.seeds, recovery, sum)
					for _, violation := range sum.violations[:min(3, len(sum.violations))] {
						t.Error(violation)
					}
				}
			})
		}
	}
}
