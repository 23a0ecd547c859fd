package kvstore

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

	"lynxledge/internal/httpjson"
	"lynxledge/wire"
)

// Errors that callers tell apart. ErrRefused: certainly not executed.
// Any other error of a change: it may have been executed, or may be yet.
var (
	ErrRejected          = errors.New("state service refused the request")
	ErrThrottled         = fmt.Errorf("%w: its rate is used up", ErrRejected)
	ErrNotFound          = errors.New("not found")
	ErrRevisionCompacted = errors.New("revision too old to follow")
	ErrLeaseNotFound     = errors.New("no such lease")
	ErrInvalidRequest    = errors.New("state service calls the request malformed")
)

// ConflictError says that guards failed.
type ConflictError struct {
	FailedKeys []string
	Revision   uint64
}

// Error names the keys whose preconditions failed.
func (c *ConflictError) Error() string { return fmt.Sprintf("guards failed: %v", c.FailedKeys) }

// Client talks to the state service.
type Client struct {
	baseURL        string
	httpClient     *http.Client
	requestLimiter *rate.Limiter
	writeLimiter   *rate.Limiter
	timeout        time.Duration
}

// New makes a client that never asks for more than the service's rates. That
// the controllers together keep to them is the callers' concern.
func New(addr string, rps, writeRPS float64, maxOps int, timeout time.Duration) *Client {
	return &Client{
		baseURL: "http://" + addr, httpClient: httpjson.Client(timeout, 8, 0), timeout: timeout,
		requestLimiter: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
		writeLimiter:   rate.NewLimiter(rate.Limit(writeRPS), max(maxOps, int(writeRPS))),
	}
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	if err := c.requestLimiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %v", ErrRejected, err)
	}
	status, b, err := httpjson.Call(ctx, c.httpClient, timeout, method, c.baseURL+path, in)
	if errors.Is(err, httpjson.ErrNotSent) {
		return fmt.Errorf("%w: %v", ErrInvalidRequest, err)
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
		return ErrRevisionCompacted
	case http.StatusConflict:
		var r wire.TxnResponse
		if err := json.Unmarshal(b, &r); err != nil {
			return err
		}
		return &ConflictError{FailedKeys: r.FailedKeys, Revision: r.Revision}
	case http.StatusTooManyRequests:
		return ErrThrottled
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %d", ErrRejected, status)
	case http.StatusBadRequest:
		if bytes.Contains(b, []byte("no such lease")) {
			return ErrLeaseNotFound
		}
		return fmt.Errorf("%w: %.200s", ErrInvalidRequest, b)
	default:
		return fmt.Errorf("status %d", status)
	}
}

// List reads a page of keys.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (*wire.RangeResponse, error) {
	q := url.Values{"prefix": {prefix}, "most": {strconv.Itoa(limit)}}
	if after != "" {
		q.Set("after", after)
	}
	var out wire.RangeResponse
	return &out, c.call(ctx, 2*c.timeout, http.MethodGet, "/kv?"+q.Encode(), nil, &out)
}

// Commit applies a transaction.
func (c *Client) Commit(ctx context.Context, txn *wire.Txn) (uint64, error) {
	if n := len(txn.Writes); n > 0 {
		if err := c.writeLimiter.WaitN(ctx, min(n, c.writeLimiter.Burst())); err != nil {
			return 0, fmt.Errorf("%w: %v", ErrRejected, err)
		}
	}
	if txn.Preconditions == nil {
		txn.Preconditions = []wire.Precondition{}
	}
	var out wire.TxnResponse
	err := c.call(ctx, c.timeout, http.MethodPost, "/commit", txn, &out)
	return out.Revision, err
}

// Watch waits up to hold for changes after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.WatchResponse, error) {
	p := fmt.Sprintf("/follow?prefix=%s&after=%d&holdMs=%d", url.QueryEscape(prefix), after, hold.Milliseconds())
	var out wire.WatchResponse
	return &out, c.call(ctx, hold+c.timeout, http.MethodGet, p, nil, &out)
}

// GrantLease makes a lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var out wire.LeaseGrantResponse
	err := c.call(ctx, c.timeout, http.MethodPost, "/leases", wire.LeaseGrantRequest{TTLMillis: ttl.Milliseconds()}, &out)
	return out.LeaseID, err
}

// RenewLease keeps a lease alive; ErrNotFound means that it has ended.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	return c.call(ctx, c.timeout, http.MethodPost, fmt.Sprintf("/leases/%d/touch", lease), nil, nil)
}
