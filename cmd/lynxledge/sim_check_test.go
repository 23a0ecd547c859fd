package main

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// scheduler names the member that teams are assigned to, or the first if there is none.
func (c *cluster) scheduler() string {
	var assignment statecache.Assignment
	if raw := c.store.Value(statecache.Key(statecache.KindAssignment, "red")); raw != nil && json.Unmarshal(raw, &assignment) == nil {
		return assignment.Member
	}
	return c.members[0]
}

// leader names the member that the leader record names, or the first if there is none.
func (c *cluster) leader() string {
	var leader statecache.Leader
	if raw := c.store.Value(statecache.LeaderKey); raw != nil && json.Unmarshal(raw, &leader) == nil {
		return leader.Member
	}
	return c.members[0]
}

// advance lets time pass, checking the invariants every second.
func (c *cluster) advance(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Second)
		c.invariants.CheckCancelled()
		c.invariants.CheckIdleCapacity(c.cloud.Running(), c.machineTypes)
	}
}

// healAndFinish ends every fault and lets the cluster finish its work, for ten minutes at most.
func (c *cluster) healAndFinish() {
	c.network.HealAll()
	c.network.SetLossAndDuplication(0, 0)
	c.healStore()
	c.invariants.OnJobCompleted(nil)
	c.store.SetOutage(false)
	c.restartAll()
	c.invariants.FaultsOver()
	for range 120 {
		c.advance(5 * time.Second)
		c.pollJobs()
		c.invariants.CheckUnanswered()
		if len(c.invariants.UnfinishedJobs()) == 0 && len(c.invariants.DegradedServices()) == 0 {
			return
		}
	}
}

// violations lists the violated invariants and the work that is not finished.
func (c *cluster) violations() []string {
	var out []string
	for _, violation := range append(c.invariants.Violations(), c.store.Violations()...) {
		out = append(out, "rule broken: "+violation)
	}
	for _, id := range append(c.invariants.UnfinishedJobs(), c.invariants.DegradedServices()...) {
		out = append(out, "never finished: "+string(id))
	}
	return out
}

// withCluster runs a test of a cluster on a clock of its own, and shuts the cluster down.
func withCluster(t *testing.T, seed uint64, size clusterSpec, adjust func(*config.Params), test func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCluster(ctx, seed, size, adjust)
		test(t, c)
		cancel()
		c.shutdown()
	})
}

// outcome is how a sequence of faults ended.
type outcome struct {
	violations []string     // of invariants
	unfinished []wire.JobID // jobs that were accepted and never done
	dump       string       // of the store, where jobs are unfinished
}

// runFaults injects faults into a small cluster, heals it, and lets it finish its work.
func runFaults(t *testing.T, seed uint64, faults []fault, adjust func(*config.Params)) (result outcome) {
	t.Helper()
	withCluster(t, seed, smallCluster, adjust, func(_ *testing.T, c *cluster) {
		if seed%2 == 1 {
			c.announceLowerStoreLimits()
		}
		c.advance(5 * time.Second)
		for _, f := range faults {
			c.inject(f)
		}
		c.healAndFinish()
		result.violations = append(c.invariants.Violations(), c.store.Violations()...)
		result.unfinished = append(c.invariants.UnfinishedJobs(), c.invariants.DegradedServices()...)
		if len(result.unfinished) > 0 {
			result.dump = c.store.Dump()
		}
	})
	return result
}
