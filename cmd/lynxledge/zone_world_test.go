package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/simulation"
	"lynxledge/internal/simulation/history"
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonecontrol"
	"lynxledge/wire"
)

// zoneTypes are machines in three zones.
var zoneTypes = []wire.MachineType{
	{Name: "s", CPUs: 4, MemoryGB: 16, CacheGB: 20, ImageFetchGBps: 1, HourlyPrice: 1, HourlySpotPrice: 0.4, BootTime: 20, Zones: []wire.Zone{"a", "b", "c"}},
}

// zoneScale is a cluster over three zones with a controller in each.
func zoneScale(recovery bool) scale {
	s := scale{nodes: 3, types: zoneTypes, pool: 8, zones: []wire.Zone{"a", "b", "c"}}
	if recovery {
		s.ops = func(o *config.OperatorSettings) {
			section := config.DefaultZoneRecovery()
			o.ZoneRecovery = &section
		}
	}
	return s
}

// zoneWorld is a world with services and a steady flow of arrays, whose history is
// checked.
type zoneWorld struct {
	*world
	checker  *history.OrderChecker
	services []*wire.Job
	restored map[wire.JobID]time.Duration // service: from the loss until it was whole again
	lost     time.Time
	flow     int
	load     zoneLoad
	cutOff   map[wire.Zone]*zoneCut // zones that are cut off
}

// zoneCut is a cut of a zone: machines that come up in it are cut off too.
type zoneCut struct {
	hold     bool
	machines map[wire.MachineID]bool
}

// zoneLoad is the work on a zoneWorld.
type zoneLoad struct {
	pinned   int // replicas of a service in each zone that is allowed no other
	services int // that spread over zones, of 2 to 4 replicas
	arrays   int // tasks of an array, of which one comes every three seconds, at least
}

var smallZoneLoad = zoneLoad{pinned: 8, services: 8, arrays: 6}

// newZoneWorld begins with services in all zones, and more arrays than fit.
func newZoneWorld(ctx context.Context, seed uint64, recovery bool) *zoneWorld {
	return newLoadedZoneWorld(ctx, seed, recovery, zoneScale(recovery), smallZoneLoad, nil)
}

func newLoadedZoneWorld(ctx context.Context, seed uint64, recovery bool, size scale, load zoneLoad, tweak func(*config.Params)) *zoneWorld {
	w := &zoneWorld{load: load, world: newWorld(ctx, seed, size, func(p *config.Params) {
		p.Teams = []config.TeamQuota{{Name: "red"}, {Name: "blue"}}
		p.Zones = []wire.Zone{"a", "b", "c"}
		if tweak != nil {
			tweak(p)
		}
	})}
	w.restored = map[wire.JobID]time.Duration{}
	w.cutOff = map[wire.Zone]*zoneCut{}
	w.checker = history.NewOrderChecker(w.cfg.Params, zoneTypes, w.state.Decided, !recovery)
	observer := statecache.Start(ctx, &simulation.StoreConn{Store: w.state, Net: w.net, Node: "observer", Timeout: time.Second}, statecache.Options{
		ChunkTasks: statecache.ChunkTasks(w.cfg.Params.Store.MaxValueKB), WatchHold: 5 * time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond,
	})
	observer.Subscribe(w.checker.Apply)
	observer.Run()
	w.step(5)
	for _, zone := range []wire.Zone{"a", "b", "c"} { // fills machines enough for a verdict
		w.service(load.pinned, func(j *wire.Job) { j.Zone, j.SpreadZones, j.CPUs = zone, false, 2 })
	}
	for i := range load.services {
		w.service(2+i%3, func(j *wire.Job) { j.Priority = wire.Priority(1 + i%3) })
	}
	w.step(75)
	return w
}

// service submits a service that spreads over zones.
func (w *zoneWorld) service(replicas int, change func(*wire.Job)) *wire.Job {
	w.jobs++
	j := &wire.Job{
		ID: wire.JobID(fmt.Sprintf("req-%06d", w.jobs)), Class: "live", Team: "red", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: replicas,
		CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, SpreadZones: true,
	}
	change(j)
	w.rules.Submitted(j, 0)
	w.known = append(w.known, j)
	w.services = append(w.services, j)
	w.ask(http.MethodPost, "/work", j.ID, j)
	return j
}

// step lets seconds pass, in which arrays arrive, and notes which services are whole.
func (w *zoneWorld) step(seconds int) {
	for range seconds {
		w.flow++
		if w.flow%3 == 0 {
			w.jobs++
			w.array(wire.JobID(fmt.Sprintf("req-%06d", w.jobs)), "blue", w.load.arrays+w.flow%5, time.Duration(8+w.flow%9)*time.Second, func(j *wire.Job) {
				j.Priority = wire.Priority(1 + w.flow%2)
			})
		}
		w.pass(time.Second)
		w.extendCuts()
		w.noteWhole()
	}
}

