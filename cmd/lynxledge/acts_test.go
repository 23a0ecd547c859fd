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

// act is one thing that happens to a cluster.
type act struct {
	Kind string
	A, B int
}

var kinds = []string{
	"submit", "submit", "submit", "service", "resubmit", "abort", "poll", "poll", "wait", "wait", "wait",
	"crash", "crash all", "restart", "cut node", "hold node", "cut state", "hold state", "isolate", "cut worker", "hold worker",
	"heal", "heal", "outage", "recover", "fail", "take", "notice", "loss", "repeat", "repeat", "calm", "stranger", "stick",
	"deafen worker", "deafen worker", "bounce", "bounce", "bounce machine",
	"refuse leader", "refuse leader", "end refusals", "slow state", "late writes", "mute worker", "mute worker", "hang worker", "hang worker",
	"at end", "odd", "abort all", "bounce leader",
	"pipeline", "pipeline", "pipeline", "lower limits",
}

func genActs() *rapid.Generator[[]act] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) act {
		return act{rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.IntRange(0, 9).Draw(t, "a"), rapid.IntRange(0, 9).Draw(t, "b")}
	}), 20, 60)
}

func (w *world) do(a act) {
	node := w.nodes[a.A%len(w.nodes)]
	machine := wire.MachineID("")
	if up := w.cloud.Up(); len(up) > 0 {
		machine = up[a.A%len(up)]
	}
	switch a.Kind {
	case "submit", "service":
		w.submit(a)
	case "pipeline":
		w.pipeline(a)
	case "lower limits":
		if n := w.next; n != nil {
			w.state.SetLimits(simulation.StoreLimits{WriteRate: n.WriteRate, MaxValueKB: n.MaxValueKB, MaxTxnOps: n.MaxTxnOps})
		}
	case "resubmit":
		if len(w.known) > 0 {
			j := w.known[a.A%len(w.known)]
			w.ask(http.MethodPost, "/work", j.ID, j)
		}
	case "abort":
		if len(w.known) > 0 {
			id := w.known[a.A%len(w.known)].ID
			w.rules.AskedToCancel(id)
			w.ask(http.MethodPost, "/work/"+string(id)+"/abort", id, nil)
		}
	case "poll":
		for _, j := range w.known {
			w.ask(http.MethodGet, "/work/"+string(j.ID), j.ID, nil)
		}
	case "stranger":
		w.ask(http.MethodGet, fmt.Sprintf("/work/req-9%05d", a.A), wire.JobID(fmt.Sprintf("req-9%05d", a.A)), nil)
	case "crash":
		w.crash(node)
	case "crash all":
		for _, n := range w.nodes {
			w.crash(n)
		}
	case "restart":
		w.restart()
	case "cut node", "hold node":
		w.net.Cut(node, "", a.Kind == "hold node")
	case "cut state", "hold state":
		w.net.Cut(node, simulation.StoreHost, a.Kind == "hold state")
	case "isolate":
		w.isolate(node)
	case "cut worker", "hold worker":
		if machine != "" {
			w.net.Cut(string(machine), "", a.Kind == "hold worker")
		}
	case "heal":
		w.net.HealAll()
	case "outage":
		w.state.SetDown(true)
	case "recover":
		w.state.SetDown(false)
	case "fail", "take":
		w.cloud.FailMachine(a.A, a.Kind == "take")
	case "notice":
		if machine != "" {
			w.cloud.NotifyPreemption(machine, 15)
		}
	case "deafen worker":
		if machine != "" {
			w.net.PartitionInbound(string(machine))
		}
	case "bounce":
		w.bounce(node)
	case "bounce machine":
		if machine != "" {
			w.cloud.FastRestart(machine)
		}
	case "refuse leader":
		w.state.Refuse(w.leader(), true)
	case "end refusals":
		w.calmState()
	case "slow state":
		w.net.Slow(simulation.StoreHost, time.Duration(200*(1+a.A))*time.Millisecond)
	case "late writes":
		w.state.SetLate(0.2)
	case "mute worker":
		if machine != "" {
			w.net.PartitionOutbound(string(machine))
		}
	case "hang worker":
		if machine != "" {
			w.cloud.Hang(machine, time.Duration(1+a.B*a.B)*time.Second)
		}
	case "at end":
		w.meetEnds(a.A)
	case "odd":
		w.odd(a.A)
	case "abort all":
		w.abortAll()
	case "bounce leader":
		w.bounce(w.leader())
	case "stick":
		w.cloud.StickBoots(1 + a.A%3)
	case "loss":
		w.net.SetLossAndDuplication(0.2, 0)
	case "repeat":
		w.net.SetLossAndDuplication(0.02, 0.3)
	case "calm":
		w.net.SetLossAndDuplication(0, 0)
	}
	w.pass(time.Duration(1+a.B*a.B/4) * time.Second)
}

