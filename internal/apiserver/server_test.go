package apiserver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

const job = `{"id":"req-000412","lane":"train","crew":"red","shape":"array","rank":"high","legs":2,
"cores":2.0,"gpus":0.0,"memoryGb":4.0,"bundle":"img","sizeGb":1,"builds":null,"yard":null,"oneZone":false,
"scatter":false,"loaners":true,"expectS":10,"waypointS":0,"stashS":0,"dueS":null}`

// testServer is a Server with a simulated store of its own.
type testServer struct {
	t      *testing.T
	store  *simulation.Store
	server *Server
}

// withServer runs a test with a server in a synctest bubble, which fails the test if a goroutine
// of the server is still running after it was stopped.
func withServer(t *testing.T, test func(s *testServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
		cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 3 * time.Second, LeaseDuration: 34 * time.Second, CancellationDeadline: 64 * time.Second}
		cfg.Params.Store = config.StoreLimits{MaxValueKB: 8, MaxTxnOps: 8, RequestRate: 150, WriteRate: 50}
		cfg.Params.Teams = []config.TeamQuota{{Name: "red", MaxCPUs: 6}}
		store := simulation.NewStore()
		conn := &simulation.StoreConn{Store: store, Network: simulation.NewNetwork(1, time.Millisecond), Member: "n0", Timeout: time.Second}
		cache := statecache.Start(ctx, conn, statecache.Options{ChunkTasks: statecache.ChunkTasks(8), WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond})
		server := Start(ctx, Options{Config: cfg, Cache: cache})
		cache.Run()
		time.Sleep(time.Second)
		test(&testServer{t, store, server})
		cancel()
		time.Sleep(time.Minute)
	})
}

func (s *testServer) setMachineTypes() {
	s.server.SetMachineTypes([]wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 16, Zones: []wire.Zone{"a"}}})
}

// request sends a request and checks the status code and the job's state in the response. A 503
// must come within responseTimeout and have a Retry-After header.
func (s *testServer) request(method, path, body string, wantStatus int, wantState wire.JobState) {
	s.t.Helper()
	sentAt := time.Now()
	response := httptest.NewRecorder()
	s.server.Handler().ServeHTTP(response, httptest.NewRequest(method, path, strings.NewReader(body)))
	if response.Code != wantStatus {
		s.t.Errorf("%s %s: %d %s, want %d", method, path, response.Code, response.Body, wantStatus)
	}
	retryAfter := response.Header().Get("Retry-After")
	if response.Code == http.StatusServiceUnavailable && (retryAfter == "" || time.Since(sentAt) > responseTimeout) {
		s.t.Errorf("%s %s: rejected after %v, Retry-After %q", method, path, time.Since(sentAt), retryAfter)
	}
	var status wire.JobStatus
	if _ = json.Unmarshal(response.Body.Bytes(), &status); status.State != wantState {
		s.t.Errorf("%s %s: %s, want %q", method, path, response.Body, wantState)
	}
}

// jobWith returns the job's JSON with a part of it replaced.
func jobWith(old, new string) string { return strings.Replace(job, old, new, 1) }

func TestSubmissions(t *testing.T) {
	withServer(t, func(s *testServer) {
		s.request("POST", "/work", job, 503, "") // machine types not known yet
		s.setMachineTypes()
		s.request("POST", "/work", "{", 400, "")
		s.request("POST", "/work", "[1]", 400, "")
		s.request("POST", "/work", jobWith(`"legs":2`, `"legs":0`), 400, "")
		s.request("POST", "/work", strings.Repeat(" ", wire.MaxBodyBytes)+job, 400, "")
		s.request("POST", "/work", jobWith(`"crew":"red"`, `"crew":"green"`), 422, "")
		s.request("POST", "/work", jobWith(`"cores":2.0`, `"cores":5.0`), 422, "")
		s.request("POST", "/work", jobWith(`"yard":null`, `"yard":"moon"`), 422, "")
		s.request("POST", "/work", jobWith(`"builds":null`, `"builds":["x"]`), 422, "")
		s.request("POST", "/work", strings.Replace(jobWith(`"shape":"array"`, `"shape":"service"`), `"legs":2`, `"legs":4`, 1), 422, "")
		long := strings.Repeat(`"`+strings.Repeat("x", 120)+`",`, 63) + `"s"` // exceeds the size limit of a record
		large := strings.NewReplacer(`"builds":null`, `"builds":[`+long+`]`, "train", strings.Repeat("x", 128), `"img"`, `"`+strings.Repeat("y", 128)+`"`).Replace(job)
		s.request("POST", "/work", large, 422, "")
		s.request("GET", "/work/req-000412", "", 404, "")
		s.request("POST", "/work", job, 201, wire.JobQueued)
		// A repeated submission is recognized by its ID, whatever the rest of its body says.
		s.request("POST", "/work", job, 200, wire.JobQueued)
		s.request("POST", "/work", jobWith(`"crew":"red"`, `"crew":"green"`), 200, wire.JobQueued)
		s.request("POST", "/work", `{"id":"req-000412","legs":"many"}`, 200, wire.JobQueued)
	})
}

