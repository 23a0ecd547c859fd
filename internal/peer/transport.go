package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"lynxledge/internal/actor"
	"lynxledge/internal/apiserver"
	"lynxledge/internal/config"
	"lynxledge/internal/reconcile"
	"lynxledge/wire"
)

// PeerHeartbeat is one message of a stream.
type PeerHeartbeat struct {
	Member        string `json:"member"`
	ViewAgeMillis int64  `json:"ageMs"` // of the sender's view; below 0: it has none
	// Boot tells the sender's process from its earlier ones; 0: it doesn't say.
	Incarnation uint64           `json:"boot,omitempty"`
	Reachable   []wire.MachineID `json:"heard,omitempty"`
	// Note is for the receiver to write, if it places.
	Evidence *reconcile.Evidence `json:"note,omitempty"`
}

// Transport is the actor that knows the other controllers.
type Transport struct {
	*actor.Actor
	ctx               context.Context
	config            *config.Config
	heartbeatInterval time.Duration
	freshAsOf         func() time.Time
	peers             map[string]*peerState
	freshestPeer      atomic.Pointer[peerState]
	isolated          atomic.Bool
	onReachable       atomic.Pointer[func([]wire.MachineID)]
	onReachableBy     atomic.Pointer[func(member string, machines []wire.MachineID)]
	onEvidence        atomic.Pointer[func(reconcile.Evidence)]
	watcher           atomic.Pointer[Watcher]
	incarnation       atomic.Uint64
	client            *http.Client
}

// Watcher is told what is heard of other controllers. It must not wait for the mesh.
type Watcher interface {
	Heartbeat(member string, boot uint64)
	Opened(member string)
	Closed(member string)
}

// noWatcher is told in vain.
type noWatcher struct{}

func (noWatcher) Heartbeat(string, uint64) {}
func (noWatcher) Opened(string)            {}
func (noWatcher) Closed(string)            {}

// Watch has another actor follow the heartbeats and connections of other controllers, and
// has this one say, more often than it would, which process it is.
func (m *Transport) Watch(w Watcher, boot uint64, every time.Duration) {
	m.watcher.Store(&w)
	m.incarnation.Store(boot)
	m.Every(every, func() { m.AnnounceReachable(nil) })
}

func (m *Transport) currentWatcher() Watcher {
	if w := m.watcher.Load(); w != nil {
		return *w
	}
	return noWatcher{}
}

type peerState struct {
	config.Peer
	outbound      chan PeerHeartbeat
	connected     atomic.Bool // the stream to it is open
	lastHeartbeat time.Time
	viewAge       time.Duration
}

func h2c() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Start opens the streams. fresh tells from when this node's view is.
func Start(ctx context.Context, cfg *config.Config, dial Dial, fresh func() time.Time) *Transport {
	period := cfg.Params.Workers.HeartbeatInterval / 3
	m := &Transport{
		Actor: actor.Start(ctx, "mesh", 128), ctx: ctx, config: cfg, heartbeatInterval: period, freshAsOf: fresh,
		peers: map[string]*peerState{},
		client: &http.Client{Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, period)
				defer cancel()
				return dial(ctx, network, addr)
			}, Protocols: h2c(),
			HTTP2: &http.HTTP2Config{SendPingTimeout: 2 * period, PingTimeout: 2 * period},
		}},
	}
	for _, p := range cfg.Peers {
		q := &peerState{Peer: p, outbound: make(chan PeerHeartbeat, maxQueuedMessages)}
		m.peers[p.Name] = q
		go m.connectLoop(q)
	}
	m.Every(period, func() {
		m.AnnounceReachable(nil)
		m.selectFreshestPeer()
	})
	return m
}

// OnReachable sets the receiver of the workers that others hear.
func (m *Transport) OnReachable(f func([]wire.MachineID)) { m.onReachable.Store(&f) }

// OnReachableBy sets the receiver of the workers that others hear, with who hears them.
func (m *Transport) OnReachableBy(f func(member string, machines []wire.MachineID)) {
	m.onReachableBy.Store(&f)
}

// maxQueuedMessages is how many messages wait for a stream; more are dropped. It holds what some
// thousand machines prove within a few seconds, in which a stream may stand still.
const maxQueuedMessages = 256

// OnEvidence sets the receiver of what reports prove.
func (m *Transport) OnEvidence(f func(reconcile.Evidence)) { m.onEvidence.Store(&f) }

// SendEvidence passes on what a report proves; false if the other controller is out of
// reach. That it was told proves nothing.
func (m *Transport) SendEvidence(member string, n reconcile.Evidence) bool {
	p := m.peers[member]
	if p == nil || !p.connected.Load() {
		return false
	}
	select {
	case p.outbound <- m.withViewAge(PeerHeartbeat{Evidence: &n}):
		return true
	default:
		return false
	}
}

func (m *Transport) withViewAge(b PeerHeartbeat) PeerHeartbeat {
	b.Member, b.ViewAgeMillis, b.Incarnation = m.config.MemberName, -1, m.incarnation.Load()
	if f := m.freshAsOf(); !f.IsZero() {
		b.ViewAgeMillis = time.Since(f).Milliseconds()
	}
	return b
}

