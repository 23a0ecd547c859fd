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

// takeover is when what follows the death of a controller happened, from then on. What
// has not happened is zero.
type takeover struct {
	mu      sync.Mutex
	begun   time.Time
	dead    string
	noticed time.Duration // the dead controller's membership is gone
	led     time.Duration // another leads
	handed  time.Duration // its teams are another's
	rented  time.Duration // the first intent of the new leader
	placed  time.Duration // the first task bound by another controller
}

// phases names the figures.
var phases = []string{"membership gone", "new term", "teams handed on", "first rental", "first placement"}

func (k *takeover) figures() []time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return []time.Duration{k.noticed, k.led, k.handed, k.rented, k.placed}
}

// apply notes what a change of the records means.
func (k *takeover) apply(d statecache.Update) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range d.Changes {
		if k.begun.IsZero() {
			continue
		}
		note := func(at *time.Duration, is bool) {
			if is && *at == 0 {
				*at = time.Since(k.begun)
			}
		}
		switch rec := c.Record.(type) {
		case nil:
			note(&k.noticed, c.Kind == statecache.KindMember && c.Name == k.dead)
		case *statecache.Leader:
			note(&k.led, rec.Member != k.dead)
		case *statecache.Assignment:
			note(&k.handed, rec.Member != k.dead)
		case *statecache.ProvisioningIntent:
			note(&k.rented, rec.RequestedAt >= statecache.TimestampOf(k.begun))
		case *statecache.MachineGroup:
			for _, m := range rec.Machines {
				for i := range m.Bindings {
					// Attempts of a new term are larger than all before.
					note(&k.placed, k.handed > 0 && m.Bindings[i].Job > "req-5" && m.Bindings[i].StopToken == 0)
				}
			}
		}
	}
}

// measureTakeover ends controllers, and has new work arrive all the time.
func measureTakeover(t *testing.T, seed uint64, report float64, early bool, victims func(w *world) []string) []time.Duration {
	var figures []time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, seed, standbyScale(early), func(p *config.Params) {
			p.Teams = []config.TeamQuota{{Name: "red"}, {Name: "blue"}}
			p.Workers.HeartbeatInterval = config.Seconds(report)
		})
		k := &takeover{}
		observer := statecache.Start(ctx, &simulation.StoreConn{Store: w.state, Net: w.net, Node: "observer", Timeout: time.Second}, statecache.Options{
			ChunkTasks: statecache.ChunkTasks(w.cfg.Params.Store.MaxValueKB), WatchHold: 5 * time.Second, MaxViewAge: time.Second, Backoff: 50 * time.Millisecond,
		})
		observer.Subscribe(k.apply)
		observer.Run()
		w.pass(5 * time.Second)
		for i := range 6 {
			w.array(wire.JobID(fmt.Sprintf("req-1%05d", i)), "red", 20, time.Hour, nil)
		}
		w.pass(90 * time.Second)
		time.Sleep(time.Duration(seed) * 137 * time.Millisecond % (3 * time.Second))
		dead := victims(w)
		k.mu.Lock()
		k.begun, k.dead = time.Now(), dead[0]
		k.mu.Unlock()
		for _, n := range dead {
			w.crash(n)
		}
		for i := range 30 {
			w.array(wire.JobID(fmt.Sprintf("req-5%05d", i)), "blue", 2, 20*time.Second, func(j *wire.Job) { j.Priority = wire.PriorityHigh })
			time.Sleep(time.Second)
		}
		figures = k.figures()
		cancel()
		w.end()
	})
	return figures
}

// TestMeasureTakeover prints where the time of a takeover goes, by the role of the dead
// controller, in simulated time. Run with: go test -tags measure -run
// TestMeasureTakeover -v ./cmd/lynxledge
func TestMeasureTakeover(t *testing.T) {
	roles := map[string]func(w *world) []string{
		"leader": func(w *world) []string { return []string{w.leader()} },
		"placer": func(w *world) []string { return []string{w.placer()} },
		"both":   func(w *world) []string { return slices.Compact([]string{w.placer(), w.leader()}) },
	}
	const takeovers = 40
	for _, report := range []float64{3, 5, 8} {
		for role, victims := range roles {
			for _, early := range []bool{false, true} {
				byPhase := make([][]time.Duration, len(phases))
				for seed := range uint64(takeovers) {
					for i, d := range measureTakeover(t, seed, report, early, victims) {
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
				t.Logf("reports every %.0f s, %s of %d, standby %v: %s", report, role, takeovers, early, strings.Join(parts, "; "))
			}
		}
	}
}
