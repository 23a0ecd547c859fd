package statecache

import (
	"encoding/json"
	"testing"
)

// Records that the version in production wrote (testdata/production.json) are decoded, and encoded
// again unchanged: while both versions run, that one reads and rewrites the records that this one
// writes.
func TestRecordsOfTheVersionInProduction(t *testing.T) {
	records := readGolden(t, "testdata/production.json")
	cache := Start(t.Context(), nil, Options{ChunkTasks: 8})
	for key, stored := range records {
		record, encoded := checkRoundTrip(t, cache, key, stored)
		if g, ok := record.(*MachineGroup); ok { // also with all entries encoded again, not reused
			for _, m := range g.Machines {
				m.encoded = ""
			}
			if again, _ := json.Marshal(g); string(again) != string(encoded) {
				t.Errorf("entries: %s, not %s", again, encoded)
			}
		}
	}
	if len(records) != 11 {
		t.Errorf("%d records", len(records))
	}
}

// Records of optional features (testdata/growth.json) are decoded, and encoded again unchanged.
func TestRecordsOfOptionalFeatures(t *testing.T) {
	cache := Start(t.Context(), nil, Options{ChunkTasks: 8})
	for key, stored := range readGolden(t, "testdata/growth.json") {
		checkRoundTrip(t, cache, key, stored)
	}
}

// Fields that are derived from other jobs are not stored.
func TestDerivedIsNotStored(t *testing.T) {
	b, _ := json.Marshal(&Job{TaskCount: 1, SubmittedAt: 2, Blocked: true, DependenciesDoneAt: 3, CancelledByDependency: true, PriorityInherited: true, InheritedDeadline: 4, DownstreamRuntime: 5})
	if string(b) != `{"n":1,"at":2}` {
		t.Errorf("%s", b)
	}
}
