package simulation

import (
	"context"
	"slices"

	"lynxledge/wire"
)

type task struct {
	wire.TaskStatus
	started bool
	stop    context.CancelFunc
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
