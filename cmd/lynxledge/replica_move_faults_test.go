package main

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

// moveCluster is a small cluster in which a service can start its last replica only if a replica of
// another service is moved: machines have four CPUs, and zones b and c are full.
type moveCluster struct {
	*zoneCluster
	blocking *wire.Job // has replicas in zones b and c, one of which may be moved to zone a
	blocked  *wire.Job // may have only one of its two replicas in zone a
}

// withMoveCluster runs a test of a cluster with machinesPerZone machines, and as many spot ones, in
// each zone. It checks the invariants and shuts the cluster down.
func withMoveCluster(t *testing.T, seed uint64, machinesPerZone int, test func(c *moveCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		spec := zoneClusterSpec(false)
		spec.poolSize = machinesPerZone
		c := &moveCluster{zoneCluster: &zoneCluster{
			restored:   map[wire.JobID]time.Duration{},
			partitions: map[wire.Zone]*zonePartition{},
			cluster: newCluster(ctx, seed, spec, func(p *config.Params) {
				p.Teams = []config.TeamQuota{{Name: "red"}}
				p.Zones = spec.memberZones
			}),
		}}
		c.advance(5 * time.Second)
		test(c)
		for _, violation := range c.invariants.Violations() {
			t.Error(violation)
		}
		cancel()
		c.shutdown()
	})
}

// fillZones fills zones b and c while zone a is lost: with the blocking service and, in the
// capacity that this leaves, with a service of one-CPU replicas that save checkpoints.
func (c *moveCluster) fillZones(t *testing.T, replicas int, change func(*wire.Job)) {
	t.Helper()
	c.cloud.FailZone("a")
	c.blocking = c.submitService(replicas, change)
	c.waitForReplicas(t, c.blocking)
	left := 2*int(zoneMachineTypes[0].CPUs) - int(c.blocking.CPUs)*replicas
	if left > 0 {
		c.waitForReplicas(t, c.submitService(left, func(j *wire.Job) { j.SpreadZones, j.CheckpointInterval, j.CheckpointDuration = false, 10, 1 }))
	}
	c.cloud.RestoreZone("a")
}

// fillZonesEvenly fills zones b and c with a blocking service of four replicas.
func (c *moveCluster) fillZonesEvenly(t *testing.T) {
	t.Helper()
	c.fillZones(t, 4, func(j *wire.Job) { j.CPUs = 2 })
}

// fewestRunning lets time pass, and returns the smallest number of the services' replicas that ran
// at any moment.
func (c *moveCluster) fewestRunning(duration time.Duration, services ...*wire.Job) int {
	ids := make([]wire.JobID, len(services))
	for i, service := range services {
		ids[i] = service.ID
	}
	lowest := c.invariants.RunningTasks(ids...)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		lowest = min(lowest, c.invariants.RunningTasks(ids...))
	}
	return lowest
}

// submitBlocked submits the service that can't start its last replica without a move.
func (c *moveCluster) submitBlocked() {
	c.blocked = c.submitService(2, func(j *wire.Job) { j.CPUs = 2 })
}

// waitForReplicas waits up to three minutes for each service until it runs all its replicas.
func (c *moveCluster) waitForReplicas(t *testing.T, services ...*wire.Job) {
	t.Helper()
	for _, service := range services {
		if !c.advanceIdleUntil(func() bool { return c.allReplicasRun(service) }) {
			t.Errorf("%s: %d of %d replicas run", service.ID, c.invariants.RunningTasks(service.ID), service.TaskCount)
		}
	}
}

// waitForMove waits up to a minute until a replica of the blocking service has been stopped.
func (c *moveCluster) waitForMove(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !c.allReplicasRun(c.blocking) {
			return
		}
	}
	t.Error("no replica was stopped to be moved")
}

// moveFaults are faults in the middle of a move. Each returns the services that must have all
// replicas in the end.
var moveFaults = map[string]func(t *testing.T, c *moveCluster) []*wire.Job{
	"target zone lost": func(_ *testing.T, c *moveCluster) []*wire.Job {
		c.cloud.FailZone("a")
		c.advance(90 * time.Second)
		c.cloud.RestoreZone("a")
		return []*wire.Job{c.blocking, c.blocked}
	},
	"leader restarts": func(_ *testing.T, c *moveCluster) []*wire.Job {
		c.fastRestart(c.leader())
		return []*wire.Job{c.blocking, c.blocked}
	},
	"leader and scheduling controller crash": func(_ *testing.T, c *moveCluster) []*wire.Job {
		c.crash(c.scheduler())
		c.crash(c.leader())
		c.advance(time.Minute)
		c.restartAll()
		return []*wire.Job{c.blocking, c.blocked}
	},
	"scheduling controller restarts": func(_ *testing.T, c *moveCluster) []*wire.Job {
		c.fastRestart(c.scheduler())
		return []*wire.Job{c.blocking, c.blocked}
	},
	"store out": func(_ *testing.T, c *moveCluster) []*wire.Job {
		c.store.SetOutage(true)
		c.advance(20 * time.Second)
		c.store.SetOutage(false)
		return []*wire.Job{c.blocking, c.blocked}
	},
	"moved service cancelled": func(t *testing.T, c *moveCluster) []*wire.Job {
		if !c.cancelJob(c.blocking.ID, c.members...) {
			t.Error("cancellation not confirmed")
		}
		return []*wire.Job{c.blocked}
	},
	"blocked service cancelled": func(t *testing.T, c *moveCluster) []*wire.Job {
		if !c.cancelJob(c.blocked.ID, c.members...) {
			t.Error("cancellation not confirmed")
		}
		return []*wire.Job{c.blocking}
	},
	"machines in zones b and c partitioned": func(_ *testing.T, c *moveCluster) []*wire.Job {
		c.partitionZone("b", false)
		c.partitionZone("c", false)
		c.advance(15 * time.Second)
		c.healZone("b", 0)
		c.healZone("c", 0)
		return []*wire.Job{c.blocking, c.blocked}
	},
}

