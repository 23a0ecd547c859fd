package main

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// loseNextBindingResponse loses the response to the next transaction in which a controller binds
// tasks, and makes the store unreadable for that controller from then on.
func (c *cluster) loseNextBindingResponse(member string) (lost func() bool) {
	assignments := statecache.Key(statecache.KindAssignment, "")
	var done atomic.Bool
	c.store.InterceptCommits(func(from string, txn *wire.Txn, execute func() (uint64, error)) (uint64, error) {
		revision, err := execute()
		binds := slices.ContainsFunc(txn.Preconditions, func(p wire.Precondition) bool { return strings.HasPrefix(p.Key, assignments) })
		if done.Load() || err != nil || from != member || !binds {
			return revision, err
		}
		done.Store(true)
		c.store.SetUnreadableFor(member, true)
		return 0, simulation.ErrNoResponse
	})
	return done.Load
}

// A scheduler whose commit was executed without a response, and that can't read the store, waits
// for the store. Meanwhile jobs are cancelled elsewhere; in one run the store is then out for all
// controllers for as long as the cancellation deadline. The cancelled tasks are gone within it,
// those of the commit included, and no task starts twice once the store is back.
func TestWaitingSchedulerHoldsUpNoCancellation(t *testing.T) {
	for _, outage := range []bool{false, true} {
		withCluster(t, 1, smallCluster, nil, func(t *testing.T, c *cluster) {
			c.startInitialWork()
			scheduler := c.scheduler()
			lost := c.loseNextBindingResponse(scheduler)
			others := c.othersThan(scheduler)
			c.submitArray("req-000010", "blue", 3, 200*time.Second, nil)
			c.submitArray("req-000011", "blue", 2, 10*time.Second, nil)
			c.advance(10 * time.Second)
			if !lost() {
				t.Error("no response was lost")
				return
			}
			if c.invariants.RunningTasks("req-000010") == 0 || c.invariants.RunningTasks(longJobs...) == 0 {
				t.Error("nothing runs that could be cancelled")
				return
			}
			if !c.cancelJob("req-000010", others...) {
				t.Error("req-000010: cancellation not confirmed")
			}
			c.cancelLongJobs(t, others)
			c.store.SetOutage(outage)
			c.advance(c.cfg.Params.Workers.CancellationDeadline)
			c.expectLongJobsStopped(t)
			if running := c.invariants.RunningTasks("req-000010"); running > 0 {
				t.Errorf("%d tasks of req-000010 are still on machines", running)
			}
			c.store.SetOutage(false)
			c.store.SetUnreadableFor(scheduler, false)
			c.healAndFinish()
			for _, violation := range c.violations() {
				t.Error(violation)
			}
		})
	}
}
