package peer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/reconcile"
	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

// controller is a Transport that records what it receives. The records are accessed only by the
// transport's actor.
type controller struct {
	*Transport
	reachable []wire.MachineID
	evidence  []reconcile.Evidence
}

// received returns copies of what the controller has received so far.
func (c *controller) received(t *testing.T) (reachable []wire.MachineID, evidence []reconcile.Evidence) {
	t.Helper()
	type lists struct {
		reachable []wire.MachineID
		evidence  []reconcile.Evidence
	}
	got, ok := actor.Ask(c.Actor, func(reply func(lists)) {
		reply(lists{slices.Clone(c.reachable), slices.Clone(c.evidence)})
	})
	if !ok {
		t.Fatal("the transport's actor doesn't answer")
	}
	return got.reachable, got.evidence
}

// pair holds two controllers, n0 and n1, on a simulated network.
type pair struct {
	network *simulation.Network
	members [2]*controller
	fresh   map[string]*atomic.Bool // by member: whether it has a view; read concurrently by the actors
}

// withPair runs a test with two connected controllers in a synctest bubble, which fails the test if
// any of their goroutines is left.
func withPair(t *testing.T, test func(t *testing.T, p *pair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		p := &pair{network: simulation.NewNetwork(1, time.Millisecond), fresh: map[string]*atomic.Bool{}}
		connections := simulation.NewConnections(p.network)
		names := []string{"n0", "n1"}
		for _, name := range names {
			p.fresh[name] = new(atomic.Bool)
			p.fresh[name].Store(true)
		}
		for i, name := range names {
			p.members[i] = startController(ctx, connections, name, names[1-i], p.fresh[name])
		}
		time.Sleep(10 * time.Second)
		test(t, p)
		cancel()
		for _, name := range names {
			connections.Crash(name)
		}
		time.Sleep(time.Minute)
	})
}

// startController starts a controller with one peer. It has a view while fresh is set, and answers
// forwarded requests with their contents.
func startController(ctx context.Context, connections *simulation.Connections, name, other string, fresh *atomic.Bool) *controller {
	cfg := &config.Config{MemberName: name, Peers: []config.Peer{{Name: other, Address: other + ":1"}}}
	cfg.Params.Workers.HeartbeatInterval = 3 * time.Second
	c := &controller{}
	c.Transport = Start(ctx, Options{Config: cfg, Dial: connections.Dial(name), FreshAsOf: func() time.Time {
		if fresh.Load() {
			return time.Now()
		}
		return time.Time{}
	}})
	c.Run(ctx, Handlers{
		Reachable: func(_ string, machines []wire.MachineID) { c.reachable = append(c.reachable, machines...) },
		Evidence:  func(evidence reconcile.Evidence) { c.evidence = append(c.evidence, evidence) },
	})
	go c.Serve(ctx, connections.Listen(name, name+":1"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, name+" "+r.Method+" "+r.URL.Path+" "+r.Header.Get(ForwardedHeader)+" "+string(body))
	}))
	return c
}

// Announced machines and evidence reach the other controller. During a partition each controller
// detects that it is isolated, and SendEvidence returns false, since the worker then has to deliver
// the evidence. After the partition everything works as before.
func TestTransportThroughPartition(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		n0, n1 := p.members[0], p.members[1]
		evidence := reconcile.Evidence{
			Heartbeat:    &wire.Heartbeat{Machine: "i-1", Address: "x:1", MachineType: "t", Zone: "z", Incarnation: 1},
			TaskRuntimes: map[wire.TaskID]wire.Seconds{"req-000001/0": 2.5},
		}
		n0.AnnounceReachable([]wire.MachineID{"i-1", "i-2"})
		if !n0.SendEvidence("n1", evidence) || n0.SendEvidence("n9", evidence) {
			t.Error("evidence not sent to n1, or sent to the unknown n9")
		}
		time.Sleep(time.Second)
		reachable, received := n1.received(t)
		if !slices.Equal(reachable, []wire.MachineID{"i-1", "i-2"}) || len(received) != 1 || received[0].TaskRuntimes["req-000001/0"] != 2.5 {
			t.Errorf("n1 received %v, %+v", reachable, received)
		}
		if n0.Isolated() || n0.FreshPeer() != "n1" {
			t.Errorf("isolated %v, fresh peer %q", n0.Isolated(), n0.FreshPeer())
		}
		p.network.Partition("n0", "n1", true)
		time.Sleep(20 * time.Second)
		if !n0.Isolated() || !n1.Isolated() || n0.FreshPeer() != "" || n0.SendEvidence("n1", evidence) {
			t.Errorf("in a partition: isolated %v %v, fresh peer %q", n0.Isolated(), n1.Isolated(), n0.FreshPeer())
		}
		p.network.HealAll()
		time.Sleep(20 * time.Second)
		if n0.Isolated() || n0.FreshPeer() != "n1" || !n0.SendEvidence("n1", evidence) {
			t.Errorf("after a partition: isolated %v, fresh peer %q", n0.Isolated(), n0.FreshPeer())
		}
	})
}

