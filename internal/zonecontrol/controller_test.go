package zonecontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/scheduler"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// noCluster has nothing placed.
type noCluster struct{}

func (noCluster) WithClusterState(f func(scheduler.ClusterState)) bool {
	f(scheduler.ClusterState{View: statecache.NewUnfinishedView(8)})
	return true
}

// member is one controller's part in a test: its ledger and its zone control.
type member struct {
	name  string
	boot  uint64
	led   *statecache.Cache
	zones *Controller
}

// bench is a state service with members, and machines in two zones.
type bench struct {
	t     *testing.T
	ctx   context.Context
	state *simulation.Store
	net   *simulation.Network
	cfg   config.Config
}

func newBench(ctx context.Context, t *testing.T) *bench {
	section := config.DefaultZoneRecovery()
	cfg := config.Config{Operator: config.DefaultOperatorSettings()}
	cfg.Operator.ZoneRecovery = &section
	cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 3 * time.Second, LeaseDuration: 34 * time.Second, CancellationDeadline: 64 * time.Second}
	cfg.Params.Store = config.StoreLimits{MaxValueKB: 4, MaxTxnOps: 8, RequestRate: 150, WriteRate: 50}
	return &bench{t: t, ctx: ctx, state: simulation.NewStore(), net: simulation.NewNetwork(1, time.Millisecond), cfg: cfg}
}

func (b *bench) member(name string, boot uint64) *member {
	conn := &simulation.StoreConn{Store: b.state, Net: b.net, Node: name, Timeout: time.Second}
	m := &member{name: name, boot: boot}
	m.led = statecache.Start(b.ctx, conn, statecache.Options{ChunkTasks: 8, WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond})
	cfg := b.cfg
	cfg.MemberName, cfg.Zone = name, "a"
	m.zones = Start(b.ctx, &cfg, boot, m.led, noCluster{})
	m.led.Run()
	time.Sleep(time.Second)
	return m
}

// put writes records as they are.
func (m *member) put(puts ...statecache.Put) {
	m.led.Commit(statecache.Commit{Puts: puts}, func(statecache.Outcome) {})
	time.Sleep(500 * time.Millisecond)
}

func (m *member) lead(term uint64) {
	m.put(statecache.Put{Key: statecache.LeaderKey, Record: &statecache.Leader{Member: m.name, Incarnation: m.boot, Term: term}}, statecache.Put{Key: statecache.TermKey, Record: &statecache.Term{Number: term}})
}

func announce(name string, boot uint64, capabilities ...string) statecache.Put {
	return statecache.Put{Key: statecache.Key(statecache.KindMember, name), Record: &statecache.Member{Incarnation: boot, Capabilities: capabilities}}
}

func machines(zone wire.Zone, n int) (statecache.Put, []wire.MachineID) {
	g := &statecache.MachineGroup{Name: "g-" + string(zone), MachineType: "s", Zone: zone}
	var names []wire.MachineID
	for i := range n {
		name := wire.MachineID(fmt.Sprintf("i-%s%02d", zone, i))
		names = append(names, name)
		g.Machines = append(g.Machines, &statecache.Machine{Name: name, Address: "x:1", Incarnation: 1, FencingToken: 9})
	}
	return statecache.Put{Key: statecache.Key(statecache.KindMachineGroup, g.Name), Record: g}, names
}

// hear lets seconds pass in which machines are heard by a member.
func hear(seconds int, m *member, heard []wire.MachineID) {
	for range seconds {
		m.zones.MachinesReachable(m.name, heard)
		time.Sleep(time.Second)
	}
}

// record is the record as it stands, or nil.
func (b *bench) record() *statecache.ZoneRecoveries {
	raw := b.state.Value(statecache.ZoneRecoveryKey)
	if raw == nil {
		return nil
	}
	r := &statecache.ZoneRecoveries{}
	if err := json.Unmarshal(raw, r); err != nil {
		b.t.Error(err)
	}
	return r
}

func (b *bench) phase(zone wire.Zone) string {
	if z := b.record().Find(zone); z != nil {
		return z.Phase
	}
	return "none"
}

// in runs a test of members in simulated time.
func in(t *testing.T, f func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f(newBench(ctx, t))
		cancel()
		time.Sleep(time.Minute)
	})
}

