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

// zoneMeasurement is what one played loss of a zone gives.
type zoneMeasurement struct {
	spread, pinned wholeTimes // of services that may be elsewhere, and that may not
	arraysBegun    int        // tasks
	price          float64    // of the machines, in machine hours at their prices
	processor      time.Duration
	allocated      uint64 // bytes
	faults         []string
	machinesLost   int
}

// wholeTimes is when services that lost replicas were whole again.
type wholeTimes struct {
	after       []time.Duration
	never       int
	replicaLost float64 // replica seconds that were missing
}

func (t *wholeTimes) add(o *wholeTimes) {
	t.after = append(t.after, o.after...)
	t.never += o.never
	t.replicaLost += o.replicaLost
}

func (t *wholeTimes) String() string {
	slices.Sort(t.after)
	median, last := time.Duration(0), time.Duration(0)
	if n := len(t.after); n > 0 {
		median, last = t.after[n/2], t.after[n-1]
	}
	return fmt.Sprintf("%d hit, whole after %.0f s (median), %.0f s (last), %d never, %.0f replica seconds lost",
		len(t.after)+t.never, median.Seconds(), last.Seconds(), t.never, t.replicaLost)
}

// add takes the figures of another day in.
func (m *zoneMeasurement) add(o *zoneMeasurement) {
	m.spread.add(&o.spread)
	m.pinned.add(&o.pinned)
	m.arraysBegun += o.arraysBegun
	m.price += o.price
	m.processor += o.processor
	m.allocated += o.allocated
	m.faults = append(m.faults, o.faults...)
	m.machinesLost += o.machinesLost
}

func (m *zoneMeasurement) String() string {
	return fmt.Sprintf("%d machines lost; spread services: %v; pinned: %v; %d array tasks, price %.2f; %.1f s of processor, %d MB allocated; %d faults",
		m.machinesLost, &m.spread, &m.pinned, m.arraysBegun, m.price, m.processor.Seconds(), m.allocated>>20, len(m.faults))
}

// zoneSizes are the fleets measured: machines of a pool, and the work on them.
var zoneSizes = []struct {
	machines int
	load     zoneWorkload
	tweak    func(*config.Params)
	seeds    uint64
}{
	{48, smallZoneWorkload, nil, 8},
	{400, zoneWorkload{pinnedReplicas: 60, services: 90, arrayTasks: 110}, fastState, 3},
	{1400, zoneWorkload{pinnedReplicas: 200, services: 300, arrayTasks: 380}, fastState, 1},
	{4000, zoneWorkload{pinnedReplicas: 560, services: 900, arrayTasks: 1100}, fastState, 1},
}

func fastState(p *config.Params) {
	p.Store = config.StoreLimits{RequestRate: 600, WriteRate: 180, MaxValueKB: 8, MaxTxnOps: 24}
	p.Cloud = config.CloudLimits{RequestRate: 10, ListLag: 10 * time.Second}
	p.Resources = config.ControllerResources{CPUCores: 0.34, MemoryMB: 220, FileDescriptorLimit: 9000}
}

// measureLoss loses a zone and has it return about a minute later, and watches for four.
func measureLoss(t *testing.T, machines int, load zoneWorkload, tweak func(*config.Params), recovery, kill bool, seed uint64) *zoneMeasurement {
	m := &zoneMeasurement{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		size := zoneClusterSize(recovery)
		size.poolSize = machines / 6
		c := newLoadedZoneCluster(ctx, seed, zoneClusterOptions{size: size, recovery: recovery, workload: load, adjust: tweak})
		c.setStoreLimits()
		c.advanceWithArrays(60)
		m.machinesLost = len(c.machinesIn("a"))
		begun := c.invariants.StartedTasks()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		processor := processorTime()
		if kill {
			c.failZone("a")
		} else {
			c.partitionZone("a", false)
		}
		hit := map[wire.JobID]bool{}
		back := 48 + 4*int(seed) // or all days would return at the same moment of a retry
		for second := range 240 {
			if second == back {
				c.healZone("a", 0)
			}
			c.advanceWithArrays(1)
			for _, j := range c.services {
				if missing := j.TaskCount - c.invariants.RunningTasks(j.ID); missing > 0 {
					hit[j.ID] = true
					m.of(j).replicaLost += float64(missing)
				}
			}
			for _, h := range c.cloud.Running() {
				price := zoneMachineTypes[0].HourlyPrice
				if h.Spot {
					price = zoneMachineTypes[0].HourlySpotPrice
				}
				m.price += price / 3600
			}
		}
		m.processor = processorTime() - processor
		runtime.ReadMemStats(&after)
		m.allocated = after.TotalAlloc - before.TotalAlloc
		for _, j := range c.services {
			if !hit[j.ID] {
				continue
			}
			if d, whole := c.restored[j.ID]; whole {
				m.of(j).after = append(m.of(j).after, d)
			} else {
				m.of(j).never++
			}
		}
		m.arraysBegun = c.invariants.StartedTasks() - begun
		m.faults = c.invariants.Violations()
		if recovery {
			m.faults = append(m.faults, c.orderChecker.Violations()...)
		}
		cancel()
		c.shutdown()
	})
	return m
}

// of is the figures of a service's kind.
func (m *zoneMeasurement) of(j *wire.Job) *wholeTimes {
	if j.SpreadZones {
		return &m.spread
	}
	return &m.pinned
}

// processorTime is what this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestMeasureZoneLoss prints what a zone's loss and return cost with and without zone
// recovery, on the same days and seeds. Run with: go test -tags measure -run
// TestMeasureZoneLoss -v -timeout 60m ./cmd/lynxledge
func TestMeasureZoneLoss(t *testing.T) {
	for _, size := range zoneSizes {
		for _, kill := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d machines, killed %v", size.machines, kill), func(t *testing.T) {
				sums := map[bool]*zoneMeasurement{false: {}, true: {}}
				for seed := range size.seeds {
					for recovery, sum := range sums {
						sum.add(measureLoss(t, size.machines, size.load, size.tweak, recovery, kill, seed))
					}
				}
				for recovery, sum := range sums {
					t.Logf("%d days, zone recovery %v: %v", size.seeds, recovery, sum)
					for _, fault := range sum.faults[:min(3, len(sum.faults))] {
						t.Error(fault)
					}
				}
			})
		}
	}
}
