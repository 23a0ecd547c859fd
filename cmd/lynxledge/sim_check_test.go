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

// scheduler returns the member to which teams are assigned, or the first member if none is.
func (c *cluster) scheduler() string {
	var assignment statecache.Assignment
	if raw := c.store.Value(statecache.Key(statecache.KindAssignment, "red")); raw != nil && json.Unmarshal(raw, &assignment) == nil {
		return assignment.Member
	}
	return c.members[0]
}

// leader returns the member in the leader record, or the first member if there is no record.
func (c *cluster) leader() string {
	var leader statecache.Leader
	if raw := c.store.Value(statecache.LeaderKey); raw != nil && json.Unmarshal(raw, &leader) == nil {
		return leader.Member
	}
	return c.members[0]
}

// advance lets simulated time pass, and checks invariants every second.
func (c *cluster) advance(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Second)
		c.invariants.CheckCancelled()
		c.invariants.CheckIdleCapacity(c.cloud.Running(), c.machineTypes)
	}
}

// healAndFinish ends every fault and waits up to ten minutes for the cluster to finish its work.
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

// violations lists the violated invariants and the unfinished work.
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

// withCluster runs a test of a cluster in simulated time, and shuts the cluster down.
func withCluster(t *testing.T, seed uint64, spec clusterSpec, adjust func(*config.Params), test func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCluster(ctx, seed, spec, adjust)
		test(t, c)
		cancel()
		c.shutdown()
	})
}

// outcome is the result of a run with injected faults.
type outcome struct {
	violations []string     // of invariants
	unfinished []wire.JobID // accepted arrays that never ended, and services with fewer than half of their replicas
	dump       string       // content of the store if jobs are unfinished
}

// runFaults injects faults into a small cluster, ends them, and lets the cluster finish its work.
// With odd seeds the store's limits may fall.
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
