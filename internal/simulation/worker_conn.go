package simulation

import (
	"context"
	"errors"
	"time"

	"lynxledge/wire"
)

// WorkerConn is one controller's client of the workers, through the simulated network.
type WorkerConn struct {
	Cloud   *Cloud
	Network *Network
	Member  string
	Timeout time.Duration
}

// SendCommands sends a batch of commands directly to a worker, rather than in a heartbeat response,
// and returns the worker's heartbeat. The commands may be executed late or twice.
func (c *WorkerConn) SendCommands(ctx context.Context, addr string, batch wire.CommandBatch) (*wire.Heartbeat, error) {
	return c.call(ctx, addr, func(w *Worker) {
		if batch.FencingToken >= w.fencingToken && batch.Incarnation == w.incarnation {
			w.fencingToken = batch.FencingToken
			w.execute(batch.Commands)
		}
	})
}

// Inspect requests a heartbeat from a worker.
func (c *WorkerConn) Inspect(ctx context.Context, addr string) (*wire.Heartbeat, error) {
	return c.call(ctx, addr, func(*Worker) {})
}

func (c *WorkerConn) call(ctx context.Context, addr string, f func(w *Worker)) (*wire.Heartbeat, error) {
	w := c.Cloud.worker(addr)
	if w == nil {
		return nil, errors.New("no such machine")
	}
	return send(ctx, c.Network, c.Member, string(w.instance.ID), c.Timeout, func() (*wire.Heartbeat, error) {
		w.waitUntilResumed()
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.ctx.Err() != nil {
			return nil, ErrNoResponse
		}
		f(w)
		return w.heartbeat(), nil
	})
}
