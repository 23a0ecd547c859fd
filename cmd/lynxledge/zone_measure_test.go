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
	"lynxledge/internal/simulation"
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

func (w *wholeTimes) add(o *wholeTimes) {
	w.after = append(w.after, o.after...)
	w.never += o.never
	w.replicaLost += o.replicaLost
}

func (w *wholeTimes) String() string {
	slices.Sort(w.after)
	median, last := time.Duration(0), time.Duration(0)
	if n := len(w.after); n > 0 {
		median, last = w.after[n/2], w.after[n-1]
	}
	return fmt.Sprintf("%d hit, whole after %.0f s (median), %.0f s (last), %d never, %.0f replica seconds lost",
		len(w.after)+w.never, median.Seconds(), last.Seconds(), w.never, w.replicaLost)
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
	load     zoneLoad
	tweak    func(*config.Params)
	seeds    uint64
}{
	{48, smallZoneLoad, nil, 8},
	{400, zoneLoad{pinned: 60, services: 90, arrays: 110}, fastState, 3},
	{1400, zoneLoad{pinned: 200, services: 300, arrays: 380}, fastState, 1},
	{4000, zoneLoad{pinned: 560, services: 900, arrays: 1100}, fastState, 1},
}

func fastState(p *config.Params) {
	p.Store = config.StoreLimits{RequestRate: 600, WriteRate: 180, MaxValueKB: 8, MaxTxnOps: 24}
	p.Cloud = config.CloudLimits{RequestRate: 10, ListLag: 10 * time.Second}
	p.Resources = config.ControllerResources{CPUCores: 0.34, MemoryMB: 220, FileDescriptorLimit: 9000}
}

// measureLoss loses a zone and has it return about a minute later, and watches for four.
func measureLoss(t *testing.T, machines int, load zoneLoad, tweak func(*config.Params), recovery, kill bool, seed uint64) *zoneMeasurement {
	m := &zoneMeasurement{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		size := zoneScale(recovery)
		size.pool = machines / 6
		w := newLoadedZoneWorld(ctx, seed, recovery, size, load, tweak)
		s := w.cfg.Params.Store
		w.state.SetLimits(simulation.StoreLimits{WriteRate: s.WriteRate, MaxValueKB: s.MaxValueKB, MaxTxnOps: s.MaxTxnOps})
		w.step(60)
		m.machinesLost = len(w.machinesIn("a"))
		begun := w.rules.Count()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		processor := processorTime()
		if kill {
			w.killZone("a")
		} else {
			w.cutZone("a", false)
		}
		hit := map[wire.JobID]bool{}
		back := 48 + 4*int(seed) // or all days would return at the same moment of a retry
		for second := range 240 {
			if second == back {
				w.healZone("a", 0)
			}
			w.step(1)
			for _, j := range w.services {
				if missing := j.TaskCount - w.rules.RunningTasks(j.ID); missing > 0 {
					hit[j.ID] = true
					m.of(j).replicaLost += float64(missing)
				}
			}
			for _, h := range w.cloud.Running() {
				price := zoneTypes[0].HourlyPrice
				if h.Spot {
					price = zoneTypes[0].HourlySpotPrice
				}
				m.price += price / 3600
			}
		}
		m.processor = processorTime() - processor
		runtime.ReadMemStats(&after)
		m.allocated = after.TotalAlloc - before.TotalAlloc
		for _, j := range w.services {
			if !hit[j.ID] {
				continue
			}
			if d, whole := w.restored[j.ID]; whole {
				m.of(j).after = append(m.of(j).after, d)
			} else {
				m.of(j).never++
			}
		}
		m.arraysBegun = w.rules.Count() - begun
		m.faults = w.rules.Violations()
		if recovery {
			m.faults = append(m.faults, w.checker.Violations()...)
		}
		cancel()
		w.end()
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
