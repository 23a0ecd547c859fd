package simulation

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"lynxledge/wire"
)

// Post hands a report to a controller; ok is false unless it answered 200.
type Post func(ctx context.Context, rep *wire.Heartbeat) (reply wire.HeartbeatResponse, reportTo string, ok bool)

// WorkerOptions are a worker's times and ways.
type WorkerOptions struct {
	HeartbeatInterval, LeaseDuration time.Duration
	Nodes                            []string
	Net                              *Network
	Post                             func(node string) Post // nil while the node is down
	Checker                          *InvariantChecker
	Fetch                            time.Duration
}

type held struct {
	wire.TaskStatus
	started bool
	stop    context.CancelFunc
}

// Worker is the agent of one machine.
type Worker struct {
	mu      sync.Mutex
	ctx     context.Context
	cancel  context.CancelFunc
	host    wire.Instance
	opt     WorkerOptions
	session uint64
	seq     uint64
	token   uint64
	tasks   []*held
	renewed time.Time
	changed chan struct{}
	node    int
	notice  *wire.Seconds
	hung    chan struct{} // closed when the machine goes on; nil while it does
}

// NewWorker boots a worker.
func NewWorker(ctx context.Context, h wire.Instance, opt WorkerOptions, node int) *Worker {
	w := &Worker{host: h, opt: opt, session: 1, renewed: time.Now(), changed: make(chan struct{}, 1), node: node}
	w.ctx, w.cancel = context.WithCancel(ctx)
	go w.reports()
	go w.expire()
	return w
}

// Kill stops the machine with everything on it.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
	w.forgetAll()
}

// NotifyPreemption tells the worker that the cloud will take it.
func (w *Worker) NotifyPreemption(notice wire.Seconds) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notice = &notice
	w.change()
}

// Hang makes the machine stand still for a while. What reaches it meanwhile is
// taken when it goes on, and only then it looks at its lease.
func (w *Worker) Hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hung != nil {
		return
	}
	ch := make(chan struct{})
	w.hung = ch
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.hung = nil
		w.lapse()
		close(ch)
	})
}

// awake waits until the machine goes on.
func (w *Worker) awake() {
	w.mu.Lock()
	ch := w.hung
	w.mu.Unlock()
	if ch != nil {
		select {
		case <-ch:
		case <-w.ctx.Done():
		}
	}
}

// lapse ends the session if its lease has; the caller holds the lock.
func (w *Worker) lapse() {
	if time.Since(w.renewed) > w.opt.LeaseDuration {
		w.forgetAll()
		w.session++
		w.renewed = time.Now()
	}
}

// FastRestart restarts the machine within no time: nothing on it survives.
func (w *Worker) FastRestart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forgetAll()
	w.session++
	w.token, w.renewed = 0, time.Now()
	w.change()
}

func (w *Worker) forgetAll() {
	for _, t := range w.tasks {
		w.leave(t)
	}
	w.tasks = nil
}

func (w *Worker) leave(t *held) {
	t.stop()
	if t.started {
		t.started = false
		w.opt.Checker.Ended(w.host.ID, t.Task)
	}
}

func (w *Worker) change() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// expire ends the session when its lease has.
func (w *Worker) expire() {
	for sleep(w.ctx, w.opt.HeartbeatInterval/6) {
		w.awake()
		w.mu.Lock()
		w.lapse()
		w.mu.Unlock()
	}
}

func (w *Worker) report() *wire.Heartbeat {
	w.seq++
	r := &wire.Heartbeat{
		Machine: w.host.ID, Address: w.host.Address, MachineType: w.host.MachineType, Zone: w.host.Zone, Spot: w.host.Spot,
		Incarnation: w.session, Sequence: w.seq, FencingToken: w.token, PreemptionNotice: w.notice,
	}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	return r
}

type verdict struct {
	reply wire.HeartbeatResponse
	to    string
	ok    bool
}

