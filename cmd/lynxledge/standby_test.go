package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/standby"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// standbyClusterSpec describes a cluster with early failover on or off.
func standbyClusterSpec(early bool) clusterSpec {
	s := clusterSpec{members: 3, machineTypes: machineTypes, poolSize: 20, memberZones: []wire.Zone{"a", "b", "b"}}
	if early {
		s.operatorSettings = func(o *config.OperatorSettings) {
			section := config.DefaultStandby()
			o.Standby = &section
		}
	}
	return s
}

// withStandbyCluster runs a test of a cluster with early failover that runs tasks.
func withStandbyCluster(t *testing.T, seed uint64, test func(t *testing.T, c *cluster)) {
	t.Helper()
	withCluster(t, seed, standbyClusterSpec(true), func(p *config.Params) {
		p.Teams = []config.TeamQuota{{Name: "red"}, {Name: "blue"}}
		p.Workers.HeartbeatInterval = 8 * time.Second // also the TTL of membership leases, and so the time of a failover without standby
		p.Workers.LeaseDuration, p.Workers.CancellationDeadline = 44*time.Second, 74*time.Second
	}, func(t *testing.T, c *cluster) {
		c.advance(10 * time.Second)
		for i := range 4 {
			c.submitArray(wire.JobID(fmt.Sprintf("req-1%05d", i)), "red", 12, 40*time.Second, nil)
		}
		c.advance(60 * time.Second)
		test(t, c)
	})
}

// highestTerm returns the highest term used so far, or 0 before the first.
func (c *cluster) highestTerm() uint64 {
	var term statecache.Term
	_ = json.Unmarshal(c.store.Value(statecache.TermKey), &term) // without a record the term stays 0
	return term.Number
}

// advanceUntilFailover waits up to a minute until members other than the crashed ones lead and
// schedule, and returns how long that took.
func (c *cluster) advanceUntilFailover(crashed ...string) time.Duration {
	start := time.Now()
	for time.Since(start) < time.Minute {
		if !slices.Contains(crashed, c.leader()) && !slices.Contains(crashed, c.scheduler()) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// The roles of a crashed controller are taken over long before its lease expires, whatever they
// are, and no invariant is violated: no job is lost, no task runs twice.
func TestEarlyFailover(t *testing.T) {
	roles := map[string]func(c *cluster) []string{
		"leader":    func(c *cluster) []string { return []string{c.leader()} },
		"scheduler": func(c *cluster) []string { return []string{c.scheduler()} },
		"both":      func(c *cluster) []string { return []string{c.leader(), c.scheduler()} },
	}
	for role, membersToCrash := range roles {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(role, seed), func(t *testing.T) {
				t.Parallel()
				withStandbyCluster(t, seed, func(t *testing.T, c *cluster) {
					crashed := membersToCrash(c)
					for _, member := range crashed {
						c.crash(member)
					}
					// A leader and a scheduler that crash together leave one controller, which
					// can't tell their crashes from its own isolation.
					if took, lease := c.advanceUntilFailover(crashed...), c.cfg.Params.Workers.HeartbeatInterval; role != "both" && took > lease*5/8 {
						t.Errorf("taken over after %v, with a lease of %v", took, lease)
					}
					c.submitArray("req-900000", "blue", 4, 5*time.Second, func(j *wire.Job) { j.Priority = wire.PriorityHigh })
					c.healAndFinish()
					for _, violation := range c.violations() {
						t.Error(violation)
					}
				})
			})
		}
	}
}

// harmlessFault is a fault in which no controller crashes.
type harmlessFault struct {
	inject func(c *cluster)
	// leasesMayExpire reports whether all renewals of a lease may be lost. The roles attached to
	// the lease then pass to another member, as they do without early failover.
	leasesMayExpire bool
}

// harmlessFaults are faults in which no controller crashes, so none may be considered failed.
var harmlessFaults = map[string]harmlessFault{
	"leader paused for less than its lease": {inject: func(c *cluster) {
		c.pause(c.leader(), 5*time.Second)
		c.advance(20 * time.Second)
	}},
	"all controllers paused": {inject: func(c *cluster) {
		for _, member := range c.members {
			c.pause(member, 4*time.Second) // short enough that no lease expires
		}
		c.advance(20 * time.Second)
	}},
	"every link between controllers partitioned": {inject: func(c *cluster) {
		for i, member := range c.members {
			for _, other := range c.members[:i] {
				c.network.Partition(member, other, i%2 == 0)
			}
		}
		c.advance(60 * time.Second)
	}},
	"messages lost and duplicated": {leasesMayExpire: true, inject: func(c *cluster) {
		c.network.SetLossAndDuplication(0.05, 0.1)
		c.advance(60 * time.Second)
	}},
	"store outage": {inject: func(c *cluster) {
		c.store.SetOutage(true)
		c.advance(30 * time.Second)
		c.store.SetOutage(false)
		c.advance(10 * time.Second)
	}},
}

