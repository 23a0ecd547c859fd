package apiserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/heartbeat"
	"lynxledge/internal/reconcile"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// heartbeatSender sends the heartbeats of a machine with four running tasks to a server, which
// also listens on loopback.
type heartbeatSender struct {
	listener  *httptest.Server
	server    *Server
	heartbeat wire.Heartbeat
}

func newHeartbeatSender(tb testing.TB, ctx context.Context) *heartbeatSender {
	tb.Helper()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
	cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 8 * time.Second, LeaseDuration: 44 * time.Second, CancellationDeadline: 74 * time.Second}
	cfg.Params.Store = config.StoreLimits{MaxValueKB: 4, MaxTxnOps: 8, RequestRate: 1e6, WriteRate: 1e6}
	cfg.Params.Teams = []config.TeamQuota{{Name: "red"}}
	conn := &simulation.StoreConn{Store: simulation.NewStore(), Network: simulation.NewNetwork(1, 0), Member: "n0", Timeout: time.Second}
	cache := statecache.Start(ctx, conn, statecache.Options{ChunkTasks: statecache.ChunkTasks(4), WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond})
	receiver := heartbeat.Start(ctx, heartbeat.Options{Config: cfg, Cache: cache, Callbacks: heartbeat.Callbacks{
		FreshPeer:      func() string { return "" },
		Isolated:       func() bool { return false },
		HandleEvidence: func(reconcile.Evidence, time.Duration) {},
		SendEvidence:   func(string, reconcile.Evidence) bool { return false },
	}})
	server := Start(ctx, Options{Config: cfg, Cache: cache, Heartbeats: receiver})
	server.SetMachineTypes([]wire.MachineType{{Name: "s", CPUs: 16, MemoryGB: 128, Zones: []wire.Zone{"a"}}})
	cache.Run()
	machine := &statecache.Machine{Name: "i-000231", Address: "10.1.0.232:9000", Incarnation: 1, FencingToken: 41}
	sent := wire.Heartbeat{Machine: machine.Name, Address: machine.Address, MachineType: "s", Zone: "a", Incarnation: 1, FencingToken: 41}
	for n := range 4 {
		task := statecache.TaskBinding{Job: "req-000001", TaskIndex: n, Attempt: 40}
		machine.Bindings = append(machine.Bindings, task)
		sent.Tasks = append(sent.Tasks, wire.TaskStatus{Task: task.TaskID(), Attempt: 40, State: wire.TaskRunning})
	}
	spec := &wire.Job{ID: "req-000001", Team: "red", Kind: wire.KindArray, TaskCount: 80, CPUs: 4, MemoryGB: 29}
	committed := make(chan statecache.Outcome, 1)
	for range 200 { // until the cache is loaded
		if time.Since(cache.FreshAsOf()) < time.Second {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	cache.Commit(statecache.Commit{Puts: []statecache.Put{
		{Key: statecache.Key(statecache.KindJob, "req-000001"), Record: &statecache.Job{TaskCount: 80, SubmittedAt: statecache.TimestampOf(time.Now()), Spec: spec}},
		{Key: statecache.Key(statecache.KindMachineGroup, "g"), Record: &statecache.MachineGroup{MachineType: "s", Zone: "a", Machines: []*statecache.Machine{machine}}},
	}}, func(outcome statecache.Outcome) { committed <- outcome })
	if outcome := <-committed; outcome != statecache.Committed {
		tb.Fatal("not committed: ", outcome)
	}
	listener := httptest.NewServer(server.Handler())
	tb.Cleanup(listener.Close)
	return &heartbeatSender{listener: listener, server: server, heartbeat: sent}
}

// body returns the JSON of the next heartbeat.
func (m *heartbeatSender) body() []byte {
	m.heartbeat.Sequence++
	raw, err := json.Marshal(&m.heartbeat)
	if err != nil {
		panic(err)
	}
	return raw
}

// benchmark measures the handling of heartbeats, without a connection.
func (m *heartbeatSender) benchmark(b *testing.B) {
	handler := m.server.Handler()
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		request := httptest.NewRequest(http.MethodPost, "/hello", bytes.NewReader(m.body()))
		recorder := httptest.NewRecorder()
		b.StartTimer()
		handler.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			b.Fatal(recorder.Code, recorder.Body)
		}
	}
}

// BenchmarkHeartbeat measures heartbeats that report no change, without a connection.
func BenchmarkHeartbeat(b *testing.B) {
	m := newHeartbeatSender(b, b.Context())
	m.benchmark(b)
}

// BenchmarkHeartbeatWithTerminations measures heartbeats whose four tasks have all exited,
// including the evidence derived from them.
func BenchmarkHeartbeatWithTerminations(b *testing.B) {
	m := newHeartbeatSender(b, b.Context())
	for i := range m.heartbeat.Tasks {
		m.heartbeat.Tasks[i].State, m.heartbeat.Tasks[i].ExitReason = wire.TaskExited, wire.ReasonCompleted
	}
	m.benchmark(b)
}

// BenchmarkHeartbeatOverTCP measures heartbeats that report no change over a loopback connection,
// the client's work included.
func BenchmarkHeartbeatOverTCP(b *testing.B) {
	m := newHeartbeatSender(b, b.Context())
	b.ReportAllocs()
	for b.Loop() {
		response, err := http.Post(m.listener.URL+"/hello", "application/json", bytes.NewReader(m.body()))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatal(response.StatusCode)
		}
	}
}

// BenchmarkPoll measures polls of a running job, with their linearizable reads.
func BenchmarkPoll(b *testing.B) {
	m := newHeartbeatSender(b, b.Context())
	handler := m.server.Handler()
	b.ReportAllocs()
	for b.Loop() {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/work/req-000001", nil))
		if recorder.Code != http.StatusOK {
			b.Fatal(recorder.Code, recorder.Body)
		}
	}
}

// BenchmarkSubmission measures submissions that are accepted.
func BenchmarkSubmission(b *testing.B) {
	m := newHeartbeatSender(b, b.Context())
	handler := m.server.Handler()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		body := jobWith("req-000412", fmt.Sprintf("req-%06d", 1000+n))
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/work", bytes.NewReader([]byte(body))))
		if recorder.Code != http.StatusCreated {
			b.Fatal(recorder.Code, recorder.Body)
		}
	}
}

// maxHeartbeatAllocations is 20% above the measured number, which includes the test's own
// allocations.
const maxHeartbeatAllocations = 90

// Heartbeats that report no change are the most frequent requests of a controller.
func TestAllocationsOfHeartbeat(t *testing.T) {
	m := newHeartbeatSender(t, t.Context())
	handler := m.server.Handler()
	allocations := testing.AllocsPerRun(100, func() {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/hello", bytes.NewReader(m.body())))
		if recorder.Code != http.StatusOK {
			t.Fatal(recorder.Code, recorder.Body)
		}
	})
	if allocations > maxHeartbeatAllocations {
		t.Errorf("%v allocations for a heartbeat", allocations)
	}
}
