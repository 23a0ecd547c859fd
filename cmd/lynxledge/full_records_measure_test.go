//go:build measure

package main

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// groupCount returns the number of groups that a dump of the store lists.
func groupCount(dump string) int {
	return strings.Count(dump, "\n"+statecache.Key(statecache.KindMachineGroup, ""))
}

// TestMeasureFullRecords measures the writes and the processor time of fleets of some 4,000 machines with
// their usual work, and with the small tasks of a guest on top, which fill the records. Of the
// processor time, which is that of the whole simulation, only differences between versions count.
func TestMeasureFullRecords(t *testing.T) {
	for _, name := range []string{"seven controllers, 4064 machines", "three controllers, 4056 machines, few sockets"} {
		for _, guestTasks := range []int{0, 3000} {
			synctest.Test(t, func(t *testing.T) { measureFullRecords(t, name, fleets[name], guestTasks) })
		}
	}
}

func measureFullRecords(t *testing.T, name string, f *fleet, guestTasks int) {
	ctx, cancel := context.WithCancel(context.Background())
	r := f.start(ctx)
	var writes atomic.Int64
	r.store.InterceptCommits(func(_ string, txn *wire.Txn, execute func() (uint64, error)) (uint64, error) {
		writes.Add(int64(len(txn.Writes)))
		return execute()
	})
	cpuBefore, startedAt := processCPUTime(), time.Now()
	r.advance(5 * time.Second)
	r.submitInitialWork()
	for range 4 {
		if guestTasks > 0 {
			guest := r.job("batch", guestTasks)
			guest.Priority, guest.CPUs, guest.MemoryGB, guest.EstimatedRuntime, guest.Deadline = wire.PriorityIdle, 0.5, 0.5, 60, nil
			r.enqueue(guest)
		}
		r.advanceSubmitting(45 * time.Second)
	}
	started := 0
	for _, job := range r.submitted {
		if !r.invariants.FirstTaskStartedAt(job.ID).IsZero() {
			started++
		}
	}
	t.Logf("%s, %d guest tasks: %.1f writes a second of %v, %.0f s of processor time, %d groups, %d of %d jobs started, %d machines",
		name, 4*guestTasks, float64(writes.Load())/time.Since(startedAt).Seconds(), r.cfg.Params.Store.WriteRate, (processCPUTime() - cpuBefore).Seconds(),
		groupCount(r.store.Dump()), started, len(r.submitted), r.peakMachines)
	for _, violation := range append(r.invariants.Violations(), r.store.Violations()...) {
		t.Error(violation)
	}
	cancel()
	r.shutdown()
}
