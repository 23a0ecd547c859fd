package peer

import (
	"sync/atomic"
	"time"

	"lynxledge/internal/config"
)

// maxQueuedMessages is the capacity of the queue of messages for a stream. Further messages are
// dropped. It is enough for the evidence of some thousand machines while a stream stalls for a few
// seconds.
const maxQueuedMessages = 256

// peerState is the state that a controller keeps for another one.
type peerState struct {
	config.Peer
	outbound  chan PeerHeartbeat // messages queued for the stream to that controller
	connected atomic.Bool        // the stream is open

	// Accessed only by the actor.
	lastHeartbeat time.Time
	viewAge       time.Duration
}

// enqueue queues a message for the stream. It returns false if the queue is full.
func (p *peerState) enqueue(message PeerHeartbeat) bool {
	select {
	case p.outbound <- message:
		return true
	default:
		return false
	}
}

// table holds the state of the other controllers, whose set is fixed. The data from their
// heartbeats is accessed only by the actor, which publishes freshest and isolated for other
// goroutines.
type table struct {
	byName   map[string]*peerState
	maxAge   time.Duration // age beyond which heartbeats and views don't count
	freshest atomic.Pointer[peerState]
	isolated atomic.Bool
}

func newTable(peers []config.Peer, maxAge time.Duration) *table {
	t := &table{byName: map[string]*peerState{}, maxAge: maxAge}
	for _, p := range peers {
		t.byName[p.Name] = &peerState{Peer: p, outbound: make(chan PeerHeartbeat, maxQueuedMessages)}
	}
	return t
}

// recordHeartbeat records a heartbeat. It returns false if the sender is not in the settings.
func (t *table) recordHeartbeat(now time.Time, heartbeat *PeerHeartbeat) bool {
	p := t.byName[heartbeat.Member]
	if p == nil {
		return false
	}
	p.lastHeartbeat, p.viewAge = now, heartbeat.viewAge()
	return true
}

// selectFreshest publishes which controller has the freshest view, among those with a heartbeat and
// a view within maxAge, and whether this controller is isolated: there are others, but none with a
// heartbeat within maxAge.
func (t *table) selectFreshest() {
	var freshest *peerState
	isolated := len(t.byName) > 0
	for _, p := range t.byName {
		if time.Since(p.lastHeartbeat) > t.maxAge {
			continue
		}
		isolated = false
		if p.viewAge < 0 || p.viewAge > t.maxAge {
			continue
		}
		if freshest == nil || p.viewAge < freshest.viewAge {
			freshest = p
		}
	}
	t.freshest.Store(freshest)
	t.isolated.Store(isolated)
}
