//go:build measure

package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// failover records the times, since the crash of a controller, at which the steps of the failover
// happened. The time of a step that has not happened is zero.
type failover struct {
	mu                 sync.Mutex
	crashedAt          time.Time
	crashed            string        // the member
	memberRemoved      time.Duration // its membership record was deleted
	leaderElected      time.Duration // another member became leader
	teamsAssigned      time.Duration // its teams were assigned to another member
	machineProvisioned time.Duration // the first provisioning intent after the crash was written
	taskBound          time.Duration // after teamsAssigned: the first task of a job submitted after the crash was bound
}

// phases names the durations that failover.durations returns.
var phases = []string{"membership removed", "leader elected", "teams assigned", "first provisioning", "first binding"}

func (f *failover) durations() []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []time.Duration{f.memberRemoved, f.leaderElected, f.teamsAssigned, f.machineProvisioned, f.taskBound}
}

// apply records the steps that changes of the store's records show.
func (f *failover) apply(update statecache.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range update.Changes {
		if f.crashedAt.IsZero() {
			continue
		}
		recordFirst := func(step *time.Duration, happened bool) {
			if happened && *step == 0 {
				*step = time.Since(f.crashedAt)
			}
		}
		switch record := change.Record.(type) {
		case nil:
			recordFirst(&f.memberRemoved, change.Kind == statecache.KindMember && change.Name == f.crashed)
		case *statecache.Leader:
			recordFirst(&f.leaderElected, record.Member != f.crashed)
		case *statecache.Assignment:
			recordFirst(&f.teamsAssigned, record.Member != f.crashed)
		case *statecache.ProvisioningIntent:
			recordFirst(&f.machineProvisioned, record.RequestedAt >= statecache.TimestampOf(f.crashedAt))
		case *statecache.MachineGroup:
			for _, m := range record.Machines {
				for i := range m.Bindings {
					// Only jobs submitted after the crash have IDs above req-5.
					recordFirst(&f.taskBound, f.teamsAssigned > 0 && m.Bindings[i].Job > "req-5" && m.Bindings[i].StopToken == 0)
				}
			}
		}
	}
}

// measureFailover crashes controllers while new work arrives, and returns the times of the
// failover.
func measureFailover(t *testing.T, seed uint64, heartbeatSeconds float64, early bool, membersToCrash func(c *cluster) []string) []time.Duration {
	var durations []time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCluster(ctx, seed, standbyClusterSpec(early), func(p *config.Params) {
			p.Teams = []config.TeamQuota{{Name: "red"}, {Name: "blue"}}
			p.Workers.HeartbeatInterval = config.Seconds(heartbeatSeconds)
		})
		f := &failover{}
		observer := statecache.Start(ctx, &simulation.StoreConn{Store: c.store, Network: c.network, Member: "observer", Timeout: time.Second}, statecache.Options{
			ChunkTasks: statecache.ChunkTasks(c.cfg.Params.Store.MaxValueKB), WatchHold: 5 * time.Second, MaxViewAge: time.Second, Backoff: 50 * time.Millisecond,
		})
		observer.Subscribe(f.apply)
		observer.Run()
		c.advance(5 * time.Second)
		for i := range 6 {
			c.submitArray(wire.JobID(fmt.Sprintf("req-1%05d", i)), "red", 20, time.Hour, nil)
		}
		c.advance(90 * time.Second)
		time.Sleep(time.Duration(seed) * 137 * time.Millisecond % (3 * time.Second))
		crashed := membersToCrash(c)
		f.mu.Lock()
		f.crashedAt, f.crashed = time.Now(), crashed[0]
		f.mu.Unlock()
		for _, member := range crashed {
			c.crash(member)
		}
		for i := range 30 {
			c.submitArray(wire.JobID(fmt.Sprintf("req-5%05d", i)), "blue", 2, 20*time.Second, func(j *wire.Job) { j.Priority = wire.PriorityHigh })
			time.Sleep(time.Second)
		}
		durations = f.durations()
		cancel()
		c.shutdown()
	})
	return durations
}

// TestMeasureFailover prints when each step of a failover happens in simulated time, by the role of
// the crashed controller. Run with: go test -tags measure -run TestMeasureFailover -v
// ./cmd/lynxledge
func TestMeasureFailover(t *testing.T) {
	roles := map[string]func(c *cluster) []string{
		"leader":    func(c *cluster) []string { return []string{c.leader()} },
		"scheduler": func(c *cluster) []string { return []string{c.scheduler()} },
		"both":      func(c *cluster) []string { return slices.Compact([]string{c.scheduler(), c.leader()}) },
	}
	const failovers = 40
	for _, heartbeatSeconds := range []float64{3, 5, 8} {
		for role, membersToCrash := range roles {
			for _, early := range []bool{false, true} {
				byPhase := make([][]time.Duration, len(phases))
				for seed := range uint64(failovers) {
					for i, d := range measureFailover(t, seed, heartbeatSeconds, early, membersToCrash) {
						if d > 0 {
							byPhase[i] = append(byPhase[i], d)
						}
					}
				}
				var parts []string
				for i, all := range byPhase {
					if len(all) == 0 {
						continue
					}
					slices.Sort(all)
					parts = append(parts, fmt.Sprintf("%s %.1f s (median), %.1f s (last) in %d", phases[i], all[len(all)/2].Seconds(), all[len(all)-1].Seconds(), len(all)))
				}
				t.Logf("heartbeats every %.0f s, %s of %d, standby %v: %s", heartbeatSeconds, role, failovers, early, strings.Join(parts, "; "))
			}
		}
	}
}
