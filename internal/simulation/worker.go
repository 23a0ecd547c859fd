package simulation

import (
	"context"
	"sync"
	"time"

	"lynxledge/wire"
)

// WorkerOptions configures a Worker.
type WorkerOptions struct {
	HeartbeatInterval, LeaseDuration time.Duration
	Members                          []string
	Network                          *Network
	PostHeartbeat                    func(member string) HeartbeatPoster // returns nil while the controller is down
	Checker                          *InvariantChecker
	ImageFetchTime                   time.Duration
}

// Worker simulates a machine and the agent that runs tasks on it.
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
	changed          chan struct{} // signals a change to report in the next heartbeat
	memberIndex      int           // of the member that gets the next heartbeat
	preemptionNotice *wire.Seconds
	resumed          chan struct{} // closed when the paused machine resumes; nil unless paused
	faulty           bool          // every task fails
}

// NewWorker returns a running Worker of an instance, which stops when ctx ends. Its first heartbeat
// goes to the member with an index in options.Members.
func NewWorker(ctx context.Context, instance wire.Instance, options WorkerOptions, memberIndex int) *Worker {
	w := &Worker{instance: instance, options: options, incarnation: 1, leaseRenewedAt: time.Now(), changed: make(chan struct{}, 1), memberIndex: memberIndex}
	w.ctx, w.cancel = context.WithCancel(ctx)
	go w.sendHeartbeats()
	go w.watchLease()
	return w
}

// checkLease drops all tasks and begins a new incarnation if the lease has expired; the caller
// holds the lock.
func (w *Worker) checkLease() {
	if time.Since(w.leaseRenewedAt) > w.options.LeaseDuration {
		w.dropTasks()
		w.incarnation++
		w.leaseRenewedAt = time.Now()
	}
}

// notifyChange makes the worker send its next heartbeat early.
func (w *Worker) notifyChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// watchLease checks the lease until the machine stops.
func (w *Worker) watchLease() {
	for sleep(w.ctx, w.options.HeartbeatInterval/6) {
		w.waitUntilResumed()
		w.mu.Lock()
		w.checkLease()
		w.mu.Unlock()
	}
}
