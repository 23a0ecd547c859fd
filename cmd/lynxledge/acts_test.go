package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "lynxledge/internal/rapidseed"

	"lynxledge/internal/config"
	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

// fault is one thing that happens to a cluster.
type fault struct {
	Kind string
	A, B int
}

var faultKinds = []string{
	"submit", "submit", "submit", "service", "resubmit", "abort", "poll", "poll", "wait", "wait", "wait",
	"crash", "crash all", "restart", "cut node", "hold node", "cut state", "hold state", "isolate", "cut worker", "hold worker",
	"heal", "heal", "outage", "recover", "fail", "take", "notice", "loss", "repeat", "repeat", "calm", "stranger", "stick",
	"deafen worker", "deafen worker", "bounce", "bounce", "bounce machine",
	"refuse leader", "refuse leader", "end refusals", "slow state", "late writes", "mute worker", "mute worker", "hang worker", "hang worker",
	"at end", "odd", "abort all", "bounce leader",
	"pipeline", "pipeline", "pipeline", "lower limits",
}

func genFaults() *rapid.Generator[[]fault] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{rapid.SampledFrom(faultKinds).Draw(t, "kind"), rapid.IntRange(0, 9).Draw(t, "a"), rapid.IntRange(0, 9).Draw(t, "b")}
	}), 20, 60)
}

func (c *cluster) inject(a fault) {
	node := c.members[a.A%len(c.members)]
	machine := wire.MachineID("")
	if up := c.cloud.RunningMachines(); len(up) > 0 {
		machine = up[a.A%len(up)]
	}
	switch a.Kind {
	case "submit", "service":
		c.submitRandom(a)
	case "pipeline":
		c.submitPipeline(a)
	case "lower limits":
		if n := c.upcomingLimits; n != nil {
			c.store.SetLimits(simulation.StoreLimits{WriteRate: n.WriteRate, MaxValueKB: n.MaxValueKB, MaxTxnOps: n.MaxTxnOps})
		}
	case "resubmit":
		if len(c.submitted) > 0 {
			j := c.submitted[a.A%len(c.submitted)]
			c.request(http.MethodPost, "/work", j.ID, j)
		}
	case "abort":
		if len(c.submitted) > 0 {
			id := c.submitted[a.A%len(c.submitted)].ID
			c.invariants.CancellationRequested(id)
			c.request(http.MethodPost, "/work/"+string(id)+"/abort", id, nil)
		}
	case "poll":
		for _, j := range c.submitted {
			c.request(http.MethodGet, "/work/"+string(j.ID), j.ID, nil)
		}
	case "stranger":
		c.request(http.MethodGet, fmt.Sprintf("/work/req-9%05d", a.A), wire.JobID(fmt.Sprintf("req-9%05d", a.A)), nil)
	case "crash":
		c.crash(node)
	case "crash all":
		for _, n := range c.members {
			c.crash(n)
		}
	case "restart":
		c.restartAll()
	case "cut node", "hold node":
		c.network.Partition(node, "", a.Kind == "hold node")
	case "cut state", "hold state":
		c.network.Partition(node, simulation.StoreHost, a.Kind == "hold state")
	case "isolate":
		c.isolate(node)
	case "cut worker", "hold worker":
		if machine != "" {
			c.network.Partition(string(machine), "", a.Kind == "hold worker")
		}
	case "heal":
		c.network.HealAll()
	case "outage":
		c.store.SetOutage(true)
	case "recover":
		c.store.SetOutage(false)
	case "fail", "take":
		c.cloud.FailMachine(a.A, a.Kind == "take")
	case "notice":
		if machine != "" {
			c.cloud.NotifyPreemption(machine, 15)
		}
	case "deafen worker":
		if machine != "" {
			c.network.PartitionInbound(string(machine))
		}
	case "bounce":
		c.fastRestart(node)
	case "bounce machine":
		if machine != "" {
			c.cloud.FastRestart(machine)
		}
	case "refuse leader":
		c.store.SetUnavailableFor(c.leader(), true)
	case "end refusals":
		c.healStore()
	case "slow state":
		c.network.SetMaxExtraLatency(simulation.StoreHost, time.Duration(200*(1+a.A))*time.Millisecond)
	case "late writes":
		c.store.SetDelayedCommits(0.2)
	case "mute worker":
		if machine != "" {
			c.network.PartitionOutbound(string(machine))
		}
	case "hang worker":
		if machine != "" {
			c.cloud.PauseMachine(machine, time.Duration(1+a.B*a.B)*time.Second)
		}
	case "at end":
		c.failAtCompletion(a.A)
	case "odd":
		c.submitMalformed(a.A)
	case "abort all":
		c.cancelAll()
	case "bounce leader":
		c.fastRestart(c.leader())
	case "stick":
		c.cloud.StallBoots(1 + a.A%3)
	case "loss":
		c.network.SetLossAndDuplication(0.2, 0)
	case "repeat":
		c.network.SetLossAndDuplication(0.02, 0.3)
	case "calm":
		c.network.SetLossAndDuplication(0, 0)
	}
	c.advance(time.Duration(1+a.B*a.B/4) * time.Second)
}

