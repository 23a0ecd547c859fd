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

// peerHeartbeatsPerWorkerHeartbeat is the number of peer heartbeats per heartbeat interval of the
// workers.
const peerHeartbeatsPerWorkerHeartbeat = 3

// maxAgeHeartbeats is the age, in intervals of peer heartbeats, beyond which another controller's
// last heartbeat and its view don't count.
const maxAgeHeartbeats = 3

// Dial opens a connection to another controller.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Options configures a Transport.
type Options struct {
	Config    *config.Config
	Dial      Dial
	FreshAsOf func() time.Time // time as of which this controller's view is current; zero: it has none
}

// Handlers handle the messages of other controllers. They must not wait for the transport.
type Handlers struct {
	// Reachable is called with the machines that another controller has received heartbeats from;
	// nil: they are ignored.
	Reachable func(member string, machines []wire.MachineID)
	// Evidence is called with the evidence that another controller forwards; nil: it is ignored.
	Evidence func(reconcile.Evidence)
	// FailureDetection configures the heartbeats for failure detection; nil: early failover is
	// disabled.
	FailureDetection *FailureDetection
}

// FailureDetection configures the heartbeats for failure detection: this controller sends
// additional ones every HeartbeatInterval, announces the Incarnation of its process in all its
// messages, and notifies Observer of the heartbeats and connections of other controllers.
type FailureDetection struct {
	Incarnation       uint64
	HeartbeatInterval time.Duration
	Observer          Observer
}

// Observer is notified of the heartbeats and connections of other controllers. It must not wait
// for the transport.
type Observer interface {
	Heartbeat(member string, incarnation uint64)
	ConnectionOpened(member string)
	ConnectionClosed(member string)
}

// noObserver is an Observer that does nothing.
type noObserver struct{}

func (noObserver) Heartbeat(string, uint64) {}
func (noObserver) ConnectionOpened(string)  {}
func (noObserver) ConnectionClosed(string)  {}

// Transport is the actor that exchanges messages with the other controllers.
type Transport struct {
	*actor.Actor
	member            string
	heartbeatInterval time.Duration
	freshAsOf         func() time.Time
	peers             *table
	client            *http.Client

	// Set by Run and not modified afterwards.
	handlers    Handlers
	observer    Observer
	incarnation uint64 // announced to the other controllers; 0: not announced
}

// Start starts a Transport that runs until ctx ends. It sends and receives nothing before Run.
func Start(ctx context.Context, o Options) *Transport {
	interval := o.Config.Params.Workers.HeartbeatInterval / peerHeartbeatsPerWorkerHeartbeat
	return &Transport{
		Actor:             actor.Start(ctx, "peer", 128),
		member:            o.Config.MemberName,
		heartbeatInterval: interval,
		freshAsOf:         o.FreshAsOf,
		peers:             newTable(o.Config.Peers, maxAgeHeartbeats*interval),
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
		t.Every(detection.HeartbeatInterval, func() { t.AnnounceReachable(nil) })
	}
}

// Isolated reports whether there are other controllers but none has sent a heartbeat recently.
func (t *Transport) Isolated() bool { return t.peers.isolated.Load() }

// FreshPeer returns the name of the controller with the freshest view; empty if there is none.
func (t *Transport) FreshPeer() string {
	if p := t.peers.freshest.Load(); p != nil {
		return p.Name
	}
	return ""
}

// AnnounceReachable tells the other controllers which machines this one has received heartbeats
// from. Without machines, it only sends them a heartbeat of this controller.
func (t *Transport) AnnounceReachable(machines []wire.MachineID) {
	heartbeat := t.newHeartbeat()
	heartbeat.Reachable = machines
	for _, p := range t.peers.byName {
		p.enqueue(heartbeat) // dropped if the queue is full: a missed heartbeat proves nothing
	}
}

// SendEvidence queues evidence for another controller. It returns false if that one is unknown or
// not connected, or if its queue is full. True does not mean that the evidence arrives.
func (t *Transport) SendEvidence(member string, evidence reconcile.Evidence) bool {
	p := t.peers.byName[member]
	if p == nil || !p.connected.Load() {
		return false
	}
	heartbeat := t.newHeartbeat()
	heartbeat.Evidence = &evidence
	return p.enqueue(heartbeat)
}

// newHeartbeat returns a message with this controller's name, incarnation and view age.
func (t *Transport) newHeartbeat() PeerHeartbeat {
	heartbeat := PeerHeartbeat{Member: t.member, ViewAgeMillis: -1, Incarnation: t.incarnation}
	if freshAsOf := t.freshAsOf(); !freshAsOf.IsZero() {
		heartbeat.ViewAgeMillis = time.Since(freshAsOf).Milliseconds()
	}
	return heartbeat
}

// handleHeartbeat handles a message from another controller.
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
