package main

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

// combinedFailure is two failures at once. docs/combined-failures.md has a row for each.
type combinedFailure struct {
	name string
	// inject is called when the cluster runs the initial work.
	inject func(t *testing.T, c *cluster)
}

// othersThan lists all members except one.
func (c *cluster) othersThan(member string) []string {
	return slices.DeleteFunc(slices.Clone(c.members), func(other string) bool { return other == member })
}

// startInitialWork submits long arrays that a test may cancel, a small array whose tasks complete
// at different times, and a replicated service, and waits until machines are up and run them.
func (c *cluster) startInitialWork() {
	c.advance(5 * time.Second)
	c.submitArray("req-000001", "blue", 8, 200*time.Second, nil)
	c.submitArray("req-000002", "red", 6, 200*time.Second, nil)
	c.submitArray("req-000003", "blue", 3, 40*time.Second, func(j *wire.Job) { j.CPUs = 2 })
	c.submitArray("req-000004", "blue", 2, 0, func(j *wire.Job) {
		j.Kind, j.Priority, j.SpreadZones, j.AllowSpot = wire.KindService, wire.PriorityProduction, true, false
	})
	c.advance(50 * time.Second)
}

var longJobs = []wire.JobID{"req-000001", "req-000002"}

// cancelLongJobs cancels the long jobs through the given controllers.
func (c *cluster) cancelLongJobs(t *testing.T, through []string) {
	t.Helper()
	for _, id := range longJobs {
		if !c.cancelJob(id, through...) {
			t.Errorf("%s: cancellation not confirmed", id)
		}
	}
}

// expectLongJobsStopped checks that no task of the long jobs runs on a machine.
func (c *cluster) expectLongJobsStopped(t *testing.T) {
	t.Helper()
	if running := c.invariants.RunningTasks(longJobs...); running > 0 {
		t.Errorf("%d cancelled tasks are still on machines", running)
	}
}

// directHeartbeatsTo makes all workers send their heartbeats to one controller: the others are down
// until the workers have switched over.
func (c *cluster) directHeartbeatsTo(member string) {
	for _, other := range c.othersThan(member) {
		c.crash(other)
	}
	c.advance(8 * time.Second)
	c.restartAll()
	c.advance(3 * time.Second)
}

// outageAfterCancellation makes the store unavailable for the leader only while another controller
// confirms cancellations, and then for all controllers for longer than the cancellation deadline.
func outageAfterCancellation(t *testing.T, c *cluster) {
	old := c.leader()
	c.directHeartbeatsTo(old)
	c.store.SetUnavailableFor(old, true)
	c.advance(time.Second)
	c.cancelLongJobs(t, c.othersThan(old))
	c.store.SetOutage(true)
	c.advance(70 * time.Second)
	c.expectLongJobsStopped(t)
	c.advance(20 * time.Second)
}