// failAtCompletion has users ask, cancel or submit again at the very moment at which a
// job's last task completes.
func (c *cluster) failAtCompletion(which int) {
	c.invariants.OnJobCompleted(func(job *wire.Job) {
		id := job.ID
		for i := range 3 {
			switch (which + i) % 3 {
			case 0:
				c.invariants.CancellationRequested(id)
				c.request(http.MethodPost, "/work/"+string(id)+"/abort", id, nil)
			case 1:
				c.request(http.MethodGet, "/work/"+string(id), id, nil)
			case 2:
				c.request(http.MethodPost, "/work", id, job)
			}
		}
	})
}

// cancelAll cancels every job but services at the same moment, through whatever
// controllers answer.
func (c *cluster) cancelAll() {
	for _, j := range c.submitted {
		if !j.IsService() {
			c.invariants.CancellationRequested(j.ID)
			c.request(http.MethodPost, "/work/"+string(j.ID)+"/abort", j.ID, nil)
		}
	}
}

// submitMalformed sends a job that can't run, or lacks a field, to a controller.
func (c *cluster) submitMalformed(which int) {
	c.jobCount++
	j := map[string]any{
		"id": fmt.Sprintf("req-%06d", c.jobCount), "lane": "c", "crew": "red", "shape": "array", "rank": "normal", "legs": 2, "cores": 1, "gpus": 0,
		"memoryGb": 1, "bundle": "img", "sizeGb": 1, "oneZone": false, "scatter": false, "loaners": true, "expectS": 1, "waypointS": 0, "stashS": 0,
	}
	for i, change := range []struct {
		field string
		to    any
	}{
		{"cores", 17}, {"memoryGb", 65}, {"crew", "nobody"}, {"yard", "nowhere"}, {"builds", []string{"none"}}, {"gpus", 1}, {"legs", 0},
		{"shape", nil}, {"loaners", nil}, {"rank", "soon"},
	} {
		if i == which {
			j[change.field] = change.to
		}
	}
	if door := c.handlers.handler(c.members[c.rng.IntN(len(c.members))]); door != nil {
		status, _ := serveRequest(door, http.MethodPost, "/work", j)
		c.invariants.MalformedRequest(fmt.Sprint(j), status)
	}
}

