package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"lynxledge/internal/cloud"
	"lynxledge/internal/config"
	"lynxledge/internal/election"
	"lynxledge/internal/frontdoor"
	"lynxledge/internal/ledger"
	"lynxledge/internal/mesh"
	"lynxledge/internal/place"
	"lynxledge/internal/rent"
	"lynxledge/internal/reports"
	"lynxledge/internal/state"
	"lynxledge/internal/worker"
)

// memoryShare is the part of the memory limit at which Go collects harder;
// the rest is for what its heap doesn't count.
const memoryShare = 0.7

func run(cfg *config.Config) error {
	logLevel()
	res := cfg.Params.Resources
	runtime.GOMAXPROCS(max(1, int(math.Ceil(res.CPU))))
	debug.SetMemoryLimit(int64(res.MemoryMB * memoryShare * (1 << 20)))
	debug.SetGCPercent(200)

	users, err := net.Listen("tcp4", cfg.Listen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	peers, err := net.Listen("tcp4", cfg.MeshAddr)
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

// serve puts the actors together and answers until the process is killed.
func serve(ctx context.Context, cfg *config.Config, users, peers net.Listener) error {
	p, ops := cfg.Params, cfg.Ops
	report := config.Secs(p.Workers.ReportS)
	boot := rand.Uint64() >> 1
	chunk := ledger.ChunkTasks(p.State.ValueKB)
	slog.Info("starting", "member", cfg.Name, "zone", cfg.Zone, "boot", boot)

	store := state.New(cfg.External.State, p.State.RPS, p.State.WriteRPS, ops.StateShare, p.State.TxnOps, report/2)
	led := ledger.Start(ctx, store, ledger.Options{
		ChunkTasks: chunk, Hold: 5 * report, Gap: report / 120, Refresh: refreshPause(cfg),
		MaxAge: report / 2, Backoff: report / 30,
	})
	var fresh atomic.Int64
	led.Subscribe(func(d ledger.Delta) { fresh.Store(d.Fresh.UnixNano()) })
	freshAt := func() time.Time {
		if n := fresh.Load(); n != 0 {
			return time.Unix(0, n)
		}
		return time.Time{}
	}

	var renter *rent.Renter
	msh := mesh.Start(ctx, cfg, freshAt, func(machines []string) { renter.Heard(machines) })
	rep := reports.Start(ctx, cfg, led, msh.Elsewhere)
	workers := worker.New(report)
	clouds := cloud.New(cfg.External.Cloud, p.Cloud.RPS, ops.CloudShare, 2*report)
	front := frontdoor.Start(ctx, cfg, led, rep, msh)
	placer := place.Start(ctx, cfg, boot, led, workers, rep.Handle)
	renter = rent.Start(ctx, cfg, boot, led, clouds, workers, rep.Handle)
	rep.Heard(msh.Heard)
	rep.Heard(renter.Heard)
	election.Start(ctx, store, led, election.Options{
		Name: cfg.Name, Boot: boot, TTL: time.Duration(float64(report) * ops.MemberLease),
		Teams: teams(p.Teams), MaxOps: p.State.TxnOps, Chunk: chunk,
	})
	catalog := cloud.NewCatalog(ctx, clouds)
	catalog.Subscribe(front.SetTypes)
	catalog.Subscribe(placer.SetTypes)
	catalog.Subscribe(renter.SetTypes)
	go catalog.Run(ctx, 12*config.Secs(ops.PassS), report/3)
	led.Run()

	go func() {
		if err := msh.Serve(peers, front); err != nil {
			slog.Error("mesh server ended", "err", err)
		}
	}()
	srv := &http.Server{
		Handler: front.Handler(), ReadHeaderTimeout: 4 * report,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	return srv.Serve(users)
}

// refreshPause lets reads of the state that users wait for take a tenth of
// its rate, over all controllers.
func refreshPause(cfg *config.Config) time.Duration {
	n := float64(len(cfg.Peers) + 1)
	return config.Secs(n / (cfg.Params.State.RPS * 0.2))
}

func teams(ts []config.Team) []string {
	var out []string
	for _, t := range ts {
		out = append(out, t.Name)
	}
	return out
}