var combinedFailures = []combinedFailure{
	{"gap", outageAfterCancellation},
	{"all controllers down for longer than a lease", func(_ *testing.T, c *cluster) {
		c.crashAll()
		c.advance(45 * time.Second)
	}},
	{"leader isolated from store and peers, jobs cancelled elsewhere", func(t *testing.T, c *cluster) {
		old := c.leader()
		c.directHeartbeatsTo(old)
		c.isolate(old)
		c.advance(5 * time.Second)
		c.cancelLongJobs(t, c.othersThan(old))
		c.advance(66 * time.Second)
		c.expectLongJobsStopped(t)
	}},
	{"tasks of small jobs complete far apart, leader changes", func(_ *testing.T, c *cluster) {
		for i := range 3 {
			c.submitArray(wire.JobID(fmt.Sprintf("req-00010%d", i)), "blue", 1+i, time.Duration(5+30*i)*time.Second, nil)
			c.advance(7 * time.Second)
			c.crash(c.leader())
			c.advance(12 * time.Second)
			c.restartAll()
		}
	}},
	{"workers reach no controller, commands reach them", func(t *testing.T, c *cluster) {
		up := c.cloud.RunningMachines()
		partitioned := up[:len(up)/2]
		for _, m := range partitioned {
			c.network.PartitionOutbound(string(m))
		}
		c.advance(150 * time.Second) // four leases; tasks given to these machines never finish
		for _, m := range partitioned {
			if slices.Contains(c.cloud.RunningMachines(), m) {
				t.Errorf("%s is still given work, which it loses whenever its lease expires", m)
			}
		}
	}},
	{"more work than room over slow links", func(t *testing.T, c *cluster) {
		c.network.SetMaxExtraLatency(simulation.StoreHost, 1200*time.Millisecond)
		c.network.SetLossAndDuplication(0.05, 0)
		for i := range 12 {
			c.submitArray(wire.JobID(fmt.Sprintf("req-0002%02d", i)), []wire.TeamName{"red", "blue"}[i%2], 10, 20*time.Second, func(j *wire.Job) {
				if i%3 == 0 {
					j.Priority = wire.PriorityHigh
				}
			})
			c.advance(5 * time.Second)
		}
		c.advance(4 * time.Minute)
		if unserved := c.invariants.UnservedWork(4 * time.Minute); len(unserved) > 0 {
			t.Errorf("not served: %v", unserved)
		}
	}},
	{"leader crashes while machines are partitioned or receive nothing", func(_ *testing.T, c *cluster) {
		up := c.cloud.RunningMachines()
		c.network.Partition(string(up[0]), "", true)
		c.network.PartitionInbound(string(up[len(up)-1]))
		c.crash(c.leader())
		c.advance(50 * time.Second)
		c.restartAll()
		c.advance(30 * time.Second)
	}},
	{"cancellations, polls and resubmissions at completion", func(_ *testing.T, c *cluster) {
		for i := range 9 {
			c.requestAtCompletion(i)
			c.submitArray(wire.JobID(fmt.Sprintf("req-0003%02d", i)), "blue", 1+i%3, 3*time.Second, nil)
			c.advance(8 * time.Second)
		}
	}},
	{"heartbeat held until a new leader has acted", func(_ *testing.T, c *cluster) {
		for _, m := range c.cloud.RunningMachines() {
			c.network.Partition(string(m), c.leader(), true)
		}
		c.advance(2 * time.Second)
		c.crash(c.leader())
		c.advance(25 * time.Second)
		c.restartAll()
		c.network.HealAll()
	}},
	{"ten leaders in two minutes, also in an outage", func(_ *testing.T, c *cluster) {
		for i := range 10 {
			c.fastRestart(c.leader())
			c.store.SetOutage(i == 4 || i == 5)
			c.advance(12 * time.Second)
		}
	}},
	{"zone with a controller partitioned for longer than a lease", func(_ *testing.T, c *cluster) {
		isolated := c.othersThan(c.leader())[0]
		for _, instance := range c.cloud.Running() {
			if instance.Zone == "b" {
				for _, other := range c.othersThan(isolated) {
					c.network.Partition(string(instance.ID), other, true)
				}
			}
		}
		c.isolate(isolated)
		c.network.Partition(isolated, simulation.CloudHost, true)
		c.advance(45 * time.Second)
	}},
	{"transactions committed late", func(_ *testing.T, c *cluster) {
		c.store.SetDelayedCommits(0.4)
		for i := range 8 {
			id := wire.JobID(fmt.Sprintf("req-0004%02d", i))
			c.submitArray(id, "blue", 3, 10*time.Second, nil)
			c.advance(6 * time.Second)
			if i%3 == 0 {
				c.cancelJob(id, c.members...)
			}
			if i == 5 {
				c.fastRestart(c.leader())
			}
		}
	}},
	{"commands and responses delayed for seconds", func(_ *testing.T, c *cluster) {
		for i := range 6 {
			up := c.cloud.RunningMachines()
			for _, m := range up[:len(up)/2] {
				c.network.Partition(string(m), "", true)
			}
			c.submitArray(wire.JobID(fmt.Sprintf("req-0005%02d", i)), "blue", 4, 10*time.Second, nil)
			c.advance(6 * time.Second)
			c.cancelJob(wire.JobID(fmt.Sprintf("req-0005%02d", i/2*2)), c.members...)
			c.network.HealAll()
			c.advance(4 * time.Second)
		}
	}},
	{"team at its limit, leader changes, machines unreachable, job cancelled", func(_ *testing.T, c *cluster) {
		c.submitArray("req-000600", "red", 40, 60*time.Second, nil) // the limit of red is 20 CPUs
		c.advance(20 * time.Second)
		up := c.cloud.RunningMachines()
		c.network.Partition(string(up[0]), "", true)
		c.network.PartitionInbound(string(up[1]))
		c.crash(c.leader())
		c.advance(3 * time.Second)
		c.cancelJob("req-000002", c.members...)
		c.advance(40 * time.Second)
		c.restartAll()
	}},
	{"jobs cancelled while the store refuses the leader, outage a second later", func(t *testing.T, c *cluster) {
		old := c.leader()
		c.store.SetUnavailableFor(old, true)
		for _, id := range longJobs {
			c.cancelJob(id, c.othersThan(old)...)
		}
		c.advance(time.Second)
		c.store.SetOutage(true)
		c.advance(80 * time.Second)
	}},
	{"jobs bound to one zone lose machines", func(_ *testing.T, c *cluster) {
		c.submitArray("req-000700", "blue", 6, 60*time.Second, func(j *wire.Job) { j.SingleZone, j.AllowSpot = true, false })
		c.submitArray("req-000701", "blue", 4, 60*time.Second, func(j *wire.Job) { j.Zone = "b" })
		c.advance(40 * time.Second)
		for i := range 4 {
			c.cloud.FailMachine(2*i, i%2 == 0)
			c.advance(5 * time.Second)
		}
	}},
	{"leadership moves back and forth, all controllers crash, one restarts", func(_ *testing.T, c *cluster) {
		for range 3 {
			c.crash(c.leader())
			c.advance(8 * time.Second)
			c.restartAll()
			c.advance(4 * time.Second)
		}
		c.crashAll()
		c.advance(time.Second)
		c.start(c.members[1])
		c.advance(30 * time.Second)
	}},
	{"store slow, then refusing, then out, while users cancel and poll", func(_ *testing.T, c *cluster) {
		c.network.SetMaxExtraLatency(simulation.StoreHost, 3*time.Second)
		c.advance(10 * time.Second)
		c.store.SetUnavailableFor(c.leader(), true)
		c.cancelJob(longJobs[0], c.members...)
		c.advance(3 * time.Second)
		c.store.SetOutage(true)
		for range 14 {
			c.cancelJob(longJobs[1], c.members...)
			c.request(http.MethodGet, "/work/req-000003", "req-000003", nil)
			c.advance(5 * time.Second)
		}
	}},
	{"old heartbeats after newer ones", func(_ *testing.T, c *cluster) {
		c.network.SetLossAndDuplication(0, 0.5)
		for i := range 6 {
			c.submitArray(wire.JobID(fmt.Sprintf("req-0008%02d", i)), "blue", 4, 8*time.Second, nil)
			c.advance(8 * time.Second)
			c.cloud.FastRestart(c.cloud.RunningMachines()[0])
		}
		c.advance(40 * time.Second)
	}},
	{"jobs cancelled while machines are paused, store out", func(_ *testing.T, c *cluster) {
		for i, m := range c.cloud.RunningMachines() {
			c.cloud.PauseMachine(m, time.Duration(10+6*i)*time.Second)
		}
		for _, id := range longJobs {
			c.cancelJob(id, c.members...)
		}
		c.advance(2 * time.Second)
		c.store.SetOutage(true)
		c.advance(75 * time.Second)
	}},
	{"process paused beyond every lease while its jobs are cancelled elsewhere", func(t *testing.T, c *cluster) {
		old := c.scheduler()
		c.directHeartbeatsTo(old)
		c.pause(old, 40*time.Second)
		c.advance(time.Second)
		c.cancelLongJobs(t, c.othersThan(old))
		c.advance(70 * time.Second)
		c.expectLongJobsStopped(t)
	}},
	{"leader and scheduling controller paused for seconds, repeatedly", func(t *testing.T, c *cluster) {
		for i := range 6 {
			c.pause(c.leader(), time.Duration(2+i)*time.Second)
			c.pause(c.scheduler(), time.Duration(7-i)*time.Second)
			c.submitArray(wire.JobID(fmt.Sprintf("req-00001%d", i)), "blue", 3, 10*time.Second, nil)
			c.cancelJob(longJobs[i%2], c.members...)
			c.advance(6 * time.Second)
		}
		c.advance(30 * time.Second)
	}},
}

// TestCombinedFailures injects two failures at once, each combination with several seeds. No
// invariant is violated. Once all faults are over, no job is forgotten, waits while a machine has
// capacity for it, or stays unfinished.
func TestCombinedFailures(t *testing.T) {
	for _, failure := range combinedFailures {
		t.Run(failure.name, func(t *testing.T) {
			for seed := range uint64(3) {
				withCluster(t, seed, smallCluster, nil, func(t *testing.T, c *cluster) {
					c.startInitialWork()
					failure.inject(t, c)
					c.healAndFinish()
					for _, violation := range c.violations() {
						t.Errorf("seed %d: %s", seed, violation)
					}
				})
			}
		})
	}
}
