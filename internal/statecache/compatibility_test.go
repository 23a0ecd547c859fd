package statecache

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lynxledge/wire"
)

// What the version in production wrote (testdata/production.json) is read, and
// written again field by field as it was: the former version reads, and rewrites,
// what this one writes, as long as both serve.
func TestRecordsOfTheVersionInProduction(t *testing.T) {
	raw, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var records map[string]json.RawMessage
	if err := json.Unmarshal(raw, &records); err != nil {
		t.Fatal(err)
	}
	l := Start(t.Context(), nil, Options{ChunkTasks: 8})
	for key, was := range records {
		c, ok := l.decodeChange(key, was, 7)
		if !ok {
			t.Errorf("%s is not understood", key)
			continue
		}
		is, err := json.Marshal(c.Record)
		if err != nil {
			t.Fatal(err)
		}
		var a, b any
		if json.Unmarshal(was, &a) != nil || json.Unmarshal(is, &b) != nil || !reflect.DeepEqual(a, b) {
			t.Errorf("%s: was %s, is %s", key, was, is)
		}
		if g, ok := c.Record.(*MachineGroup); ok { // and rows made anew
			for _, b := range g.Machines {
				b.encoded = ""
			}
			if again, _ := json.Marshal(g); string(again) != string(is) {
				t.Errorf("rows: %s, not %s", again, is)
			}
		}
	}
	if len(records) != 11 {
		t.Errorf("%d records", len(records))
	}
}

// What derives from other jobs is not stored.
func TestDerivedIsNotStored(t *testing.T) {
	b, _ := json.Marshal(&Job{TaskCount: 1, SubmittedAt: 2, Blocked: true, DependenciesDoneAt: 3, CancelledByDependency: true, PriorityInherited: true, InheritedDeadline: 4, DownstreamRuntime: 5})
	if string(b) != `{"n":1,"at":2}` {
		t.Errorf("%s", b)
	}
}

// A split loses no machine, task or mark, and doubles none; every record fits what it
// was to fill unless one machine or one lot of marks is larger; no two names are alike.
func TestGroupsSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := genGroup(t)
		for job, ns := range g.Completions { // as many as an old record may hold
			for n := range rapid.IntRange(0, 200).Draw(t, "more") {
				if next := ns[len(ns)-1] + 2 + n%2; next < wire.MaxTasksPerJob {
					ns = append(ns, next)
				}
			}
			g.Completions[job] = ns
		}
		g.ModRevision, g.Terminations = 9, nil
		fill := rapid.IntRange(300, 1500).Draw(t, "fill")
		d := &GroupUpdate{MachineGroup: *g, updated: map[wire.MachineID]*Machine{}}
		all := append([]*GroupUpdate{d}, d.splitToFill(fill)...)
		names, rows, marks := map[string]bool{}, map[wire.MachineID]*Machine{}, map[wire.JobID][]int{}
		for _, part := range all {
			if names[part.Name] {
				t.Fatalf("%s twice", part.Name)
			}
			names[part.Name] = true
			if len(all) > 1 && len(part.Machines)+len(part.Completions) == 0 {
				t.Fatal("an empty record")
			}
			lots := len(part.Machines)
			for job, ns := range part.Completions {
				lots += (len(ns) + completionsPerPart - 1) / completionsPerPart
				marks[job] = append(marks[job], ns...)
			}
			if part.RetainedSize() > fill && lots > 1 {
				t.Fatalf("%d bytes of %d in a record of %d parts", part.RetainedSize(), fill, lots)
			}
			raw, err := json.Marshal(&part.MachineGroup)
			if err != nil {
				t.Fatal(err)
			}
			got, err := decodeGroup(part.Name, raw, 9, nil)
			if err != nil || !slices.IsSortedFunc(got.Machines, func(a, b *Machine) int { return cmpNames(a, b) }) {
				t.Fatalf("%s: %v", raw, err)
			}
			for _, b := range got.Machines {
				if rows[b.Name] != nil {
					t.Fatalf("%s twice", b.Name)
				}
				rows[b.Name] = b
			}
		}
		for _, b := range g.Machines {
			got := rows[b.Name]
			if got == nil || got.FencingToken != b.FencingToken || got.Incarnation != b.Incarnation || got.Address != b.Address || got.DrainReason != b.DrainReason || got.Suspected != b.Suspected ||
				!slices.Equal(got.Bindings, b.Bindings) {
				t.Fatalf("%+v became %+v", b, got)
			}
		}
		if len(rows) != len(g.Machines) || len(marks) != len(g.Completions) {
			t.Fatalf("%d machines of %d, marks of %d jobs of %d", len(rows), len(g.Machines), len(marks), len(g.Completions))
		}
		for job, ns := range g.Completions {
			got := slices.Sorted(slices.Values(marks[job]))
			if !slices.Equal(got, ns) {
				t.Fatalf("%s: marks %v became %v", job, ns, got)
			}
		}
	})
}

