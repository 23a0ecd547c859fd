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
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"lynxledge/internal/cloud"
	"lynxledge/internal/config"
	"lynxledge/internal/connlimit"
	"lynxledge/internal/election"
	"lynxledge/internal/kvstore"
	"lynxledge/internal/worker"
)

// run configures the process, opens its listeners and serves until it is killed or has resigned.
func run(cfg *config.Config) error {
	setUpLogging()
	limitRuntime(cfg.Params.Resources)
	if tooSmall := cfg.Warnings(); len(tooSmall) > 0 {
		slog.Warn("settings look too small for a controller", "settings", strings.Join(tooSmall, " "))
	}
	clientListener, err := net.Listen("tcp4", cfg.ClientListenAddress)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	peerListener, err := net.Listen("tcp4", cfg.PeerListenAddress)
	if err != nil {
		return fmt.Errorf("mesh_addr: %w", err)
	}
	return serve(context.Background(), cfg, clientListener, peerListener)
}

// goMemoryLimitShare is the share of the memory limit that is Go's soft limit, near which garbage
// is collected more often. The rest is for memory that Go's limit does not count.
const goMemoryLimitShare = 0.6

// limitRuntime sets the limits of the Go runtime from the controller's resources.
func limitRuntime(resources config.ControllerResources) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(resources.CPUs))))
	debug.SetMemoryLimit(int64(resources.MemoryMB * goMemoryLimitShare * (1 << 20)))
	debug.SetGCPercent(800)
}

// serve starts a controller and serves requests until the process is killed or has resigned.
func serve(ctx context.Context, cfg *config.Config, clientListener, peerListener net.Listener) error {
	sockets := newSocketBudget(cfg.Params.Resources)
	c := assemble(ctx, cfg, newIncarnation(), newClients(cfg, sockets))
	go func() {
		if err := c.transport.Serve(ctx, peerListener, c.peerHandler()); err != nil {
			slog.Error("peer server ended", "error", err)
		}
	}()
	server := newClientServer(cfg, c.apiServer.Handler(), connlimit.New(sockets.inbound))
	if cfg.Operator.Standby != nil {
		go resignOnSignal(ctx, c.election, server, cfg.Params.Workers.HeartbeatInterval)
	}
	if err := server.Serve(clientListener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// newIncarnation returns a random number that distinguishes this process from earlier ones of
// the same controller.
func newIncarnation() uint64 { return rand.Uint64() >> 1 }

// newClients returns the clients of a controller in production; tests use simulated ones.
func newClients(cfg *config.Config, sockets socketBudget) clients {
	heartbeatInterval := cfg.Params.Workers.HeartbeatInterval
	store, provider := cfg.Params.Store, cfg.Params.Cloud
	return clients{
		store:    kvstore.New(cfg.External.State, store.RequestRateLimit(), store.WriteRate, store.MaxTxnOps, heartbeatInterval/2),
		cloud:    cloud.New(cfg.External.Cloud, provider.RequestRate, cfg.Operator.CloudRateShare, 2*heartbeatInterval),
		workers:  worker.New(heartbeatInterval, sockets.idleWorkerConnections, sockets.inFlightCommands),
		dialPeer: new(net.Dialer).DialContext,
	}
}

// newClientServer returns the HTTP server for users, workers and health checks.
func newClientServer(cfg *config.Config, handler http.Handler, connections *connlimit.Limiter) *http.Server {
	return &http.Server{
		Handler:           connections.Handler(handler),
		ConnState:         connections.ConnState,
		ReadHeaderTimeout: 4 * cfg.Params.Workers.HeartbeatInterval,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// resignOnSignal gives up this controller's roles when the platform sends SIGTERM, and then closes
// its server. It waits no longer than timeout: roles that were not given up by then pass to other
// controllers by failover.
func resignOnSignal(ctx context.Context, participant *election.Election, server *http.Server, timeout time.Duration) {
	signalled, stop := signal.NotifyContext(ctx, syscall.SIGTERM)
	defer stop()
	<-signalled.Done()
	if ctx.Err() != nil {
		return
	}
	resigned := make(chan struct{})
	participant.Resign(func() { close(resigned) })
	select {
	case <-resigned:
	case <-time.After(timeout):
	}
	server.Close()
}
