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

// Sizes of the larger grown deployment: groups of machines, and a long day's jobs.
const (
	benchGroups   = 50
	benchMachines = 36 // in a group
	benchTasks    = 3  // on a machine
	benchJobs     = 5000

	maxWatchAllocations = 110 // a fifth above what was measured
)

// benchGroup is a group whose machines are in use.
func benchGroup(name string, first int) *MachineGroup {
	g := &MachineGroup{Name: name, MachineType: "entoto-small", Zone: "bole", Spot: true, ProvisionedAt: 1790000010788}
	for i := range benchMachines {
		b := &Machine{Name: wire.MachineID(fmt.Sprintf("i-%06d", first+i)), Address: fmt.Sprintf("10.100.1.%d:9000", i), Incarnation: 1, FencingToken: FirstToken(2) + 11}
		for n := range benchTasks {
			b.Bindings = append(b.Bindings, TaskBinding{Job: wire.JobID(fmt.Sprintf("req-%06d", (first+i)%40)), TaskIndex: n, Attempt: FirstToken(2) + 10})
		}
		g.Machines = append(g.Machines, b)
	}
	g.Completions = map[wire.JobID][]int{"req-000001": {3, 4, 5, 9}, "req-000002": {70, 71, 90}}
	return g
}

func mustMarshal(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// benchLedger is a ledger that holds all groups, and one group's record before and
// after a task of one machine was replaced.
func benchLedger(ctx context.Context) (l *Cache, records [2]json.RawMessage) {
	l = Start(ctx, nil, Options{ChunkTasks: ChunkTasks(4)})
	l.Subscribe(func(Update) {})
	events := &wire.WatchResponse{Revision: 1}
	for i := range benchGroups {
		name := fmt.Sprintf("g%03d", i)
		events.Events = append(events.Events, wire.Event{PutKey: Key(KindMachineGroup, name), Value: mustMarshal(benchGroup(name, i*benchMachines)), ModRevision: 1})
	}
	l.applyWatchResponse(events, time.Now())
	g := benchGroup("g007", 7*benchMachines)
	records[0] = mustMarshal(g)
	row := g.Machines[5]
	row.FencingToken++
	row.Bindings[0] = TaskBinding{Job: "req-000039", TaskIndex: 77, Attempt: row.FencingToken}
	records[1] = mustMarshal(g)
	return l, records
}

// BenchmarkWatchAnswer is one changed machine in the answer of a watch.
func BenchmarkWatchAnswer(b *testing.B) {
	l, records := benchLedger(b.Context())
	b.ReportAllocs()
	revision := uint64(1)
	for b.Loop() {
		revision++
		event := wire.Event{PutKey: Key(KindMachineGroup, "g007"), Value: records[revision%2], ModRevision: revision}
		l.applyWatchResponse(&wire.WatchResponse{Revision: revision, Events: []wire.Event{event}}, time.Now())
	}
}

// BenchmarkLoad decodes everything that a controller reads at its start.
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
		l := Start(b.Context(), nil, Options{ChunkTasks: ChunkTasks(4)})
		var changes []Change
		for key, raw := range items {
			if c, ok := l.decodeChange(key, raw, 7); ok {
				changes = append(changes, c)
			}
		}
		l.publish(changes)
	}
}

// BenchmarkGroupRecord encodes the record of a group in which one row changed.
func BenchmarkGroupRecord(b *testing.B) {
	l, _ := benchLedger(b.Context())
	b.ReportAllocs()
	for b.Loop() {
		d := l.view.UpdateGroup("g007")
		row := d.UpdateMachine(d.Machines[5].Name)
		row.Bindings[0].Attempt = row.FencingToken
		mustMarshal(&d.MachineGroup)
	}
}

// What a watch's answer costs follows what changed in it: the rows that stand as they
// were are taken over.
func TestAllocationsOfAWatchAnswer(t *testing.T) {
	l, records := benchLedger(t.Context())
	revision := uint64(1)
	allocations := testing.AllocsPerRun(100, func() {
		revision++
		event := wire.Event{PutKey: Key(KindMachineGroup, "g007"), Value: records[revision%2], ModRevision: revision}
		l.applyWatchResponse(&wire.WatchResponse{Revision: revision, Events: []wire.Event{event}}, time.Now())
	})
	if allocations > maxWatchAllocations {
		t.Errorf("%v allocations for one changed row", allocations)
	}
}

// maxEndedJobBytes is a fifth above what operators are told.
const maxEndedJobBytes = FinishedJobBytes * 6 / 5

// Ended jobs are kept for ever: what the ledger and the API server hold for each is small,
// and an actor that has no use for them holds nothing.
func TestEndedJobsAreCompact(t *testing.T) {
	const jobs = 100_000
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	l := Start(t.Context(), nil, Options{ChunkTasks: ChunkTasks(4)})
	server, placer := NewView(ChunkTasks(4)), NewUnfinishedView(ChunkTasks(4))
	l.Subscribe(func(d Update) {
		for _, c := range d.Changes {
			server.Apply(c)
			placer.Apply(c)
		}
	})
	before := heap()
	for i := range jobs {
		raw := mustMarshal(&Job{State: wire.JobDone, TaskCount: 40, SubmittedAt: 1790000010788, FinishedAt: 1790000020788})
		event := wire.Event{PutKey: Key(KindJob, fmt.Sprintf("req-%06d", i)), Value: raw, ModRevision: uint64(i + 1)}
		l.applyWatchResponse(&wire.WatchResponse{Revision: uint64(i + 1), Events: []wire.Event{event}}, time.Now())
	}
	each := (heap() - before) / jobs
	t.Logf("%d bytes for each ended job", each)
	if each > maxEndedJobBytes {
		t.Errorf("%d bytes for each ended job", each)
	}
	if len(server.Jobs) != jobs || len(placer.Jobs) != 0 {
		t.Errorf("%d and %d jobs known", len(server.Jobs), len(placer.Jobs))
	}
	runtime.KeepAlive(l)
}