func cmpNames(a, b *Machine) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	}
	return 0
}

// Of one revision, a machine that a split moves is never gone in between, in
// whatever order the service tells of the records.
func TestSplitMachinesAreNeverGone(t *testing.T) {
	for _, reversed := range []bool{false, true} {
		l := Start(t.Context(), nil, Options{ChunkTasks: 8})
		actor := NewUnfinishedView(8)
		l.Subscribe(func(d Update) {
			for _, c := range d.Changes {
				for _, b := range actor.Apply(c) {
					if b.New == nil {
						t.Errorf("reversed %v: %s is gone", reversed, b.Machine)
					}
				}
			}
		})
		change := func(g *MachineGroup, stamp uint64) Change {
			raw, err := json.Marshal(g)
			if err != nil {
				t.Fatal(err)
			}
			c, ok := l.decodeChange(Key(KindMachineGroup, g.Name), raw, stamp)
			if !ok {
				t.Fatal("not understood")
			}
			return c
		}
		whole := NewMachineGroup(GroupOptions{Name: "g", MachineType: "t", Zone: "z", ProvisionedAt: 5})
		for i := range 9 {
			whole.Machines = append(whole.Machines, &Machine{Name: wire.MachineID(fmt.Sprintf("i-%06d", i)), Address: "x:1", Incarnation: 1, FencingToken: 8, Bindings: []TaskBinding{{Job: "req-000001", TaskIndex: i, Attempt: 7}}})
		}
		l.publish([]Change{change(whole, 4)})
		d := l.view.UpdateGroup("g")
		chs := []Change{}
		for _, part := range d.splitToFill(300) {
			chs = append(chs, change(&part.MachineGroup, 5))
		}
		if chs = append(chs, change(&d.MachineGroup, 5)); len(chs) < 2 {
			t.Fatal("not split")
		}
		if reversed {
			slices.Reverse(chs)
		}
		l.sortChanges(chs)
		l.publish(chs)
		if len(actor.Machines) != 9 || len(actor.Bindings["req-000001"]) != 9 || len(actor.Groups["g"].Machines) == 9 {
			t.Errorf("reversed %v: %d machines, %d tasks", reversed, len(actor.Machines), len(actor.Bindings["req-000001"]))
		}
	}
}

// A job of 100,000 tasks is done exactly once all are, through whole chunks that were
// written under the former limit and parts written after: both count tasks from the
// same numbers, wherever the switch comes.
func TestDoneSetsAcrossTheSwitch(t *testing.T) {
	const tasks, presentKB, nextBytes = 100_000, 4.0, 2048
	play := func(at, stride int) {
		v := NewView(ChunkTasks(presentKB))
		v.Apply(Change{Kind: KindJob, Name: "req-000001", Record: &Job{TaskCount: tasks}})
		part := TasksPerCompletionPart(nextBytes)
		if size := CompletionValueBytes(part); size > nextBytes {
			t.Fatalf("a part of %d tasks takes %d bytes", part, size)
		}
		seen := map[int]bool{}
		lowered := false
		const lot, start = 1700, 12_345
		for k := 0; k < tasks; k += lot {
			lowered = k >= at
			byID := map[CompletionChunkID][]int{}
			for i := range min(lot, tasks-k) {
				n := (start + (k+i)*stride) % tasks
				seen[n] = true
				chunk, bit := v.CompletionChunkOf(n)
				id := CompletionChunkID{chunk, WholeChunk}
				if lowered {
					id.FirstTask = bit / part * part
				}
				byID[id] = append(byID[id], bit-max(0, id.FirstTask))
			}
			for _, id := range slices.SortedFunc(maps.Keys(byID), func(a, b CompletionChunkID) int { return a.Chunk - b.Chunk }) {
				rec := v.CompletionChunks["req-000001"][id].With(byID[id]...)
				raw, _ := json.Marshal(rec)
				if limit := map[bool]int{false: presentKB * 1024, true: nextBytes}[lowered]; len(raw) > limit {
					t.Fatalf("%d bytes of %d", len(raw), limit)
				}
				var back CompletionChunk
				if err := json.Unmarshal(raw, &back); err != nil {
					t.Fatal(err)
				}
				v.Apply(Change{Kind: KindCompletionChunk, Name: CompletionChunkKey("req-000001", id)[len(KeyPrefix)+len(KindCompletionChunk)+1:], Record: &back, ModRevision: uint64(k + 1)})
			}
			if v.CompletedCount("req-000001") != len(seen) || v.AllTasksCompleted("req-000001") != (len(seen) == tasks) {
				t.Fatalf("%d tasks done, %d counted", len(seen), v.CompletedCount("req-000001"))
			}
		}
		if !v.AllTasksCompleted("req-000001") {
			t.Fatalf("never done: %d", v.CompletedCount("req-000001"))
		}
	}
	for _, at := range []int{0, 20_000, 61_000, tasks} {
		for _, stride := range []int{1, 3001, 99_999} {
			play(at, stride)
		}
	}
}
