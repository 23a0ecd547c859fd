package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

// combinedFailure is two failures at once. docs/combined-failures.md has a row for each.
type combinedFailure struct {
	name string
	// play begins on a cluster that runs the opening's work.
	play func(t *testing.T, w *world)
}

// array submits an array whose tasks run for a time.
func (w *world) array(id wire.JobID, team wire.TeamName, tasks int, run time.Duration, change func(*wire.Job)) *wire.Job {
	j := &wire.Job{
		ID: id, Class: "c", Team: team, Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: tasks, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1,
		AllowSpot: true, EstimatedRuntime: wire.Seconds(run.Seconds()),
	}
	if change != nil {
		change(j)
	}
	w.rules.Submitted(j, run)
	w.known = append(w.known, j)
	w.ask(http.MethodPost, "/work", j.ID, j)
	return j
}

// cancel has a job cancelled through the controllers named.
func (w *world) cancel(id wire.JobID, through ...string) (confirmed bool) {
	w.rules.AskedToCancel(id)
	for _, n := range through {
		if w.doors.of(n) == nil {
			continue
		}
		status, state := w.askAt(n, http.MethodPost, "/work/"+string(id)+"/abort", id, nil)
		if status == http.StatusOK && state == wire.JobCancelled {
			return true
		}
	}
	return false
}

// others are the controllers but one.
func (w *world) others(than string) []string {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n string) bool { return n == than })
}

// opening has machines up and work on them: long batch jobs that may be
// cancelled, a small one whose tasks end far apart, and a replicated service.
func (w *world) opening() {
	w.pass(5 * time.Second)
	w.array("req-000001", "blue", 8, 200*time.Second, nil)
	w.array("req-000002", "red", 6, 200*time.Second, nil)
	w.array("req-000003", "blue", 3, 40*time.Second, func(j *wire.Job) { j.CPUs = 2 })
	w.array("req-000004", "blue", 2, 0, func(j *wire.Job) {
		j.Kind, j.Priority, j.SpreadZones, j.AllowSpot = wire.KindService, wire.PriorityProduction, true, false
	})
	w.pass(50 * time.Second)
}

var longJobs = []wire.JobID{"req-000001", "req-000002"}

// cancelLongJobs has the long jobs cancelled through the controllers named.
func (w *world) cancelLongJobs(t *testing.T, through []string) {
	t.Helper()
	for _, id := range longJobs {
		if !w.cancel(id, through...) {
			t.Errorf("%s: cancellation not confirmed", id)
		}
	}
}

// expectLongJobsGone checks that no task of the long jobs is on a machine any more.
func (w *world) expectLongJobsGone(t *testing.T) {
	t.Helper()
	if on := w.rules.RunningTasks(longJobs...); on > 0 {
		t.Errorf("%d cancelled tasks are still on machines", on)
	}
}

// gather has every worker report to one controller.
func (w *world) gather(node string) {
	for _, n := range w.others(node) {
		w.crash(n)
	}
	w.pass(8 * time.Second)
	w.restart()
	w.pass(3 * time.Second)
}

// gap: the state service refuses the leader alone, another controller confirms
// cancellations, then the service is down for all for longer than cancel_s.
func gap(t *testing.T, w *world) {
	old := w.leader()
	w.gather(old)
	w.state.Refuse(old, true)
	w.pass(time.Second)
	w.cancelLongJobs(t, w.others(old))
	w.state.SetDown(true)
	w.pass(70 * time.Second)
	w.expectLongJobsGone(t)
	w.pass(20 * time.Second)
}

