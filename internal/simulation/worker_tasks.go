package simulation

import (
	"context"
	"slices"
	"time"

	"lynxledge/wire"
)

// task is a task on a worker.
type task struct {
	wire.TaskStatus
	started bool
	stop    context.CancelFunc
}

// dropTasks stops and forgets all tasks; the caller holds the lock.
func (w *Worker) dropTasks() {
	for _, t := range w.tasks {
		w.stopTask(t)
	}
	w.tasks = nil
}

// stopTask takes a task off the machine; the caller holds the lock.
func (w *Worker) stopTask(t *task) {
	t.stop()
	if t.started {
		t.started = false
		w.options.Checker.TaskEnded(w.instance.ID, t.Task)
	}
}

// find returns a task of the worker, nil if it has none of that id.
func (w *Worker) find(id wire.TaskID) *task {
	for _, t := range w.tasks {
		if t.Task == id {
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
				w.tasks = slices.DeleteFunc(w.tasks, func(other *task) bool { return other == t })
				w.notifyChange()
			}
		}
	}
}

// launch starts a task; the caller holds the lock.
func (w *Worker) launch(command wire.Command) {
	t := &task{TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskFetchingImage}}
	ctx, stop := context.WithCancel(w.ctx)
	t.stop = stop
	w.tasks = append(w.tasks, t)
	w.notifyChange()
	runTime, forever, err := w.options.Checker.RunTime(command.Task)
	if err != nil {
		w.exit(t, wire.ReasonUnknown)
		return
	}
	go func() {
		defer stop()
		w.run(ctx, t, runTime, forever)
	}()
}

// run fetches a task's image and lets the task run until it completes or its context ends.
func (w *Worker) run(ctx context.Context, t *task, runTime time.Duration, forever bool) {
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
	if forever || !sleep(ctx, runTime) {
		return
	}
	w.waitUntilResumed()
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() == nil {
		w.options.Checker.TaskCompleted(t.Task)
		w.exit(t, wire.ReasonCompleted)
	}
}

// exit ends a task for a reason, of which heartbeats tell until it is acknowledged; the caller
// holds the lock.
func (w *Worker) exit(t *task, reason wire.ExitReason) {
	w.stopTask(t)
	t.State, t.ExitReason = wire.TaskExited, reason
	w.notifyChange()
}
