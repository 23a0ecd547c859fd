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

type door struct {
	t     *testing.T
	state *simulation.Store
	front *Server
}

// open runs f with an API server over a state service of its own.
func open(t *testing.T, f func(d *door)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
		cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 3 * time.Second, LeaseDuration: 34 * time.Second, CancellationDeadline: 64 * time.Second}
		cfg.Params.Store = config.StoreLimits{MaxValueKB: 8, MaxTxnOps: 8, RequestRate: 150, WriteRate: 50}
		cfg.Params.Teams = []config.TeamQuota{{Name: "red", MaxCPUs: 6}}
		s := simulation.NewStore()
		conn := &simulation.StoreConn{Store: s, Net: simulation.NewNetwork(1, time.Millisecond), Node: "n0", Timeout: time.Second}
		l := statecache.Start(ctx, conn, statecache.Options{ChunkTasks: statecache.ChunkTasks(8), WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond})
		front := Start(ctx, Options{Config: cfg, Cache: l})
		l.Run()
		time.Sleep(time.Second)
		f(&door{t, s, front})
		cancel()
		time.Sleep(time.Minute)
	})
}

func (d *door) types() {
	d.front.SetMachineTypes([]wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 16, Zones: []wire.Zone{"a"}}})
}

// ask sends a request and checks its status; refusals must come at once and
// say when to come back.
func (d *door) ask(method, path, body string, want int, state wire.JobState) {
	d.t.Helper()
	begun := time.Now()
	rec := httptest.NewRecorder()
	d.front.Handler().ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)))
	if rec.Code != want {
		d.t.Errorf("%s %s: %d %s, want %d", method, path, rec.Code, rec.Body, want)
	}
	if rec.Code == http.StatusServiceUnavailable && (rec.Header().Get("Retry-After") == "" || time.Since(begun) > responseTimeout) {
		d.t.Errorf("%s %s: refused after %v, Retry-After %q", method, path, time.Since(begun), rec.Header().Get("Retry-After"))
	}
	var s wire.JobStatus
	if _ = json.Unmarshal(rec.Body.Bytes(), &s); s.State != state {
		d.t.Errorf("%s %s: %s, want %q", method, path, rec.Body, state)
	}
}

func with(old, new string) string { return strings.Replace(job, old, new, 1) }

func TestSubmissions(t *testing.T) {
	open(t, func(d *door) {
		d.ask("POST", "/work", job, 503, "") // machine types not known yet
		d.types()
		d.ask("POST", "/work", "{", 400, "")
		d.ask("POST", "/work", "[1]", 400, "")
		d.ask("POST", "/work", with(`"legs":2`, `"legs":0`), 400, "")
		d.ask("POST", "/work", strings.Repeat(" ", wire.MaxBodyBytes)+job, 400, "")
		d.ask("POST", "/work", with(`"crew":"red"`, `"crew":"green"`), 422, "")
		d.ask("POST", "/work", with(`"cores":2.0`, `"cores":5.0`), 422, "")
		d.ask("POST", "/work", with(`"yard":null`, `"yard":"moon"`), 422, "")
		d.ask("POST", "/work", with(`"builds":null`, `"builds":["x"]`), 422, "")
		d.ask("POST", "/work", strings.Replace(with(`"shape":"array"`, `"shape":"service"`), `"legs":2`, `"legs":4`, 1), 422, "")
		long := strings.Repeat(`"`+strings.Repeat("x", 120)+`",`, 63) + `"s"` // more than a record can hold
		large := strings.NewReplacer(`"builds":null`, `"builds":[`+long+`]`, "train", strings.Repeat("x", 128), `"img"`, `"`+strings.Repeat("y", 128)+`"`).Replace(job)
		d.ask("POST", "/work", large, 422, "")
		d.ask("GET", "/work/req-000412", "", 404, "")
		d.ask("POST", "/work", job, 201, wire.JobQueued)
		// A repeat is known, whatever its body says.
		d.ask("POST", "/work", job, 200, wire.JobQueued)
		d.ask("POST", "/work", with(`"crew":"red"`, `"crew":"green"`), 200, wire.JobQueued)
		d.ask("POST", "/work", `{"id":"req-000412","legs":"many"}`, 200, wire.JobQueued)
	})
}

