package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"

	"lynxledge/internal/actor"
	"lynxledge/internal/apiserver"
	"lynxledge/internal/autoscaler"
	"lynxledge/internal/cloud"
	"lynxledge/internal/config"
	"lynxledge/internal/connlimit"
	"lynxledge/internal/election"
	"lynxledge/internal/heartbeat"
	"lynxledge/internal/kvstore"
	"lynxledge/internal/overload"
	"lynxledge/internal/peer"
	"lynxledge/internal/reconcile"
	"lynxledge/internal/recovery"
	"lynxledge/internal/scheduler"
	"lynxledge/internal/standby"
	"lynxledge/internal/statecache"
	"lynxledge/internal/storelimits"
	"lynxledge/internal/worker"
	"lynxledge/internal/zonecontrol"
	"lynxledge/wire"
)

// goMemoryLimitShare is the part of the memory limit at which Go collects harder;
// the rest is for what its heap doesn't count.
const goMemoryLimitShare = 0.6

func run(cfg *config.Config) error {
	logLevel()
	res := cfg.Params.Resources
	runtime.GOMAXPROCS(max(1, int(math.Ceil(res.CPUCores))))
	debug.SetMemoryLimit(int64(res.MemoryMB * goMemoryLimitShare * (1 << 20)))
	debug.SetGCPercent(800)

	if small := cfg.Warnings(); len(small) > 0 {
		slog.Warn("settings look too small for a controller", "settings", strings.Join(small, " "))
	}

	users, err := net.Listen("tcp4", cfg.ClientListenAddress)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	peers, err := net.Listen("tcp4", cfg.PeerListenAddress)
	if err != nil {
		return fmt.Errorf("mesh_addr: %w", err)
	}
	return serve(context.Background(), cfg, users, peers)
}

func logLevel() {
	level := slog.LevelInfo
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
}

