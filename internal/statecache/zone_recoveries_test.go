package statecache

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// Records of features that are switched on (testdata/growth.json) are read, and written
// again field by field as they were.
func TestRecordsOfGrowth(t *testing.T) {
	raw, err := os.ReadFile("testdata/growth.json")
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
	}
}

// A recovery record that can't be read is known as such, whatever is wrong with it, and
// says nothing of any zone.
func TestUnreadableRecovery(t *testing.T) {
	for _, raw := range []string{`{"v":2,"zones":[{"zone":"a","phase":"lost"}]}`, `{}`, `[]`, `"x"`, `{"v":1,"zones":{}}`} {
		r := decodeZoneRecoveries(json.RawMessage(raw), 5)
		if !r.Unreadable || r.ModRevision != 5 || r.Find("a") != nil {
			t.Errorf("%s: %+v", raw, r)
		}
	}
}

// A capability counts only while every member announces it.
func TestAnnounced(t *testing.T) {
	v := NewView(8)
	if v.AllMembersSupport(CapabilityZoneRecovery) {
		t.Error("announced by nobody")
	}
	v.Members["n0"] = &Member{Incarnation: 1, Capabilities: []string{"other", CapabilityZoneRecovery}}
	if !v.AllMembersSupport(CapabilityZoneRecovery) {
		t.Error("not announced by the only member")
	}
	v.Members["n1"] = &Member{Incarnation: 2}
	if v.AllMembersSupport(CapabilityZoneRecovery) {
		t.Error("announced though a member doesn't")
	}
}
