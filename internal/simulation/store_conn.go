package simulation

import (
	"context"
	"time"

	"lynxledge/wire"
)

// StoreConn is one controller's client of the store, through the simulated network.
type StoreConn struct {
	Store   *Store
	Network *Network
	Member  string
	Timeout time.Duration
}

// List returns a page of the keys with a prefix, in order: up to limit of those that follow the key
// after.
func (c *StoreConn) List(ctx context.Context, prefix, after string, limit int) (*wire.RangeResponse, error) {
	return send(ctx, c.Network, c.Member, StoreHost, c.Timeout, func() (*wire.RangeResponse, error) { return c.Store.list(c.Member, prefix, after, limit) })
}

// Commit executes a transaction if all its preconditions hold, and returns its revision. See
// SetDelayedCommits for those that are executed late.
func (c *StoreConn) Commit(ctx context.Context, txn *wire.Txn) (uint64, error) {
	type result struct {
		revision uint64
		delayed  bool
	}
	c.Store.recordSent(txn)
	r, err := send(ctx, c.Network, c.Member, StoreHost, c.Timeout, func() (result, error) {
		if delay, delayed := c.Store.commitDelay(); delayed {
			go func() {
				time.Sleep(delay)
				_, _ = c.Store.commit(c.Member, txn)
			}()
			return result{delayed: true}, nil
		}
		revision, err := c.Store.handleCommit(c.Member, txn)
		return result{revision: revision}, err
	})
	if r.delayed {
		return 0, ErrNoResponse
	}
	return r.revision, err
}

// Watch returns the changes after a revision to keys with a prefix. If there are none yet, it waits
// for one, up to hold.
func (c *StoreConn) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.WatchResponse, error) {
	return send(ctx, c.Network, c.Member, StoreHost, c.Timeout+hold, func() (*wire.WatchResponse, error) {
		return c.Store.watch(ctx, c.Member, prefix, after, hold)
	})
}

// GrantLease grants a lease and returns its ID.
func (c *StoreConn) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	return send(ctx, c.Network, c.Member, StoreHost, c.Timeout, func() (uint64, error) { return c.Store.grant(c.Member, ttl) })
}

// RenewLease renews a lease for its full TTL.
func (c *StoreConn) RenewLease(ctx context.Context, id uint64) error {
	_, err := send(ctx, c.Network, c.Member, StoreHost, c.Timeout, func() (struct{}, error) { return struct{}{}, c.Store.renew(c.Member, id) })
	return err
}
