package main

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lynxledge/wire"
)

// submitServices submits services of six replicas each, spread over the zones.
func (c *cluster) submitServices(n int) (ids []wire.JobID) {
	for range n {
		id := c.nextJobID()
		c.submitArray(id, "blue", 6, 0, func(j *wire.Job) {
			j.Kind, j.Priority, j.SpreadZones, j.AllowSpot = wire.KindService, wire.PriorityProduction, true, false
		})
		ids = append(ids, id)
	}
	return ids
}

// awaitReturnOf waits until a machine is gone.
func (c *cluster) awaitReturnOf(t *testing.T, machine wire.MachineID) {
	t.Helper()
	for range 120 {
		if !slices.Contains(c.cloud.RunningMachines(), machine) {
			return
		}
		c.advance(time.Second)
	}
	t.Errorf("%s is not returned", machine)
}

// firstMachineIn waits for the first machine in a zone, and returns it.
func (c *cluster) firstMachineIn(t *testing.T, zone wire.Zone) wire.MachineID {
	t.Helper()
	for range 120 {
		for _, instance := range c.cloud.Running() {
			if instance.Zone == zone {
				return instance.ID
			}
		}
		c.advance(time.Second)
	}
	t.Errorf("no machine in zone %s", zone)
	return ""
}

// Replicas and long tasks that failed on a faulty machine run again on sound ones once it is
// returned, also if controllers crashed meanwhile. Guards against tasks that are never started again
// after failures, beside an empty machine.
func TestTasksOfFaultyMachineRunAgain(t *testing.T) {
	for _, crash := range []struct {
		name  string
		crash func(c *cluster)
	}{
		{"no crash", func(*cluster) {}},
		{"scheduler crashes", func(c *cluster) { c.fastRestart(c.scheduler()) }},
		{"leader crashes", func(c *cluster) { c.fastRestart(c.leader()) }},
		{"all controllers crash", func(c *cluster) { c.crashAll(); c.advance(4 * time.Second); c.restartAll() }},
	} {
		t.Run(crash.name, func(t *testing.T) {
			for seed := range uint64(3) {
				withCluster(t, seed, smallCluster, nil, func(t *testing.T, c *cluster) {
					c.advance(5 * time.Second)
					c.cloud.MakeBootsFaulty("b", 1)
					c.submitServices(3)
					for range 2 {
						c.submitArray(c.nextJobID(), "blue", 4, 20*time.Minute, func(j *wire.Job) { j.Zone, j.AllowSpot = "b", false })
					}
					faulty := c.firstMachineIn(t, "b")
					c.awaitReturnOf(t, faulty)
					crash.crash(c)
					c.invariants.FaultsOver()
					c.advance(3 * time.Minute)
					for _, job := range c.submitted {
						if running := c.invariants.RunningTasks(job.ID); running != job.TaskCount {
							t.Errorf("seed %d: %d of %d tasks of %s run", seed, running, job.TaskCount, job.ID)
						}
					}
					if violations := append(c.invariants.Violations(), c.store.Violations()...); len(violations) > 0 {
						t.Errorf("seed %d: %v", seed, violations)
					}
				})
			}
		})
	}
}

// Jobs whose tasks fail on every machine are tried one task at a time, sound machines are not taken
// for faulty and replaced, and machines that were rented for the other tasks are returned. Guards
// against jobs with a mistake that take machine after machine, many tasks at a time, until they are
// cancelled.
func TestMistakenJobsAreTriedOneTaskAtATime(t *testing.T) {
	for _, estimate := range []wire.Seconds{2, 600} {
		t.Run(fmt.Sprintf("estimated to run %v s", estimate), func(t *testing.T) {
			for seed := range uint64(3) {
				withCluster(t, seed, smallCluster, nil, func(t *testing.T, c *cluster) {
					services, mistaken := c.startMistakenJobs(4, estimate)
					before := len(services.machines)
					c.advance(2 * time.Minute)
					rented, mostTasks := c.cloud.ProvisionedMachines(), 0
					for range 300 {
						c.advance(time.Second)
						mostTasks = max(mostTasks, c.invariants.RunningTasks(mistaken...))
					}
					if mostTasks > len(mistaken) {
						t.Errorf("seed %d: %d tasks of %d jobs with a mistake ran at once", seed, mostTasks, len(mistaken))
					}
					if now := c.cloud.ProvisionedMachines(); now > rented {
						t.Errorf("seed %d: %d machines were rented after the first two minutes", seed, now-rented)
					}
					if now := len(c.cloud.Running()); now > before+len(mistaken) {
						t.Errorf("seed %d: %d machines run, %d before the jobs with a mistake", seed, now, before)
					}
					if running := c.invariants.RunningTasks(services.ids...); running != 12 {
						t.Errorf("seed %d: %d replicas run", seed, running)
					}
					for _, id := range mistaken {
						c.cancelJob(id, c.members...)
					}
					c.healAndFinish()
					for _, violation := range c.violations() {
						t.Errorf("seed %d: %s", seed, violation)
					}
				})
			}
		})
	}
}

// runningServices are services and the machines that ran once all their replicas did.
type runningServices struct {
	ids      []wire.JobID
	machines []wire.MachineID
}

// startMistakenJobs starts two services, and then submits arrays of 40 tasks that all fail, with the
// given estimate of their runtime.
func (c *cluster) startMistakenJobs(n int, estimate wire.Seconds) (services runningServices, mistaken []wire.JobID) {
	c.advance(5 * time.Second)
	services.ids = c.submitServices(2)
	c.advance(90 * time.Second)
	services.machines = c.cloud.RunningMachines()
	for range n {
		id := c.nextJobID()
		c.submitArray(id, "blue", 40, 2*time.Second, func(j *wire.Job) { j.EstimatedRuntime = estimate })
		c.invariants.SetMistake(id)
		mistaken = append(mistaken, id)
	}
	return services, mistaken
}