// extendCuts cuts off what has come up in zones that are.
func (w *zoneWorld) extendCuts() {
	for zone, cut := range w.cutOff {
		for _, m := range w.machinesIn(zone) {
			if !cut.machines[m] {
				cut.machines[m] = true
				w.net.Cut(string(m), "", cut.hold)
			}
		}
	}
}

func (w *zoneWorld) whole(j *wire.Job) bool { return w.rules.RunningTasks(j.ID) == j.TaskCount }

func (w *zoneWorld) noteWhole() {
	for _, j := range w.services {
		_, noted := w.restored[j.ID]
		switch whole := w.whole(j); {
		case w.lost.IsZero():
		case whole && !noted:
			w.restored[j.ID] = time.Since(w.lost)
		case !whole && noted:
			delete(w.restored, j.ID)
		}
	}
}

// machinesIn names the machines that run in a zone.
func (w *zoneWorld) machinesIn(zone wire.Zone) []wire.MachineID {
	var names []wire.MachineID
	for _, h := range w.cloud.Running() {
		if h.Zone == zone {
			names = append(names, h.ID)
		}
	}
	return names
}

// cutZone cuts a zone's machines off, and its controllers with them.
func (w *zoneWorld) cutZone(zone wire.Zone, hold bool) {
	w.markLost()
	w.cutOff[zone] = &zoneCut{hold, map[wire.MachineID]bool{}}
	w.extendCuts()
	for _, n := range w.nodes {
		if w.zoneOf(n) == zone {
			w.net.Cut(n, "", hold)
		}
	}
}

// killZone stops a zone's machines for good, and its controllers.
func (w *zoneWorld) killZone(zone wire.Zone) {
	w.markLost()
	w.cloud.FailZone(zone)
	for _, n := range w.nodes {
		if w.zoneOf(n) == zone {
			w.crash(n)
		}
	}
}

func (w *zoneWorld) markLost() {
	if w.lost.IsZero() {
		w.lost = time.Now()
	}
}

// healZone ends the cut of all but some of a zone's machines.
func (w *zoneWorld) healZone(zone wire.Zone, butOneIn int) {
	w.cloud.OpenZone(zone)
	delete(w.cutOff, zone)
	for i, m := range w.machinesIn(zone) {
		if butOneIn == 0 || i%butOneIn != 0 {
			w.net.Heal(string(m), "")
		}
	}
	for _, n := range w.nodes {
		if w.zoneOf(n) == zone {
			w.net.Heal(n, "")
		}
	}
	w.restart()
}

// recorded is the phase that stands in the record.
func (w *zoneWorld) recorded(zone wire.Zone) string { return w.checker.Phase(zone) }

// until lets time pass until something holds, but for no more than some seconds.
func (w *zoneWorld) until(most int, holds func() bool) bool {
	for range most {
		if holds() {
			return true
		}
		w.step(1)
	}
	return holds()
}

// calmUntil lets time pass without new arrays until something holds, but for no more than
// three minutes.
func (w *zoneWorld) calmUntil(holds func() bool) bool {
	for range 180 {
		if holds() {
			return true
		}
		w.pass(time.Second)
		w.noteWhole()
	}
	return holds()
}

// finish ends all troubles, and lists everything that is not as it should be.
func (w *zoneWorld) finish() []string {
	clear(w.cutOff)
	for _, zone := range []wire.Zone{"a", "b", "c"} {
		w.cloud.OpenZone(zone)
	}
	w.recover()
	faults := append(w.faults(), w.checker.Violations()...)
	for _, j := range w.services {
		if !w.calmUntil(func() bool { return w.whole(j) }) {
			faults = append(faults, fmt.Sprintf("%s has %d of %d replicas\n%s", j.ID, w.rules.RunningTasks(j.ID), j.TaskCount, w.zonesPage()))
		}
	}
	for _, zone := range []wire.Zone{"a", "b", "c"} {
		recovering := func() bool { p := w.recorded(zone); return p == "lost" || p == "returning" }
		if !w.calmUntil(func() bool { return !recovering() }) {
			faults = append(faults, fmt.Sprintf("zone %s is still %s\n%s", zone, w.recorded(zone), w.zonesPage()))
		}
	}
	return faults
}

// zonesPage is what the leader's status page says, as the command prints it.
func (w *zoneWorld) zonesPage() string {
	code, body := ask(w.peerDoors[w.leader()], http.MethodGet, zonecontrol.StatusPath, nil)
	status := &zonecontrol.Status{}
	if code != http.StatusOK || json.Unmarshal(body, status) != nil {
		return fmt.Sprintf("no status: %d %s", code, body)
	}
	var page strings.Builder
	if err := printZones(&page, status, time.Now()); err != nil {
		return err.Error()
	}
	return page.String()
}

// playZones plays a scenario on a cluster with zone recovery, and has it end well.
func playZones(t *testing.T, seed uint64, scenario func(t *testing.T, w *zoneWorld)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newZoneWorld(ctx, seed, true)
		scenario(t, w)
		for _, fault := range w.finish() {
			t.Errorf("seed %d: %s", seed, fault)
		}
		cancel()
		w.end()
	})
}
