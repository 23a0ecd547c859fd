package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lynxledge/internal/seeded"
	"lynxledge/wire"
)

func genGroup(t *rapid.T) *Group {
	g := NewGroup("g", "t", "z", rapid.Bool().Draw(t, "spot"), 5, nil, 0)
	for i := range rapid.IntRange(0, 6).Draw(t, "machines") {
		b := &Bind{
			Name: fmt.Sprintf("i-%06d", i), Group: "g", Type: "t", Zone: "z", Spot: g.Spot, At: 5,
			Session: uint64(rapid.IntRange(0, 3).Draw(t, "session")), Token: Token(uint64(rapid.IntRange(3, 4).Draw(t, "term"))) + uint64(rapid.IntRange(0, 99).Draw(t, "token")),
			Quiet: rapid.Bool().Draw(t, "quiet"), Closed: rapid.Bool().Draw(t, "closed"),
			Drain: rapid.SampledFrom([]string{"", "idle", "spot-notice"}).Draw(t, "drain"),
		}
		if b.Session > 0 {
			b.Addr = rapid.SampledFrom([]string{"10.0.0.1:9000", "10.0.0.14:9000", "10.0.3.1:90", "host"}).Draw(t, "addr")
		}
		for n := range rapid.IntRange(0, 5).Draw(t, "n") {
			task := Bound{Job: rapid.StringMatching(`req-[0-9]{6,9}`).Draw(t, "job"), N: n, Attempt: rapid.Uint64().Draw(t, "attempt")}
			if rapid.Bool().Draw(t, "stopped") {
				task.Stop, task.Grace = 1+rapid.Uint64Max(1<<60).Draw(t, "stop"), rapid.IntRange(0, 90).Draw(t, "grace")
			}
			b.Tasks = append(b.Tasks, task)
		}
		g.Binds = append(g.Binds, b)
	}
	for range rapid.IntRange(0, 3).Draw(t, "jobs") {
		ns := rapid.SliceOfNDistinct(rapid.IntRange(0, wire.MaxTasks-1), 1, 9, rapid.ID).Draw(t, "marks")
		slices.Sort(ns)
		if g.Marks == nil {
			g.Marks = map[string][]int{}
		}
		g.Marks[rapid.StringMatching(`req-[0-9]{6}`).Draw(t, "marked")] = ns
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "gone") {
		g.Gone = append(g.Gone, Gone{Machine: "i-000001", Job: "req-000001", N: i, Why: wire.WhyDone, RanS: float64(i) * 1.5})
	}
	return g
}

// A group's record survives the state service, is no larger than it is counted
// as, and rows that did not change are taken over from the one before.
func TestGroupSurvives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := genGroup(t)
		size := g.Size()
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
		g.Stamp, g.same = 9, got.same
		for i, b := range g.Binds {
			b.row = got.Binds[i].row
		}
		if len(g.Binds) == 0 {
			g.Binds, got.Binds = nil, nil
		}
		if !reflect.DeepEqual(got, g) {
			t.Fatalf("got %+v, want %+v", got, g)
		}
		again, err := decodeGroup("g", raw, 10, got)
		if err != nil {
			t.Fatal(err)
		}
		for i, b := range again.Binds {
			if b != got.Binds[i] {
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
		for job := range g.Marks {
			state := rapid.SampledFrom([]string{"", wire.JobCancelled}).Draw(t, "state")
			v.Apply(Change{Kind: KindJob, Name: job, Rec: &Job{State: state, Tasks: wire.MaxTasks}})
		}
		v.Apply(Change{Kind: KindBind, Name: "g", Rec: g})
		d := v.Draft("g")
		for _, b := range g.Binds {
			if rapid.Bool().Draw(t, "edit") {
				if n := d.Edit(b.Name); n.Token <= b.Token || len(n.Tasks) != len(b.Tasks) {
					t.Fatalf("%+v after %+v", n, b)
				}
			} else if rapid.Bool().Draw(t, "drop") {
				d.Drop(b.Name)
			}
		}
		d.Mark("req-000777", 3)
		d.Mark("req-000777", 3)
		limit := rapid.IntRange(100, 3000).Draw(t, "limit")
		fits := d.Fit(limit)
		raw, _ := json.Marshal(&d.Group)
		if fits && len(raw) > limit {
			t.Fatalf("%d bytes pass for %d", len(raw), limit)
		}
		next, err := decodeGroup("g", raw, 2, g)
		if err != nil {
			t.Fatal(err)
		}
		if len(next.Marks["req-000777"]) != 1 {
			t.Fatalf("marks %v", next.Marks)
		}
		for job, ns := range g.Marks {
			if want := v.Jobs[job].Active(); want != slices.Equal(next.Marks[job], ns) {
				t.Fatalf("%s: %v of %v", job, next.Marks[job], ns)
			}
		}
	})
}

