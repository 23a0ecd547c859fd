package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// streamPath is where a controller takes the streams of the others.
const streamPath = "/beats"

// errStreamEnded says that the other controller ended a stream.
var errStreamEnded = errors.New("stream ended by peer")

// http2Only are the protocols spoken between controllers: HTTP/2 without encryption.
func http2Only() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// pings are the settings that find out dead connections.
func pings(heartbeatInterval time.Duration) *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: 2 * heartbeatInterval, PingTimeout: 2 * heartbeatInterval}
}

// newClient makes the client for streams and forwarded requests.
func newClient(dial Dial, heartbeatInterval time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
			defer cancel()
			return dial(ctx, network, addr)
		},
		Protocols: http2Only(),
		HTTP2:     pings(heartbeatInterval),
	}}
}

// connectLoop keeps one stream open until ctx ends.
func (t *Transport) connectLoop(ctx context.Context, p *remote) {
	defer t.client.CloseIdleConnections()
	for failures := 0; ctx.Err() == nil; failures++ {
		openedAt := time.Now()
		err := t.stream(ctx, p)
		slog.Debug("peer stream ended", "member", p.Name, "error", err)
		if time.Since(openedAt) > 10*t.heartbeatInterval {
			failures = 0
		}
		backoff := t.heartbeatInterval << min(failures, 1) // peers are few, and soon missed
		select {
		case <-time.After(backoff + rand.N(backoff)):
		case <-ctx.Done():
		}
	}
}

// stream sends the messages for another controller until the stream breaks or ctx ends. What it
// started has ended when it returns.
func (t *Transport) stream(ctx context.Context, p *remote) error {
	ctx, cancel := context.WithCancel(ctx)
	body, messages := io.Pipe()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address+streamPath, body)
	if err != nil {
		cancel()
		return fmt.Errorf("stream to %s: %w", p.Name, err)
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		writeMessages(ctx, messages, p.outbound)
	}()
	defer func() {
		cancel()
		body.Close() // ends a write that nobody reads
		<-written
	}()
	response, err := t.client.Do(request)
	if err != nil {
		return fmt.Errorf("stream to %s: %w", p.Name, err)
	}
	defer response.Body.Close()
	p.connected.Store(true)
	defer p.connected.Store(false)
	t.observer.Opened(p.Name)
	defer t.observer.Closed(p.Name)
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return fmt.Errorf("stream to %s: %w", p.Name, err)
	}
	return errStreamEnded
}

// writeMessages encodes messages into a stream until ctx ends or the stream breaks.
func writeMessages(ctx context.Context, stream *io.PipeWriter, messages <-chan PeerHeartbeat) {
	encoder := json.NewEncoder(stream)
	for {
		select {
		case message := <-messages:
			if err := encoder.Encode(message); err != nil {
				return
			}
		case <-ctx.Done():
			stream.CloseWithError(ctx.Err())
			return
		}
	}
}

// Serve takes the others' streams, and has handler answer all other requests, until ctx ends or
// the listener is closed.
func (t *Transport) Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	router := chi.NewRouter()
	router.Post(streamPath, t.receiveHeartbeats)
	router.Mount("/", handler)
	server := &http.Server{
		Handler:           router,
		Protocols:         http2Only(),
		ReadHeaderTimeout: 4 * t.heartbeatInterval,
		HTTP2:             pings(t.heartbeatInterval),
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("peer listener: %w", err)
	}
	return nil
}

// receiveHeartbeats reads another controller's stream until it breaks.
func (t *Transport) receiveHeartbeats(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	decoder := json.NewDecoder(r.Body)
	sender := ""
	defer func() {
		if sender != "" {
			t.observer.Closed(sender)
		}
	}()
	for {
		var heartbeat PeerHeartbeat
		if err := decoder.Decode(&heartbeat); err != nil {
			if !errors.Is(err, io.EOF) {
				slog.Debug("inbound peer stream interrupted", "member", sender, "error", err)
			}
			return
		}
		if sender == "" {
			sender = heartbeat.Member
			t.observer.Opened(sender)
		}
		t.observer.Heartbeat(heartbeat.Member, heartbeat.Incarnation)
		t.Post(func() { t.handleHeartbeat(heartbeat) })
	}
}