func TestCancelAndOutage(t *testing.T) {
	open(t, func(d *door) {
		d.types()
		d.ask("POST", "/work/req-000412/abort", "", 404, "")
		d.ask("POST", "/work/nonsense/abort", "", 404, "")
		d.ask("POST", "/work", job, 201, wire.JobQueued)
		d.ask("POST", "/work", with("000412", "000413"), 201, wire.JobQueued)
		d.ask("POST", "/work/req-000412/abort", "", 200, wire.JobCancelled)
		d.ask("POST", "/work/req-000412/abort", "", 200, wire.JobCancelled)
		d.ask("GET", "/work/req-000412", "", 200, wire.JobCancelled)
		d.state.SetDown(true)
		time.Sleep(5 * time.Second)
		d.ask("GET", "/work/req-000412", "", 200, wire.JobCancelled) // final: from memory
		d.ask("GET", "/work/req-000413", "", 503, "")
		d.ask("GET", "/work/req-000999", "", 503, "") // certain only with state
		d.ask("GET", "/work/nonsense", "", 404, "")
		d.ask("POST", "/work", with("000412", "000414"), 503, "")
		d.ask("POST", "/work/req-000413/abort", "", 503, "")
		time.Sleep(2 * responseTimeout) // until nothing is tried again
		d.state.SetDown(false)
		time.Sleep(5 * time.Second)
		d.ask("GET", "/work/req-000413", "", 200, wire.JobQueued)
		d.ask("GET", "/work/req-000414", "", 404, "")
	})
}

// A job may wait for any that was accepted, in whatever state it is, and falls with
// one that was cancelled. What can't be waited for is refused, or left undecided
// where the state can't be read.
func TestJobsThatWaitForOthers(t *testing.T) {
	open(t, func(d *door) {
		d.types()
		after := func(id, awaits string) string {
			return strings.Replace(with("000412", id), `"legs":2`, `"awaits":`+awaits+`,"legs":2`, 1)
		}
		d.ask("POST", "/work", job, 201, wire.JobQueued)
		d.ask("POST", "/work", after("000413", `["req-000412"]`), 201, wire.JobQueued)
		d.ask("POST", "/work", after("000414", `["req-000413","req-000412","req-000413"]`), 201, wire.JobQueued)
		d.ask("POST", "/work", after("000415", `["req-000415"]`), 422, "")
		d.ask("POST", "/work", after("000415", `["req-000999"]`), 422, "")
		d.ask("POST", "/work", after("000415", `["nonsense"]`), 400, "")
		d.ask("POST", "/work", after("000415", `"req-000412"`), 400, "")
		d.ask("GET", "/work/req-000415", "", 404, "")
		d.ask("POST", "/work", strings.Replace(with("000412", "000421"), `"shape":"array"`, `"shape":"service"`, 1), 201, wire.JobQueued)
		d.ask("POST", "/work", after("000415", `["req-000421"]`), 422, "") // never done
		many, others := make([]string, 700), make([]string, 700)
		for i := range many {
			many[i], others[i] = `"req-000412"`, fmt.Sprintf(`"req-1%05d"`, i)
		}
		d.ask("POST", "/work", after("000415", "["+strings.Join(others, ",")+"]"), 422, "")           // more than a record holds
		d.ask("POST", "/work", after("000416", "["+strings.Join(many, ",")+"]"), 201, wire.JobQueued) // one, named often
		d.ask("POST", "/work/req-000412/abort", "", 200, wire.JobCancelled)
		for _, id := range []string{"000412", "000413", "000414", "000416"} {
			d.ask("GET", "/work/req-"+id, "", 200, wire.JobCancelled)
			d.ask("POST", "/work/req-"+id+"/abort", "", 200, wire.JobCancelled)
		}
		d.ask("POST", "/work", after("000417", `["req-000414"]`), 201, wire.JobCancelled)
		d.ask("GET", "/work/req-000417", "", 200, wire.JobCancelled)
		d.state.SetDown(true)
		time.Sleep(5 * time.Second)
		d.ask("GET", "/work/req-000413", "", 200, wire.JobCancelled) // final: from memory
		d.ask("POST", "/work", after("000418", `["req-000999"]`), 503, "")
	})
}

// A job that another controller accepted a moment ago is not known here yet. Whoever
// names it is not told that it was never accepted: that is decided on a read of the state.
func TestPredecessorAcceptedElsewhereAMomentAgo(t *testing.T) {
	open(t, func(d *door) {
		d.types()
		time.Sleep(time.Second)
		other := &simulation.StoreConn{Store: d.state, Net: simulation.NewNetwork(1, 0), Node: "n1", Timeout: time.Second}
		record, err := json.Marshal(&statecache.Job{Spec: &wire.Job{ID: "req-000700", Kind: wire.KindArray}, TaskCount: 1, SubmittedAt: 5})
		if err != nil {
			d.t.Error(err)
		}
		key := statecache.Key(statecache.KindJob, "req-000700")
		txn := &wire.Txn{Preconditions: []wire.Precondition{{Key: key}}, Writes: []wire.Write{{PutKey: key, Value: record}}}
		if _, err := other.Commit(context.Background(), txn); err != nil {
			d.t.Error(err)
		}
		if l, ok := d.front.snapshot("req-000700"); !ok || l.known {
			d.t.Error("known here already: nothing is tested")
		}
		body := strings.Replace(with("000412", "000701"), `"legs":2`, `"awaits":["req-000700"],"legs":2`, 1)
		d.ask("POST", "/work", body, http.StatusCreated, wire.JobQueued)
	})
}
