package main

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// smallValues has the store take values in which the record of five machines has room for less than
// half of the small tasks that fit on them.
func smallValues(p *config.Params) {
	p.Store.MaxValueKB = 1
	p.Teams = []config.TeamQuota{{Name: "red"}, {Name: "blue"}, {Name: "green"}}
}

// submitForRecord submits large tasks, for which machines with a common record are rented, and once these
// are up small and long tasks of another team, which run on them next and fill the record.
func (c *cluster) submitForRecord(runtime time.Duration) (small *wire.Job) {
	onLargeMachines := func(j *wire.Job) { j.MachineTypes, j.AllowSpot = []string{"l"}, false }
	deadline := wire.Seconds(60)
	c.submitArray(c.nextJobID(), "blue", 10, 30*time.Second, func(j *wire.Job) { j.CPUs, j.Deadline = 8, &deadline; onLargeMachines(j) })
	c.advance(45 * time.Second)
	return c.submitArray(c.nextJobID(), "red", 120, runtime, func(j *wire.Job) { j.CPUs, j.Priority = 0.5, wire.PriorityIdle; onLargeMachines(j) })
}

// isSplit reports whether a transaction splits a group's record: it requires that the record of a part is
// new.
func isSplit(txn *wire.Txn) bool {
	prefix := statecache.Key(statecache.KindMachineGroup, "s.")
	return slices.ContainsFunc(txn.Preconditions, func(p wire.Precondition) bool {
		return p.ModRevision == 0 && strings.HasPrefix(p.Key, prefix)
	})
}

// interceptFirstSplit handles the first attempt to split a record in place of the store.
func (c *cluster) interceptFirstSplit(handle simulation.CommitInterceptor) (handled func() bool) {
	var done atomic.Bool
	c.store.InterceptCommits(func(from string, txn *wire.Txn, execute func() (uint64, error)) (uint64, error) {
		if !isSplit(txn) || done.Swap(true) {
			return execute()
		}
		return handle(from, txn, execute)
	})
	return done.Load
}

// Generated faults strike while records are full, are split, and are merged again as the small tasks end: no
// invariant is violated, and all work finishes. Guards against tasks that start twice or are lost as
// their machines are moved between records.
func TestInvariantsWithFullRecords(t *testing.T) {
	splits := 0
	for seed := range 12 {
		withCluster(t, uint64(seed), smallCluster, smallValues, func(t *testing.T, c *cluster) {
			var split atomic.Int64
			c.store.InterceptCommits(func(_ string, txn *wire.Txn, execute func() (uint64, error)) (uint64, error) {
				if isSplit(txn) {
					split.Add(1)
				}
				return execute()
			})
			c.advance(5 * time.Second)
			for i, f := range genFaults().Example(seed) {
				if i%20 == 0 {
					c.submitForRecord(time.Minute)
				}
				c.inject(f)
			}
			c.healAndFinish()
			for _, violation := range c.violations() {
				t.Errorf("seed %d: %s", seed, violation)
			}
			splits += int(split.Load())
		})
	}
	if splits == 0 {
		t.Error("no record was split")
	}
	t.Logf("%d attempts to split a record", splits)
}