// A record of another layout is refused, never misread.
func TestOtherLayoutIsRefused(t *testing.T) {
	old := `{"type":"s","zone":"a","addr":"10.0.0.1:9","session":1,"token":4294967297,"tasks":[["req-000001/0",4294967297]],"at":5}`
	if _, err := decodeGroup("i-000001", json.RawMessage(old), 1, nil); !errors.Is(err, ErrLayout) {
		t.Errorf("read as this layout: %v", err)
	}
}

// The largest job's done set fits into values of the smallest limit.
func TestDoneSetsFitTheirValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		valueKB := rapid.Float64Range(0.1, 64).Draw(t, "kb")
		per := ChunkTasks(valueKB)
		v := NewView(per)
		v.Apply(Change{Kind: KindJob, Name: "req-000001", Rec: &Job{Tasks: wire.MaxTasks}})
		want := map[int]bool{}
		for range 50 {
			n := rapid.IntRange(0, 99_999).Draw(t, "task")
			want[n] = true
			c, bit := v.Chunk(n)
			d := v.Chunks["req-000001"][c].With(bit)
			raw, _ := json.Marshal(d)
			if float64(len(raw)) > valueKB*1024 {
				t.Fatalf("%d bytes for a limit of %v KiB", len(raw), valueKB)
			}
			got, err := decode(KindDone, raw, 1)
			if err != nil {
				t.Fatal(err)
			}
			v.Apply(Change{Kind: KindDone, Name: DoneKey("req-000001", c)[len(Root)+len(KindDone)+1:], Rec: got, Stamp: 1})
		}
		if v.DoneCount("req-000001") != len(want) {
			t.Fatalf("%d of %d", v.DoneCount("req-000001"), len(want))
		}
		for n := range want {
			if !v.IsDone("req-000001", n) {
				t.Fatalf("%d lost", n)
			}
		}
	})
}

// An older record of a key that an own commit deleted must not come back with
// the watch: it bound its tasks to a machine that was gone, and when the
// deletion followed, they looked unbound though they were bound elsewhere.
func TestOwnDeleteIsNotUndone(t *testing.T) {
	l := &Ledger{view: NewView(8), epoch: 8, dead: map[string]uint64{Key(KindBind, "m2"): 11}}
	task := Bound{Job: "req-000001", Attempt: 1}
	l.view.Apply(Change{Key: Key(KindBind, "m1"), Kind: KindBind, Name: "m1", Rec: &Group{Name: "m1", Binds: []*Bind{{Name: "m1", Tasks: []Bound{task}}}, Stamp: 12}, Stamp: 12})
	old, _ := json.Marshal(&Group{Binds: []*Bind{{Name: "m2", Tasks: []Bound{task}}}})
	l.Subscribe(func(d Delta) {
		for _, c := range d.Changes {
			if c.Rec != nil {
				t.Errorf("%s is back at %d", c.Key, c.Stamp)
			}
		}
	})
	l.events(&wire.Events{Revision: 12, Events: []wire.Event{
		{Put: Key(KindBind, "m2"), Value: old, Version: 9}, {Delete: Key(KindBind, "m2"), Version: 11},
	}}, time.Now())
	if m := l.view.Bound["req-000001"][0]; m != "m1" {
		t.Errorf("task is bound to %q", m)
	}
	if len(l.dead) > 0 {
		t.Error("deletions are remembered for ever")
	}
}
