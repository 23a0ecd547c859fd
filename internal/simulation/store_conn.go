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

// List returns up to limit keys with a prefix, in order, from the first one later than after.
func (c *StoreConn) List(ctx context.Context, prefix, after string, limit int) (*wire.RangeResponse, error) {
	return send(ctx, c.Network, c.Member, StoreHost, c.Timeout, func() (*wire.RangeResponse, error) { return c.Store.list(c.Member, prefix, after, limit) })
}

// Commit commits a transaction. See SetDelayedCommits for those that are committed late.
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
		revision, err := c.Store.commit(c.Member, txn)
		return result{revision: revision}, err
	})
	if r.delayed {
		return 0, errNoResponse
	}
	return r.revision, err
}

// Watch returns the changes after a revision; while there are none, it waits for up to hold.
func (c *StoreConn) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.WatchResponse, error) {
	return send(ctx, c.Network, c.Member, StoreHost, c.Timeout+hold, func() (*wire.WatchResponse, error) {
		return c.Store.watch(ctx, c.Member, prefix, after, hold)
	})
}

// GrantLease creates a lease and returns its ID.
func (c *StoreConn) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	return send(ctx, c.Network, c.Member, StoreHost, c.Timeout, func() (uint64, error) { return c.Store.grant(c.Member, ttl) })
}

// RenewLease extends a lease by its full TTL.
func (c *StoreConn) RenewLease(ctx context.Context, id uint64) error {
	_, err := send(ctx, c.Network, c.Member, StoreHost, c.Timeout, func() (struct{}, error) { return struct{}{}, c.Store.renew(c.Member, id) })
	return err
}
