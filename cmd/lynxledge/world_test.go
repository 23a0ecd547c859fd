package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

const settings = `
member = "n0"
area = "a"
client_listen = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
[external]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[params]
size = 3
zones = ["a", "b"]
skew_ms = 25.0
[[params.teams]]
name = "red"
cpus = 8.0
cpus_max = 20.0
[[params.teams]]
name = "blue"
cpus = 4.0
cpus_max = 0.0
[params.workers]
report_s = 3.0
lease_s = 34.0
cancel_s = 64.0
[params.state]
rps = 150.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 8
[params.cloud]
rps = 3.0
list_lag_s = 10.0
[params.resources]
cpu = 0.1
memory_mb = 70.0
`

var machineTypes = []wire.MachineType{
	{Name: "s", CPUs: 4, MemoryGB: 16, CacheGB: 20, ImageFetchGBps: 1, HourlyPrice: 1, HourlySpotPrice: 0.4, BootTime: 20, Zones: []wire.Zone{"a", "b"}},
	{Name: "l", CPUs: 16, MemoryGB: 64, CacheGB: 20, ImageFetchGBps: 1, HourlyPrice: 4.5, HourlySpotPrice: 1.5, BootTime: 20, Zones: []wire.Zone{"a"}},
}

// world is a cluster of this program over the fakes.
type world struct {
	ctx        context.Context
	cfg        *config.Config
	rules      *simulation.InvariantChecker
	state      *simulation.Store
	net        *simulation.Network
	cloud      *simulation.Cloud
	pipes      *simulation.Pipes
	nodes      []string
	up         map[string]context.CancelFunc
	doors      doors
	peerDoors  map[string]http.Handler // on the mesh addresses
	nodeActors map[string][]*actor.Actor
	rng        *rand.Rand
	jobs       int
	known      []*wire.Job
	types      []wire.MachineType
	zones      []wire.Zone                 // of the controllers, in turn
	next       *config.UpcomingStoreLimits // limits that controllers started from now on know of
}

// doors are the front handlers of the controllers that are up. The test changes them while
// workers, in goroutines of their own, send heartbeats through them.
type doors struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
}

func (d *doors) of(node string) http.Handler {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.handlers[node]
}

// set opens a controller's door, or closes it if h is nil.
func (d *doors) set(node string, h http.Handler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.handlers == nil {
		d.handlers = map[string]http.Handler{}
	}
	d.handlers[node] = h
}

// lockedSource is a source of random numbers that several goroutines draw from: the test's own
// and those of users who ask as a job ends.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

// Uint64 draws the next number.
func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}

// scale is the size of a cluster.
type scale struct {
	nodes int
	types []wire.MachineType
	pool  int            // machines of one type, zone and kind
	pools map[string]int // by type, where it is another
	zones []wire.Zone    // of the controllers, in turn; empty: as in the settings
	ops   func(*config.OperatorSettings)
}

var small = scale{nodes: 3, types: machineTypes, pool: 5}

func newWorld(ctx context.Context, seed uint64, size scale, tweak func(*config.Params)) *world {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	cfg, err := config.Parse(settings)
	if err != nil {
		panic(err)
	}
	cfg.Operator.BootLag = 20 * time.Second
	if tweak != nil {
		tweak(&cfg.Params)
	}
	if size.ops != nil {
		size.ops(&cfg.Operator)
	}
	w := &world{
		ctx: ctx, cfg: cfg, rules: simulation.NewInvariantChecker(cfg.Params), state: simulation.NewStore(),
		net: simulation.NewNetwork(seed, 5*time.Millisecond),
		up:  map[string]context.CancelFunc{}, peerDoors: map[string]http.Handler{}, nodeActors: map[string][]*actor.Actor{}, rng: rand.New(&lockedSource{source: rand.NewPCG(seed, 9)}), types: size.types,
		zones: size.zones,
	}
	w.pipes = simulation.NewPipes(w.net)
	for i := range size.nodes {
		w.nodes = append(w.nodes, fmt.Sprintf("n%d", i))
	}
	opt := simulation.WorkerOptions{
		HeartbeatInterval: cfg.Params.Workers.HeartbeatInterval, LeaseDuration: cfg.Params.Workers.LeaseDuration,
		Nodes: w.nodes, Net: w.net, Checker: w.rules, Fetch: time.Second,
		Post: func(node string) simulation.Post {
			door := w.doors.of(node)
			if door == nil {
				return nil
			}
			return func(_ context.Context, rep *wire.Heartbeat) (wire.HeartbeatResponse, string, bool) {
				return hello(door, rep)
			}
		},
	}
	w.cloud = simulation.NewCloud(seed, size.types, size.pool, 10*time.Second, func(h wire.Instance) *simulation.Worker {
		return simulation.NewWorker(ctx, h, opt, int((seed+uint64(h.ID[len(h.ID)-1]))%uint64(len(w.nodes))))
	})
	w.cloud.SetLimits(size.pools)
	for _, n := range w.nodes {
		w.start(n)
	}
	return w
}

