// Package state is the client of the state service. It keeps to this
// controller's part of the service's rates, and says of every failure whether
// the request may have been executed.
package state

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/rpc"
	"lynxledge/wire"
)

// Errors that callers tell apart. ErrRefused: certainly not executed.
// Any other error of a change: it may have been executed, or may be yet.
var (
	ErrRefused  = errors.New("state service refused the request")
	ErrBusy     = fmt.Errorf("%w: its rate is used up", ErrRefused)
	ErrNotFound = errors.New("not found")
	ErrTooOld   = errors.New("revision too old to follow")
	ErrNoLease  = errors.New("no such lease")
	ErrInvalid  = errors.New("state service calls the request malformed")
)

// Conflict says that guards failed.
type Conflict struct {
	Failed   []string
	Revision uint64
}

func (c *Conflict) Error() string { return fmt.Sprintf("guards failed: %v", c.Failed) }

// Client talks to the state service.
type Client struct {
	base    string
	http    *http.Client
	reads   *rate.Limiter
	writes  *rate.Limiter
	timeout time.Duration
}

// New makes a client that never asks for more than the service's rates. That
// the controllers together keep to them is the callers' concern.
func New(addr string, rps, writeRPS float64, maxOps int, timeout time.Duration) *Client {
	return &Client{
		base: "http://" + addr, http: rpc.Client(timeout, 8, 0), timeout: timeout,
		reads:  rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
		writes: rate.NewLimiter(rate.Limit(writeRPS), max(maxOps, int(writeRPS))),
	}
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	if err := c.reads.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %v", ErrRefused, err)
	}
	status, b, err := rpc.Call(ctx, c.http, timeout, method, c.base+path, in)
	if errors.Is(err, rpc.ErrNotSent) {
		return fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	if err != nil {
		return err
	}
	switch status {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		return json.Unmarshal(b, out)
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusGone:
		return ErrTooOld
	case http.StatusConflict:
		var r wire.TxnReply
		if err := json.Unmarshal(b, &r); err != nil {
			return err
		}
		return &Conflict{Failed: r.Failed, Revision: r.Revision}
	case http.StatusTooManyRequests:
		return ErrBusy
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %d", ErrRefused, status)
	case http.StatusBadRequest:
		if bytes.Contains(b, []byte("no such lease")) {
			return ErrNoLease
		}
		return fmt.Errorf("%w: %.200s", ErrInvalid, b)
	default:
		return fmt.Errorf("status %d", status)
	}
}

// List reads a page of keys.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (*wire.Items, error) {
	q := url.Values{"prefix": {prefix}, "most": {strconv.Itoa(limit)}}
	if after != "" {
		q.Set("after", after)
	}
	var out wire.Items
	return &out, c.call(ctx, 2*c.timeout, http.MethodGet, "/kv?"+q.Encode(), nil, &out)
}

// Commit applies a transaction.
func (c *Client) Commit(ctx context.Context, txn *wire.Txn) (uint64, error) {
	if n := len(txn.Writes); n > 0 {
		if err := c.writes.WaitN(ctx, min(n, c.writes.Burst())); err != nil {
			return 0, fmt.Errorf("%w: %v", ErrRefused, err)
		}
	}
	if txn.Guards == nil {
		txn.Guards = []wire.Guard{}
	}
	var out wire.TxnReply
	err := c.call(ctx, c.timeout, http.MethodPost, "/commit", txn, &out)
	return out.Revision, err
}

// Follow waits up to hold for changes after a revision.
func (c *Client) Follow(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.Events, error) {
	p := fmt.Sprintf("/follow?prefix=%s&after=%d&holdMs=%d", url.QueryEscape(prefix), after, hold.Milliseconds())
	var out wire.Events
	return &out, c.call(ctx, hold+c.timeout, http.MethodGet, p, nil, &out)
}

// Grant makes a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var out wire.LeaseReply
	err := c.call(ctx, c.timeout, http.MethodPost, "/leases", wire.LeaseRequest{TTLms: ttl.Milliseconds()}, &out)
	return out.Lease, err
}

// Renew keeps a lease alive; ErrNotFound means that it has ended.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	return c.call(ctx, c.timeout, http.MethodPost, fmt.Sprintf("/leases/%d/touch", lease), nil, nil)
}