// roles are the term, the leader and the scheduler as recorded in the store.
type roles struct {
	term              uint64
	leader, scheduler string
}

func (c *cluster) roles() roles {
	return roles{term: c.highestTerm(), leader: c.leader(), scheduler: c.scheduler()}
}

// keptRoles reports whether each role is held by the same member as before. If leasesMayExpire, a
// role whose lease expired may have moved.
func (c *cluster) keptRoles(before roles, leasesMayExpire bool) bool {
	after := c.roles()
	keptLeader := after.term == before.term && after.leader == before.leader ||
		leasesMayExpire && c.store.LeaseExpired(statecache.LeaderKey)
	keptScheduler := after.scheduler == before.scheduler ||
		leasesMayExpire && c.store.LeaseExpired(statecache.Key(statecache.KindMember, before.scheduler))
	return keptLeader && keptScheduler
}

// failoverActions lists each controller's last action against a member that it considered failed.
func (c *cluster) failoverActions(t *testing.T) []standby.Action {
	t.Helper()
	var actions []standby.Action
	for _, member := range c.members {
		status := c.standbyStatus(t, member)
		if status.LastAction != (standby.Action{}) {
			actions = append(actions, status.LastAction)
		}
	}
	return actions
}

// standbyStatus reads a member's status page.
func (c *cluster) standbyStatus(t *testing.T, member string) *standby.Status {
	t.Helper()
	code, body := serveRequest(c.peerHandlers[member], http.MethodGet, standby.StatusPath, nil)
	status := &standby.Status{}
	if code != http.StatusOK || json.Unmarshal(body, status) != nil {
		t.Fatalf("%d %s", code, body)
	}
	return status
}

// Controllers that pause, lose messages, or lose their links to one another or the store are not
// considered failed, and keep their roles.
func TestNoFailoverWithoutCrash(t *testing.T) {
	for name, fault := range harmlessFaults {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				t.Parallel()
				withStandbyCluster(t, seed, func(t *testing.T, c *cluster) {
					before := c.roles()
					fault.inject(c)
					if !c.keptRoles(before, fault.leasesMayExpire) {
						t.Errorf("roles %+v became %+v", before, c.roles())
					}
					if actions := c.failoverActions(t); len(actions) > 0 {
						t.Errorf("failover without a crash: %+v", actions)
					}
					c.healAndFinish()
					for _, violation := range c.violations() {
						t.Error(violation)
					}
				})
			})
		}
	}
}

// A leader that is alive, but to which the others lose all connections again and again, may lose
// leadership but not each time: failure verdicts on it are held down longer after each that is
// refuted.
func TestLeadershipIsStable(t *testing.T) {
	withStandbyCluster(t, 1, func(t *testing.T, c *cluster) {
		before := c.highestTerm()
		for range 40 { // every 9 s its connections break for 5 s
			leader := c.leader()
			for _, other := range c.othersThan(leader) {
				c.network.Partition(leader, other, false)
			}
			c.connections.Reset(leader)
			c.advance(5 * time.Second)
			for _, other := range c.othersThan(leader) {
				c.network.Heal(leader, other)
			}
			c.advance(4 * time.Second)
		}
		if terms := c.highestTerm() - before; terms > 12 {
			t.Errorf("%d terms in six minutes", terms)
		}
		c.healAndFinish()
		for _, violation := range c.violations() {
			t.Error(violation)
		}
	})
}

// Under generated faults no invariant is violated with both early failover and zone recovery on.
func TestInvariantsWithAllFeatures(t *testing.T) {
	for seed := range 24 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			spec := standbyClusterSpec(true)
			standbySettings := spec.operatorSettings
			spec.operatorSettings = func(o *config.OperatorSettings) {
				standbySettings(o)
				section := config.DefaultZoneRecovery()
				o.ZoneRecovery = &section
			}
			spec.poolSize = 5
			withCluster(t, uint64(seed), spec, nil, func(t *testing.T, c *cluster) {
				c.advance(5 * time.Second)
				for _, f := range genFaults().Example(seed) {
					c.inject(f)
				}
				c.healAndFinish()
				for _, violation := range c.violations() {
					t.Errorf("seed %d: %s", seed, violation)
				}
			})
		})
	}
}

// The status page shows the last takeover, and the state of the other controllers.
func TestStandbyStatus(t *testing.T) {
	withStandbyCluster(t, 1, func(t *testing.T, c *cluster) {
		crashed := c.leader()
		c.crash(crashed)
		c.advanceUntilFailover(crashed)
		status := c.standbyStatus(t, c.leader())
		var page strings.Builder
		if err := printStandby(&page, status, time.Now()); err != nil {
			t.Fatal(err)
		}
		for _, part := range []string{"last takeover: claim of " + crashed, "all connections closed", "failed", "alive"} {
			if !strings.Contains(page.String(), part) {
				t.Errorf("%q is not on the page:\n%s", part, page.String())
			}
		}
	})
}
