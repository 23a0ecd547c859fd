//go:build measure

package main

import (
	"context"
	"slices"
	"syscall"
	"testing"
	"time"

	"lynxledge/internal/statecache"
)

// failoversPerRole is how often the holder of each role is killed.
const failoversPerRole = 60

// TestMeasureFailoverOnLoopback kills leaders and schedulers that run as processes, and suspends
// leaders (SIGSTOP) for 1 to 10 s. It prints how long failovers take, and how many takeovers there
// were although no process had ended. Run with: go test -tags measure -run
// TestMeasureFailoverOnLoopback -v -timeout 30m ./cmd/lynxledge
func TestMeasureFailoverOnLoopback(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newServingCluster(ctx, t)
	defer c.shutdown()
	for _, role := range []string{"leader", "scheduler"} {
		var took []time.Duration
		for range failoversPerRole {
			took = append(took, c.failover(role, c.kill))
		}
		slices.Sort(took)
		t.Logf("%s killed %d times: replaced after %v (median), %v (nine of ten), %v (last)", role, len(took), took[len(took)/2], took[len(took)*9/10], took[len(took)-1])
	}
	for _, pause := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second} {
		before, _ := recordOf[statecache.Term](c, statecache.TermKey)
		for range 5 {
			c.await("there is a leader", func() bool { return c.holder("leader") != nil })
			p := c.holder("leader")
			_ = p.command.Process.Signal(syscall.SIGSTOP) // can't fail: the process runs
			time.Sleep(pause)
			_ = p.command.Process.Signal(syscall.SIGCONT)
			time.Sleep(2 * time.Second)
		}
		after, _ := recordOf[statecache.Term](c, statecache.TermKey)
		t.Logf("leader suspended for %v, 5 times: %d takeovers", pause, after.Number-before.Number)
	}
	c.await("all services run", func() bool { return c.allReplicasRun("") })
	for _, violation := range append(c.invariants.Violations(), c.store.Violations()...) {
		t.Error(violation)
	}
}
