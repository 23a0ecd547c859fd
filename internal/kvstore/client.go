package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/httpjson"
	"lynxledge/wire"
)

// idleConns is the number of idle connections to the store that are kept open.
const idleConns = 8

// Client is a client of the key-value store.
type Client struct {
	client       *httpjson.Client
	writeLimiter *rate.Limiter
	timeout      time.Duration
}

// New returns a client of the store at addr that never exceeds the given request rate and write
// rate, per second. Callers must choose them so that all controllers together stay within the
// store's rates.
func New(addr string, requestRate, writeRate float64, maxTxnOps int, timeout time.Duration) *Client {
	return &Client{
		client:       httpjson.NewClient(addr, requestRate, timeout, idleConns),
		writeLimiter: rate.NewLimiter(rate.Limit(writeRate), max(maxTxnOps, int(writeRate))),
		timeout:      timeout,
	}
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	return translateError(c.client.Call(ctx, timeout, method, path, in, out))
}

// List returns a page of the keys with a prefix, in order: up to limit of those that follow the
// key after.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (*wire.RangeResponse, error) {
	query := url.Values{"prefix": {prefix}, "most": {strconv.Itoa(limit)}}
	if after != "" {
		query.Set("after", after)
	}
	var out wire.RangeResponse
	return &out, c.call(ctx, 2*c.timeout, http.MethodGet, "/kv?"+query.Encode(), nil, &out)
}

// Commit executes a transaction if all its preconditions hold, and returns its revision. If one
// does not hold, it fails with a [ConflictError].
func (c *Client) Commit(ctx context.Context, txn *wire.Txn) (uint64, error) {
	if n := len(txn.Writes); n > 0 {
		if err := httpjson.Wait(ctx, c.writeLimiter, min(n, c.writeLimiter.Burst())); err != nil {
			return 0, translateError(err)
		}
	}
	if txn.Preconditions == nil {
		txn.Preconditions = []wire.Precondition{}
	}
	var out wire.TxnResponse
	err := c.call(ctx, c.timeout, http.MethodPost, "/commit", txn, &out)
	return out.Revision, err
}

// Watch returns the changes after a revision to keys with a prefix. If there are none yet, it
// waits for one, up to hold.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.WatchResponse, error) {
	path := fmt.Sprintf("/follow?prefix=%s&after=%d&holdMs=%d", url.QueryEscape(prefix), after, hold.Milliseconds())
	var out wire.WatchResponse
	return &out, c.call(ctx, hold+c.timeout, http.MethodGet, path, nil, &out)
}

// GrantLease grants a lease and returns its ID.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var out wire.LeaseGrantResponse
	err := c.call(ctx, c.timeout, http.MethodPost, "/leases", wire.LeaseGrantRequest{TTLMillis: ttl.Milliseconds()}, &out)
	return out.LeaseID, err
}

// RenewLease renews a lease. It fails with ErrNotFound if the lease has expired.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	return c.call(ctx, c.timeout, http.MethodPost, fmt.Sprintf("/leases/%d/touch", lease), nil, nil)
}