// A job starts beside machines with room although the common record of their groups is filled by small
// tasks, whatever fails while the records are full or split; the small tasks run, too, and none
// twice. Guards against work that waits for ever beside empty machines because their record has no
// room.
func TestJobStartsBesideFullRecords(t *testing.T) {
	loseResponse := func(_ string, _ *wire.Txn, execute func() (uint64, error)) (uint64, error) {
		_, _ = execute()
		return 0, simulation.ErrNoResponse
	}
	executeLate := func(_ string, _ *wire.Txn, execute func() (uint64, error)) (uint64, error) {
		time.AfterFunc(5*time.Second, func() { _, _ = execute() })
		return 0, simulation.ErrNoResponse
	}
	intercept := func(handle simulation.CommitInterceptor) func(*testing.T, *cluster) {
		return func(t *testing.T, c *cluster) {
			handled := c.interceptFirstSplit(handle)
			t.Cleanup(func() {
				if !handled() {
					t.Error("no record was split")
				}
			})
		}
	}
	for _, trouble := range []struct {
		name          string
		before, after func(t *testing.T, c *cluster) // before the records fill up, and once they are full
	}{
		{"none", nil, nil},
		{"response to a split lost", intercept(loseResponse), nil},
		{"split executed late", intercept(executeLate), nil},
		{"scheduler crashes as it splits", func(t *testing.T, c *cluster) {
			intercept(func(from string, txn *wire.Txn, execute func() (uint64, error)) (uint64, error) {
				go c.fastRestart(from)
				return loseResponse(from, txn, execute)
			})(t, c)
		}, nil},
		{"few writes", func(_ *testing.T, c *cluster) {
			c.store.SetLimits(simulation.StoreLimits{WriteRate: 6, MaxValueKB: 1, MaxTxnOps: 8})
		}, nil},
		{"scheduler crashes", nil, func(_ *testing.T, c *cluster) { c.fastRestart(c.scheduler()) }},
		{"leader crashes", nil, func(_ *testing.T, c *cluster) { c.fastRestart(c.leader()) }},
		{"all controllers crash", nil, func(_ *testing.T, c *cluster) {
			c.crashAll()
			c.advance(4 * time.Second)
			c.restartAll()
		}},
		{"a machine fails", nil, func(_ *testing.T, c *cluster) { c.cloud.FailMachine(1, false) }},
		{"limit lowered by a restart", nil, func(_ *testing.T, c *cluster) {
			c.upcomingLimits = &config.UpcomingStoreLimits{WriteRate: 20, MaxValueKB: 0.9, MaxTxnOps: 4}
			for _, member := range c.members {
				c.fastRestart(member)
				c.advance(3 * time.Second)
			}
		}},
		{"team removed by a restart", func(_ *testing.T, c *cluster) {
			c.cfg.Params.Teams = c.cfg.Params.Teams[:2]
			c.crashAll()
			c.advance(4 * time.Second)
			c.restartAll()
			c.advance(10 * time.Second)
		}, nil},
	} {
		t.Run(trouble.name, func(t *testing.T) {
			for seed := range uint64(3) {
				withCluster(t, seed, smallCluster, smallValues, func(t *testing.T, c *cluster) {
					c.advance(5 * time.Second)
					if trouble.before != nil {
						trouble.before(t, c)
					}
					small := c.submitForRecord(10 * time.Minute)
					c.advance(30 * time.Second)
					if trouble.after != nil {
						trouble.after(t, c)
						c.advance(10 * time.Second)
					}
					c.invariants.FaultsOver()
					last := c.submitArray(c.nextJobID(), "blue", 2, time.Minute, func(j *wire.Job) {
						j.CPUs, j.MachineTypes, j.AllowSpot = 8, []string{"l"}, false
					})
					c.advance(90 * time.Second)
					if c.invariants.FirstTaskStartedAt(last.ID).IsZero() {
						t.Errorf("seed %d: %s has not started", seed, last.ID)
					}
					if running := c.invariants.RunningTasks(small.ID); running != small.TaskCount {
						t.Errorf("seed %d: %d of %d small tasks run", seed, running, small.TaskCount)
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

// Work starts on other machines, rented for it if need be, although small tasks have filled the record
// of a machine that has room otherwise and is alone in its record. Guards against work that waits for
// ever because room that no binding can use is counted for it.
func TestWorkStartsBesideMachineWithFullRecord(t *testing.T) {
	for _, kind := range []wire.JobKind{wire.KindArray, wire.KindService} {
		t.Run(string(kind), func(t *testing.T) {
			for seed := range uint64(3) {
				withCluster(t, seed, smallCluster, smallValues, func(t *testing.T, c *cluster) {
					c.advance(5 * time.Second)
					onLargeMachines := func(j *wire.Job) { j.MachineTypes, j.AllowSpot = []string{"l"}, false }
					small := c.submitArray(c.nextJobID(), "red", 100, 10*time.Minute, func(j *wire.Job) {
						j.Kind, j.Priority, j.CPUs, j.MemoryGB = kind, wire.PriorityNormal, 0.1, 0.1
						onLargeMachines(j)
					})
					c.invariants.FaultsOver()
					c.advance(90 * time.Second)
					if running := c.invariants.RunningTasks(small.ID); running != small.TaskCount {
						t.Errorf("seed %d: %d of %d small tasks run", seed, running, small.TaskCount)
					}
					last := c.submitArray(c.nextJobID(), "blue", 1, time.Minute, func(j *wire.Job) { j.CPUs = 8; onLargeMachines(j) })
					c.advance(90 * time.Second)
					if c.invariants.FirstTaskStartedAt(last.ID).IsZero() {
						t.Errorf("seed %d: %s has not started", seed, last.ID)
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
