// Package worker is the client of the agents on the machines.
package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"lynxledge/internal/httpjson"
	"lynxledge/wire"
)

// ErrTooManyRequests says that a request was not sent, since the limit of requests in flight left
// no room for it in time. Trying again helps.
var ErrTooManyRequests = errors.New("too many requests to workers in flight")

// Client sends requests straight to workers.
type Client struct {
	httpClient *http.Client
	timeout    time.Duration
	inFlight   chan struct{} // has an element for each request in flight
}

// New returns a client whose requests give up after timeout. A command that was given up may
// still be executed later. The client keeps up to maxIdle idle connections and has at most
// maxInFlight requests in flight, each of which may take one more.
func New(timeout time.Duration, maxIdle, maxInFlight int) *Client {
	return &Client{
		httpClient: httpjson.NewHTTPClient(timeout/2, 1, max(1, maxIdle)), timeout: timeout,
		inFlight: make(chan struct{}, max(1, maxInFlight)),
	}
}

// SendCommands sends commands. The worker returns its heartbeat whether or not it executed them.
func (c *Client) SendCommands(ctx context.Context, addr string, batch wire.CommandBatch) (*wire.Heartbeat, error) {
	return c.exchange(ctx, http.MethodPost, "http://"+addr+"/do", batch)
}

// Inspect reads a worker's heartbeat.
func (c *Client) Inspect(ctx context.Context, addr string) (*wire.Heartbeat, error) {
	return c.exchange(ctx, http.MethodGet, "http://"+addr+"/inspect", nil)
}

func (c *Client) exchange(ctx context.Context, method, url string, in any) (*wire.Heartbeat, error) {
	select {
	case c.inFlight <- struct{}{}:
		defer func() { <-c.inFlight }()
	case <-time.After(c.timeout):
		return nil, ErrTooManyRequests
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	status, body, err := httpjson.Call(ctx, c.httpClient, c.timeout, method, url, in)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, &httpjson.StatusError{StatusCode: status, Body: body}
	}
	var heartbeat wire.Heartbeat
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return nil, fmt.Errorf("decoding a heartbeat: %w", err)
	}
	return &heartbeat, heartbeat.Validate()
}
