package autoscaler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// leaderFixture is the autoscaler of a leader, a simulated cloud, and a service with one pending replica.
type leaderFixture struct {
	network    *simulation.Network
	store      *simulation.Store
	cache      *statecache.Cache
	cloud      *simulation.Cloud
	autoscaler *Autoscaler
}

// withLeader runs test with the autoscaler of a leader, and a cloud that has limit machines of each type.
func withLeader(t *testing.T, limit int, test func(f *leaderFixture), extraTypes ...wire.MachineType) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
		cfg.Operator.HeadroomShare = 0
		cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 3 * time.Second, LeaseDuration: 34 * time.Second, CancellationDeadline: 64 * time.Second}
		cfg.Params.Store = config.StoreLimits{MaxValueKB: 8, MaxTxnOps: 8, RequestRate: 150, WriteRate: 50}
		cfg.Params.Cloud = config.CloudLimits{RequestRate: 3, ListLag: 10 * time.Second}
		cfg.Params.Teams = []config.TeamQuota{{Name: "red"}}
		types := []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 16, HourlyPrice: 1, BootTime: 25, Zones: []wire.Zone{"a"}}}
		types = append(types, extraTypes...)
		net, store := simulation.NewNetwork(1, time.Millisecond), simulation.NewStore()
		conn := &simulation.StoreConn{Store: store, Network: net, Member: "n0", Timeout: time.Second}
		chunk := statecache.ChunkTasks(8)
		cache := statecache.Start(ctx, conn, statecache.Options{ChunkTasks: chunk, WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond})
		cloud := simulation.NewCloud(1, types, limit, 10*time.Second, func(instance wire.Instance) *simulation.Worker {
			return simulation.NewWorker(ctx, instance, simulation.WorkerOptions{
				HeartbeatInterval: 3 * time.Second, LeaseDuration: 34 * time.Second, Members: []string{"n0"}, Network: net, Checker: simulation.NewInvariantChecker(cfg.Params),
				PostHeartbeat: func(string) simulation.HeartbeatPoster { return nil },
			}, 0)
		})
		a := Start(ctx, Options{Config: cfg, Incarnation: 7, Cache: cache, Cloud: &simulation.CloudConn{Cloud: cloud, Network: net, Member: "n0", Timeout: 4 * time.Second, MachineContext: ctx},
			Prober: &simulation.WorkerConn{Cloud: cloud, Network: net, Member: "n0", Timeout: time.Second}, OnProbeResponse: func(*wire.Heartbeat) {}})
		a.SetMachineTypes(types)
		cache.Run()
		time.Sleep(time.Second)
		cache.Commit(statecache.Commit{Puts: []statecache.Put{
			{Key: statecache.LeaderKey, Record: &statecache.Leader{Member: "n0", Incarnation: 7, Term: 1}},
			{Key: statecache.TermKey, Record: &statecache.Term{Number: 1}},
			{Key: statecache.Key(statecache.KindJob, "req-000001"), Record: &statecache.Job{TaskCount: 1, SubmittedAt: statecache.TimestampOf(time.Now()), Spec: &wire.Job{
				ID: "req-000001", Team: "red", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 1, CPUs: 4, MemoryGB: 1,
			}}},
		}}, func(statecache.Outcome) {})
		test(&leaderFixture{network: net, store: store, cache: cache, cloud: cloud, autoscaler: a})
		cancel()
		time.Sleep(time.Minute)
	})
}