func hello(door http.Handler, rep *wire.Heartbeat) (reply wire.HeartbeatResponse, to string, ok bool) {
	status, body := ask(door, http.MethodPost, "/hello", rep)
	if status == http.StatusOK {
		return reply, "", json.Unmarshal(body, &reply) == nil
	}
	var r wire.RedirectResponse
	_ = json.Unmarshal(body, &r)
	return reply, r.RedirectTo, false
}

func ask(door http.Handler, method, path string, in any) (int, []byte) {
	b, _ := json.Marshal(in)
	rec := httptest.NewRecorder()
	door.ServeHTTP(rec, httptest.NewRequest(method, path, bytes.NewReader(b)))
	return rec.Code, rec.Body.Bytes()
}

func (w *world) start(name string) {
	ctx, cancel := context.WithCancel(w.ctx)
	cfg := *w.cfg
	cfg.Params.Store.Upcoming = w.next
	cfg.MemberName, cfg.PeerListenAddress = name, name+":8081"
	if len(w.zones) > 0 {
		cfg.Zone = w.zoneOf(name)
	}
	for _, other := range w.nodes {
		if other != name {
			cfg.Peers = append(cfg.Peers, config.Peer{Name: other, Zone: w.zoneOf(other), Address: other + ":8081"})
		}
	}
	c := assemble(ctx, &cfg, w.rng.Uint64()>>1, clients{
		store:    &simulation.StoreConn{Store: w.state, Net: w.net, Node: name, Timeout: 1500 * time.Millisecond},
		cloud:    &simulation.CloudConn{Cloud: w.cloud, Net: w.net, Node: name, Timeout: 4 * time.Second, World: w.ctx},
		workers:  &simulation.WorkerConn{Cloud: w.cloud, Net: w.net, Node: name, Timeout: 3 * time.Second},
		dialPeer: w.pipes.Dial(name),
	})
	w.peerDoors[name] = c.peerHandler()
	go c.transport.Serve(ctx, w.pipes.Listen(name, cfg.PeerListenAddress), w.peerDoors[name])
	w.nodeActors[name] = c.actors()
	w.up[name] = cancel
	w.doors.set(name, c.apiServer.Handler())
}

// actors are those of a controller that own state.
func (c *controller) actors() []*actor.Actor {
	actors := []*actor.Actor{c.cache.Actor, c.transport.Actor, c.receiver.Actor, c.scheduler.Actor, c.apiServer.Actor, c.autoscaler.Actor, c.election.Actor, c.catalog.Actor}
	if c.zoneController != nil {
		actors = append(actors, c.zoneController.Actor)
	}
	if c.standby != nil {
		actors = append(actors, c.standby.Actor)
	}
	return actors
}

// zoneOf is the zone of a controller, or none if it has no zone of its own.
func (w *world) zoneOf(node string) wire.Zone {
	if len(w.zones) == 0 {
		return ""
	}
	return w.zones[slices.Index(w.nodes, node)%len(w.zones)]
}

func (w *world) crash(name string) {
	if w.up[name] != nil {
		w.up[name]()
		w.pipes.Crash(name)
		delete(w.up, name)
		w.doors.set(name, nil)
		delete(w.peerDoors, name)
	}
}