func TestCancelAndOutage(t *testing.T) {
	withServer(t, func(s *testServer) {
		s.setMachineTypes()
		s.request("POST", "/work/req-000412/abort", "", 404, "")
		s.request("POST", "/work/nonsense/abort", "", 404, "")
		s.request("POST", "/work", job, 201, wire.JobQueued)
		s.request("POST", "/work", jobWith("000412", "000413"), 201, wire.JobQueued)
		s.request("POST", "/work/req-000412/abort", "", 200, wire.JobCancelled)
		s.request("POST", "/work/req-000412/abort", "", 200, wire.JobCancelled)
		s.request("GET", "/work/req-000412", "", 200, wire.JobCancelled)
		s.store.SetOutage(true)
		time.Sleep(5 * time.Second)
		s.request("GET", "/work/req-000412", "", 200, wire.JobCancelled) // final: served from the view
		s.request("GET", "/work/req-000413", "", 503, "")
		s.request("GET", "/work/req-000999", "", 503, "") // only a read of the store could rule out that it was accepted
		s.request("GET", "/work/nonsense", "", 404, "")
		s.request("POST", "/work", jobWith("000412", "000414"), 503, "")
		s.request("POST", "/work/req-000413/abort", "", 503, "")
		time.Sleep(2 * responseTimeout) // until no commit is retried any more
		s.store.SetOutage(false)
		time.Sleep(5 * time.Second)
		s.request("GET", "/work/req-000413", "", 200, wire.JobQueued)
		s.request("GET", "/work/req-000414", "", 404, "")
	})
}

// A job may depend on any accepted job, whatever its state, and is cancelled when that is
// cancelled. Invalid dependencies are rejected; while the store can't be read, a dependency that
// the view does not have gets a 503.
func TestDependencies(t *testing.T) {
	withServer(t, func(s *testServer) {
		s.setMachineTypes()
		withDependencies := func(id, dependencies string) string {
			return strings.Replace(jobWith("000412", id), `"legs":2`, `"awaits":`+dependencies+`,"legs":2`, 1)
		}
		s.request("POST", "/work", job, 201, wire.JobQueued)
		s.request("POST", "/work", withDependencies("000413", `["req-000412"]`), 201, wire.JobQueued)
		s.request("POST", "/work", withDependencies("000414", `["req-000413","req-000412","req-000413"]`), 201, wire.JobQueued)
		s.request("POST", "/work", withDependencies("000415", `["req-000415"]`), 422, "")
		s.request("POST", "/work", withDependencies("000415", `["req-000999"]`), 422, "")
		s.request("POST", "/work", withDependencies("000415", `["nonsense"]`), 400, "")
		s.request("POST", "/work", withDependencies("000415", `"req-000412"`), 400, "")
		s.request("GET", "/work/req-000415", "", 404, "")
		s.request("POST", "/work", strings.Replace(jobWith("000412", "000421"), `"shape":"array"`, `"shape":"service"`, 1), 201, wire.JobQueued)
		s.request("POST", "/work", withDependencies("000415", `["req-000421"]`), 422, "") // a service is never done
		repeated, distinct := make([]string, 700), make([]string, 700)
		for i := range repeated {
			repeated[i], distinct[i] = `"req-000412"`, fmt.Sprintf(`"req-1%05d"`, i)
		}
		s.request("POST", "/work", withDependencies("000415", "["+strings.Join(distinct, ",")+"]"), 422, "")             // exceeds the size limit of a record
		s.request("POST", "/work", withDependencies("000416", "["+strings.Join(repeated, ",")+"]"), 201, wire.JobQueued) // one dependency, named 700 times
		s.request("POST", "/work/req-000412/abort", "", 200, wire.JobCancelled)
		for _, id := range []string{"000412", "000413", "000414", "000416"} {
			s.request("GET", "/work/req-"+id, "", 200, wire.JobCancelled)
			s.request("POST", "/work/req-"+id+"/abort", "", 200, wire.JobCancelled)
		}
		s.request("POST", "/work", withDependencies("000417", `["req-000414"]`), 201, wire.JobCancelled)
		s.request("GET", "/work/req-000417", "", 200, wire.JobCancelled)
		s.store.SetOutage(true)
		time.Sleep(5 * time.Second)
		s.request("GET", "/work/req-000413", "", 200, wire.JobCancelled) // final: served from the view
		s.request("POST", "/work", withDependencies("000418", `["req-000999"]`), 503, "")
	})
}

// A job that another controller has just accepted is not in this controller's view yet. A job that
// depends on it must not be rejected before a linearizable read.
func TestDependencyJustAcceptedByPeer(t *testing.T) {
	withServer(t, func(s *testServer) {
		s.setMachineTypes()
		time.Sleep(time.Second)
		other := &simulation.StoreConn{Store: s.store, Network: simulation.NewNetwork(1, 0), Member: "n1", Timeout: time.Second}
		record, err := json.Marshal(&statecache.Job{Spec: &wire.Job{ID: "req-000700", Kind: wire.KindArray}, TaskCount: 1, SubmittedAt: 5})
		if err != nil {
			s.t.Error(err)
		}
		key := statecache.Key(statecache.KindJob, "req-000700")
		txn := &wire.Txn{Preconditions: []wire.Precondition{{Key: key}}, Writes: []wire.Write{{PutKey: key, Value: record}}}
		if _, err := other.Commit(context.Background(), txn); err != nil {
			s.t.Error(err)
		}
		if snapshot, ok := s.server.snapshot("req-000700"); !ok || snapshot.known {
			s.t.Error("the dependency is in the view already: the linearizable read is not tested")
		}
		body := strings.Replace(jobWith("000412", "000701"), `"legs":2`, `"awaits":["req-000700"],"legs":2`, 1)
		s.request("POST", "/work", body, http.StatusCreated, wire.JobQueued)
	})
}
