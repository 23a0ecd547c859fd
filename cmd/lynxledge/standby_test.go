package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/standby"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// standbyScale is a cluster with early takeovers, or without.
func standbyScale(early bool) scale {
	s := scale{nodes: 3, types: machineTypes, pool: 20, zones: []wire.Zone{"a", "b", "b"}}
	if early {
		s.ops = func(o *config.OperatorSettings) {
			section := config.DefaultStandby()
			o.Standby = &section
		}
	}
	return s
}

// standbyWorld is a cluster with early takeovers that has settled.
func standbyWorld(ctx context.Context, seed uint64) *world {
	w := newWorld(ctx, seed, standbyScale(true), func(p *config.Params) {
		p.Teams = []config.TeamQuota{{Name: "red"}, {Name: "blue"}}
		p.Workers.HeartbeatInterval = 8 * time.Second // a lease is as long: takeovers without standby take as long
		p.Workers.LeaseDuration, p.Workers.CancellationDeadline = 44*time.Second, 74*time.Second
	})
	w.pass(10 * time.Second)
	for i := range 4 {
		w.array(wire.JobID(fmt.Sprintf("req-1%05d", i)), "red", 12, 40*time.Second, nil)
	}
	w.pass(60 * time.Second)
	return w
}

// term is the highest term that was ever used.
func (w *world) term() uint64 {
	var t statecache.Term
	_ = json.Unmarshal(w.state.Value(statecache.TermKey), &t) // 0 before the first
	return t.Number
}

// untilSettled lets time pass until other controllers than the dead lead and place.
func (w *world) untilSettled(dead ...string) time.Duration {
	begun := time.Now()
	for time.Since(begun) < time.Minute {
		if !slices.Contains(dead, w.leader()) && !slices.Contains(dead, w.placer()) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begun)
}

// A controller whose process ends has its roles taken over long before its lease ends,
// whatever its role, and nothing is lost or runs twice.
func TestEarlyTakeover(t *testing.T) {
	roles := map[string]func(w *world) []string{
		"leader": func(w *world) []string { return []string{w.leader()} },
		"placer": func(w *world) []string { return []string{w.placer()} },
		"both":   func(w *world) []string { return []string{w.leader(), w.placer()} },
	}
	for role, victims := range roles {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(role, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(context.Background())
					w := standbyWorld(ctx, seed)
					dead := victims(w)
					for _, n := range dead {
						w.crash(n)
					}
					// A leader and a placer that die together leave one controller, which
					// can't tell their deaths from its own isolation.
					if took, lease := w.untilSettled(dead...), w.cfg.Params.Workers.HeartbeatInterval; role != "both" && took > lease*5/8 {
						t.Errorf("taken over after %v, with a lease of %v", took, lease)
					}
					w.array("req-900000", "blue", 4, 5*time.Second, func(j *wire.Job) { j.Priority = wire.PriorityHigh })
					w.recover()
					for _, f := range w.faults() {
						t.Error(f)
					}
					cancel()
					w.end()
				})
			})
		}
	}
}

// disturb are troubles in which no controller has ended: none may be taken for failed.
var disturb = map[string]func(w *world){
	"a leader that stands still for less than its lease": func(w *world) {
		w.stall(w.leader(), 5*time.Second)
		w.pass(20 * time.Second)
	},
	"all stand still": func(w *world) {
		for _, n := range w.nodes {
			w.stall(n, 4*time.Second) // no lease ends in that time
		}
		w.pass(20 * time.Second)
	},
	"every link between controllers is cut": func(w *world) {
		for i, n := range w.nodes {
			for _, other := range w.nodes[:i] {
				w.net.Cut(n, other, i%2 == 0)
			}
		}
		w.pass(60 * time.Second)
	},
	"messages are lost and repeated": func(w *world) {
		w.net.SetLossAndDuplication(0.05, 0.1)
		w.pass(60 * time.Second)
	},
	"the state service is away": func(w *world) {
		w.state.SetDown(true)
		w.pass(30 * time.Second)
		w.state.SetDown(false)
		w.pass(10 * time.Second)
	},
}

// Controllers that pause, or lose their links to one another, keep their roles.
func TestNoTakeoverWithoutADeath(t *testing.T) {
	for name, trouble := range disturb {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(context.Background())
					w := standbyWorld(ctx, seed)
					term, leader, placer := w.term(), w.leader(), w.placer()
					trouble(w)
					if w.term() != term || w.leader() != leader || w.placer() != placer {
						t.Errorf("term %d became %d; leader %s, placer %s became %s, %s", term, w.term(), leader, placer, w.leader(), w.placer())
					}
					w.recover()
					for _, f := range w.faults() {
						t.Error(f)
					}
					cancel()
					w.end()
				})
			})
		}
	}
}

// A leader that is alive, but of which the others see no connection, may lose the lead; it
// is not taken from it again and again: each time it is held down longer.
func TestLeadershipDoesNotSwing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := standbyWorld(ctx, 1)
		before := w.term()
		for range 40 { // its connections break every few seconds, and come back
			leader := w.leader()
			for _, other := range w.others(leader) {
				w.net.Cut(leader, other, false)
			}
			w.pipes.Break(leader)
			w.pass(5 * time.Second)
			for _, other := range w.others(leader) {
				w.net.Heal(leader, other)
			}
			w.pass(4 * time.Second)
		}
		if terms := w.term() - before; terms > 12 {
			t.Errorf("%d terms in six minutes", terms)
		}
		w.recover()
		for _, f := range w.faults() {
			t.Error(f)
		}
		cancel()
		w.end()
	})
}

// Whatever happens besides, no rule is broken with early takeovers and zone recovery on.
func TestRulesWithEverythingOn(t *testing.T) {
	for seed := range 24 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				size := standbyScale(true)
				early := size.ops
				size.ops = func(o *config.OperatorSettings) {
					early(o)
					section := config.DefaultZoneRecovery()
					o.ZoneRecovery = &section
				}
				size.pool = 5
				w := newWorld(ctx, uint64(seed), size, nil)
				w.pass(5 * time.Second)
				for _, a := range genActs().Example(seed) {
					w.do(a)
				}
				w.recover()
				for _, f := range w.faults() {
					t.Errorf("seed %d: %s", seed, f)
				}
				cancel()
				w.end()
			})
		})
	}
}

// The status page says who stands by and what is known of the others.
func TestStandbyPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := standbyWorld(ctx, 1)
		dead := w.leader()
		w.crash(dead)
		w.untilSettled(dead)
		code, body := ask(w.peerDoors[w.leader()], http.MethodGet, standby.StatusPath, nil)
		status := &standby.Status{}
		if code != http.StatusOK || json.Unmarshal(body, status) != nil {
			t.Fatalf("%d %s", code, body)
		}
		var page strings.Builder
		if err := printStandby(&page, status, time.Now()); err != nil {
			t.Fatal(err)
		}
		for _, part := range []string{"last takeover: claim of " + dead, "all connections closed", "failed", "alive"} {
			if !strings.Contains(page.String(), part) {
				t.Errorf("%q is not on the page:\n%s", part, page.String())
			}
		}
		cancel()
		w.end()
	})
}