// The record is written only while every member announces that it knows it, and goes when
// one comes that doesn't: the version in production never finds one beside it for long.
func TestRecordWaitsForEveryMember(t *testing.T) {
	in(t, func(b *bench) {
		m := b.member("n0", 1)
		groupA, _ := machines("a", 8)
		groupB, heard := machines("b", 8)
		m.put(groupA, groupB, announce("n0", 1, statecache.CapabilityZoneRecovery), announce("n1", 2))
		m.lead(1)
		hear(30, m, heard)
		if r := b.record(); r != nil {
			t.Errorf("written beside a member that doesn't know it: %+v", r)
		}
		m.put(announce("n1", 3, statecache.CapabilityZoneRecovery))
		hear(5, m, heard)
		if p := b.phase("a"); p != "lost" {
			t.Errorf("zone a is %s", p)
		}
		m.put(announce("n1", 4))
		hear(5, m, heard)
		if r := b.record(); r != nil {
			t.Errorf("stands beside a member that doesn't know it: %+v", r)
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
	in(t, func(b *bench) {
		m := b.member("n0", 1)
		groupA, _ := machines("a", 8)
		groupB, heard := machines("b", 8)
		later := map[string]any{"v": 2, "zones": map[string]string{"a": "lost"}}
		m.put(groupA, groupB, announce("n0", 1, statecache.CapabilityZoneRecovery), statecache.Put{Key: statecache.ZoneRecoveryKey, Record: recordOfLaterVersion{value: later}})
		m.lead(1)
		hear(30, m, heard)
		if got, _ := json.Marshal(later); string(b.state.Value(statecache.ZoneRecoveryKey)) != string(got) {
			t.Errorf("rewritten: %s", b.state.Value(statecache.ZoneRecoveryKey))
		}
		status, err := m.zones.Status(b.ctx)
		if err != nil || status.Recorded {
			t.Errorf("%+v %v", status, err)
		}
	})
}

// A new leader goes on from the record; one that has lost the lead writes nothing.
func TestNewLeaderGoesOn(t *testing.T) {
	in(t, func(b *bench) {
		first, second := b.member("n0", 1), b.member("n1", 2)
		groupA, lost := machines("a", 8)
		groupB, heard := machines("b", 8)
		first.put(groupA, groupB, announce("n0", 1, statecache.CapabilityZoneRecovery), announce("n1", 2, statecache.CapabilityZoneRecovery))
		first.lead(1)
		both := func(seconds int, heard []wire.MachineID) {
			for range seconds {
				first.zones.MachinesReachable("n0", heard)
				hear(1, second, heard)
			}
		}
		both(25, heard)
		all := append(heard, lost...)
		for n := 0; n < 60 && (b.record().Find("a") == nil || b.record().Find("a").Step == 0); n++ {
			both(1, all)
		}
		before := b.record().Find("a")
		second.lead(2)
		both(2, all)
		if after := b.record().Find("a"); before == nil || after == nil || after.Step < before.Step || after.Phase != "returning" {
			t.Errorf("%+v after %+v", after, before)
		}
		both(40, all)
		if p := b.phase("a"); p != "healthy" {
			t.Errorf("zone a is %s", p)
		}
		if r := b.record(); r == nil || r.Term != 2 {
			t.Errorf("the record is of %+v", r)
		}
	})
}

// A process that began after a zone had lost its last machine knows it from the record
// alone. Such zones were not judged, and stayed lost for ever.
func TestZoneKnownFromTheRecordAlone(t *testing.T) {
	in(t, func(b *bench) {
		m := b.member("n0", 1)
		groupB, heard := machines("b", 8)
		lost := &statecache.ZoneRecoveries{LayoutVersion: statecache.ZoneRecoveryLayoutVersion, Term: 1, Serial: 4, Zones: []statecache.ZoneRecovery{
			{Zone: "a", Phase: "lost", Since: statecache.TimestampOf(time.Now()), Losses: 1},
		}}
		m.put(groupB, announce("n0", 1, statecache.CapabilityZoneRecovery), statecache.Put{Key: statecache.ZoneRecoveryKey, Record: lost})
		m.lead(2)
		hear(60, m, heard)
		if p := b.phase("a"); p != "healthy" && p != "none" {
			t.Errorf("zone a is %s", p)
		}
	})
}

// A leader that hears no machine of any zone concludes nothing.
func TestBlindLeaderConcludesNothing(t *testing.T) {
	in(t, func(b *bench) {
		m := b.member("n0", 1)
		groupA, a := machines("a", 8)
		groupB, heard := machines("b", 8)
		m.put(groupA, groupB, announce("n0", 1, statecache.CapabilityZoneRecovery))
		m.lead(1)
		hear(20, m, append(a, heard...))
		hear(60, m, nil)
		if r := b.record(); r != nil {
			t.Errorf("%+v", r)
		}
	})
}

// The record fits the smallest value that is accepted, whatever the zones are named.
func TestRecordFits(t *testing.T) {
	var zones []statecache.ZoneRecovery
	for i := range 8 {
		phase := []string{"lost", "degraded"}[i%2]
		zones = append(zones, statecache.ZoneRecovery{
			Zone: wire.Zone(fmt.Sprintf("zone-with-a-name-%d", i)), Phase: phase, Since: 1e12, Losses: 3, HoldUntil: 1e12, Evidence: []int{100, 90, 10, 3, 2, 1, 8, 4},
		})
	}
	kept := fitting(zones, 1024)
	b, _ := json.Marshal(statecache.ZoneRecoveries{LayoutVersion: 1, Term: 1 << 40, Serial: 1 << 40, Zones: kept})
	if len(b) > 1024 || len(kept) < 4 {
		t.Errorf("%d zones in %d bytes", len(kept), len(b))
	}
}
