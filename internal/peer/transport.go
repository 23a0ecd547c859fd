package peer

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/reconcile"
	"lynxledge/wire"
)

// heartbeatsPerWorkerHeartbeat is how many peer heartbeats are sent in the interval between two
// heartbeats of a worker.
const heartbeatsPerWorkerHeartbeat = 3

// stalenessHeartbeats is the age, in intervals of peer heartbeats, beyond which another
// controller's last heartbeat and its view don't count any more.
const stalenessHeartbeats = 3

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Options are what a Transport works with.
type Options struct {
	Config    *config.Config
	Dial      Dial
	FreshAsOf func() time.Time // of this controller's view; zero: it has none
}

// Handlers receive what other controllers send. They must not wait for the transport.
type Handlers struct {
	// Reachable is told of the workers that another controller had heartbeats from. Nil: nobody is.
	Reachable func(member string, machines []wire.MachineID)
	// Evidence is told of what heartbeats proved to another controller. Nil: nobody is.
	Evidence func(reconcile.Evidence)
	// FailureDetection is nil if it is off.
	FailureDetection *FailureDetection
}

// FailureDetection has heartbeats sent more often, with the incarnation of this controller's
// process, and an observer follow those of the others.
type FailureDetection struct {
	Incarnation uint64
	Interval    time.Duration
	Observer    Observer
}

// Observer is told of the heartbeats and connections of other controllers. It must not wait
// for the transport.
type Observer interface {
	Heartbeat(member string, incarnation uint64)
	Opened(member string)
	Closed(member string)
}

// noObserver is told in vain.
type noObserver struct{}

func (noObserver) Heartbeat(string, uint64) {}
func (noObserver) Opened(string)            {}
func (noObserver) Closed(string)            {}

// Transport is the actor that knows the other controllers.
type Transport struct {
	*actor.Actor
	member            string
	heartbeatInterval time.Duration
	freshAsOf         func() time.Time
	peers             *table
	client            *http.Client

	// Set by Run, constant afterwards.
	handlers    Handlers
	observer    Observer
	incarnation uint64 // announced; 0: none is
}

// Start starts the actor, which ends with ctx. It sends and receives nothing before Run.
func Start(ctx context.Context, o Options) *Transport {
	interval := o.Config.Params.Workers.HeartbeatInterval / heartbeatsPerWorkerHeartbeat
	return &Transport{
		Actor:             actor.Start(ctx, "peer", 128),
		member:            o.Config.MemberName,
		heartbeatInterval: interval,
		freshAsOf:         o.FreshAsOf,
		peers:             newTable(o.Config.Peers, stalenessHeartbeats*interval),
		client:            newClient(o.Dial, interval),
		observer:          noObserver{},
	}
}

// Run opens the streams and keeps them open until ctx ends. It must be called before Serve.
func (t *Transport) Run(ctx context.Context, handlers Handlers) {
	t.handlers = handlers
	detection := handlers.FailureDetection
	if detection != nil {
		t.observer, t.incarnation = detection.Observer, detection.Incarnation
	}
	for _, p := range t.peers.byName {
		go t.connectLoop(ctx, p)
	}
	t.Every(t.heartbeatInterval, func() {
		t.AnnounceReachable(nil)
		t.peers.selectFreshest()
	})
	if detection != nil {
		t.Every(detection.Interval, func() { t.AnnounceReachable(nil) })
	}
}

// Isolated tells whether there are other controllers, but none sent heartbeats lately.
func (t *Transport) Isolated() bool { return t.peers.isolated.Load() }

// FreshPeer names the controller with the freshest view, or nothing.
func (t *Transport) FreshPeer() string {
	if p := t.peers.freshest.Load(); p != nil {
		return p.Name
	}
	return ""
}

// AnnounceReachable tells the others from which workers heartbeats came here.
func (t *Transport) AnnounceReachable(machines []wire.MachineID) {
	heartbeat := t.heartbeat()
	heartbeat.Reachable = machines
	for _, p := range t.peers.byName {
		p.enqueue(heartbeat) // or drops it: missed heartbeats prove nothing
	}
}

// SendEvidence forwards what a heartbeat proves; false if the other controller is out of
// reach. That it was sent proves nothing.
func (t *Transport) SendEvidence(member string, evidence reconcile.Evidence) bool {
	p := t.peers.byName[member]
	if p == nil || !p.connected.Load() {
		return false
	}
	heartbeat := t.heartbeat()
	heartbeat.Evidence = &evidence
	return p.enqueue(heartbeat)
}

// heartbeat is a message that says who sends it and how old the sender's view is.
func (t *Transport) heartbeat() PeerHeartbeat {
	heartbeat := PeerHeartbeat{Member: t.member, ViewAgeMillis: -1, Incarnation: t.incarnation}
	if freshAsOf := t.freshAsOf(); !freshAsOf.IsZero() {
		heartbeat.ViewAgeMillis = time.Since(freshAsOf).Milliseconds()
	}
	return heartbeat
}

// handleHeartbeat takes a message over.
func (t *Transport) handleHeartbeat(heartbeat PeerHeartbeat) {
	if !t.peers.recordHeartbeat(time.Now(), &heartbeat) {
		slog.Warn("heartbeat from unknown controller", "member", heartbeat.Member)
		return
	}
	if t.handlers.Reachable != nil && len(heartbeat.Reachable) > 0 {
		t.handlers.Reachable(heartbeat.Member, heartbeat.Reachable)
	}
	if t.handlers.Evidence != nil && heartbeat.hasValidEvidence() {
		t.handlers.Evidence(*heartbeat.Evidence)
	}
}
