package scheduler

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/reconcile"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// testConfig returns the settings of a deployment whose store executes writeRate writes per second.
func testConfig(writeRate float64, teams ...config.TeamQuota) *config.Config {
	cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
	cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 8 * time.Second, LeaseDuration: 44 * time.Second, CancellationDeadline: 74 * time.Second}
	cfg.Params.Store = config.StoreLimits{MaxValueKB: 4, MaxTxnOps: 8, RequestRate: 10 * writeRate, WriteRate: writeRate}
	cfg.Params.Teams = teams
	return cfg
}

// withScheduler calls f with a running scheduler. The store holds the given groups (name to number
// of machines), with one task of one job on every machine; the job's team is assigned to another
// process.
func withScheduler(t *testing.T, groups map[string]int, f func(cache *statecache.Cache, s *Scheduler)) {
	t.Helper()
	withSchedulerAndStore(t, groups, func(_ *simulation.Store, cache *statecache.Cache, s *Scheduler) { f(cache, s) })
}

// withSchedulerAndStore is withScheduler for tests that also need the store.
func withSchedulerAndStore(t *testing.T, groups map[string]int, f func(store *simulation.Store, cache *statecache.Cache, s *Scheduler)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cfg := testConfig(18, config.TeamQuota{Name: "red"})
		store := simulation.NewStore()
		conn := &simulation.StoreConn{Store: store, Network: simulation.NewNetwork(1, time.Millisecond), Member: "n0", Timeout: time.Second}
		cache := statecache.Start(ctx, conn, statecache.Options{ChunkTasks: statecache.ChunkTasks(4), WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond})
		s := Start(ctx, Options{Config: cfg, Incarnation: 2, Cache: cache, OnCommandResponse: func(*wire.Heartbeat) {}})
		s.SetMachineTypes([]wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 16, HourlyPrice: 1, Zones: []wire.Zone{"a"}}})
		cache.Run()
		time.Sleep(time.Second)
		commit := statecache.Commit{Puts: []statecache.Put{
			{Key: statecache.Key(statecache.KindJob, "req-000001"), Record: &statecache.Job{TaskCount: 10000, SubmittedAt: statecache.TimestampOf(time.Now()), Spec: &wire.Job{
				ID: "req-000001", Team: "red", Kind: wire.KindArray, TaskCount: 10000, CPUs: 4, MemoryGB: 1, EstimatedRuntime: 50,
			}}},
			// The team is assigned to another process.
			{Key: statecache.Key(statecache.KindAssignment, "red"), Record: &statecache.Assignment{Member: "n1", Incarnation: 1}},
		}}
		for name, n := range groups {
			commit.Puts = append(commit.Puts, statecache.Put{Key: statecache.Key(statecache.KindMachineGroup, name), Record: groupOf(name, n)})
		}
		cache.Commit(commit, func(statecache.Outcome) {})
		time.Sleep(time.Second)
		f(store, cache, s)
		cancel()
		time.Sleep(time.Minute)
	})
}

// groupOf returns a group of machines with one task bound to each.
func groupOf(name string, machines int) *statecache.MachineGroup {
	group := &statecache.MachineGroup{Name: name, MachineType: "s", Zone: "a"}
	for i := range machines {
		group.Machines = append(group.Machines, &statecache.Machine{
			Name: wire.MachineID(fmt.Sprintf("i-%s%03d", name, i)), Address: "x:1", Incarnation: 1, FencingToken: 9,
			Bindings: []statecache.TaskBinding{{Job: "req-000001", TaskIndex: 100*int(name[0]-'a') + i, Attempt: 1}},
		})
	}
	return group
}

// completionEvidence returns evidence that the only task of a group's i-th machine has completed.
func completionEvidence(group *statecache.MachineGroup, i int) reconcile.Evidence {
	rec := group.Machines[i]
	return reconcile.Evidence{Heartbeat: &wire.Heartbeat{Machine: rec.Name, Address: "x:1", MachineType: "s", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: 9, Tasks: []wire.TaskStatus{
		{Task: rec.Bindings[0].TaskID(), Attempt: 1, State: wire.TaskExited, ExitReason: wire.ReasonCompleted},
	}}}
}

// inActor runs f in the scheduler's actor and waits for it.
func inActor(s *Scheduler, f func()) {
	done := make(chan bool)
	s.Send(func() { f(); done <- true })
	<-done
}

// addLoad adds machines in groups of 50, and services whose replicas fit on none of them.
func addLoad(cache *statecache.Cache, machines, jobs int) {
	var puts []statecache.Put
	for i := range machines / 50 {
		name := fmt.Sprintf("%c%d", 'a'+i%20, i)
		puts = append(puts, statecache.Put{Key: statecache.Key(statecache.KindMachineGroup, name), Record: groupOf(name, 50)})
	}
	for i := range jobs {
		id := wire.JobID(fmt.Sprintf("req-1%05d", i))
		puts = append(puts, statecache.Put{Key: statecache.Key(statecache.KindJob, string(id)), Record: &statecache.Job{TaskCount: 4, SubmittedAt: statecache.TimestampOf(time.Now()), Spec: &wire.Job{
			ID: id, Team: "red", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 4, CPUs: 5, MemoryGB: 1,
		}}})
	}
	for batch := range slices.Chunk(puts, 50) {
		cache.Commit(statecache.Commit{Puts: batch}, func(statecache.Outcome) {})
	}
	time.Sleep(time.Second)
}
