package zonecontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// emptyCluster has nothing placed.
type emptyCluster struct{}

func (emptyCluster) WithClusterState(f func(placement.ClusterState)) bool {
	f(placement.ClusterState{View: statecache.NewUnfinishedView(8)})
	return true
}

// member is one controller in a test: its cache and its zone controller.
type member struct {
	name        string
	incarnation uint64
	cache       *statecache.Cache
	zones       *Controller
}

// cluster is a key-value store with members, and machines in two zones.
type cluster struct {
	t       *testing.T
	ctx     context.Context
	store   *simulation.Store
	network *simulation.Network
	config  config.Config
}

func newCluster(ctx context.Context, t *testing.T) *cluster {
	section := config.DefaultZoneRecovery()
	cfg := config.Config{Operator: config.DefaultOperatorSettings()}
	cfg.Operator.ZoneRecovery = &section
	cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 3 * time.Second, LeaseDuration: 34 * time.Second, CancellationDeadline: 64 * time.Second}
	cfg.Params.Store = config.StoreLimits{MaxValueKB: 4, MaxTxnOps: 8, RequestRate: 150, WriteRate: 50}
	return &cluster{t: t, ctx: ctx, store: simulation.NewStore(), network: simulation.NewNetwork(1, time.Millisecond), config: cfg}
}

func (c *cluster) member(name string, incarnation uint64) *member {
	conn := &simulation.StoreConn{Store: c.store, Network: c.network, Member: name, Timeout: time.Second}
	m := &member{name: name, incarnation: incarnation}
	m.cache = statecache.Start(c.ctx, conn, statecache.Options{ChunkTasks: 8, WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond})
	cfg := c.config
	cfg.MemberName, cfg.Zone = name, "a"
	m.zones = Start(c.ctx, Options{Config: &cfg, Incarnation: incarnation, Cache: m.cache, Scheduler: emptyCluster{}, Policy: zonehealth.PolicyOf(&cfg)})
	m.cache.Run()
	time.Sleep(time.Second)
	return m
}

// write writes records as they are.
func (m *member) write(puts ...statecache.Put) {
	m.cache.Commit(statecache.Commit{Puts: puts}, func(statecache.Outcome) {})
	time.Sleep(500 * time.Millisecond)
}

func (m *member) makeLeader(term uint64) {
	m.write(statecache.Put{Key: statecache.LeaderKey, Record: &statecache.Leader{Member: m.name, Incarnation: m.incarnation, Term: term}}, statecache.Put{Key: statecache.TermKey, Record: &statecache.Term{Number: term}})
}

func announce(name string, incarnation uint64, capabilities ...string) statecache.Put {
	return statecache.Put{Key: statecache.Key(statecache.KindMember, name), Record: &statecache.Member{Incarnation: incarnation, Capabilities: capabilities}}
}

func machines(zone wire.Zone, n int) (statecache.Put, []wire.MachineID) {
	group := &statecache.MachineGroup{Name: "g-" + string(zone), MachineType: "s", Zone: zone}
	var names []wire.MachineID
	for i := range n {
		name := wire.MachineID(fmt.Sprintf("i-%s%02d", zone, i))
		names = append(names, name)
		group.Machines = append(group.Machines, &statecache.Machine{Name: name, Address: "x:1", Incarnation: 1, FencingToken: 9})
	}
	return statecache.Put{Key: statecache.Key(statecache.KindMachineGroup, group.Name), Record: group}, names
}

// receiveHeartbeats lets seconds pass in which a member receives heartbeats of machines.
func receiveHeartbeats(seconds int, m *member, reachable []wire.MachineID) {
	for range seconds {
		m.zones.MachinesReachable(m.name, reachable)
		time.Sleep(time.Second)
	}
}

// record is the record as it stands, or nil.
func (c *cluster) record() *statecache.ZoneRecoveries {
	raw := c.store.Value(statecache.ZoneRecoveryKey)
	if raw == nil {
		return nil
	}
	r := &statecache.ZoneRecoveries{}
	if err := json.Unmarshal(raw, r); err != nil {
		c.t.Error(err)
	}
	return r
}

func (c *cluster) phase(zone wire.Zone) string {
	if z := c.record().Find(zone); z != nil {
		return z.Phase
	}
	return "none"
}

// inSimulatedTime runs a test of members in simulated time.
func inSimulatedTime(t *testing.T, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f(newCluster(ctx, t))
		cancel()
		time.Sleep(time.Minute)
	})
}

// The record is written only while every member announces that it knows it, and goes when
// one comes that doesn't: the version in production never finds one beside it for long.
func TestRecordWaitsForEveryMember(t *testing.T) {
	inSimulatedTime(t, func(c *cluster) {
		m := c.member("n0", 1)
		groupA, _ := machines("a", 8)
		groupB, reachable := machines("b", 8)
		m.write(groupA, groupB, announce("n0", 1, statecache.CapabilityZoneRecovery), announce("n1", 2))
		m.makeLeader(1)
		receiveHeartbeats(30, m, reachable)
		if r := c.record(); r != nil {
			t.Errorf("written beside a member that doesn't support it: %+v", r)
		}
		m.write(announce("n1", 3, statecache.CapabilityZoneRecovery))
		receiveHeartbeats(5, m, reachable)
		if p := c.phase("a"); p != "lost" {
			t.Errorf("zone a is %s", p)
		}
		m.write(announce("n1", 4))
		receiveHeartbeats(5, m, reachable)
		if r := c.record(); r != nil {
			t.Errorf("stands beside a member that doesn't support it: %+v", r)
		}
	})
}

