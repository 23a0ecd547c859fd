package main

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

// A replica of a spread service is moved to a zone with capacity if that lets another service start
// its last replica. After the move no zone has more than half of either service's replicas.
func TestReplicaOfSpreadServiceIsMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		spec := zoneClusterSpec(false)
		spec.poolSize = 1 // a machine of four CPUs in each zone
		c := &zoneCluster{cluster: newCluster(ctx, 1, spec, func(p *config.Params) {
			p.Teams = []config.TeamQuota{{Name: "red"}}
			p.Zones = spec.memberZones
		})}
		twoCPUs := func(j *wire.Job) { j.CPUs = 2 }
		c.advance(5 * time.Second)
		c.cloud.FailZone("a")
		first := c.submitService(4, twoCPUs) // fills zones b and c
		if !c.advanceIdleUntil(func() bool { return c.allReplicasRun(first) }) {
			t.Fatalf("%d of 4 replicas run", c.invariants.RunningTasks(first.ID))
		}
		c.cloud.RestoreZone("a")
		second := c.submitService(2, twoCPUs) // zone a has capacity for both replicas, but may have only one of them
		if !c.advanceIdleUntil(func() bool { return c.allReplicasRun(first) && c.allReplicasRun(second) }) {
			t.Errorf("%d of 4 and %d of 2 replicas run", c.invariants.RunningTasks(first.ID), c.invariants.RunningTasks(second.ID))
		}
		for _, violation := range c.invariants.Violations() {
			t.Error(violation)
		}
		cancel()
		c.shutdown()
	})
}
