package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lynxledge/internal/config"
	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

// However many small jobs keep the cluster busy, the largest begins within four
// minutes: it gives way to those that can still be in time, but not for ever.
func TestLargestJobBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, 1, small, nil)
		w.pass(5 * time.Second)
		array := func(id wire.JobID, tasks int) {
			due := wire.Seconds(30)
			j := &wire.Job{
				ID: id, Class: "c", Team: "blue", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: tasks, CPUs: 4, MemoryGB: 1,
				Image: "img", ImageGB: 1, AllowSpot: true, EstimatedRuntime: 20, Deadline: &due,
			}
			w.rules.Submitted(j, 20*time.Second)
			w.known = append(w.known, j)
			if s := w.ask(http.MethodPost, "/work", j.ID, j); s != http.StatusCreated {
				t.Fatalf("%s: %d", id, s)
			}
		}
		begun := time.Now()
		for n := range 240 { // four times what the machines can take
			array(wire.JobID(fmt.Sprintf("req-1%05d", n)), 4)
			if n == 60 {
				array("req-900000", 400)
				begun = time.Now()
			}
			w.pass(time.Second)
		}
		w.pass(time.Minute)
		if at := w.rules.AcceptedAt("req-900000"); at.IsZero() || at.Sub(begun) > 4*time.Minute {
			t.Errorf("the largest job began after %v", at.Sub(begun))
		}
		if b := w.rules.Violations(); len(b) > 0 {
			t.Error(b)
		}
		cancel()
		w.end()
	})
}

// TestRules plays generated troubles against the whole program and checks
// every rule of the protocol all along. Once all troubles are over, no job goes
// unanswered for 75 s, every accepted array is done in the end, and every
// service that was not cancelled runs.
func TestRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		acts := genActs().Draw(rt, "acts")
		breaches, open, dump := play(t, seed, acts, nil)
		if len(breaches) > 0 {
			rt.Fatalf("rules broken:\n%s", strings.Join(breaches, "\n"))
		}
		if len(open) > 0 {
			rt.Fatalf("never finished: %v\n%s", open, dump)
		}
	})
}

// The smallest values and transactions that are accepted, with teams that have
// no limit, keep the rules too: records that are full refuse work, none is cut.
func TestRulesWithTinyLimits(t *testing.T) {
	for seed := range 12 {
		breaches, open, dump := play(t, uint64(seed), genActs().Example(seed), func(p *config.Params) {
			p.Store.MaxValueKB, p.Store.MaxTxnOps, p.Store.WriteRate = 1, 4, 20
			p.Teams = []config.TeamQuota{{Name: "red"}, {Name: "blue"}}
		})
		if len(breaches) > 0 {
			t.Errorf("seed %d, rules broken:\n%s", seed, strings.Join(breaches, "\n"))
		}
		if len(open) > 0 {
			t.Errorf("seed %d, never finished: %v\n%s", seed, open, dump)
		}
	}
}

// A controller that has lost the state service has its users' requests answered
// by one that has not; when none has it, they are refused at once, with a time to
// come back.
func TestRequestsGoWhereStateIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, 1, small, nil)
		w.pass(10 * time.Second)
		w.net.Cut("n0", simulation.StoreHost, false)
		w.pass(10 * time.Second)
		j := &wire.Job{
			ID: "req-000001", Class: "c", Team: "blue", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: 1,
			CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimatedRuntime: 1000,
		}
		for _, q := range []struct {
			method, path string
			in           any
			want         int
			state        wire.JobState
		}{
			{http.MethodPost, "/work", j, http.StatusCreated, wire.JobQueued},
			{http.MethodGet, "/work/req-000001", nil, http.StatusOK, wire.JobQueued},
			{http.MethodGet, "/work/req-000002", nil, http.StatusNotFound, ""},
			{http.MethodPost, "/work/req-000001/abort", nil, http.StatusOK, wire.JobCancelled},
		} {
			status, body := ask(w.doors.of("n0"), q.method, q.path, q.in)
			var s wire.JobStatus
			if _ = json.Unmarshal(body, &s); status != q.want || s.State != q.state {
				t.Errorf("%s %s: %d %s", q.method, q.path, status, body)
			}
		}
		w.state.SetDown(true)
		w.pass(10 * time.Second)
		begun := time.Now()
		rec := httptest.NewRecorder()
		w.doors.of("n1").ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/work/req-000003", nil))
		if took := time.Since(begun); rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Retry-After") == "" || took > 100*time.Millisecond {
			t.Errorf("in an outage: %d after %v, %v", rec.Code, took, rec.Header())
		}
		cancel()
		w.end()
	})
}

// Limits of values and transactions fall while controllers are replaced, one by one,
// by such that know of it: records that the former ones wrote are split in time, no
// rule is broken, nothing is left behind, and nothing too large is sent.
func TestLimitsFallAfterAnUpgrade(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			w := newWorld(ctx, seed, small, func(p *config.Params) { p.Teams = []config.TeamQuota{{Name: "red"}, {Name: "blue"}} })
			s := w.cfg.Params.Store
			w.state.SetLimits(simulation.StoreLimits{WriteRate: s.WriteRate, MaxValueKB: s.MaxValueKB, MaxTxnOps: s.MaxTxnOps})
			w.pass(5 * time.Second)
			for i := range 12 {
				w.array(wire.JobID(fmt.Sprintf("req-0000%02d", i)), []wire.TeamName{"red", "blue"}[i%2], 30, time.Duration(20+40*(i%3))*time.Second, nil)
			}
			w.pass(60 * time.Second)
			largest := w.state.Largest()
			w.next = &config.UpcomingStoreLimits{WriteRate: 15, MaxValueKB: 1, MaxTxnOps: 4}
			for i, n := range w.nodes {
				w.crash(n)
				w.pass(4 * time.Second)
				w.start(n)
				w.array(wire.JobID(fmt.Sprintf("req-0001%02d", i)), "red", 10, 30*time.Second, nil)
				w.pass(8 * time.Second)
			}
			w.state.SetLimits(simulation.StoreLimits{WriteRate: 15, MaxValueKB: 1, MaxTxnOps: 4})
			w.bounce(w.leader())
			for i := range 6 {
				w.array(wire.JobID(fmt.Sprintf("req-0002%02d", i)), "blue", 20, 15*time.Second, nil)
				w.pass(5 * time.Second)
			}
			w.cloud.FailMachine(int(seed), false)
			w.recover()
			if largest <= 1024 {
				t.Errorf("seed %d: the largest record had %d bytes: nothing to split", seed, largest)
			}
			for _, f := range w.faults() {
				t.Errorf("seed %d: %s", seed, f)
			}
			cancel()
			w.end()
		})
	}
}
