package simulation

import (
	"context"
	"sync"
	"time"

	"lynxledge/wire"
)

// WorkerOptions are a worker's settings and its connections to the rest of the simulation.
type WorkerOptions struct {
	HeartbeatInterval, LeaseDuration time.Duration
	Members                          []string
	Network                          *Network
	PostHeartbeat                    func(member string) HeartbeatPoster // nil while the controller is down
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
	member           int // index of the member that gets the next heartbeat
	preemptionNotice *wire.Seconds
	resumed          chan struct{} // closed when the paused machine resumes; nil: it runs
}

// NewWorker starts the agent of an instance; its first heartbeat goes to the member of an index.
func NewWorker(ctx context.Context, instance wire.Instance, options WorkerOptions, member int) *Worker {
	w := &Worker{instance: instance, options: options, incarnation: 1, leaseRenewedAt: time.Now(), changed: make(chan struct{}, 1), member: member}
	w.ctx, w.cancel = context.WithCancel(ctx)
	go w.sendHeartbeats()
	go w.watchLease()
	return w
}

// checkLease begins a new incarnation if the lease has expired; the caller holds the lock.
func (w *Worker) checkLease() {
	if time.Since(w.leaseRenewedAt) > w.options.LeaseDuration {
		w.dropTasks()
		w.incarnation++
		w.leaseRenewedAt = time.Now()
	}
}

// notifyChange has the next heartbeat sent soon.
func (w *Worker) notifyChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// watchLease begins a new incarnation whenever the lease expires.
func (w *Worker) watchLease() {
	for sleep(w.ctx, w.options.HeartbeatInterval/6) {
		w.waitUntilResumed()
		w.mu.Lock()
		w.checkLease()
		w.mu.Unlock()
	}
}