// After a fault in the middle of a move, both services get all their replicas, and no invariant is
// violated (guards against replicas lost by a move that fails).
func TestReplicaMoveSurvivesFaults(t *testing.T) {
	for name, fault := range moveFaults {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				withMoveCluster(t, seed, 1, func(c *moveCluster) {
					c.fillZonesEvenly(t)
					c.submitBlocked()
					c.waitForMove(t)
					c.waitForReplicas(t, fault(t, c)...)
				})
			})
		}
	}
}

// A replica of a service with three or five replicas is moved if no zone has more than half of them
// afterwards (guards against replicas of spread services that are never moved).
func TestReplicaOfOddServiceIsMoved(t *testing.T) {
	for _, service := range []struct {
		replicas int
		cpus     float64
	}{{3, 2}, {5, 1}} {
		t.Run(fmt.Sprint(service.replicas), func(t *testing.T) {
			t.Parallel()
			withMoveCluster(t, 1, 1, func(c *moveCluster) {
				withCPUs := func(j *wire.Job) { j.CPUs = service.cpus }
				c.fillZones(t, service.replicas, withCPUs)
				c.blocked = c.submitService(2, withCPUs)
				c.waitForReplicas(t, c.blocked, c.blocking)
			})
		})
	}
}

// A replica is moved to make room for a service that is bound to its zone (guards against moves for
// spread services only).
func TestReplicaMakesRoomForServiceBoundToItsZone(t *testing.T) {
	withMoveCluster(t, 1, 1, func(c *moveCluster) {
		c.fillZonesEvenly(t)
		bound := func(zone wire.Zone) *wire.Job {
			return c.submitService(1, func(j *wire.Job) { j.Zone, j.SpreadZones = zone, false })
		}
		c.waitForReplicas(t, bound("a")) // makes the autoscaler provision a machine in zone a
		c.waitForReplicas(t, bound("b"), c.blocking)
	})
}

// A replica is moved to a machine without its image if no other machine has the image (guards
// against services that lack a replica although a zone has come back, with new machines).
func TestReplicaIsMovedWithoutItsImage(t *testing.T) {
	withMoveCluster(t, 1, 1, func(c *moveCluster) {
		c.fillZones(t, 4, func(j *wire.Job) { j.CPUs, j.Image = 2, "other" })
		c.submitBlocked()
		c.waitForReplicas(t, c.blocked, c.blocking)
	})
}

// Two services that lack one replica each share the capacity that one move frees (guards against a
// move for each where one is enough, and against two moves to the same capacity).
func TestOneMoveServesTwoServices(t *testing.T) {
	withMoveCluster(t, 1, 1, func(c *moveCluster) {
		c.fillZonesEvenly(t)
		oneCPU := func(j *wire.Job) { j.CPUs = 1 }
		first, second := c.submitService(2, oneCPU), c.submitService(2, oneCPU)
		lowest := c.fewestRunning(time.Minute, c.blocking)
		if lowest != c.blocking.TaskCount-1 {
			t.Errorf("%d of %d replicas ran at the lowest", lowest, c.blocking.TaskCount)
		}
		c.waitForReplicas(t, first, second, c.blocking)
	})
}

// immovableReplicas are ways to fill zones b and c with replicas that can't be moved to zone a.
var immovableReplicas = map[string]func(t *testing.T, c *moveCluster){
	"they save checkpoints": func(t *testing.T, c *moveCluster) {
		c.fillZones(t, 2, func(j *wire.Job) { j.CheckpointInterval, j.CheckpointDuration = 10, 1 })
	},
	"they are bound to their zones": func(t *testing.T, c *moveCluster) {
		for _, zone := range []wire.Zone{"b", "c"} {
			c.waitForReplicas(t, c.submitService(2, func(j *wire.Job) { j.Zone, j.SpreadZones, j.CPUs = zone, false, 2 }))
		}
	},
	"they must be in one zone": func(t *testing.T, c *moveCluster) {
		c.cloud.FailZone("a")
		for range 2 {
			c.waitForReplicas(t, c.submitService(2, func(j *wire.Job) { j.SingleZone, j.SpreadZones, j.CPUs = true, false, 2 }))
		}
		c.cloud.RestoreZone("a")
	},
	"there is no capacity elsewhere": func(t *testing.T, c *moveCluster) {
		c.fillZonesEvenly(t)
		c.waitForReplicas(t, c.submitService(2, func(j *wire.Job) { j.Zone, j.SpreadZones, j.CPUs = "a", false, 2 }))
	},
}

// Replicas that may not run elsewhere, or would find no capacity there, keep running where they are
// (guards against replicas that are stopped for nothing).
func TestReplicasThatCannotMoveAreNotStopped(t *testing.T) {
	for name, fill := range immovableReplicas {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withMoveCluster(t, 1, 1, func(c *moveCluster) {
				fill(t, c)
				immovable := slices.Clone(c.services)
				all := 0
				for _, service := range immovable {
					all += service.TaskCount
				}
				c.submitBlocked()
				if lowest := c.fewestRunning(time.Minute, immovable...); lowest != all {
					t.Errorf("%d of %d replicas ran at the lowest", lowest, all)
				}
			})
		})
	}
}