// meetEnds has users ask, cancel or submit again at the very moment at which a
// job's last task completes.
func (w *world) meetEnds(which int) {
	w.rules.OnJobEnd(func(job *wire.Job) {
		id := job.ID
		for i := range 3 {
			switch (which + i) % 3 {
			case 0:
				w.rules.AskedToCancel(id)
				w.ask(http.MethodPost, "/work/"+string(id)+"/abort", id, nil)
			case 1:
				w.ask(http.MethodGet, "/work/"+string(id), id, nil)
			case 2:
				w.ask(http.MethodPost, "/work", id, job)
			}
		}
	})
}

// abortAll cancels every job but services at the same moment, through whatever
// controllers answer.
func (w *world) abortAll() {
	for _, j := range w.known {
		if !j.IsService() {
			w.rules.AskedToCancel(j.ID)
			w.ask(http.MethodPost, "/work/"+string(j.ID)+"/abort", j.ID, nil)
		}
	}
}

// odd sends a job that can't run, or lacks a field, to a controller.
func (w *world) odd(which int) {
	w.jobs++
	j := map[string]any{
		"id": fmt.Sprintf("req-%06d", w.jobs), "lane": "c", "crew": "red", "shape": "array", "rank": "normal", "legs": 2, "cores": 1, "gpus": 0,
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
	if door := w.doors.of(w.nodes[w.rng.IntN(len(w.nodes))]); door != nil {
		status, _ := ask(door, http.MethodPost, "/work", j)
		w.rules.MalformedRequest(fmt.Sprint(j), status)
	}
}

func (w *world) submit(a act) {
	w.jobs++
	j := &wire.Job{
		ID: wire.JobID(fmt.Sprintf("req-%06d", w.jobs)), Class: "c", Team: []wire.TeamName{"red", "blue"}[a.A%2], Kind: wire.KindArray,
		Priority: wire.Priority(a.B % 3), TaskCount: 1 + a.A, CPUs: float64(1 + a.B%4), MemoryGB: 1, Image: "img", ImageGB: 1,
		AllowSpot: a.A%3 != 0, SingleZone: a.B%4 == 1, EstimatedRuntime: 10,
	}
	if a.Kind == "service" {
		j.Kind, j.Priority, j.TaskCount, j.CPUs, j.SpreadZones, j.SingleZone, j.AllowSpot = wire.KindService, wire.PriorityProduction, 1+a.A%3, 1, a.B%2 == 0, false, false
	}
	w.rules.Submitted(j, time.Duration(2+a.B*3)*time.Second)
	w.known = append(w.known, j)
	w.ask(http.MethodPost, "/work", j.ID, j)
}

// pipeline submits jobs that wait for one another, and some for earlier ones, each
// once those before it are accepted: a chain or a diamond.
func (w *world) pipeline(a act) {
	var stages []*wire.Job
	for i := range 3 + a.A%3 {
		w.jobs++
		j := &wire.Job{
			ID: wire.JobID(fmt.Sprintf("req-%06d", w.jobs)), Class: "stage", Team: []wire.TeamName{"red", "blue"}[(a.A+i)%2], Kind: wire.KindArray,
			Priority: wire.PriorityIdle, TaskCount: 1 + (a.B+i)%4, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, AllowSpot: true, EstimatedRuntime: 10,
		}
		switch {
		case i > 0 && a.B%2 == 0: // a chain
			j.Dependencies = []wire.JobID{stages[i-1].ID}
		case i > 0: // all behind the first, the last behind all
			j.Dependencies = []wire.JobID{stages[0].ID}
		}
		if i == 0 && len(w.known) > 0 && a.B%3 == 0 {
			if k := w.known[a.A%len(w.known)]; !k.IsService() && w.rules.Accepted(k.ID) {
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
		w.rules.Submitted(j, time.Duration(2+a.B)*time.Second)
		w.known = append(w.known, j)
		w.ask(http.MethodPost, "/work", j.ID, j)
		if !w.rules.Accepted(j.ID) {
			return
		}
		stages = append(stages, j)
		w.pass(time.Second)
	}
}

func play(t *testing.T, seed uint64, acts []act, tweak func(*config.Params)) (breaches []string, open []wire.JobID, dump string) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newWorld(ctx, seed, small, tweak)
		if s := w.cfg.Params.Store; seed%2 == 1 { // the limits may fall, which controllers that start later know
			w.state.SetLimits(simulation.StoreLimits{WriteRate: s.WriteRate, MaxValueKB: s.MaxValueKB, MaxTxnOps: s.MaxTxnOps})
			w.next = &config.UpcomingStoreLimits{WriteRate: s.WriteRate / 2, MaxValueKB: max(1, s.MaxValueKB/4), MaxTxnOps: max(4, s.MaxTxnOps/2)}
			for _, n := range w.nodes {
				w.bounce(n)
			}
		}
		w.pass(5 * time.Second)
		for _, a := range acts {
			w.do(a)
		}
		w.recover()
		breaches, open = append(w.rules.Violations(), w.state.Violations()...), append(w.rules.UnfinishedJobs(), w.rules.MissingTasks()...)
		if len(open) > 0 {
			dump = w.state.Dump()
		}
		cancel()
		w.end()
	})
	return breaches, open, dump
}
