// Package worker provides a client of the workers, which are the agents on the machines.
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

// ErrInFlightLimit means that a request was not sent because the limit of requests in flight left
// no slot for it within the timeout. A retry may succeed.
var ErrInFlightLimit = errors.New("too many requests to workers in flight")

// Client is a client of the workers.
type Client struct {
	httpClient *http.Client
	timeout    time.Duration
	inFlight   chan struct{} // semaphore with an element for each request in flight
}

// New returns a client whose requests time out after timeout. Commands whose request timed out may
// still be executed. The client keeps up to maxIdle idle connections and sends up to maxInFlight
// requests at a time, each of which may use one more connection.
func New(timeout time.Duration, maxIdle, maxInFlight int) *Client {
	return &Client{
		httpClient: httpjson.NewHTTPClient(timeout/2, 1, max(1, maxIdle)), timeout: timeout,
		inFlight: make(chan struct{}, max(1, maxInFlight)),
	}
}

// SendCommands sends a batch of commands and returns the worker's heartbeat, which the worker sends
// whether or not it executed them.
func (c *Client) SendCommands(ctx context.Context, addr string, batch wire.CommandBatch) (*wire.Heartbeat, error) {
	return c.exchange(ctx, http.MethodPost, "http://"+addr+"/do", batch)
}

// Inspect requests a heartbeat from a worker.
func (c *Client) Inspect(ctx context.Context, addr string) (*wire.Heartbeat, error) {
	return c.exchange(ctx, http.MethodGet, "http://"+addr+"/inspect", nil)
}

func (c *Client) exchange(ctx context.Context, method, url string, in any) (*wire.Heartbeat, error) {
	select {
	case c.inFlight <- struct{}{}:
		defer func() { <-c.inFlight }()
	case <-time.After(c.timeout):
		return nil, ErrInFlightLimit
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
