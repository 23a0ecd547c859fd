package simulation

import (
	"time"

	"lynxledge/wire"
)

// faultyRunTime is how long a task runs on a faulty machine until it fails.
const faultyRunTime = 500 * time.Millisecond

// SetFaulty makes every task fail that starts on the machine from now on.
func (w *Worker) SetFaulty() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faulty = true
}

// Kill stops the machine and its tasks for good.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
	w.dropTasks()
}

// NotifyPreemption notifies the worker that the cloud will reclaim its machine.
func (w *Worker) NotifyPreemption(notice wire.Seconds) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.preemptionNotice = &notice
	w.notifyChange()
}

// Pause suspends the machine for d. Messages that arrive meanwhile are handled when it resumes, and
// its lease is checked only then.
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

// waitUntilResumed waits while the machine is paused.
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

// FastRestart restarts the machine without downtime: it loses its tasks and its fencing token, and
// begins a new incarnation.
func (w *Worker) FastRestart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropTasks()
	w.incarnation++
	w.fencingToken, w.leaseRenewedAt = 0, time.Now()
	w.notifyChange()
}