func (w *Worker) reports() {
	for {
		w.awake()
		w.mu.Lock()
		rep := w.report()
		node := w.opt.Nodes[w.node]
		w.mu.Unlock()
		sent := time.Now()
		v, err := send(w.ctx, w.opt.Net, string(w.host.ID), node, 4*time.Second, func() (verdict, error) {
			post := w.opt.Post(node)
			if post == nil {
				return verdict{}, errNoAnswer
			}
			reply, to, ok := post(w.ctx, rep)
			return verdict{reply, to, ok}, nil
		})
		wait := w.opt.HeartbeatInterval
		w.awake()
		w.mu.Lock()
		switch {
		case err == nil && v.ok:
			if v.reply.FencingToken >= w.token && rep.Incarnation == w.session && time.Since(sent) < 4*time.Second {
				w.token = v.reply.FencingToken
				w.renewed = sent
				w.orders(v.reply.Commands)
			}
		case err == nil && slices.Contains(w.opt.Nodes, v.to) && v.to != node:
			w.node = slices.Index(w.opt.Nodes, v.to)
			wait = w.opt.HeartbeatInterval / 6
		default:
			w.node = (w.node + 1) % len(w.opt.Nodes)
			wait = time.Second
		}
		w.mu.Unlock()
		if !sleep(w.ctx, w.opt.HeartbeatInterval/6) {
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

func (w *Worker) find(task wire.TaskID) *held {
	for _, t := range w.tasks {
		if t.Task == task {
			return t
		}
	}
	return nil
}

// orders carries out commands; the caller holds the lock.
func (w *Worker) orders(orders []wire.Command) {
	for _, o := range orders {
		t := w.find(o.Task)
		switch o.Op {
		case wire.OpLaunch:
			if t == nil {
				w.launch(o)
			}
		case wire.OpStop:
			if t != nil && t.Attempt == o.Attempt && t.State != wire.TaskExited {
				w.exit(t, wire.ReasonStopped)
			}
		case wire.OpAcknowledge:
			if t != nil && t.Attempt == o.Attempt && t.State == wire.TaskExited {
				w.tasks = slices.DeleteFunc(w.tasks, func(x *held) bool { return x == t })
				w.change()
			}
		}
	}
}

func (w *Worker) launch(o wire.Command) {
	t := &held{TaskStatus: wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: wire.TaskFetchingImage}}
	ctx, stop := context.WithCancel(w.ctx)
	t.stop = stop
	w.tasks = append(w.tasks, t)
	w.change()
	run, forever, err := w.opt.Checker.RunTime(o.Task)
	if err != nil {
		w.exit(t, wire.ReasonUnknown)
		return
	}
	go func() {
		defer stop()
		if !sleep(ctx, w.opt.Fetch) {
			return
		}
		w.awake()
		w.mu.Lock()
		if ctx.Err() == nil {
			t.State, t.started = wire.TaskRunning, true
			w.opt.Checker.Started(w.host, t.Task)
			w.change()
		}
		w.mu.Unlock()
		if forever || !sleep(ctx, run) {
			return
		}
		w.awake()
		w.mu.Lock()
		defer w.mu.Unlock()
		if ctx.Err() == nil {
			w.opt.Checker.Completed(t.Task)
			w.exit(t, wire.ReasonCompleted)
		}
	}()
}

func (w *Worker) exit(t *held, why wire.ExitReason) {
	w.leave(t)
	t.State, t.ExitReason = wire.TaskExited, why
	w.change()
}

// WorkerConn is one controller's way to the workers.
type WorkerConn struct {
	Cloud   *Cloud
	Net     *Network
	Node    string
	Timeout time.Duration
}

// SendCommands sends commands straight to a worker; they may be executed late or twice.
func (c *WorkerConn) SendCommands(ctx context.Context, addr string, cmd wire.CommandBatch) (*wire.Heartbeat, error) {
	return c.visit(ctx, addr, func(w *Worker) {
		if cmd.FencingToken >= w.token && cmd.Incarnation == w.session {
			w.token = cmd.FencingToken
			w.orders(cmd.Commands)
		}
	})
}

// Inspect reads a worker's report.
func (c *WorkerConn) Inspect(ctx context.Context, addr string) (*wire.Heartbeat, error) {
	return c.visit(ctx, addr, func(*Worker) {})
}

func (c *WorkerConn) visit(ctx context.Context, addr string, f func(w *Worker)) (*wire.Heartbeat, error) {
	w := c.Cloud.worker(addr)
	if w == nil {
		return nil, errors.New("no such machine")
	}
	return send(ctx, c.Net, c.Node, string(w.host.ID), c.Timeout, func() (*wire.Heartbeat, error) {
		w.awake()
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.ctx.Err() != nil {
			return nil, errNoAnswer
		}
		f(w)
		return w.report(), nil
	})
}
