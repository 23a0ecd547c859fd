package statecache

import (
	"encoding/json"
	"testing"
)

// A recovery record that can't be decoded is marked as unreadable, whatever is wrong with it, and
// holds the state of no zone.
func TestUnreadableRecovery(t *testing.T) {
	for _, raw := range []string{`{"v":2,"zones":[{"zone":"a","phase":"lost"}]}`, `{}`, `[]`, `"x"`, `{"v":1,"zones":{}}`} {
		r := decodeZoneRecoveries(json.RawMessage(raw), 5)
		if !r.Unreadable || r.ModRevision != 5 || r.Find("a") != nil {
			t.Errorf("%s: %+v", raw, r)
		}
	}
}

// A capability counts only while every member announces it.
func TestAllMembersSupport(t *testing.T) {
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