// Requests are forwarded only to a controller that has a view, with a header that prevents further
// forwarding.
func TestForwardNeedsFreshPeer(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		n0 := p.members[0]
		status, response, err := n0.Forward(context.Background(), http.MethodPost, "/work", []byte("job"))
		if err != nil || status != http.StatusCreated || string(response) != "n1 POST /work n0 job" {
			t.Errorf("%d %s %v", status, response, err)
		}
		p.fresh["n1"].Store(false)
		time.Sleep(5 * time.Second)
		if n0.FreshPeer() != "" || n0.Isolated() {
			t.Errorf("fresh peer %q, isolated %v", n0.FreshPeer(), n0.Isolated())
		}
		if _, _, err := n0.Forward(context.Background(), http.MethodGet, "/work/req-000001", nil); !errors.Is(err, ErrNoFreshPeer) {
			t.Errorf("forwarded to a controller without a view: %v", err)
		}
	})
}

// A heartbeat from a controller that is not in the settings is ignored, and so is malformed
// evidence.
func TestHeartbeatFromUnknownController(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		n0 := p.members[0]
		request := httptest.NewRequest(http.MethodPost, streamPath, nil)
		request.Body = io.NopCloser(strings.NewReader(`{"member":"n7","heard":["i-9"]}{"member":"n1","note":{"report":{"nest":""}}}rubbish`))
		n0.receiveHeartbeats(httptest.NewRecorder(), request)
		time.Sleep(time.Second)
		if reachable, evidence := n0.received(t); len(reachable) > 0 || len(evidence) > 0 {
			t.Errorf("not ignored: %v %v", reachable, evidence)
		}
	})
}

// A message of the version in production can be decoded, and is encoded again to the same JSON.
func TestMessagesOfTheVersionInProduction(t *testing.T) {
	before, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var heartbeat PeerHeartbeat
	if err := json.Unmarshal(before, &heartbeat); err != nil || heartbeat.Evidence == nil || heartbeat.Evidence.Heartbeat.Validate() != nil {
		t.Fatalf("%+v: %v", heartbeat, err)
	}
	after, _ := json.Marshal(heartbeat)
	if string(after) != strings.TrimSpace(string(before)) {
		t.Errorf("was %s, is %s", before, after)
	}
}

// A controller's streams, its server and their connections end with its context, without being
// closed by the network. The synctest bubble fails the test if a goroutine is left.
func TestEverythingEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		connections := simulation.NewConnections(simulation.NewNetwork(1, time.Millisecond))
		fresh := new(atomic.Bool)
		fresh.Store(true)
		n0 := startController(ctx, connections, "n0", "n1", fresh)
		n1 := startController(ctx, connections, "n1", "n0", fresh)
		time.Sleep(10 * time.Second)
		if n0.FreshPeer() != "n1" || n1.FreshPeer() != "n0" {
			t.Error("not connected")
		}
		if _, _, err := n0.Forward(ctx, http.MethodGet, "/work/req-000001", nil); err != nil {
			t.Error(err)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
