package ledger

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lynxledge/internal/seeded"
	"lynxledge/wire"
)

// A bind record survives the state service, and stays short.
func TestBindSurvives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Bind{Type: "t", Zone: "z", Session: 1, Token: Token(3), Addr: "10.0.0.1:9", At: 5}
		for i := range rapid.IntRange(0, 20).Draw(t, "n") {
			task := Bound{Job: rapid.StringMatching(`req-[0-9]{6}`).Draw(t, "job"), N: i, Attempt: rapid.Uint64().Draw(t, "attempt")}
			if rapid.Bool().Draw(t, "stopped") {
				task.Stop, task.Grace = 1+rapid.Uint64Max(1<<60).Draw(t, "stop"), rapid.IntRange(0, 90).Draw(t, "grace")
			}
			b.Tasks = append(b.Tasks, task)
		}
		raw, err := json.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(KindBind, raw, 9)
		if err != nil {
			t.Fatal(err)
		}
		b.Stamp = 9
		if !reflect.DeepEqual(got, b) {
			t.Fatalf("got %+v, want %+v", got, b)
		}
		if next := b.Next(2); next.Token <= b.Token || next.Token < Token(2) {
			t.Fatalf("token %d after %d", next.Token, b.Token)
		}
	})
}

// The largest job's done set fits into values of the smallest limit.
func TestDoneSetsFitTheirValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		valueKB := rapid.Float64Range(0.1, 64).Draw(t, "kb")
		per := ChunkTasks(valueKB)
		v := NewView(per)
		want := map[int]bool{}
		for range 50 {
			n := rapid.IntRange(0, 99_999).Draw(t, "task")
			want[n] = true
			c, bit := v.Chunk(n)
			d := v.Done["req-000001"][c].With(bit)
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
	l.view.Apply(Change{Key: Key(KindBind, "m1"), Kind: KindBind, Name: "m1", Rec: &Bind{Tasks: []Bound{task}, Stamp: 12}, Stamp: 12})
	old, _ := json.Marshal(&Bind{Tasks: []Bound{task}})
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
