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

// streamPath is the path on which a controller accepts the streams of the others.
const streamPath = "/beats"

// errStreamEnded is returned when the other controller ended a stream.
var errStreamEnded = errors.New("stream ended by peer")

// http2Only returns the protocols used between controllers: only unencrypted HTTP/2.
func http2Only() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// http2Config returns the settings of the HTTP/2 pings that detect dead connections.
func http2Config(heartbeatInterval time.Duration) *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: 2 * heartbeatInterval, PingTimeout: 2 * heartbeatInterval}
}

// newClient returns the HTTP client for streams and forwarded requests.
func newClient(dial Dial, heartbeatInterval time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
			defer cancel()
			return dial(ctx, network, addr)
		},
		Protocols: http2Only(),
		HTTP2:     http2Config(heartbeatInterval),
	}}
}

// connectLoop keeps a stream to one controller open until ctx ends.
func (t *Transport) connectLoop(ctx context.Context, p *peerState) {
	defer t.client.CloseIdleConnections()
	for failures := 0; ctx.Err() == nil; failures++ {
		openedAt := time.Now()
		err := t.stream(ctx, p)
		slog.Debug("peer stream ended", "member", p.Name, "error", err)
		if time.Since(openedAt) > 10*t.heartbeatInterval {
			failures = 0
		}
		backoff := t.heartbeatInterval << min(failures, 1) // at most doubled: peers are few, and their heartbeats are soon missed
		select {
		case <-time.After(backoff + rand.N(backoff)):
		case <-ctx.Done():
		}
	}
}

// stream opens a stream to another controller and sends it the queued messages until the stream
// ends or ctx does. No goroutine that it started is left when it returns.
func (t *Transport) stream(ctx context.Context, p *peerState) error {
	ctx, cancel := context.WithCancel(ctx)
	body, bodyWriter := io.Pipe()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address+streamPath, body)
	if err != nil {
		cancel()
		return fmt.Errorf("stream to %s: %w", p.Name, err)
	}
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		writeMessages(ctx, bodyWriter, p.outbound)
	}()
	defer func() {
		cancel()
		body.Close() // unblocks a write that nobody reads
		<-writerDone
	}()
	response, err := t.client.Do(request)
	if err != nil {
		return fmt.Errorf("stream to %s: %w", p.Name, err)
	}
	defer response.Body.Close()
	p.connected.Store(true)
	defer p.connected.Store(false)
	t.observer.ConnectionOpened(p.Name)
	defer t.observer.ConnectionClosed(p.Name)
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return fmt.Errorf("stream to %s: %w", p.Name, err)
	}
	return errStreamEnded
}

// writeMessages encodes messages into a stream until a write fails or ctx ends.
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

// Serve accepts the streams of other controllers, and passes all other requests to handler, until
// ctx ends or the listener is closed.
func (t *Transport) Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	router := chi.NewRouter()
	router.Post(streamPath, t.receiveHeartbeats)
	router.Mount("/", handler)
	server := &http.Server{
		Handler:           router,
		Protocols:         http2Only(),
		ReadHeaderTimeout: 4 * t.heartbeatInterval,
		HTTP2:             http2Config(t.heartbeatInterval),
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("peer listener: %w", err)
	}
	return nil
}

// receiveHeartbeats reads messages from another controller's stream until the stream ends.
func (t *Transport) receiveHeartbeats(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	decoder := json.NewDecoder(r.Body)
	sender := ""
	defer func() {
		if sender != "" {
			t.observer.ConnectionClosed(sender)
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
			t.observer.ConnectionOpened(sender)
		}
		t.observer.Heartbeat(heartbeat.Member, heartbeat.Incarnation)
		t.TrySend(func() { t.handleHeartbeat(heartbeat) })
	}
}
