package simulation

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"lynxledge/wire"
)

// HeartbeatPoster hands a report to a controller; ok is false unless it answered 200.
type HeartbeatPoster func(ctx context.Context, rep *wire.Heartbeat) (reply wire.HeartbeatResponse, reportTo string, ok bool)

// WorkerOptions are a worker's times and ways.
type WorkerOptions struct {
	HeartbeatInterval, LeaseDuration time.Duration
	Members                          []string
	Network                          *Network
	PostHeartbeat                    func(node string) HeartbeatPoster // nil while the node is down
	Checker                          *InvariantChecker
	ImageFetchTime                   time.Duration
}

type task struct {
	wire.TaskStatus
	started bool
	stop    context.CancelFunc
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

// Kill stops the machine with everything on it.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
	w.dropTasks()
}

// NotifyPreemption tells the worker that the cloud will take it.
func (w *Worker) NotifyPreemption(notice wire.Seconds) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.preemptionNotice = &notice
	w.notifyChange()
}

// Pause makes the machine stand still for a while. What reaches it meanwhile is
// taken when it goes on, and only then it looks at its lease.
func (w *Worker) Pause(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resumed != nil {
		return
	}
	ch := make(chan struct{})
	w.resumed = ch
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.resumed = nil
		w.checkLease()
		close(ch)
	})
}

// waitUntilResumed waits until the machine goes on.
func (w *Worker) waitUntilResumed() {
	w.mu.Lock()
	ch := w.resumed
	w.mu.Unlock()
	if ch != nil {
		select {
		case <-ch:
		case <-w.ctx.Done():
		}
	}
}

// checkLease ends the session if its lease has; the caller holds the lock.
func (w *Worker) checkLease() {
	if time.Since(w.leaseRenewedAt) > w.options.LeaseDuration {
		w.dropTasks()
		w.incarnation++
		w.leaseRenewedAt = time.Now()
	}
}

// FastRestart restarts the machine within no time: nothing on it survives.
func (w *Worker) FastRestart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropTasks()
	w.incarnation++
	w.fencingToken, w.leaseRenewedAt = 0, time.Now()
	w.notifyChange()
}

func (w *Worker) dropTasks() {
	for _, t := range w.tasks {
		w.stopTask(t)
	}
	w.tasks = nil
}

func (w *Worker) stopTask(t *task) {
	t.stop()
	if t.started {
		t.started = false
		w.options.Checker.TaskEnded(w.instance.ID, t.Task)
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

func (w *Worker) heartbeat() *wire.Heartbeat {
	w.sequence++
	heartbeat := &wire.Heartbeat{
		Machine: w.instance.ID, Address: w.instance.Address, MachineType: w.instance.MachineType, Zone: w.instance.Zone, Spot: w.instance.Spot,
		Incarnation: w.incarnation, Sequence: w.sequence, FencingToken: w.fencingToken, PreemptionNotice: w.preemptionNotice,
	}
	for _, t := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.TaskStatus)
	}
	return heartbeat
}

type heartbeatResult struct {
	reply      wire.HeartbeatResponse
	redirectTo string
	ok         bool
}

func (w *Worker) sendHeartbeats() {
	for {
		w.waitUntilResumed()
		w.mu.Lock()
		heartbeat := w.heartbeat()
		member := w.options.Members[w.member]
		w.mu.Unlock()
		sent := time.Now()
		result, err := send(w.ctx, w.options.Network, string(w.instance.ID), member, 4*time.Second, func() (heartbeatResult, error) {
			post := w.options.PostHeartbeat(member)
			if post == nil {
				return heartbeatResult{}, errNoAnswer
			}
			reply, to, ok := post(w.ctx, heartbeat)
			return heartbeatResult{reply, to, ok}, nil
		})
		wait := w.options.HeartbeatInterval
		w.waitUntilResumed()
		w.mu.Lock()
		switch {
		case err == nil && result.ok:
			if result.reply.FencingToken >= w.fencingToken && heartbeat.Incarnation == w.incarnation && time.Since(sent) < 4*time.Second {
				w.fencingToken = result.reply.FencingToken
				w.leaseRenewedAt = sent
				w.execute(result.reply.Commands)
			}
		case err == nil && slices.Contains(w.options.Members, result.redirectTo) && result.redirectTo != member:
			w.member = slices.Index(w.options.Members, result.redirectTo)
			wait = w.options.HeartbeatInterval / 6
		default:
			w.member = (w.member + 1) % len(w.options.Members)
			wait = time.Second
		}
		w.mu.Unlock()
		if !sleep(w.ctx, w.options.HeartbeatInterval/6) {
			return
		}
		select {
		case <-w.changed:
		case <-time.After(wait):
		case <-w.ctx.Done():
			return
		}
	}
}

func (w *Worker) find(task wire.TaskID) *task {
	for _, t := range w.tasks {
		if t.Task == task {
			return t
		}
	}
	return nil
}

// execute carries out commands; the caller holds the lock.
func (w *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		t := w.find(command.Task)
		switch command.Op {
		case wire.OpLaunch:
			if t == nil {
				w.launch(command)
			}
		case wire.OpStop:
			if t != nil && t.Attempt == command.Attempt && t.State != wire.TaskExited {
				w.exit(t, wire.ReasonStopped)
			}
		case wire.OpAcknowledge:
			if t != nil && t.Attempt == command.Attempt && t.State == wire.TaskExited {
				w.tasks = slices.DeleteFunc(w.tasks, func(x *task) bool { return x == t })
				w.notifyChange()
			}
		}
	}
}

func (w *Worker) launch(command wire.Command) {
	t := &task{TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskFetchingImage}}
	ctx, stop := context.WithCancel(w.ctx)
	t.stop = stop
	w.tasks = append(w.tasks, t)
	w.notifyChange()
	run, forever, err := w.options.Checker.RunTime(command.Task)
	if err != nil {
		w.exit(t, wire.ReasonUnknown)
		return
	}
	go func() {
		defer stop()
		if !sleep(ctx, w.options.ImageFetchTime) {
			return
		}
		w.waitUntilResumed()
		w.mu.Lock()
		if ctx.Err() == nil {
			t.State, t.started = wire.TaskRunning, true
			w.options.Checker.TaskStarted(w.instance, t.Task)
			w.notifyChange()
		}
		w.mu.Unlock()
		if forever || !sleep(ctx, run) {
			return
		}
		w.waitUntilResumed()
		w.mu.Lock()
		defer w.mu.Unlock()
		if ctx.Err() == nil {
			w.options.Checker.TaskCompleted(t.Task)
			w.exit(t, wire.ReasonCompleted)
		}
	}()
}

func (w *Worker) exit(t *task, reason wire.ExitReason) {
	w.stopTask(t)
	t.State, t.ExitReason = wire.TaskExited, reason
	w.notifyChange()
}

// WorkerConn is one controller's way to the workers.
type WorkerConn struct {
	Cloud   *Cloud
	Network *Network
	Member  string
	Timeout time.Duration
}

// SendCommands sends commands straight to a worker; they may be executed late or twice.
func (c *WorkerConn) SendCommands(ctx context.Context, addr string, batch wire.CommandBatch) (*wire.Heartbeat, error) {
	return c.call(ctx, addr, func(w *Worker) {
		if batch.FencingToken >= w.fencingToken && batch.Incarnation == w.incarnation {
			w.fencingToken = batch.FencingToken
			w.execute(batch.Commands)
		}
	})
}

// Inspect reads a worker's report.
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
			return nil, errNoAnswer
		}
		f(w)
		return w.heartbeat(), nil
	})
}
