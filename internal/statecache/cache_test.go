package statecache

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lynxledge/internal/actor"
	_ "lynxledge/internal/rapidseed"
	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

func genGroup(t *rapid.T) *MachineGroup {
	g := NewMachineGroup(GroupOptions{Name: "g", MachineType: "t", Zone: "z", Spot: rapid.Bool().Draw(t, "spot"), ProvisionedAt: 5})
	for i := range rapid.IntRange(0, 6).Draw(t, "machines") {
		b := &Machine{
			Name: wire.MachineID(fmt.Sprintf("i-%06d", i)), Group: "g", MachineType: "t", Zone: "z", Spot: g.Spot, ProvisionedAt: 5,
			Incarnation: uint64(rapid.IntRange(0, 3).Draw(t, "session")), FencingToken: FirstToken(uint64(rapid.IntRange(3, 4).Draw(t, "term"))) + uint64(rapid.IntRange(0, 99).Draw(t, "token")),
			Suspected: rapid.Bool().Draw(t, "quiet"), Terminating: rapid.Bool().Draw(t, "closed"),
			DrainReason: rapid.SampledFrom([]string{"", "idle", "spot-notice"}).Draw(t, "drain"),
		}
		if b.Incarnation > 0 {
			b.Address = rapid.SampledFrom([]string{"10.0.0.1:9000", "10.0.0.14:9000", "10.0.3.1:90", "host"}).Draw(t, "addr")
		}
		for n := range rapid.IntRange(0, 5).Draw(t, "n") {
			task := TaskBinding{Job: wire.JobID(rapid.StringMatching(`req-[0-9]{6,9}`).Draw(t, "job")), TaskIndex: n, Attempt: rapid.Uint64().Draw(t, "attempt")}
			if rapid.Bool().Draw(t, "stopped") {
				task.StopToken, task.GraceSeconds = 1+rapid.Uint64Max(1<<60).Draw(t, "stop"), rapid.IntRange(0, 90).Draw(t, "grace")
			}
			b.Bindings = append(b.Bindings, task)
		}
		g.Machines = append(g.Machines, b)
	}
	for range rapid.IntRange(0, 3).Draw(t, "jobs") {
		ns := rapid.SliceOfNDistinct(rapid.IntRange(0, wire.MaxTasksPerJob-1), 1, 9, rapid.ID).Draw(t, "marks")
		slices.Sort(ns)
		if g.Completions == nil {
			g.Completions = map[wire.JobID][]int{}
		}
		g.Completions[wire.JobID(rapid.StringMatching(`req-[0-9]{6}`).Draw(t, "marked"))] = ns
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "gone") {
		g.Terminations = append(g.Terminations, Termination{Machine: "i-000001", Job: "req-000001", TaskIndex: i, Reason: wire.ReasonCompleted, Runtime: wire.Seconds(i) * 1.5})
	}
	return g
}

// A group's record survives the state service, is no larger than it is counted
// as, and rows that did not change are taken over from the one before.
func TestGroupSurvives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := genGroup(t)
		size := g.EncodedSize()
		raw, err := json.Marshal(g)
		if err != nil {
			t.Fatal(err)
		}
		if len(raw) > size {
			t.Fatalf("%d bytes, counted as %d", len(raw), size)
		}
		got, err := decodeGroup("g", raw, 9, nil)
		if err != nil {
			t.Fatal(err)
		}
		g.ModRevision, g.affixes = 9, got.affixes
		for i, b := range g.Machines {
			b.encoded = got.Machines[i].encoded
		}
		if len(g.Machines) == 0 {
			g.Machines, got.Machines = nil, nil
		}
		if !reflect.DeepEqual(got, g) {
			t.Fatalf("got %+v, want %+v", got, g)
		}
		again, err := decodeGroup("g", raw, 10, got)
		if err != nil {
			t.Fatal(err)
		}
		for i, b := range again.Machines {
			if b != got.Machines[i] {
				t.Fatalf("row of %s was not taken over", b.Name)
			}
		}
	})
}

