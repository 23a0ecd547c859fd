package statecache

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lynxledge/internal/rapidseed"
	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

// genGroup generates the record of a group with random machines, bindings, completions and
// terminations.
func genGroup(t *rapid.T) *MachineGroup {
	g := NewMachineGroup(GroupOptions{Name: "g", MachineType: "t", Zone: "z", Spot: rapid.Bool().Draw(t, "spot"), ProvisionedAt: 5})
	for i := range rapid.IntRange(0, 6).Draw(t, "machines") {
		g.Machines = append(g.Machines, genMachine(t, i, g.Spot))
	}
	for range rapid.IntRange(0, 3).Draw(t, "jobs") {
		tasks := rapid.SliceOfNDistinct(rapid.IntRange(0, wire.MaxTasksPerJob-1), 1, 9, rapid.ID).Draw(t, "completions")
		slices.Sort(tasks)
		if g.Completions == nil {
			g.Completions = map[wire.JobID][]int{}
		}
		g.Completions[wire.JobID(rapid.StringMatching(`req-[0-9]{6}`).Draw(t, "completed"))] = tasks
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "terminations") {
		g.Terminations = append(g.Terminations, Termination{Machine: "i-000001", Job: "req-000001", TaskIndex: i, Reason: wire.ReasonCompleted, Runtime: wire.Seconds(i) * 1.5})
	}
	return g
}

func genMachine(t *rapid.T, i int, spot bool) *Machine {
	m := &Machine{
		Name: wire.MachineID(fmt.Sprintf("i-%06d", i)), Group: "g", MachineType: "t", Zone: "z", Spot: spot, ProvisionedAt: 5,
		Incarnation: uint64(rapid.IntRange(0, 3).Draw(t, "incarnation")), FencingToken: FirstToken(uint64(rapid.IntRange(3, 4).Draw(t, "term"))) + uint64(rapid.IntRange(0, 99).Draw(t, "token")),
		Suspected: rapid.Bool().Draw(t, "suspected"), Terminating: rapid.Bool().Draw(t, "terminating"),
		DrainReason: rapid.SampledFrom([]string{"", "idle", "spot-notice"}).Draw(t, "drain"),
	}
	if m.Incarnation > 0 {
		m.Address = rapid.SampledFrom([]string{"10.0.0.1:9000", "10.0.0.14:9000", "10.0.3.1:90", "host"}).Draw(t, "address")
	}
	for task := range rapid.IntRange(0, 5).Draw(t, "bindings") {
		binding := TaskBinding{Job: wire.JobID(rapid.StringMatching(`req-[0-9]{6,9}`).Draw(t, "job")), TaskIndex: task, Attempt: rapid.Uint64().Draw(t, "attempt")}
		if rapid.Bool().Draw(t, "stopped") {
			binding.StopToken, binding.GraceSeconds = 1+rapid.Uint64Max(1<<60).Draw(t, "stop"), rapid.IntRange(0, 90).Draw(t, "grace")
		}
		m.Bindings = append(m.Bindings, binding)
	}
	return m
}

func mustMarshal(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// newTestCache returns a cache that reads from and writes to a simulated store.
func newTestCache(ctx context.Context, store Store, maxValueBytes int) *Cache {
	return Start(ctx, store, Options{
		ChunkTasks: 8, WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond,
		MaxValueBytes: maxValueBytes,
	})
}

func newTestConn(store *simulation.Store) *simulation.StoreConn {
	return &simulation.StoreConn{Store: store, Network: simulation.NewNetwork(1, time.Millisecond), Member: "n0", Timeout: time.Second}
}

// readGolden returns the records of a file in testdata, by key.
func readGolden(t *testing.T, path string) map[string]json.RawMessage {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var records map[string]json.RawMessage
	if err := json.Unmarshal(raw, &records); err != nil {
		t.Fatal(err)
	}
	return records
}

// checkRoundTrip decodes a stored record and checks that it is encoded again byte for byte, except
// for white space.
func checkRoundTrip(t *testing.T, c *Cache, key string, stored json.RawMessage) (Record, json.RawMessage) {
	t.Helper()
	change, ok := c.decodeChange(key, stored, 7)
	if !ok {
		t.Errorf("%s is not decoded", key)
		return nil, nil
	}
	if change.Record.Kind() != change.Kind {
		t.Errorf("%s: a record of kind %s", key, change.Record.Kind())
	}
	encoded, err := json.Marshal(change.Record)
	if err != nil {
		t.Fatal(err)
	}
	var was, is any
	if json.Unmarshal(stored, &was) != nil || json.Unmarshal(encoded, &is) != nil || !reflect.DeepEqual(was, is) {
		t.Errorf("%s: was %s, is %s", key, stored, encoded)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, stored); err != nil || compact.String() != string(encoded) {
		t.Errorf("%s: was %s, is %s: %v", key, &compact, encoded, err)
	}
	return change.Record, encoded
}