func (c *cluster) submitRandom(a fault) {
	c.jobCount++
	j := &wire.Job{
		ID: wire.JobID(fmt.Sprintf("req-%06d", c.jobCount)), Class: "c", Team: []wire.TeamName{"red", "blue"}[a.A%2], Kind: wire.KindArray,
		Priority: wire.Priority(a.B % 3), TaskCount: 1 + a.A, CPUs: float64(1 + a.B%4), MemoryGB: 1, Image: "img", ImageGB: 1,
		AllowSpot: a.A%3 != 0, SingleZone: a.B%4 == 1, EstimatedRuntime: 10,
	}
	if a.Kind == "service" {
		j.Kind, j.Priority, j.TaskCount, j.CPUs, j.SpreadZones, j.SingleZone, j.AllowSpot = wire.KindService, wire.PriorityProduction, 1+a.A%3, 1, a.B%2 == 0, false, false
	}
	c.invariants.Submitted(j, time.Duration(2+a.B*3)*time.Second)
	c.submitted = append(c.submitted, j)
	c.request(http.MethodPost, "/work", j.ID, j)
}

// submitPipeline submits jobs that wait for one another, and some for earlier ones, each
// once those before it are accepted: a chain or a diamond.
func (c *cluster) submitPipeline(a fault) {
	var stages []*wire.Job
	for i := range 3 + a.A%3 {
		c.jobCount++
		j := &wire.Job{
			ID: wire.JobID(fmt.Sprintf("req-%06d", c.jobCount)), Class: "stage", Team: []wire.TeamName{"red", "blue"}[(a.A+i)%2], Kind: wire.KindArray,
			Priority: wire.PriorityIdle, TaskCount: 1 + (a.B+i)%4, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, AllowSpot: true, EstimatedRuntime: 10,
		}
		switch {
		case i > 0 && a.B%2 == 0: // a chain
			j.Dependencies = []wire.JobID{stages[i-1].ID}
		case i > 0: // all behind the first, the last behind all
			j.Dependencies = []wire.JobID{stages[0].ID}
		}
		if i == 0 && len(c.submitted) > 0 && a.B%3 == 0 {
			if k := c.submitted[a.A%len(c.submitted)]; !k.IsService() && c.invariants.Accepted(k.ID) {
				j.Dependencies = []wire.JobID{k.ID}
			}
		}
		if i == 2+a.A%3 {
			due := wire.Seconds(90)
			j.Priority, j.Deadline = wire.PriorityHigh, &due
			for _, s := range stages {
				if !slices.Contains(j.Dependencies, s.ID) {
					j.Dependencies = append(j.Dependencies, s.ID)
				}
			}
		}
		c.invariants.Submitted(j, time.Duration(2+a.B)*time.Second)
		c.submitted = append(c.submitted, j)
		c.request(http.MethodPost, "/work", j.ID, j)
		if !c.invariants.Accepted(j.ID) {
			return
		}
		stages = append(stages, j)
		c.advance(time.Second)
	}
}

func playFaults(t *testing.T, seed uint64, acts []fault, tweak func(*config.Params)) (breaches []string, open []wire.JobID, dump string) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCluster(ctx, seed, smallCluster, tweak)
		if s := c.cfg.Params.Store; seed%2 == 1 { // the limits may fall, which controllers that start later know
			c.store.SetLimits(simulation.StoreLimits{WriteRate: s.WriteRate, MaxValueKB: s.MaxValueKB, MaxTxnOps: s.MaxTxnOps})
			c.upcomingLimits = &config.UpcomingStoreLimits{WriteRate: s.WriteRate / 2, MaxValueKB: max(1, s.MaxValueKB/4), MaxTxnOps: max(4, s.MaxTxnOps/2)}
			for _, n := range c.members {
				c.fastRestart(n)
			}
		}
		c.advance(5 * time.Second)
		for _, a := range acts {
			c.inject(a)
		}
		c.healAndFinish()
		breaches, open = append(c.invariants.Violations(), c.store.Violations()...), append(c.invariants.UnfinishedJobs(), c.invariants.DegradedServices()...)
		if len(open) > 0 {
			dump = c.store.Dump()
		}
		cancel()
		c.shutdown()
	})
	return breaches, open, dump
}
