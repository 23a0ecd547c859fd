package main

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

// A replica of a service that spreads is moved to a zone with capacity where that lets another
// service start its last replica: no zone then has more than half of either.
func TestReplicaOfSpreadServiceIsMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		size := zoneScale(false)
		size.pool = 1 // a machine of four processors in each zone
		w := &zoneWorld{world: newWorld(ctx, 1, size, func(p *config.Params) {
			p.Teams = []config.TeamQuota{{Name: "red"}}
			p.Zones = size.zones
		})}
		twoCPUs := func(j *wire.Job) { j.CPUs = 2 }
		w.pass(5 * time.Second)
		w.cloud.FailZone("a")
		first := w.service(4, twoCPUs) // fills zones b and c
		if !w.calmUntil(func() bool { return w.whole(first) }) {
			t.Fatalf("%d of 4 replicas run", w.rules.RunningTasks(first.ID))
		}
		w.cloud.OpenZone("a")
		second := w.service(2, twoCPUs) // zone a has capacity for two, but may have one of them
		if !w.calmUntil(func() bool { return w.whole(first) && w.whole(second) }) {
			t.Errorf("%d of 4 and %d of 2 replicas run", w.rules.RunningTasks(first.ID), w.rules.RunningTasks(second.ID))
		}
		for _, violation := range w.rules.Violations() {
			t.Error(violation)
		}
		cancel()
		w.end()
	})
}
