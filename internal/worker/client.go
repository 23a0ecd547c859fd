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

// Client sends commands straight to workers.
type Client struct {
	httpClient *http.Client
	timeout    time.Duration
	inFlight   chan struct{}
}

// New makes a client whose requests give up after timeout. A command that was
// given up may still be executed later. It keeps so many idle sockets, and has no
// more than busy requests under way, each of which may take one more.
func New(timeout time.Duration, idle, busy int) *Client {
	return &Client{httpClient: httpjson.Client(timeout/2, 1, max(1, idle)), timeout: timeout, inFlight: make(chan struct{}, max(1, busy))}
}

// SendCommands sends commands. The worker's report comes back whether or not it
// executed them.
func (c *Client) SendCommands(ctx context.Context, addr string, cmd wire.CommandBatch) (*wire.Heartbeat, error) {
	return c.exchange(ctx, http.MethodPost, "http://"+addr+"/do", cmd)
}

// Inspect reads a worker's report.
func (c *Client) Inspect(ctx context.Context, addr string) (*wire.Heartbeat, error) {
	return c.exchange(ctx, http.MethodGet, "http://"+addr+"/inspect", nil)
}

func (c *Client) exchange(ctx context.Context, method, url string, in any) (*wire.Heartbeat, error) {
	select {
	case c.inFlight <- struct{}{}:
		defer func() { <-c.inFlight }()
	case <-time.After(c.timeout):
		return nil, errors.New("too many commands under way")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	status, b, err := httpjson.Call(ctx, c.httpClient, c.timeout, method, url, in)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, fmt.Errorf("status %d", status)
	}
	var r wire.Heartbeat
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, err
	}
	return &r, r.Validate()
}
