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

// emptyCluster is a ClusterStateProvider without jobs and nodes.
type emptyCluster struct{}

func (emptyCluster) WithClusterState(f func(placement.ClusterState)) bool {
	f(placement.ClusterState{View: statecache.NewUnfinishedView(8)})
	return true
}

// member is one cluster member in a test, with its cache and its zone controller.
type member struct {
	name        string
	incarnation uint64
	cache       *statecache.Cache
	controller  *Controller
}

// cluster is a simulated key-value store with members.
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

func (c *cluster) startMember(name string, incarnation uint64) *member {
	conn := &simulation.StoreConn{Store: c.store, Network: c.network, Member: name, Timeout: time.Second}
	m := &member{name: name, incarnation: incarnation}
	m.cache = statecache.Start(c.ctx, conn, statecache.Options{ChunkTasks: 8, WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond})
	cfg := c.config
	cfg.MemberName, cfg.Zone = name, "a"
	m.controller = Start(c.ctx, Options{Config: &cfg, Incarnation: incarnation, Cache: m.cache, Scheduler: emptyCluster{}, Policy: zonehealth.PolicyOf(&cfg)})
	m.cache.Run()
	time.Sleep(time.Second)
	return m
}

// write writes records without preconditions.
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

// receiveHeartbeats has a member receive heartbeats from machines every second, for a number of
// seconds.
func receiveHeartbeats(seconds int, m *member, reachable []wire.MachineID) {
	for range seconds {
		m.controller.MachinesReachable(m.name, reachable)
		time.Sleep(time.Second)
	}
}

// record returns the stored recovery record, or nil.
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

// inSimulatedTime runs a test with a cluster on simulated time.
func inSimulatedTime(t *testing.T, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f(newCluster(ctx, t))
		cancel()
		time.Sleep(time.Minute)
	})
}

// The record is written only while every member announces support for it, and is deleted when a
// member joins that doesn't, so that an older version never runs beside a record for long.
func TestRecordWaitsForEveryMember(t *testing.T) {
	inSimulatedTime(t, func(c *cluster) {
		m := c.startMember("n0", 1)
		groupA, _ := machines("a", 8)
		groupB, reachable := machines("b", 8)
		m.write(groupA, groupB, announce("n0", 1, statecache.CapabilityZoneRecovery), announce("n1", 2))
		m.makeLeader(1)
		receiveHeartbeats(30, m, reachable)
		if r := c.record(); r != nil {
			t.Errorf("record written although a member doesn't support it: %+v", r)
		}
		m.write(announce("n1", 3, statecache.CapabilityZoneRecovery))
		receiveHeartbeats(5, m, reachable)
		if p := c.phase("a"); p != "lost" {
			t.Errorf("zone a is %s", p)
		}
		m.write(announce("n1", 4))
		receiveHeartbeats(5, m, reachable)
		if r := c.record(); r != nil {
			t.Errorf("record kept although a member doesn't support it: %+v", r)
		}
	})
}

// recordOfLaterVersion is a record in a layout that this version does not know.
type recordOfLaterVersion struct {
	statecache.Record
	value map[string]any
}

// MarshalJSON encodes only the value.
func (r recordOfLaterVersion) MarshalJSON() ([]byte, error) { return json.Marshal(r.value) }

// A record in the layout of another version is not overwritten, and has no effect.
func TestUnreadableRecordIsLeftAlone(t *testing.T) {
	inSimulatedTime(t, func(c *cluster) {
		m := c.startMember("n0", 1)
		groupA, _ := machines("a", 8)
		groupB, reachable := machines("b", 8)
		later := map[string]any{"v": 2, "zones": map[string]string{"a": "lost"}}
		m.write(groupA, groupB, announce("n0", 1, statecache.CapabilityZoneRecovery), statecache.Put{Key: statecache.ZoneRecoveryKey, Record: recordOfLaterVersion{value: later}})
		m.makeLeader(1)
		receiveHeartbeats(30, m, reachable)
		if got, _ := json.Marshal(later); string(c.store.Value(statecache.ZoneRecoveryKey)) != string(got) {
			t.Errorf("record overwritten: %s", c.store.Value(statecache.ZoneRecoveryKey))
		}
		status, err := m.controller.Status(c.ctx)
		if err != nil || status.RecordSupported {
			t.Errorf("%+v %v", status, err)
		}
	})
}

// A new leader continues a zone's return from the record; the previous leader no longer writes it.
func TestNewLeaderContinuesFromRecord(t *testing.T) {
	inSimulatedTime(t, func(c *cluster) {
		first, second := c.startMember("n0", 1), c.startMember("n1", 2)
		groupA, lost := machines("a", 8)
		groupB, reachable := machines("b", 8)
		first.write(groupA, groupB, announce("n0", 1, statecache.CapabilityZoneRecovery), announce("n1", 2, statecache.CapabilityZoneRecovery))
		first.makeLeader(1)
		receiveOnBoth := func(seconds int, reachable []wire.MachineID) {
			for range seconds {
				first.controller.MachinesReachable("n0", reachable)
				receiveHeartbeats(1, second, reachable)
			}
		}
		receiveOnBoth(25, reachable)
		all := append(reachable, lost...)
		for n := 0; n < 60 && (c.record().Find("a") == nil || c.record().Find("a").Step == 0); n++ {
			receiveOnBoth(1, all)
		}
		before := c.record().Find("a")
		second.makeLeader(2)
		receiveOnBoth(2, all)
		if after := c.record().Find("a"); before == nil || after == nil || after.Step < before.Step || after.Phase != "returning" {
			t.Errorf("%+v after %+v", after, before)
		}
		receiveOnBoth(40, all)
		if p := c.phase("a"); p != "healthy" {
			t.Errorf("zone a is %s", p)
		}
		if r := c.record(); r == nil || r.Term != 2 {
			t.Errorf("record %+v is not of term 2", r)
		}
	})
}

// A process that started after a zone had lost its last machine knows the zone only from the
// record. Such zones were not evaluated, and so stayed lost forever.
func TestZoneKnownFromTheRecordAlone(t *testing.T) {
	inSimulatedTime(t, func(c *cluster) {
		m := c.startMember("n0", 1)
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

// A leader that receives no heartbeats from any zone's machines concludes nothing, and so writes no
// record.
func TestPartitionedLeaderConcludesNothing(t *testing.T) {
	inSimulatedTime(t, func(c *cluster) {
		m := c.startMember("n0", 1)
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

// The record fits into the smallest allowed value size, even if zone names are long.
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
