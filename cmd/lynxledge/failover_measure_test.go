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

// failover is what follows the crash of a controller, as time from then on. What has not
// happened is zero.
type failover struct {
	mu                 sync.Mutex
	crashedAt          time.Time
	crashed            string        // the member
	memberRemoved      time.Duration // the membership of the crashed controller is gone
	leaderElected      time.Duration // another leads
	teamsAssigned      time.Duration // its teams are assigned to another
	machineProvisioned time.Duration // the first intent of the new leader
	taskBound          time.Duration // the first task bound by another controller
}

// phases names the figures.
var phases = []string{"membership removed", "leader elected", "teams assigned", "first provisioning", "first binding"}

func (f *failover) durations() []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []time.Duration{f.memberRemoved, f.leaderElected, f.teamsAssigned, f.machineProvisioned, f.taskBound}
}

// apply records what the changes of the store's records mean.
func (f *failover) apply(update statecache.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range update.Changes {
		if f.crashedAt.IsZero() {
			continue
		}
		note := func(at *time.Duration, is bool) {
			if is && *at == 0 {
				*at = time.Since(f.crashedAt)
			}
		}
		switch record := change.Record.(type) {
		case nil:
			note(&f.memberRemoved, change.Kind == statecache.KindMember && change.Name == f.crashed)
		case *statecache.Leader:
			note(&f.leaderElected, record.Member != f.crashed)
		case *statecache.Assignment:
			note(&f.teamsAssigned, record.Member != f.crashed)
		case *statecache.ProvisioningIntent:
			note(&f.machineProvisioned, record.RequestedAt >= statecache.TimestampOf(f.crashedAt))
		case *statecache.MachineGroup:
			for _, m := range record.Machines {
				for i := range m.Bindings {
					// Attempts of a new term are larger than all before.
					note(&f.taskBound, f.teamsAssigned > 0 && m.Bindings[i].Job > "req-5" && m.Bindings[i].StopToken == 0)
				}
			}
		}
	}
}

// measureFailover ends controllers, and has new work arrive all the time.
func measureFailover(t *testing.T, seed uint64, report float64, early bool, victims func(c *cluster) []string) []time.Duration {
	var figures []time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCluster(ctx, seed, standbyClusterSpec(early), func(p *config.Params) {
			p.Teams = []config.TeamQuota{{Name: "red"}, {Name: "blue"}}
			p.Workers.HeartbeatInterval = config.Seconds(report)
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
		dead := victims(c)
		f.mu.Lock()
		f.crashedAt, f.crashed = time.Now(), dead[0]
		f.mu.Unlock()
		for _, n := range dead {
			c.crash(n)
		}
		for i := range 30 {
			c.submitArray(wire.JobID(fmt.Sprintf("req-5%05d", i)), "blue", 2, 20*time.Second, func(j *wire.Job) { j.Priority = wire.PriorityHigh })
			time.Sleep(time.Second)
		}
		figures = f.durations()
		cancel()
		c.shutdown()
	})
	return figures
}

// TestMeasureFailover prints where the time of a takeover goes, by the role of the dead
// controller, in simulated time. Run with: go test -tags measure -run
// TestMeasureFailover -v ./cmd/lynxledge
func TestMeasureFailover(t *testing.T) {
	roles := map[string]func(c *cluster) []string{
		"leader":    func(c *cluster) []string { return []string{c.leader()} },
		"scheduler": func(c *cluster) []string { return []string{c.scheduler()} },
		"both":      func(c *cluster) []string { return slices.Compact([]string{c.scheduler(), c.leader()}) },
	}
	const failovers = 40
	for _, report := range []float64{3, 5, 8} {
		for role, victims := range roles {
			for _, early := range []bool{false, true} {
				byPhase := make([][]time.Duration, len(phases))
				for seed := range uint64(failovers) {
					for i, d := range measureFailover(t, seed, report, early, victims) {
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
				t.Logf("reports every %.0f s, %s of %d, standby %v: %s", report, role, failovers, early, strings.Join(parts, "; "))
			}
		}
	}
}