// serve puts the controller together and answers until the process is killed.
func serve(ctx context.Context, cfg *config.Config, users, peers net.Listener) error {
	p, ops := cfg.Params, cfg.Operator
	report := p.Workers.HeartbeatInterval
	sockets := newSocketBudget(p.Resources)
	n := assemble(ctx, cfg, rand.Uint64()>>1, connections{
		state:   kvstore.New(cfg.External.State, p.Store.RequestRateLimit(), p.Store.WriteRate, p.Store.MaxTxnOps, report/2),
		cloud:   cloud.New(cfg.External.Cloud, p.Cloud.RequestRate, ops.CloudRateShare, 2*report),
		workers: worker.New(report, sockets.idleCommands, sockets.busyCommands),
		peers:   new(net.Dialer).DialContext,
	})
	go func() {
		if err := n.mesh.Serve(peers, n.peerHandler()); err != nil {
			slog.Error("mesh server ended", "err", err)
		}
	}()
	connections := connlimit.New(sockets.inbound)
	srv := &http.Server{
		Handler:           connections.Handler(n.server.Handler()),
		ConnState:         connections.ConnState,
		ReadHeaderTimeout: 4 * report,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	if ops.Standby != nil {
		go n.leaveOnSignal(ctx, srv, report)
	}
	if err := srv.Serve(users); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// leaveOnSignal hands this controller's roles over when the platform asks it to end, and
// then ends it. It does not wait for long: what was not handed over is taken over.
func (n *node) leaveOnSignal(ctx context.Context, srv *http.Server, patience time.Duration) {
	asked, stop := signal.NotifyContext(ctx, syscall.SIGTERM)
	defer stop()
	<-asked.Done()
	if ctx.Err() != nil {
		return
	}
	resigned := make(chan struct{})
	n.election.Resign(func() { close(resigned) })
	select {
	case <-resigned:
	case <-time.After(patience):
	}
	srv.Close()
}

// connections are a controller's ways to the world.
type connections struct {
	state interface {
		statecache.Store
		election.LeaseClient
	}
	cloud   autoscaler.Cloud
	workers interface {
		scheduler.CommandSender
		autoscaler.Prober
	}
	peers peer.Dial
}

// node is a controller's actors that take requests.
type node struct {
	server   *apiserver.Server
	mesh     *peer.Transport
	zones    *zonecontrol.Controller // nil: zone recovery is off
	standby  *standby.Standby        // nil: early takeovers are off
	election *election.Election
	actors   []*actor.Actor // all that own state
}

// assemble starts a controller's actors. boot tells this process from its
// earlier ones.
func assemble(ctx context.Context, cfg *config.Config, boot uint64, to connections) node {
	p, ops := cfg.Params, cfg.Operator
	report := p.Workers.HeartbeatInterval
	chunk := statecache.ChunkTasks(p.Store.MaxValueKB)
	limits := &storelimits.Tracker{}
	load := overload.Start(ctx, report)
	slog.Info("starting", "member", cfg.MemberName, "zone", cfg.Zone, "boot", boot)

	led := statecache.Start(ctx, to.state, statecache.Options{
		ChunkTasks: chunk, WatchHold: 5 * report, MinWatchInterval: readPause(cfg, watchShare), MinRefreshInterval: readPause(cfg, refreshShare),
		MaxViewAge: report / 2, Backoff: report / 30, WriteInterval: config.Seconds(1 / p.Store.WriteRate),
		MaxValueBytes: p.Store.ValueSizeLimit(), MaxCompletionChunkBytes: int(p.Store.MaxValueKB * 1024), OnThrottled: limits.ObserveThrottled, OnSizeRejected: limits.ObserveLowerSizeLimit,
		JobCountWarning: jobCountWarning(p.Resources),
	})
	msh := peer.Start(ctx, cfg, to.peers, led.FreshAsOf)
	var placer *scheduler.Scheduler
	rep := heartbeat.Start(ctx, cfg, boot, led, heartbeat.Routes{
		FreshPeer: msh.FreshPeer, Isolated: msh.Isolated, SendEvidence: msh.SendEvidence,
		ApplyEvidence: func(n reconcile.Evidence, wait time.Duration) { placer.HandleEvidence(n, wait) },
	})
	placer = scheduler.Start(ctx, scheduler.Options{
		Config: cfg, Incarnation: boot, Cache: led, Workers: to.workers, OnCommandResponse: rep.HandleCommandResponse, StoreLimits: limits, Overload: load,
	})
	front := apiserver.Start(ctx, apiserver.Options{Config: cfg, Cache: led, Heartbeats: rep, Peer: msh, StoreLimits: limits, Overload: load})
	renter := autoscaler.Start(ctx, autoscaler.Options{
		Config: cfg, Incarnation: boot, Cache: led, Cloud: to.cloud, Prober: to.workers, OnProbeResponse: rep.HandleCommandResponse, StoreLimits: limits, Overload: load,
	})
	rep.OnReachable(msh.AnnounceReachable)
	rep.OnReachable(renter.MachinesReachable)
	msh.OnReachable(renter.MachinesReachable)
	msh.OnEvidence(func(n reconcile.Evidence) { placer.HandleEvidence(n, 0) })
	elect := election.Start(ctx, to.state, led, election.Options{
		MemberName: cfg.MemberName, Incarnation: boot, LeaseTTL: p.Workers.Heartbeats(ops.MemberLeaseHeartbeats),
		Teams: teams(p.Teams), MaxTxnOps: p.Store.TxnOpsLimit(), ChunkTasks: chunk, Capabilities: capabilities(ops),
	})
	catalog := cloud.NewCatalog(ctx, to.cloud)
	catalog.Subscribe(front.SetMachineTypes)
	catalog.Subscribe(placer.SetMachineTypes)
	catalog.Subscribe(renter.SetMachineTypes)
	n := node{
		server:   front,
		mesh:     msh,
		election: elect,
		actors:   []*actor.Actor{led.Actor, msh.Actor, rep.Actor, placer.Actor, front.Actor, renter.Actor, elect.Actor, catalog.Actor},
	}
	if ops.ZoneRecovery != nil {
		zones := zonecontrol.Start(ctx, cfg, boot, led, placer)
		placer.SetAdvisor(recovery.NewAdvisor(cfg))
		renter.SetZoneRecovery(recovery.NewScalingPolicy(cfg), zones.PoolExhausted)
		rep.OnReachable(func(machines []wire.MachineID) { zones.MachinesReachable(cfg.MemberName, machines) })
		msh.OnReachableBy(zones.MachinesReachable)
		catalog.Subscribe(zones.SetMachineTypes)
		n.zones = zones
		n.actors = append(n.actors, zones.Actor)
	}
	if ops.Standby != nil {
		n.standby = standby.Start(ctx, cfg, boot, led, elect)
		msh.Watch(n.standby, boot, ops.Standby.HeartbeatInterval(p.Workers))
		n.actors = append(n.actors, n.standby.Actor)
	}
	go catalog.Run(ctx, 12*ops.PlanningInterval, report/3)
	led.Run()
	return n
}

// peerHandler answers other controllers and operators: users' requests that are passed
// on, and the status of what is switched on.
func (n *node) peerHandler() http.Handler {
	router := chi.NewRouter()
	if n.zones != nil {
		router.Method(http.MethodGet, zonecontrol.StatusPath, n.zones)
	}
	if n.standby != nil {
		router.Method(http.MethodGet, standby.StatusPath, n.standby)
	}
	router.Mount("/", n.server.Handler())
	return router
}

// capabilities are what the settings switch on that other members must know of.
func capabilities(ops config.OperatorSettings) []string {
	if ops.ZoneRecovery == nil {
		return nil
	}
	return []string{statecache.CapabilityZoneRecovery}
}

// jobMemoryShare is the part of the memory that jobs which are over may take before
// operators are warned.
const jobMemoryShare = 0.15

// jobCountWarning is how many jobs that is.
func jobCountWarning(r config.ControllerResources) int {
	return int(r.MemoryMB * (1 << 20) * jobMemoryShare / statecache.FinishedJobBytes)
}

// Shares of the state service's rate that all controllers together use to
// follow it, and to answer users.
const (
	watchShare   = 0.3
	refreshShare = 0.2
)

// readPause is the least time between two reads of this controller so that all
// of them keep to a share of the rate.
func readPause(cfg *config.Config, share float64) time.Duration {
	return config.Seconds(float64(len(cfg.Peers)+1) / (cfg.Params.Store.RequestRateLimit() * share))
}

func teams(ts []config.TeamQuota) []wire.TeamName {
	var out []wire.TeamName
	for _, t := range ts {
		out = append(out, t.Name)
	}
	return out
}
