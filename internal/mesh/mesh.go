// Package mesh connects the controllers: each keeps an HTTP/2 stream open to
// every other and tells on it which workers it hears and how fresh its view
// is. Nothing that safety rests on travels here.
package mesh

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
	"lynxledge/internal/place"
	"lynxledge/wire"
)

// Heartbeat is one message of a stream.
type Heartbeat struct {
	Member string `json:"member"`
	AgeMS  int64  `json:"ageMs"` // of the sender's view; below 0: it has none
	// Boot tells the sender's process from its earlier ones; 0: it doesn't say.
	Boot  uint64   `json:"boot,omitempty"`
	Heard []string `json:"heard,omitempty"`
	// Note is for the receiver to write, if it places.
	Note *place.Observation `json:"note,omitempty"`
}

// Mesh is the actor that knows the other controllers.
type Mesh struct {
	*actor.Actor
	ctx           context.Context
	cfg           *config.Config
	period        time.Duration
	fresh         func() time.Time
	peers         map[string]*peer
	best          atomic.Pointer[peer]
	alone         atomic.Bool
	onHeard       atomic.Pointer[func([]string)]
	onHeardBy     atomic.Pointer[func(member string, machines []string)]
	onObservation atomic.Pointer[func(place.Observation)]
	watcher       atomic.Pointer[Watcher]
	boot          atomic.Uint64
	client        *http.Client
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
func (m *Mesh) Watch(w Watcher, boot uint64, every time.Duration) {
	m.watcher.Store(&w)
	m.boot.Store(boot)
	m.Every(every, func() { m.Heard(nil) })
}

func (m *Mesh) watched() Watcher {
	if w := m.watcher.Load(); w != nil {
		return *w
	}
	return noWatcher{}
}

type peer struct {
	config.Peer
	out  chan Heartbeat
	up   atomic.Bool // the stream to it is open
	seen time.Time
	age  time.Duration
}

func h2c() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Start opens the streams. fresh tells from when this node's view is.
func Start(ctx context.Context, cfg *config.Config, dial Dial, fresh func() time.Time) *Mesh {
	period := config.Seconds(cfg.Params.Workers.HeartbeatInterval / 3)
	m := &Mesh{
		Actor: actor.Start(ctx, "mesh", 128), ctx: ctx, cfg: cfg, period: period, fresh: fresh,
		peers: map[string]*peer{},
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
		q := &peer{Peer: p, out: make(chan Heartbeat, queued)}
		m.peers[p.Name] = q
		go m.dial(q)
	}
	m.Every(period, func() {
		m.Heard(nil)
		m.choose()
	})
	return m
}

// OnHeard sets the receiver of the workers that others hear.
func (m *Mesh) OnHeard(f func([]string)) { m.onHeard.Store(&f) }

// OnHeardBy sets the receiver of the workers that others hear, with who hears them.
func (m *Mesh) OnHeardBy(f func(member string, machines []string)) { m.onHeardBy.Store(&f) }

// queued is how many messages wait for a stream; more are dropped. It holds what some
// thousand machines prove within a few seconds, in which a stream may stand still.
const queued = 256

// OnObservation sets the receiver of what reports prove.
func (m *Mesh) OnObservation(f func(place.Observation)) { m.onObservation.Store(&f) }

// Tell passes on what a report proves; false if the other controller is out of
// reach. That it was told proves nothing.
func (m *Mesh) Tell(member string, n place.Observation) bool {
	p := m.peers[member]
	if p == nil || !p.up.Load() {
		return false
	}
	select {
	case p.out <- m.stamped(Heartbeat{Note: &n}):
		return true
	default:
		return false
	}
}

func (m *Mesh) stamped(b Heartbeat) Heartbeat {
	b.Member, b.AgeMS, b.Boot = m.cfg.MemberName, -1, m.boot.Load()
	if f := m.fresh(); !f.IsZero() {
		b.AgeMS = time.Since(f).Milliseconds()
	}
	return b
}

// Heard tells the others which workers reported here.
func (m *Mesh) Heard(machines []string) {
	b := m.stamped(Heartbeat{Heard: machines})
	for _, p := range m.peers {
		select {
		case p.out <- b:
		default: // the stream is down; silence is not proof of anything
		}
	}
}

// dial keeps one stream open.
func (m *Mesh) dial(p *peer) {
	for n := 0; m.ctx.Err() == nil; n++ {
		begun := time.Now()
		err := m.stream(p)
		slog.Debug("stream ended", "peer", p.Name, "err", err)
		if time.Since(begun) > 10*m.period {
			n = 0
		}
		wait := m.period << min(n, 1) // peers are few, and soon missed
		select {
		case <-time.After(wait + rand.N(wait)):
		case <-m.ctx.Done():
		}
	}
}

func (m *Mesh) stream(p *peer) error {
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
			case b := <-p.out:
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
	p.up.Store(true)
	defer p.up.Store(false)
	m.watched().Opened(p.Name)
	defer func() { m.watched().Closed(p.Name) }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Serve answers the others' streams and questions until ctx ends.
func (m *Mesh) Serve(l net.Listener, front http.Handler) error {
	r := chi.NewRouter()
	r.Post("/beats", m.receiveHeartbeats)
	r.Mount("/", front)
	srv := &http.Server{
		Handler: r, Protocols: h2c(), ReadHeaderTimeout: 4 * m.period,
		HTTP2: &http.HTTP2Config{SendPingTimeout: 2 * m.period, PingTimeout: 2 * m.period},
	}
	return srv.Serve(l)
}

func (m *Mesh) receiveHeartbeats(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	dec := json.NewDecoder(r.Body)
	from := ""
	defer func() {
		if from != "" {
			m.watched().Closed(from)
		}
	}()
	for {
		var b Heartbeat
		if err := dec.Decode(&b); err != nil {
			if !errors.Is(err, io.EOF) {
				slog.Debug("stream broke", "err", err)
			}
			return
		}
		if from == "" {
			from = b.Member
			m.watched().Opened(from)
		}
		m.watched().Heartbeat(b.Member, b.Boot)
		m.Post(func() { m.heard(b) })
	}
}

func (m *Mesh) heard(b Heartbeat) {
	p := m.peers[b.Member]
	if p == nil {
		slog.Warn("beat of an unknown controller", "member", b.Member)
		return
	}
	p.seen, p.age = time.Now(), time.Duration(b.AgeMS)*time.Millisecond
	if f := m.onHeard.Load(); f != nil && len(b.Heard) > 0 {
		(*f)(b.Heard)
	}
	if f := m.onHeardBy.Load(); f != nil && len(b.Heard) > 0 {
		(*f)(b.Member, b.Heard)
	}
	if f := m.onObservation.Load(); f != nil && b.Note != nil && b.Note.Report != nil && b.Note.Report.Validate() == nil {
		(*f)(*b.Note)
	}
}

// choose names the controller with the freshest view among those heard
// lately.
func (m *Mesh) choose() {
	var best *peer
	alone := len(m.peers) > 0
	for _, p := range m.peers {
		if time.Since(p.seen) > 3*m.period {
			continue
		}
		alone = false
		if p.age < 0 || p.age > 3*m.period {
			continue
		}
		if best == nil || p.age < best.age {
			best = p
		}
	}
	m.best.Store(best)
	m.alone.Store(alone)
}

// Alone tells whether there are other controllers, but none was heard lately.
func (m *Mesh) Alone() bool { return m.alone.Load() }

// Elsewhere names a controller that has state, or nothing.
func (m *Mesh) Elsewhere() string {
	if p := m.best.Load(); p != nil {
		return p.Name
	}
	return ""
}

// Forward passes a user's request on to a controller that has state.
func (m *Mesh) Forward(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	p := m.best.Load()
	if p == nil {
		return 0, nil, errors.New("no controller with state is known")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.Address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set(apiserver.Forwarded, m.cfg.MemberName)
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxBodyBytes))
	return resp.StatusCode, b, err
}