// Whatever is written to a group, tokens only rise, what is marked stays
// marked until its job is over, and the record fits its limit or is refused.
func TestDraft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView(8)
		g := genGroup(t)
		for job := range g.Completions {
			state := rapid.SampledFrom([]wire.JobState{"", wire.JobCancelled}).Draw(t, "state")
			v.Apply(Change{Kind: KindJob, Name: string(job), Record: &Job{State: state, TaskCount: wire.MaxTasksPerJob}})
		}
		v.Apply(Change{Kind: KindMachineGroup, Name: "g", Record: g})
		d := v.UpdateGroup("g")
		for _, b := range g.Machines {
			if rapid.Bool().Draw(t, "edit") {
				if n := d.UpdateMachine(b.Name); n.FencingToken <= b.FencingToken || len(n.Bindings) != len(b.Bindings) {
					t.Fatalf("%+v after %+v", n, b)
				}
			} else if rapid.Bool().Draw(t, "drop") {
				d.RemoveMachine(b.Name)
			}
		}
		d.MarkCompleted("req-000777", 3)
		d.MarkCompleted("req-000777", 3)
		limit := rapid.IntRange(100, 3000).Draw(t, "limit")
		fits := d.TrimToFit(limit)
		raw, _ := json.Marshal(&d.MachineGroup)
		if fits && len(raw) > limit {
			t.Fatalf("%d bytes pass for %d", len(raw), limit)
		}
		next, err := decodeGroup("g", raw, 2, g)
		if err != nil {
			t.Fatal(err)
		}
		if len(next.Completions["req-000777"]) != 1 {
			t.Fatalf("marks %v", next.Completions)
		}
		for job, ns := range g.Completions {
			if want := v.Jobs[job].Active(); want != slices.Equal(next.Completions[job], ns) {
				t.Fatalf("%s: %v of %v", job, next.Completions[job], ns)
			}
		}
	})
}

// A record of another layout is refused, never misread.
func TestOtherLayoutIsRefused(t *testing.T) {
	old := `{"type":"s","zone":"a","addr":"10.0.0.1:9","session":1,"token":4294967297,"tasks":[["req-000001/0",4294967297]],"at":5}`
	if _, err := decodeGroup("i-000001", json.RawMessage(old), 1, nil); !errors.Is(err, ErrUnknownLayout) {
		t.Errorf("read as this layout: %v", err)
	}
}

// The largest job's done set fits into values of the smallest limit.
func TestDoneSetsFitTheirValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		valueKB := rapid.Float64Range(0.1, 64).Draw(t, "kb")
		per := ChunkTasks(valueKB)
		v := NewView(per)
		v.Apply(Change{Kind: KindJob, Name: "req-000001", Record: &Job{TaskCount: wire.MaxTasksPerJob}})
		want := map[int]bool{}
		for range 50 {
			n := rapid.IntRange(0, 99_999).Draw(t, "task")
			want[n] = true
			c, bit := v.CompletionChunkOf(n)
			d := v.CompletionChunks["req-000001"][CompletionChunkID{c, WholeChunk}].With(bit)
			raw, _ := json.Marshal(d)
			if float64(len(raw)) > valueKB*1024 {
				t.Fatalf("%d bytes for a limit of %v KiB", len(raw), valueKB)
			}
			got, err := schemas[KindCompletionChunk].decode(v, "", raw, 1)
			if err != nil {
				t.Fatal(err)
			}
			v.Apply(Change{Kind: KindCompletionChunk, Name: CompletionChunkKey("req-000001", CompletionChunkID{c, WholeChunk})[len(KeyPrefix)+len(KindCompletionChunk)+1:], Record: got, ModRevision: 1})
		}
		if v.CompletedCount("req-000001") != len(want) {
			t.Fatalf("%d of %d", v.CompletedCount("req-000001"), len(want))
		}
		for n := range want {
			if !v.IsCompleted("req-000001", n) {
				t.Fatalf("%d lost", n)
			}
		}
	})
}

// An older record of a key that an own commit deleted must not come back with
// the watch: it bound its tasks to a machine that was gone, and when the
// deletion followed, they looked unbound though they were bound elsewhere.
func TestOwnDeleteIsNotUndone(t *testing.T) {
	l := &Cache{view: NewView(8), progress: progress{revision: 8}, ownDeletions: ownDeletions{Key(KindMachineGroup, "m2"): 11}}
	task := TaskBinding{Job: "req-000001", Attempt: 1}
	l.view.Apply(Change{Key: Key(KindMachineGroup, "m1"), Kind: KindMachineGroup, Name: "m1", Record: &MachineGroup{Name: "m1", Machines: []*Machine{{Name: "m1", Bindings: []TaskBinding{task}}}, ModRevision: 12}, ModRevision: 12})
	old, _ := json.Marshal(&MachineGroup{Machines: []*Machine{{Name: "m2", Bindings: []TaskBinding{task}}}})
	l.Subscribe(func(d Update) {
		for _, c := range d.Changes {
			if c.Record != nil {
				t.Errorf("%s is back at %d", c.Key, c.ModRevision)
			}
		}
	})
	l.applyWatchResponse(&wire.WatchResponse{Revision: 12, Events: []wire.Event{
		{PutKey: Key(KindMachineGroup, "m2"), Value: old, ModRevision: 9}, {DeletedKey: Key(KindMachineGroup, "m2"), ModRevision: 11},
	}}, time.Now())
	if m := l.view.Bindings["req-000001"][0]; m != "m1" {
		t.Errorf("task is bound to %q", m)
	}
	if len(l.ownDeletions) > 0 {
		t.Error("deletions are remembered for ever")
	}
}

