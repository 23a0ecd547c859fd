package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lynxledge/internal/config"
	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

// A job of 400 tasks starts within four minutes although small jobs exceed the cluster's capacity
// all the time. Guards against starvation: jobs that can still meet their deadline are preferred,
// but only for a bounded time.
func TestLargestJobStarts(t *testing.T) {
	withCluster(t, 1, smallCluster, nil, func(t *testing.T, c *cluster) {
		c.advance(5 * time.Second)
		submitArray := func(id wire.JobID, tasks int) {
			deadline := wire.Seconds(30)
			j := &wire.Job{
				ID: id, Class: "c", Team: "blue", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: tasks, CPUs: 4, MemoryGB: 1,
				Image: "img", ImageGB: 1, AllowSpot: true, EstimatedRuntime: 20, Deadline: &deadline,
			}
			if status := c.submit(j, 20*time.Second); status != http.StatusCreated {
				t.Fatalf("%s: %d", id, status)
			}
		}
		submittedAt := time.Now()
		for n := range 240 { // four times the cluster's capacity
			submitArray(wire.JobID(fmt.Sprintf("req-1%05d", n)), 4)
			if n == 60 {
				submitArray("req-900000", 400)
				submittedAt = time.Now()
			}
			c.advance(time.Second)
		}
		c.advance(time.Minute)
		if at := c.invariants.FirstTaskStartedAt("req-900000"); at.IsZero() || at.Sub(submittedAt) > 4*time.Minute {
			t.Errorf("the largest job started after %v", at.Sub(submittedAt))
		}
		if violations := c.invariants.Violations(); len(violations) > 0 {
			t.Error(violations)
		}
	})
}

// TestInvariants injects generated sequences of faults into the whole program and checks every
// invariant of the protocol throughout. Once all faults are over, no accepted job goes without an
// answer for 75 s, every accepted array ends, and every service that was not cancelled runs.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		faults := genFaults().Draw(rt, "faults")
		result := runFaults(t, seed, faults, nil)
		if len(result.violations) > 0 {
			rt.Fatalf("invariants violated:\n%s", strings.Join(result.violations, "\n"))
		}
		if len(result.unfinished) > 0 {
			rt.Fatalf("never finished: %v\n%s", result.unfinished, result.dump)
		}
	})
}

// The invariants hold with the smallest limits of values and transactions that the settings accept,
// and teams without limits: work is refused when records are full, and no record is truncated.
func TestInvariantsWithTinyLimits(t *testing.T) {
	for seed := range 12 {
		result := runFaults(t, uint64(seed), genFaults().Example(seed), func(p *config.Params) {
			p.Store.MaxValueKB, p.Store.MaxTxnOps, p.Store.WriteRate = 1, 4, 20
			p.Teams = []config.TeamQuota{{Name: "red"}, {Name: "blue"}}
		})
		if len(result.violations) > 0 {
			t.Errorf("seed %d, invariants violated:\n%s", seed, strings.Join(result.violations, "\n"))
		}
		if len(result.unfinished) > 0 {
			t.Errorf("seed %d, never finished: %v\n%s", seed, result.unfinished, result.dump)
		}
	}
}

// A controller that can't reach the store forwards users' requests to one that can. If none can,
// requests are refused at once, with a Retry-After header.
func TestRequestsAreForwardedToAMemberWithTheStore(t *testing.T) {
	withCluster(t, 1, smallCluster, nil, func(t *testing.T, c *cluster) {
		c.advance(10 * time.Second)
		c.network.Partition("n0", simulation.StoreHost, false)
		c.advance(10 * time.Second)
		j := &wire.Job{
			ID: "req-000001", Class: "c", Team: "blue", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: 1,
			CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimatedRuntime: 1000,
		}
		for _, test := range []struct {
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
			status, body := serveRequest(c.handlers.handler("n0"), test.method, test.path, test.in)
			var job wire.JobStatus
			if _ = json.Unmarshal(body, &job); status != test.want || job.State != test.state {
				t.Errorf("%s %s: %d %s", test.method, test.path, status, body)
			}
		}
		c.store.SetOutage(true)
		c.advance(10 * time.Second)
		start := time.Now()
		recorder := httptest.NewRecorder()
		c.handlers.handler("n1").ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/work/req-000003", nil))
		if took := time.Since(start); recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") == "" || took > 100*time.Millisecond {
			t.Errorf("in an outage: %d after %v, %v", recorder.Code, took, recorder.Header())
		}
	})
}

// The store lowers its limits of values and transactions after a rolling upgrade to controllers
// that have the upcoming limits in their settings. Records written before the upgrade are split in
// time, no invariant is violated, all work finishes, and nothing too large is sent.
func TestLimitsFallAfterAnUpgrade(t *testing.T) {
	for seed := range uint64(6) {
		withoutTeamLimits := func(p *config.Params) { p.Teams = []config.TeamQuota{{Name: "red"}, {Name: "blue"}} }
		withCluster(t, seed, smallCluster, withoutTeamLimits, func(t *testing.T, c *cluster) {
			c.setStoreLimits()
			c.advance(5 * time.Second)
			for i := range 12 {
				c.submitArray(wire.JobID(fmt.Sprintf("req-0000%02d", i)), []wire.TeamName{"red", "blue"}[i%2], 30, time.Duration(20+40*(i%3))*time.Second, nil)
			}
			c.advance(60 * time.Second)
			largest := c.store.LargestValue()
			c.upcomingLimits = &config.UpcomingStoreLimits{WriteRate: 15, MaxValueKB: 1, MaxTxnOps: 4}
			for i, member := range c.members {
				c.crash(member)
				c.advance(4 * time.Second)
				c.start(member)
				c.submitArray(wire.JobID(fmt.Sprintf("req-0001%02d", i)), "red", 10, 30*time.Second, nil)
				c.advance(8 * time.Second)
			}
			c.store.SetLimits(simulation.StoreLimits{WriteRate: 15, MaxValueKB: 1, MaxTxnOps: 4})
			c.fastRestart(c.leader())
			for i := range 6 {
				c.submitArray(wire.JobID(fmt.Sprintf("req-0002%02d", i)), "blue", 20, 15*time.Second, nil)
				c.advance(5 * time.Second)
			}
			c.cloud.FailMachine(int(seed), false)
			c.healAndFinish()
			if largest <= 1024 {
				t.Errorf("seed %d: the largest record had %d bytes: nothing to split", seed, largest)
			}
			for _, violation := range c.violations() {
				t.Errorf("seed %d: %s", seed, violation)
			}
		})
	}
}
