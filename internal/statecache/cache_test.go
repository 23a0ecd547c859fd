package statecache

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lynxledge/wire"
)

// An older record, in a watch response, of a key that an own commit has deleted must not be
// applied: it bound its tasks to a machine that no longer existed, and when the deletion followed,
// they looked unbound although they were bound to another machine.
func TestOwnDeleteIsNotUndone(t *testing.T) {
	cache := &Cache{view: NewView(8), progress: progress{revision: 8}, ownDeletions: ownDeletions{Key(KindMachineGroup, "m2"): 11}}
	binding := TaskBinding{Job: "req-000001", Attempt: 1}
	cache.view.Apply(changeTo("m1", &MachineGroup{Name: "m1", Machines: []*Machine{{Name: "m1", Bindings: []TaskBinding{binding}}}, ModRevision: 12}))
	old := mustMarshal(&MachineGroup{Machines: []*Machine{{Name: "m2", Bindings: []TaskBinding{binding}}}})
	cache.Subscribe(func(update Update) {
		for _, change := range update.Changes {
			if change.Record != nil {
				t.Errorf("%s is back at %d", change.Key, change.ModRevision)
			}
		}
	})
	cache.applyWatchResponse(&wire.WatchResponse{Revision: 12, Events: []wire.Event{
		{PutKey: Key(KindMachineGroup, "m2"), Value: old, ModRevision: 9}, {DeletedKey: Key(KindMachineGroup, "m2"), ModRevision: 11},
	}}, time.Now())
	if machine := cache.view.Bindings["req-000001"][0]; machine != "m1" {
		t.Errorf("task is bound to %q", machine)
	}
	if len(cache.ownDeletions) > 0 {
		t.Error("deletions that the watch has reached are not forgotten")
	}
}

// A warning is logged once when there are more jobs than the warning threshold.
func TestWarningOfManyJobs(t *testing.T) {
	var log bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(before)
	cache := Start(t.Context(), nil, Options{ChunkTasks: ChunkTasks(4), JobCountWarning: 10})
	for i := range 30 {
		cache.publish([]Change{changeTo(fmt.Sprintf("req-%06d", i), &Job{State: wire.JobDone, ModRevision: 1})})
		if warned := strings.Contains(log.String(), "finished jobs"); warned != (i >= 10) {
			t.Fatalf("%d jobs: warned %v", i+1, warned)
		}
	}
	if n := strings.Count(log.String(), "finished jobs"); n != 1 {
		t.Errorf("warned %d times", n)
	}
}

// Every kind has a schema. A record that was applied to a view is found with its revision, and
// is enumerated with its key until it is deleted.
func TestEveryKindHasASchema(t *testing.T) {
	records := map[string]Record{
		Key(KindJob, "req-000001"): &Job{ModRevision: 7}, CompletionChunkKey("req-000001", CompletionChunkID{3, WholeChunk}): &CompletionChunk{ModRevision: 7},
		Key(KindMachineGroup, "g"): &MachineGroup{ModRevision: 7}, Key(KindAssignment, "red"): &Assignment{ModRevision: 7},
		Key(KindMember, "n0"): &Member{ModRevision: 7}, Key(KindProvisioningIntent, "r"): &ProvisioningIntent{ModRevision: 7},
		LeaderKey: &Leader{ModRevision: 7}, TermKey: &Term{ModRevision: 7}, ZoneRecoveryKey: &ZoneRecoveries{ModRevision: 7},
	}
	if len(kinds) != len(schemas) || len(kinds) != len(records) {
		t.Fatalf("%d kinds, %d schemas, %d records", len(kinds), len(schemas), len(records))
	}
	view := NewView(8)
	for key, record := range records {
		kind, name, _ := splitKey(key)
		if kind != record.Kind() || view.modRevisionOf(kind, name) != 0 {
			t.Errorf("%s: kind %s, at %d before it is there", key, record.Kind(), view.modRevisionOf(kind, name))
		}
		view.Apply(Change{Key: key, Kind: kind, Name: name, Record: record, ModRevision: 7})
		if got := view.modRevisionOf(kind, name); got != 7 {
			t.Errorf("%s at %d", key, got)
		}
	}
	all := view.allRecords()
	if len(all) != len(records) {
		t.Errorf("%d records of %d", len(all), len(records))
	}
	for _, change := range all {
		if records[change.Key] != change.Record || change.ModRevision != 7 {
			t.Errorf("%+v", change)
		}
		view.Apply(Change{Key: change.Key, Kind: change.Kind, Name: change.Name, ModRevision: 8})
	}
	if left := view.allRecords(); len(left) > 0 {
		t.Errorf("left: %v", left)
	}
}
