package peer

import (
	"sync/atomic"
	"time"

	"lynxledge/internal/config"
)

// maxQueuedMessages is how many messages wait for a stream; more are dropped. It holds the
// evidence of some thousand machines over a few seconds, in which a stream may stall.
const maxQueuedMessages = 256

// remote is what a controller knows of another one.
type remote struct {
	config.Peer
	outbound  chan PeerHeartbeat // waits for the stream to that controller
	connected atomic.Bool        // the stream is open

	// Of the transport's actor alone.
	lastHeartbeat time.Time
	viewAge       time.Duration
}

// enqueue leaves a message for the stream; false if too many are waiting already.
func (p *remote) enqueue(message PeerHeartbeat) bool {
	select {
	case p.outbound <- message:
		return true
	default:
		return false
	}
}

// table holds the other controllers. Its set of members is fixed; what is known of them
// belongs to the transport's actor, which publishes the conclusions for everyone.
type table struct {
	byName    map[string]*remote
	staleness time.Duration // age beyond which heartbeats and views don't count any more
	freshest  atomic.Pointer[remote]
	isolated  atomic.Bool
}

func newTable(peers []config.Peer, staleness time.Duration) *table {
	t := &table{byName: map[string]*remote{}, staleness: staleness}
	for _, p := range peers {
		t.byName[p.Name] = &remote{Peer: p, outbound: make(chan PeerHeartbeat, maxQueuedMessages)}
	}
	return t
}

// recordHeartbeat takes note of a heartbeat; false if its sender is not in the settings.
func (t *table) recordHeartbeat(now time.Time, heartbeat *PeerHeartbeat) bool {
	p := t.byName[heartbeat.Member]
	if p == nil {
		return false
	}
	p.lastHeartbeat, p.viewAge = now, heartbeat.viewAge()
	return true
}

// selectFreshest publishes which controller has the freshest view among those that sent
// heartbeats lately, and whether there was none of them.
func (t *table) selectFreshest() {
	var freshest *remote
	isolated := len(t.byName) > 0
	for _, p := range t.byName {
		if time.Since(p.lastHeartbeat) > t.staleness {
			continue
		}
		isolated = false
		if p.viewAge < 0 || p.viewAge > t.staleness {
			continue
		}
		if freshest == nil || p.viewAge < freshest.viewAge {
			freshest = p
		}
	}
	t.freshest.Store(freshest)
	t.isolated.Store(isolated)
}
