package statecache

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"lynxledge/wire"
)

// Sizes of a large deployment: its machine groups, and the jobs of a long day.
const (
	benchGroups   = 50
	benchMachines = 36 // in a group
	benchTasks    = 3  // on a machine
	benchJobs     = 5000

	maxWatchAllocations = 110 // a fifth above the measured number
)

// benchGroup returns a group whose machines are in use.
func benchGroup(name string, first int) *MachineGroup {
	g := &MachineGroup{Name: name, MachineType: "entoto-small", Zone: "bole", Spot: true, ProvisionedAt: 1790000010788}
	for i := range benchMachines {
		m := &Machine{Name: wire.MachineID(fmt.Sprintf("i-%06d", first+i)), Address: fmt.Sprintf("10.100.1.%d:9000", i), Incarnation: 1, FencingToken: FirstToken(2) + 11}
		for task := range benchTasks {
			m.Bindings = append(m.Bindings, TaskBinding{Job: wire.JobID(fmt.Sprintf("req-%06d", (first+i)%40)), TaskIndex: task, Attempt: FirstToken(2) + 10})
		}
		g.Machines = append(g.Machines, m)
	}
	g.Completions = map[wire.JobID][]int{"req-000001": {3, 4, 5, 9}, "req-000002": {70, 71, 90}}
	return g
}

// benchCache returns a cache that holds all groups, and the record of one group before and after
// a task on one of its machines was replaced.
func benchCache(ctx context.Context) (cache *Cache, records [2]json.RawMessage) {
	cache = Start(ctx, nil, Options{ChunkTasks: ChunkTasks(4)})
	cache.Subscribe(func(Update) {})
	events := &wire.WatchResponse{Revision: 1}
	for i := range benchGroups {
		name := fmt.Sprintf("g%03d", i)
		events.Events = append(events.Events, wire.Event{PutKey: Key(KindMachineGroup, name), Value: mustMarshal(benchGroup(name, i*benchMachines)), ModRevision: 1})
	}
	cache.applyWatchResponse(events, time.Now())
	g := benchGroup("g007", 7*benchMachines)
	records[0] = mustMarshal(g)
	machine := g.Machines[5]
	machine.FencingToken++
	machine.Bindings[0] = TaskBinding{Job: "req-000039", TaskIndex: 77, Attempt: machine.FencingToken}
	records[1] = mustMarshal(g)
	return cache, records
}

// BenchmarkWatchAnswer measures the application of a watch response with one changed machine.
func BenchmarkWatchAnswer(b *testing.B) {
	cache, records := benchCache(b.Context())
	b.ReportAllocs()
	revision := uint64(1)
	for b.Loop() {
		revision++
		event := wire.Event{PutKey: Key(KindMachineGroup, "g007"), Value: records[revision%2], ModRevision: revision}
		cache.applyWatchResponse(&wire.WatchResponse{Revision: revision, Events: []wire.Event{event}}, time.Now())
	}
}

// BenchmarkLoad measures the decoding of all records that a controller reads when it starts.
func BenchmarkLoad(b *testing.B) {
	items := map[string]json.RawMessage{}
	for i := range benchGroups {
		name := fmt.Sprintf("g%03d", i)
		items[Key(KindMachineGroup, name)] = mustMarshal(benchGroup(name, i*benchMachines))
	}
	for i := range benchJobs {
		items[Key(KindJob, fmt.Sprintf("req-%06d", i))] = mustMarshal(&Job{State: wire.JobDone, TaskCount: 40, SubmittedAt: 1790000010788, FinishedAt: 1790000020788})
	}
	b.ReportAllocs()
	for b.Loop() {
		cache := Start(b.Context(), nil, Options{ChunkTasks: ChunkTasks(4)})
		var changes []Change
		for key, raw := range items {
			if change, ok := cache.decodeChange(key, raw, 7); ok {
				changes = append(changes, change)
			}
		}
		cache.publish(changes)
	}
}

// BenchmarkGroupRecord measures the encoding of a group's record in which one machine changed.
func BenchmarkGroupRecord(b *testing.B) {
	cache, _ := benchCache(b.Context())
	b.ReportAllocs()
	for b.Loop() {
		update := cache.view.UpdateGroup("g007")
		machine := update.UpdateMachine(update.Machines[5].Name)
		machine.Bindings[0].Attempt = machine.FencingToken
		mustMarshal(&update.MachineGroup)
	}
}

// The cost of applying a watch response depends on what has changed, since unchanged machines are
// shared with the previous record.
func TestAllocationsOfAWatchAnswer(t *testing.T) {
	cache, records := benchCache(t.Context())
	revision := uint64(1)
	allocations := testing.AllocsPerRun(100, func() {
		revision++
		event := wire.Event{PutKey: Key(KindMachineGroup, "g007"), Value: records[revision%2], ModRevision: revision}
		cache.applyWatchResponse(&wire.WatchResponse{Revision: revision, Events: []wire.Event{event}}, time.Now())
	})
	if allocations > maxWatchAllocations {
		t.Errorf("%v allocations for one changed machine", allocations)
	}
}

// maxFinishedJobBytes is a fifth above the size that the warning to operators reports.
const maxFinishedJobBytes = FinishedJobBytes * 6 / 5

// Finished jobs are never deleted, so the cache and the API server must use little memory for
// each, and a view without finished jobs must hold none of them.
func TestFinishedJobsAreCompact(t *testing.T) {
	const jobs = 100_000
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	cache := Start(t.Context(), nil, Options{ChunkTasks: ChunkTasks(4)})
	server, scheduler := NewView(ChunkTasks(4)), NewUnfinishedView(ChunkTasks(4))
	cache.Subscribe(func(update Update) {
		for _, change := range update.Changes {
			server.Apply(change)
			scheduler.Apply(change)
		}
	})
	before := heap()
	for i := range jobs {
		raw := mustMarshal(&Job{State: wire.JobDone, TaskCount: 40, SubmittedAt: 1790000010788, FinishedAt: 1790000020788})
		event := wire.Event{PutKey: Key(KindJob, fmt.Sprintf("req-%06d", i)), Value: raw, ModRevision: uint64(i + 1)}
		cache.applyWatchResponse(&wire.WatchResponse{Revision: uint64(i + 1), Events: []wire.Event{event}}, time.Now())
	}
	each := (heap() - before) / jobs
	t.Logf("%d bytes for each finished job", each)
	if each > maxFinishedJobBytes {
		t.Errorf("%d bytes for each finished job", each)
	}
	if len(server.Jobs) != jobs || len(scheduler.Jobs) != 0 {
		t.Errorf("%d and %d jobs known", len(server.Jobs), len(scheduler.Jobs))
	}
	runtime.KeepAlive(cache)
}
