package statecache

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// A group's record is decoded as it was encoded, is no larger than EncodedSize, and shares the
// machines whose entries did not change with the previous record.
func TestGroupRecordRoundTrip(t *testing.T) {
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
		for i, m := range g.Machines {
			m.encoded = got.Machines[i].encoded
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
		for i, m := range again.Machines {
			if m != got.Machines[i] {
				t.Fatalf("%s is not shared", m.Name)
			}
		}
	})
}

// A record of another layout is rejected, never misread.
func TestOtherLayoutIsRefused(t *testing.T) {
	old := `{"type":"s","zone":"a","addr":"10.0.0.1:9","session":1,"token":4294967297,"tasks":[["req-000001/0",4294967297]],"at":5}`
	if _, err := decodeGroup("i-000001", json.RawMessage(old), 1, nil); !errors.Is(err, ErrUnknownLayout) {
		t.Errorf("read as this layout: %v", err)
	}
}

// A malformed part of a record causes an ErrMalformedRecord and no panic.
func TestMalformedRecords(t *testing.T) {
	for _, raw := range []string{
		`{"v":2,"m":["1 2 3"]}`, `{"v":2,"m":["1 - x 0 -"]}`, `{"v":2,"m":["1 - 0 ? -"]}`, `{"v":2,"m":["1 - 0 0 - 000001.1"]}`,
		`{"v":2,"m":["1 - 0 0 - 000001/1.?"]}`, `{"v":2,"m":["1 - 0 0 - 000001/1.1!?,1"]}`, `{"v":2,"m":["1 - 0 0 - 000001/1.1!1,?"]}`,
		`{"v":2,"done":{"000001":"5-3"}}`, `{"v":2,"done":{"000001":"x"}}`, `{"v":2,"gone":["i-1 000001/1"]}`,
		`{"v":2,"gone":["i-1 000001 done"]}`, `{"v":2,"gone":["i-1 000001/1 done x"]}`,
	} {
		if _, err := decodeGroup("g", json.RawMessage(raw), 1, nil); !errors.Is(err, ErrMalformedRecord) {
			t.Errorf("%s: %v", raw, err)
		}
	}
}