// ask sends a user's request to a node that is up, and has the answer checked.
func (w *world) ask(method, path string, id wire.JobID, in any) int {
	for range w.nodes {
		if n := w.nodes[w.rng.IntN(len(w.nodes))]; w.doors.of(n) != nil {
			status, _ := w.askAt(n, method, path, id, in)
			return status
		}
	}
	return 0
}

// askAt asks one controller, which is up.
func (w *world) askAt(node, method, path string, id wire.JobID, in any) (status int, state wire.JobState) {
	status, body := ask(w.doors.of(node), method, path, in)
	var s wire.JobStatus
	_ = json.Unmarshal(body, &s)
	w.rules.JobAnswered(id, status, s.State)
	return status, s.State
}

// end lets what is under way end.
func (w *world) end() {
	for _, n := range w.nodes {
		w.crash(n)
	}
	time.Sleep(2 * time.Minute)
}

// isolate leaves a controller neither state nor peers; workers still reach it.
func (w *world) isolate(node string) {
	hold := w.rng.IntN(2) == 0
	w.net.Cut(node, simulation.StoreHost, hold)
	for _, other := range w.nodes {
		if other != node {
			w.net.Cut(node, other, hold)
		}
	}
}

// restart starts every controller that is down.
func (w *world) restart() {
	for _, n := range w.nodes {
		if w.up[n] == nil {
			w.start(n)
		}
	}
}

// bounce ends a controller's process and starts another within a fraction of a
// second, while requests of the old one are under way.
func (w *world) bounce(node string) {
	if w.up[node] != nil {
		w.crash(node)
		time.Sleep(200 * time.Millisecond)
		w.start(node)
	}
}

// stall has a controller's process stand still for a while: what reaches it waits, and what
// it meant to do it does late.
func (w *world) stall(node string, d time.Duration) {
	if w.up[node] == nil {
		return
	}
	for _, a := range w.nodeActors[node] {
		a.Post(func() { time.Sleep(d) })
	}
}

// placer names the controller that places, or any if there is none.
func (w *world) placer() string {
	var a statecache.Assignment
	if raw := w.state.Value(statecache.Key(statecache.KindAssignment, "red")); raw != nil && json.Unmarshal(raw, &a) == nil {
		return a.Member
	}
	return w.nodes[0]
}

// leader names the controller whose record leads, or any if there is none.
func (w *world) leader() string {
	var l statecache.Leader
	if raw := w.state.Value(statecache.LeaderKey); raw != nil && json.Unmarshal(raw, &l) == nil {
		return l.Member
	}
	return w.nodes[0]
}

// calmState ends what is wrong with the state service, but for an outage.
func (w *world) calmState() {
	for _, n := range w.nodes {
		w.state.Refuse(n, false)
	}
	w.state.SetLate(0)
	w.net.Slow(simulation.StoreHost, 0)
}

// pass lets time go by, watching the rules.
func (w *world) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Second)
		w.rules.Tick()
		w.rules.Idle(w.cloud.Running(), w.types)
	}
}

// recover ends every trouble and lets the cluster finish its work.
func (w *world) recover() {
	w.net.HealAll()
	w.net.SetLossAndDuplication(0, 0)
	w.calmState()
	w.rules.OnJobEnd(nil)
	w.state.SetDown(false)
	w.restart()
	w.rules.FaultsOver()
	for range 120 {
		w.pass(5 * time.Second)
		for _, j := range w.known {
			w.ask(http.MethodGet, "/work/"+string(j.ID), j.ID, nil)
		}
		w.rules.Forgotten()
		if len(w.rules.UnfinishedJobs()) == 0 && len(w.rules.MissingTasks()) == 0 {
			return
		}
	}
}

// faults lists what a day must not end with, once the cluster has recovered.
func (w *world) faults() []string {
	var out []string
	for _, b := range append(w.rules.Violations(), w.state.Violations()...) {
		out = append(out, "rule broken: "+b)
	}
	for _, id := range append(w.rules.UnfinishedJobs(), w.rules.MissingTasks()...) {
		out = append(out, "never finished: "+string(id))
	}
	return out
}
