package simulation

import (
	"context"
	"time"

	"lynxledge/wire"
)

// StoreConn is one controller's connection to the state service.
type StoreConn struct {
	Store   *Store
	Network *Network
	Member  string
	Timeout time.Duration
}

// List and the other methods are what the controllers use.
func (c *StoreConn) List(ctx context.Context, prefix, after string, limit int) (*wire.RangeResponse, error) {
	return send(ctx, c.Network, c.Member, StoreHost, c.Timeout, func() (*wire.RangeResponse, error) { return c.Store.list(c.Member, prefix, after, limit) })
}

// Commit applies a transaction, perhaps late or unanswered.
func (c *StoreConn) Commit(ctx context.Context, txn *wire.Txn) (uint64, error) {
	type result struct {
		rev  uint64
		late bool
	}
	c.Store.noteSent(txn)
	r, err := send(ctx, c.Network, c.Member, StoreHost, c.Timeout, func() (result, error) {
		if d, late := c.Store.commitDelay(); late {
			go func() {
				time.Sleep(d)
				_, _ = c.Store.commit(c.Member, txn)
			}()
			return result{late: true}, nil
		}
		rev, err := c.Store.commit(c.Member, txn)
		return result{rev: rev}, err
	})
	if r.late {
		return 0, errNoAnswer
	}
	return r.rev, err
}

// Watch watches.
func (c *StoreConn) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.WatchResponse, error) {
	return send(ctx, c.Network, c.Member, StoreHost, c.Timeout+hold, func() (*wire.WatchResponse, error) {
		return c.Store.watch(ctx, c.Member, prefix, after, hold)
	})
}

// GrantLease makes a lease.
func (c *StoreConn) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	return send(ctx, c.Network, c.Member, StoreHost, c.Timeout, func() (uint64, error) { return c.Store.grant(c.Member, ttl) })
}

// RenewLease keeps a lease.
func (c *StoreConn) RenewLease(ctx context.Context, id uint64) error {
	_, err := send(ctx, c.Network, c.Member, StoreHost, c.Timeout, func() (struct{}, error) { return struct{}{}, c.Store.renew(c.Member, id) })
	return err
}
