package simulation

import (
	"context"
	"slices"

	"lynxledge/wire"
)

// task is a task on a worker, with the status that heartbeats report.
type task struct {
	wire.TaskStatus
	started bool               // TaskStarted was called for it, and TaskEnded not yet
	stop    context.CancelFunc // ends the run
}

// dropTasks stops all tasks and removes them, without reporting an exit; the caller holds the lock.
func (w *Worker) dropTasks() {
	for _, t := range w.tasks {
		w.stopTask(t)
	}
	w.tasks = nil
}

// stopTask ends the run of a task; the caller holds the lock.
func (w *Worker) stopTask(t *task) {
	t.stop()
	if t.started {
		t.started = false
		w.options.Checker.TaskEnded(w.instance.ID, t.Task)
	}
}

// find returns the worker's task with an ID, nil if it has none.
func (w *Worker) find(id wire.TaskID) *task {
	for _, t := range w.tasks {
		if t.Task == id {
			return t
		}
	}
	return nil
}

// execute executes commands; the caller holds the lock.
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

// launch adds a task and starts its run; the caller holds the lock.
func (w *Worker) launch(command wire.Command) {
	t := &task{TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskFetchingImage}}
	ctx, stop := context.WithCancel(w.ctx)
	t.stop = stop
	w.tasks = append(w.tasks, t)
	w.notifyChange()
	run, err := w.options.Checker.Run(command.Task)
	if err != nil {
		w.exit(t, wire.ReasonUnknown)
		return
	}
	if w.faulty {
		run = TaskRun{Duration: faultyRunTime, Fails: true}
	}
	go func() {
		defer stop()
		w.run(ctx, t, run)
	}()
}

// run fetches a task's image and runs the task until it completes, fails or its context ends.
func (w *Worker) run(ctx context.Context, t *task, run TaskRun) {
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
	if run.Forever || !sleep(ctx, run.Duration) {
		return
	}
	w.waitUntilResumed()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case ctx.Err() != nil:
	case run.Fails:
		w.exit(t, wire.ReasonError)
	default:
		w.options.Checker.TaskCompleted(t.Task)
		w.exit(t, wire.ReasonCompleted)
	}
}

// exit ends a task; heartbeats report it as exited, for a reason, until a controller acknowledges
// it. The caller holds the lock.
func (w *Worker) exit(t *task, reason wire.ExitReason) {
	w.stopTask(t)
	t.State, t.ExitReason = wire.TaskExited, reason
	w.notifyChange()
}
