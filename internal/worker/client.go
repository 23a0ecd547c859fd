// Package worker is the client of the agents on the machines.
package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lynxledge/internal/rpc"
	"lynxledge/wire"
)

// Client sends commands straight to workers.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// New makes a client whose requests give up after timeout. A command that was
// given up may still be executed later.
func New(timeout time.Duration) *Client {
	return &Client{http: rpc.Client(timeout/2, 1), timeout: timeout}
}

// Do sends commands. The worker's report comes back whether or not it
// executed them.
func (c *Client) Do(ctx context.Context, addr string, cmd wire.Commands) (*wire.Report, error) {
	return c.report(ctx, http.MethodPost, "http://"+addr+"/do", cmd)
}

// Inspect reads a worker's report.
func (c *Client) Inspect(ctx context.Context, addr string) (*wire.Report, error) {
	return c.report(ctx, http.MethodGet, "http://"+addr+"/inspect", nil)
}

func (c *Client) report(ctx context.Context, method, url string, in any) (*wire.Report, error) {
	status, b, err := rpc.Call(ctx, c.http, c.timeout, method, url, in)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, fmt.Errorf("status %d", status)
	}
	var r wire.Report
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, err
	}
	return &r, r.Check()
}