// A group may take over the machines of another, in one commit: whatever the
// order in which a watch tells of it, every view ends with the same machines and
// tasks, and none was gone in between.
func TestGroupsMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView(8)
		v.Apply(Change{Key: Key(KindJob, "req-000001"), Kind: KindJob, Name: "req-000001", ModRevision: 1, Record: &Job{TaskCount: 1000, ModRevision: 1}})
		raw := func(g *MachineGroup) json.RawMessage {
			b, err := json.Marshal(g)
			if err != nil {
				t.Fatal(err)
			}
			return b
		}
		put := func(g *MachineGroup, stamp uint64) Change {
			rec, err := decodeGroup(g.Name, raw(g), stamp, v.Groups[g.Name])
			if err != nil {
				t.Fatal(err)
			}
			return Change{Key: Key(KindMachineGroup, g.Name), Kind: KindMachineGroup, Name: g.Name, Record: rec, ModRevision: stamp}
		}
		n := rapid.IntRange(2, 30).Draw(t, "machines")
		groups := map[string]*MachineGroup{"a": {Name: "a", MachineType: "t", Zone: "z", ProvisionedAt: 5}, "b": {Name: "b", MachineType: "t", Zone: "z", ProvisionedAt: 7}}
		for i := range n {
			g := groups[rapid.SampledFrom([]string{"a", "b"}).Draw(t, "group")]
			b := &Machine{Name: wire.MachineID(fmt.Sprintf("i-%06d", i)), Address: fmt.Sprintf("10.0.%d.1:9", i), Incarnation: 1, FencingToken: FirstToken(1) + uint64(i)}
			if rapid.Bool().Draw(t, "busy") {
				b.Bindings = []TaskBinding{{Job: "req-000001", TaskIndex: i, Attempt: b.FencingToken}}
			}
			g.Machines = append(g.Machines, b)
		}
		groups["a"].Completions = map[wire.JobID][]int{"req-000001": {100, 102}}
		groups["b"].Completions = map[wire.JobID][]int{"req-000001": {101, 102}}
		for name, g := range groups {
			if len(g.Machines) > 0 {
				v.Apply(put(g, 2))
			} else {
				delete(groups, name)
			}
		}
		if len(groups) < 2 {
			t.Skip()
		}
		want := maps.Clone(v.Machines)
		into, other := v.UpdateGroup("a"), v.UpdateGroup("b")
		into.Merge(other)
		var c Commit
		into.AddTo(&c)
		other.AddDeletionTo(&c)
		if c.Ops() != 2 || len(c.Preconditions) != 2 {
			t.Fatalf("%+v", c)
		}
		for _, b := range v.Apply(put(&into.MachineGroup, 3)) {
			if b.Old == nil || b.New == nil || b.Old.FencingToken != b.New.FencingToken || len(UnboundTasks(b.Old, b.New)) > 0 {
				t.Fatalf("%s changed: %+v %+v", b.Machine, b.Old, b.New)
			}
		}
		if out := v.Apply(Change{Key: Key(KindMachineGroup, "b"), Kind: KindMachineGroup, Name: "b", ModRevision: 3}); len(out) > 0 {
			t.Fatalf("taken for gone: %+v", out)
		}
		bound := 0
		for m, b := range v.Machines {
			w := want[m]
			if w == nil || b.Group != "a" || b.Address != w.Address || b.FencingToken != w.FencingToken || !slices.Equal(b.Bindings, w.Bindings) {
				t.Fatalf("%s: %+v, was %+v", m, b, w)
			}
			for _, k := range b.Bindings {
				if bound++; v.Bindings[k.Job][k.TaskIndex] != m {
					t.Fatalf("%s is not known to be bound", k.TaskID())
				}
			}
		}
		if len(v.Machines) != n || bound != len(v.Bindings["req-000001"]) || v.CompletedCount("req-000001") != 3 {
			t.Fatalf("%d machines, %d bound, %d done", len(v.Machines), len(v.Bindings["req-000001"]), v.CompletedCount("req-000001"))
		}
	})
}