var combinedFailures = []combinedFailure{
	{"gap", gap},
	{"all controllers away for longer than a lease", func(_ *testing.T, w *world) {
		for _, n := range w.nodes {
			w.crash(n)
		}
		w.pass(45 * time.Second)
	}},
	{"leader without state and peers, cancelled elsewhere", func(t *testing.T, w *world) {
		old := w.leader()
		w.gather(old)
		w.isolate(old)
		w.pass(5 * time.Second)
		w.cancelLongJobs(t, w.others(old))
		w.pass(66 * time.Second)
		w.expectLongJobsGone(t)
	}},
	{"small job ends far apart, leader changes", func(_ *testing.T, w *world) {
		for i := range 3 {
			w.array(wire.JobID(fmt.Sprintf("req-00010%d", i)), "blue", 1+i, time.Duration(5+30*i)*time.Second, nil)
			w.pass(7 * time.Second)
			w.crash(w.leader())
			w.pass(12 * time.Second)
			w.restart()
		}
	}},
	{"workers reach no controller, commands reach them", func(t *testing.T, w *world) {
		up := w.cloud.Up()
		muted := up[:len(up)/2]
		for _, m := range muted {
			w.net.PartitionOutbound(string(m))
		}
		w.pass(150 * time.Second) // four leases: what is given to them never ends
		for _, m := range muted {
			if slices.Contains(w.cloud.Up(), m) {
				t.Errorf("%s is still given work, which it loses every lease", m)
			}
		}
	}},
	{"more work than room over slow links", func(t *testing.T, w *world) {
		w.net.Slow(simulation.StoreHost, 1200*time.Millisecond)
		w.net.SetLossAndDuplication(0.05, 0)
		for i := range 12 {
			w.array(wire.JobID(fmt.Sprintf("req-0002%02d", i)), []wire.TeamName{"red", "blue"}[i%2], 10, 20*time.Second, func(j *wire.Job) {
				if i%3 == 0 {
					j.Priority = wire.PriorityHigh
				}
			})
			w.pass(5 * time.Second)
		}
		w.pass(4 * time.Minute)
		if u := w.rules.Unserved(4 * time.Minute); len(u) > 0 {
			t.Errorf("not served: %v", u)
		}
	}},
	{"leader ends while machines are out of reach or deaf", func(_ *testing.T, w *world) {
		up := w.cloud.Up()
		w.net.Cut(string(up[0]), "", true)
		w.net.PartitionInbound(string(up[len(up)-1]))
		w.crash(w.leader())
		w.pass(50 * time.Second)
		w.restart()
		w.pass(30 * time.Second)
	}},
	{"cancellations, questions and repeats at the end", func(_ *testing.T, w *world) {
		for i := range 9 {
			w.meetEnds(i)
			w.array(wire.JobID(fmt.Sprintf("req-0003%02d", i)), "blue", 1+i%3, 3*time.Second, nil)
			w.pass(8 * time.Second)
		}
	}},
	{"report held back until a new leader has acted", func(_ *testing.T, w *world) {
		for _, m := range w.cloud.Up() {
			w.net.Cut(string(m), w.leader(), true)
		}
		w.pass(2 * time.Second)
		w.crash(w.leader())
		w.pass(25 * time.Second)
		w.restart()
		w.net.HealAll()
	}},
	{"ten leaders in two minutes, also in an outage", func(_ *testing.T, w *world) {
		for i := range 10 {
			w.bounce(w.leader())
			w.state.SetDown(i == 4 || i == 5)
			w.pass(12 * time.Second)
		}
	}},
	{"zone with a controller cut off for longer than a lease", func(_ *testing.T, w *world) {
		cut := w.others(w.leader())[0]
		for _, h := range w.cloud.Running() {
			if h.Zone == "b" {
				for _, n := range w.others(cut) {
					w.net.Cut(string(h.ID), n, true)
				}
			}
		}
		w.isolate(cut)
		w.net.Cut(cut, simulation.CloudHost, true)
		w.pass(45 * time.Second)
	}},
	{"transactions carried out late", func(_ *testing.T, w *world) {
		w.state.SetLate(0.4)
		for i := range 8 {
			id := wire.JobID(fmt.Sprintf("req-0004%02d", i))
			w.array(id, "blue", 3, 10*time.Second, nil)
			w.pass(6 * time.Second)
			if i%3 == 0 {
				w.cancel(id, w.nodes...)
			}
			if i == 5 {
				w.bounce(w.leader())
			}
		}
	}},
	{"commands and answers held up for seconds", func(_ *testing.T, w *world) {
		for i := range 6 {
			up := w.cloud.Up()
			for _, m := range up[:len(up)/2] {
				w.net.Cut(string(m), "", true)
			}
			w.array(wire.JobID(fmt.Sprintf("req-0005%02d", i)), "blue", 4, 10*time.Second, nil)
			w.pass(6 * time.Second)
			w.cancel(wire.JobID(fmt.Sprintf("req-0005%02d", i/2*2)), w.nodes...)
			w.net.HealAll()
			w.pass(4 * time.Second)
		}
	}},
	{"team at its limit, leader changes, machines can't be asked, cancelled", func(_ *testing.T, w *world) {
		w.array("req-000600", "red", 40, 60*time.Second, nil) // red: 20 at most
		w.pass(20 * time.Second)
		up := w.cloud.Up()
		w.net.Cut(string(up[0]), "", true)
		w.net.PartitionInbound(string(up[1]))
		w.crash(w.leader())
		w.pass(3 * time.Second)
		w.cancel("req-000002", w.nodes...)
		w.pass(40 * time.Second)
		w.restart()
	}},
	{"cancelled as the leader is refused, out a second later", func(t *testing.T, w *world) {
		old := w.leader()
		w.state.Refuse(old, true)
		for _, id := range longJobs {
			w.cancel(id, w.others(old)...)
		}
		w.pass(time.Second)
		w.state.SetDown(true)
		w.pass(80 * time.Second)
	}},
	{"jobs bound to one zone lose machines", func(_ *testing.T, w *world) {
		w.array("req-000700", "blue", 6, 60*time.Second, func(j *wire.Job) { j.SingleZone, j.AllowSpot = true, false })
		w.array("req-000701", "blue", 4, 60*time.Second, func(j *wire.Job) { j.Zone = "b" })
		w.pass(40 * time.Second)
		for i := range 4 {
			w.cloud.FailMachine(2*i, i%2 == 0)
			w.pass(5 * time.Second)
		}
	}},
	{"handed over and back, all end, one returns", func(_ *testing.T, w *world) {
		for range 3 {
			w.crash(w.leader())
			w.pass(8 * time.Second)
			w.restart()
			w.pass(4 * time.Second)
		}
		for _, n := range w.nodes {
			w.crash(n)
		}
		w.pass(time.Second)
		w.start(w.nodes[1])
		w.pass(30 * time.Second)
	}},
	{"state slow, then refused, then out, while users cancel and ask", func(_ *testing.T, w *world) {
		w.net.Slow(simulation.StoreHost, 3*time.Second)
		w.pass(10 * time.Second)
		w.state.Refuse(w.leader(), true)
		w.cancel(longJobs[0], w.nodes...)
		w.pass(3 * time.Second)
		w.state.SetDown(true)
		for range 14 {
			w.cancel(longJobs[1], w.nodes...)
			w.ask(http.MethodGet, "/work/req-000003", "req-000003", nil)
			w.pass(5 * time.Second)
		}
	}},
	{"old reports after newer ones", func(_ *testing.T, w *world) {
		w.net.SetLossAndDuplication(0, 0.5)
		for i := range 6 {
			w.array(wire.JobID(fmt.Sprintf("req-0008%02d", i)), "blue", 4, 8*time.Second, nil)
			w.pass(8 * time.Second)
			w.cloud.FastRestart(w.cloud.Up()[0])
		}
		w.pass(40 * time.Second)
	}},
	{"cancelled as machines hang, state out", func(_ *testing.T, w *world) {
		for i, m := range w.cloud.Up() {
			w.cloud.Hang(m, time.Duration(10+6*i)*time.Second)
		}
		for _, id := range longJobs {
			w.cancel(id, w.nodes...)
		}
		w.pass(2 * time.Second)
		w.state.SetDown(true)
		w.pass(75 * time.Second)
	}},
	{"process stands still beyond every lease while its jobs are cancelled elsewhere", func(t *testing.T, w *world) {
		old := w.placer()
		w.gather(old)
		w.stall(old, 40*time.Second)
		w.pass(time.Second)
		w.cancelLongJobs(t, w.others(old))
		w.pass(70 * time.Second)
		w.expectLongJobsGone(t)
	}},
	{"leader and placing controller stand still for seconds, again and again", func(t *testing.T, w *world) {
		for i := range 6 {
			w.stall(w.leader(), time.Duration(2+i)*time.Second)
			w.stall(w.placer(), time.Duration(7-i)*time.Second)
			w.array(wire.JobID(fmt.Sprintf("req-00001%d", i)), "blue", 3, 10*time.Second, nil)
			w.cancel(longJobs[i%2], w.nodes...)
			w.pass(6 * time.Second)
		}
		w.pass(30 * time.Second)
	}},
}

// TestCombinedFailures brings about two failures at once, each combination with several
// seeds. No rule breaks; once all troubles are over nothing is forgotten, left
// waiting beside room, or unfinished.
func TestCombinedFailures(t *testing.T) {
	for _, m := range combinedFailures {
		t.Run(m.name, func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(context.Background())
					w := newWorld(ctx, seed, small, nil)
					w.opening()
					m.play(t, w)
					w.recover()
					for _, f := range w.faults() {
						t.Errorf("seed %d: %s", seed, f)
					}
					cancel()
					w.end()
				})
			}
		})
	}
}