// AnnounceReachable tells the others which workers reported here.
func (m *Transport) AnnounceReachable(machines []wire.MachineID) {
	b := m.withViewAge(PeerHeartbeat{Reachable: machines})
	for _, p := range m.peers {
		select {
		case p.outbound <- b:
		default: // the stream is down; silence is not proof of anything
		}
	}
}

// connectLoop keeps one stream open.
func (m *Transport) connectLoop(p *peerState) {
	for n := 0; m.ctx.Err() == nil; n++ {
		begun := time.Now()
		err := m.stream(p)
		slog.Debug("stream ended", "peer", p.Name, "err", err)
		if time.Since(begun) > 10*m.heartbeatInterval {
			n = 0
		}
		wait := m.heartbeatInterval << min(n, 1) // peers are few, and soon missed
		select {
		case <-time.After(wait + rand.N(wait)):
		case <-m.ctx.Done():
		}
	}
}

func (m *Transport) stream(p *peerState) error {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	r, w := io.Pipe()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address+"/beats", r)
	if err != nil {
		return err
	}
	go func() {
		enc := json.NewEncoder(w)
		for {
			select {
			case b := <-p.outbound:
				if err := enc.Encode(b); err != nil {
					return
				}
			case <-ctx.Done():
				w.CloseWithError(ctx.Err())
				return
			}
		}
	}()
	resp, err := m.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	p.connected.Store(true)
	defer p.connected.Store(false)
	m.currentWatcher().Opened(p.Name)
	defer func() { m.currentWatcher().Closed(p.Name) }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Serve answers the others' streams and questions until ctx ends.
func (m *Transport) Serve(l net.Listener, front http.Handler) error {
	r := chi.NewRouter()
	r.Post("/beats", m.receiveHeartbeats)
	r.Mount("/", front)
	srv := &http.Server{
		Handler: r, Protocols: h2c(), ReadHeaderTimeout: 4 * m.heartbeatInterval,
		HTTP2: &http.HTTP2Config{SendPingTimeout: 2 * m.heartbeatInterval, PingTimeout: 2 * m.heartbeatInterval},
	}
	return srv.Serve(l)
}

func (m *Transport) receiveHeartbeats(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	dec := json.NewDecoder(r.Body)
	from := ""
	defer func() {
		if from != "" {
			m.currentWatcher().Closed(from)
		}
	}()
	for {
		var b PeerHeartbeat
		if err := dec.Decode(&b); err != nil {
			if !errors.Is(err, io.EOF) {
				slog.Debug("stream broke", "err", err)
			}
			return
		}
		if from == "" {
			from = b.Member
			m.currentWatcher().Opened(from)
		}
		m.currentWatcher().Heartbeat(b.Member, b.Incarnation)
		m.Post(func() { m.handleHeartbeat(b) })
	}
}

func (m *Transport) handleHeartbeat(b PeerHeartbeat) {
	p := m.peers[b.Member]
	if p == nil {
		slog.Warn("beat of an unknown controller", "member", b.Member)
		return
	}
	p.lastHeartbeat, p.viewAge = time.Now(), time.Duration(b.ViewAgeMillis)*time.Millisecond
	if f := m.onReachable.Load(); f != nil && len(b.Reachable) > 0 {
		(*f)(b.Reachable)
	}
	if f := m.onReachableBy.Load(); f != nil && len(b.Reachable) > 0 {
		(*f)(b.Member, b.Reachable)
	}
	if f := m.onEvidence.Load(); f != nil && b.Evidence != nil && b.Evidence.Heartbeat != nil && b.Evidence.Heartbeat.Validate() == nil {
		(*f)(*b.Evidence)
	}
}

// selectFreshestPeer names the controller with the freshest view among those heard
// lately.
func (m *Transport) selectFreshestPeer() {
	var best *peerState
	alone := len(m.peers) > 0
	for _, p := range m.peers {
		if time.Since(p.lastHeartbeat) > 3*m.heartbeatInterval {
			continue
		}
		alone = false
		if p.viewAge < 0 || p.viewAge > 3*m.heartbeatInterval {
			continue
		}
		if best == nil || p.viewAge < best.viewAge {
			best = p
		}
	}
	m.freshestPeer.Store(best)
	m.isolated.Store(alone)
}

// Isolated tells whether there are other controllers, but none was heard lately.
func (m *Transport) Isolated() bool { return m.isolated.Load() }

// FreshPeer names a controller that has state, or nothing.
func (m *Transport) FreshPeer() string {
	if p := m.freshestPeer.Load(); p != nil {
		return p.Name
	}
	return ""
}

// Forward passes a user's request on to a controller that has state.
func (m *Transport) Forward(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	p := m.freshestPeer.Load()
	if p == nil {
		return 0, nil, errors.New("no controller with state is known")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.Address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set(apiserver.ForwardedHeader, m.config.MemberName)
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxBodyBytes))
	return resp.StatusCode, b, err
}