// recordOfLaterVersion is a record in a layout that this version does not know.
type recordOfLaterVersion struct {
	statecache.Record
	value map[string]any
}

// MarshalJSON writes the value.
func (r recordOfLaterVersion) MarshalJSON() ([]byte, error) { return json.Marshal(r.value) }

// A record of another layout is left alone, and nothing follows from it.
func TestUnreadableRecordIsLeftAlone(t *testing.T) {
	inSimulatedTime(t, func(c *cluster) {
		m := c.member("n0", 1)
		groupA, _ := machines("a", 8)
		groupB, reachable := machines("b", 8)
		later := map[string]any{"v": 2, "zones": map[string]string{"a": "lost"}}
		m.write(groupA, groupB, announce("n0", 1, statecache.CapabilityZoneRecovery), statecache.Put{Key: statecache.ZoneRecoveryKey, Record: recordOfLaterVersion{value: later}})
		m.makeLeader(1)
		receiveHeartbeats(30, m, reachable)
		if got, _ := json.Marshal(later); string(c.store.Value(statecache.ZoneRecoveryKey)) != string(got) {
			t.Errorf("rewritten: %s", c.store.Value(statecache.ZoneRecoveryKey))
		}
		status, err := m.zones.Status(c.ctx)
		if err != nil || status.RecordSupported {
			t.Errorf("%+v %v", status, err)
		}
	})
}

// A new leader continues from the record; one that has lost its leadership writes nothing.
func TestNewLeaderContinuesFromRecord(t *testing.T) {
	inSimulatedTime(t, func(c *cluster) {
		first, second := c.member("n0", 1), c.member("n1", 2)
		groupA, lost := machines("a", 8)
		groupB, reachable := machines("b", 8)
		first.write(groupA, groupB, announce("n0", 1, statecache.CapabilityZoneRecovery), announce("n1", 2, statecache.CapabilityZoneRecovery))
		first.makeLeader(1)
		both := func(seconds int, reachable []wire.MachineID) {
			for range seconds {
				first.zones.MachinesReachable("n0", reachable)
				receiveHeartbeats(1, second, reachable)
			}
		}
		both(25, reachable)
		all := append(reachable, lost...)
		for n := 0; n < 60 && (c.record().Find("a") == nil || c.record().Find("a").Step == 0); n++ {
			both(1, all)
		}
		before := c.record().Find("a")
		second.makeLeader(2)
		both(2, all)
		if after := c.record().Find("a"); before == nil || after == nil || after.Step < before.Step || after.Phase != "returning" {
			t.Errorf("%+v after %+v", after, before)
		}
		both(40, all)
		if p := c.phase("a"); p != "healthy" {
			t.Errorf("zone a is %s", p)
		}
		if r := c.record(); r == nil || r.Term != 2 {
			t.Errorf("the record is of %+v", r)
		}
	})
}

// A process that began after a zone had lost its last machine knows it from the record
// alone. Such zones were not evaluated, and stayed lost for ever.
func TestZoneKnownFromTheRecordAlone(t *testing.T) {
	inSimulatedTime(t, func(c *cluster) {
		m := c.member("n0", 1)
		groupB, reachable := machines("b", 8)
		lost := &statecache.ZoneRecoveries{LayoutVersion: statecache.ZoneRecoveryLayoutVersion, Term: 1, Serial: 4, Zones: []statecache.ZoneRecovery{
			{Zone: "a", Phase: "lost", Since: statecache.TimestampOf(time.Now()), Losses: 1},
		}}
		m.write(groupB, announce("n0", 1, statecache.CapabilityZoneRecovery), statecache.Put{Key: statecache.ZoneRecoveryKey, Record: lost})
		m.makeLeader(2)
		receiveHeartbeats(60, m, reachable)
		if p := c.phase("a"); p != "healthy" && p != "none" {
			t.Errorf("zone a is %s", p)
		}
	})
}

// A leader that can reach no machine of any zone concludes nothing.
func TestPartitionedLeaderConcludesNothing(t *testing.T) {
	inSimulatedTime(t, func(c *cluster) {
		m := c.member("n0", 1)
		groupA, a := machines("a", 8)
		groupB, reachable := machines("b", 8)
		m.write(groupA, groupB, announce("n0", 1, statecache.CapabilityZoneRecovery))
		m.makeLeader(1)
		receiveHeartbeats(20, m, append(a, reachable...))
		receiveHeartbeats(60, m, nil)
		if r := c.record(); r != nil {
			t.Errorf("%+v", r)
		}
	})
}

// The record fits the smallest value that is accepted, whatever the zones are named.
func TestRecordFitsValueSize(t *testing.T) {
	var zones []statecache.ZoneRecovery
	for i := range 8 {
		phase := []string{"lost", "degraded"}[i%2]
		zones = append(zones, statecache.ZoneRecovery{
			Zone: wire.Zone(fmt.Sprintf("zone-with-a-name-%d", i)), Phase: phase, Since: 1e12, Losses: 3, HoldUntil: 1e12, Evidence: []int{100, 90, 10, 3, 2, 1, 8, 4},
		})
	}
	kept := fitToValueSize(zones, 1024)
	b, _ := json.Marshal(statecache.ZoneRecoveries{LayoutVersion: 1, Term: 1 << 40, Serial: 1 << 40, Zones: kept})
	if len(b) > 1024 || len(kept) < 4 {
		t.Errorf("%d zones in %d bytes", len(kept), len(b))
	}
}