// What is larger than a body may be is refused here and not sent: the service
// would call it malformed, whatever it held.
func TestLargeTransactionIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := simulation.NewStore()
		conn := &simulation.StoreConn{Store: store, Net: simulation.NewNetwork(1, time.Millisecond), Node: "n0", Timeout: time.Second}
		l := Start(ctx, conn, Options{ChunkTasks: 8, WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond, MaxValueBytes: 8 << 10})
		l.Run()
		time.Sleep(time.Second)
		commit := func(writes int) Outcome {
			var c Commit
			for i := range writes {
				c.Puts = append(c.Puts, Put{Key: Key(KindCompletionChunk, fmt.Sprintf("req-000001/%04d", i)), Record: &CompletionChunk{Bits: make([]byte, 6000)}})
			}
			out := make(chan Outcome, 1)
			l.Commit(c, func(o Outcome) { out <- o })
			return <-out
		}
		if out := commit(7); out != Committed {
			t.Errorf("56 KB: %v", out)
		}
		if out := commit(9); out != Rejected || strings.Contains(store.Dump(), "/0008") {
			t.Errorf("72 KB: %v", out)
		}
	})
}

// paged lists one key at a time, and lets something happen after the first page.
type paged struct {
	*simulation.StoreConn
	between func()
}

func (s *paged) List(ctx context.Context, prefix, after string, _ int) (*wire.RangeResponse, error) {
	page, err := s.StoreConn.List(ctx, prefix, after, 1)
	if s.between != nil {
		s.between()
		s.between = nil
	}
	return page, err
}

// A machine that goes to another group while the pages are read is never missing:
// the group it came to was read without it, the one it left is gone.
func TestLoadMissesNothingThatMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		conn := &simulation.StoreConn{Store: simulation.NewStore(), Net: simulation.NewNetwork(1, time.Millisecond), Node: "n0", Timeout: time.Second}
		write := func(key string, machines ...wire.MachineID) wire.Write {
			raw, err := json.Marshal(NewMachineGroup(GroupOptions{MachineType: "t", Zone: "z", ProvisionedAt: 5, Machines: machines, FencingToken: 9}))
			if err != nil {
				t.Fatal(err)
			}
			return wire.Write{PutKey: Key(KindMachineGroup, key), Value: raw}
		}
		commit := func(w ...wire.Write) {
			if _, err := conn.Commit(ctx, &wire.Txn{Writes: w}); err != nil {
				t.Error(err)
			}
		}
		commit(write("a", "i-1"), write("b", "i-2"), write("c", "i-3"))
		store := &paged{conn, func() { commit(write("a", "i-1", "i-2"), wire.Write{DeleteKey: Key(KindMachineGroup, "b")}) }}
		l := Start(ctx, store, Options{ChunkTasks: 8, WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond})
		v := NewView(8) // of the actor that the cache is
		l.Subscribe(func(d Update) {
			for _, c := range d.Changes {
				v.Apply(c)
			}
			if len(v.Machines) != 3 || v.Machines["i-2"].Group != "a" {
				t.Errorf("%d machines at revision %d", len(v.Machines), d.Revision)
			}
		})
		l.Run()
		time.Sleep(5 * time.Second)
		if n, ok := actor.Ask(l.Actor, func(reply func(int)) { reply(len(v.Machines)) }); !ok || n != 3 {
			t.Errorf("%d machines in the end", n)
		}
	})
}

// Operators are warned once when jobs that are over begin to fill the memory.
func TestWarningOfManyJobs(t *testing.T) {
	var log bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(before)
	l := Start(t.Context(), nil, Options{ChunkTasks: ChunkTasks(4), JobCountWarning: 10})
	for i := range 30 {
		job := Change{Kind: KindJob, Name: fmt.Sprintf("req-%06d", i), Record: &Job{State: wire.JobDone, ModRevision: 1}, ModRevision: 1}
		l.publish([]Change{job})
		if warned := strings.Contains(log.String(), "finished jobs"); warned != (i >= 10) {
			t.Fatalf("%d jobs: warned %v", i+1, warned)
		}
	}
	if n := strings.Count(log.String(), "finished jobs"); n != 1 {
		t.Errorf("warned %d times", n)
	}
}
