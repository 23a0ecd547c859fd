package simulation

import (
	"context"
	"sync"
	"time"

	"lynxledge/wire"
)

// WorkerOptions are a worker's times and ways.
type WorkerOptions struct {
	HeartbeatInterval, LeaseDuration time.Duration
	Members                          []string
	Network                          *Network
	PostHeartbeat                    func(node string) HeartbeatPoster // nil while the node is down
	Checker                          *InvariantChecker
	ImageFetchTime                   time.Duration
}

// Worker is the agent of one machine.
type Worker struct {
	mu               sync.Mutex
	ctx              context.Context
	cancel           context.CancelFunc
	instance         wire.Instance
	options          WorkerOptions
	incarnation      uint64
	sequence         uint64
	fencingToken     uint64
	tasks            []*task
	leaseRenewedAt   time.Time
	changed          chan struct{}
	member           int
	preemptionNotice *wire.Seconds
	resumed          chan struct{} // closed when the machine goes on; nil while it does
}

// NewWorker boots a worker.
func NewWorker(ctx context.Context, instance wire.Instance, options WorkerOptions, member int) *Worker {
	w := &Worker{instance: instance, options: options, incarnation: 1, leaseRenewedAt: time.Now(), changed: make(chan struct{}, 1), member: member}
	w.ctx, w.cancel = context.WithCancel(ctx)
	go w.sendHeartbeats()
	go w.watchLease()
	return w
}

// checkLease ends the session if its lease has; the caller holds the lock.
func (w *Worker) checkLease() {
	if time.Since(w.leaseRenewedAt) > w.options.LeaseDuration {
		w.dropTasks()
		w.incarnation++
		w.leaseRenewedAt = time.Now()
	}
}

func (w *Worker) notifyChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// watchLease ends the session when its lease has.
func (w *Worker) watchLease() {
	for sleep(w.ctx, w.options.HeartbeatInterval/6) {
		w.waitUntilResumed()
		w.mu.Lock()
		w.checkLease()
		w.mu.Unlock()
	}
}
