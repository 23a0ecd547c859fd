package autoscaler

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"lynxledge/wire"
)

// terminationTracker knows the deletions under way, and the machines that were terminated
// lately: the cloud lists them for a while.
type terminationTracker struct {
	inFlight     map[wire.MachineID]bool
	terminatedAt map[wire.MachineID]time.Time
}

func newTerminationTracker() *terminationTracker {
	return &terminationTracker{inFlight: map[wire.MachineID]bool{}, terminatedAt: map[wire.MachineID]time.Time{}}
}

// observe takes note of a machine whose record is gone.
func (t *terminationTracker) observe(machine wire.MachineID, now time.Time) {
	t.terminatedAt[machine] = now
}

// wasTerminated tells whether a machine was terminated lately.
func (t *terminationTracker) wasTerminated(machine wire.MachineID) bool {
	_, terminated := t.terminatedAt[machine]
	return terminated
}

// forgetOlder drops machines that were terminated longer ago.
func (t *terminationTracker) forgetOlder(age time.Duration, now time.Time) {
	for machine, at := range t.terminatedAt {
		if now.Sub(at) > age {
			delete(t.terminatedAt, machine)
		}
	}
}

// scaleIn drains a machine, so that nothing new is bound to it; then it is terminated.
func (r *Autoscaler) scaleIn(machine wire.MachineID, reason string) {
	r.enqueueUpdate(machine, machineUpdate{drainReason: reason, scaleIn: true})
}

// scaleInDrained scales in drained machines that nothing is bound to any more.
func (r *Autoscaler) scaleInDrained() {
	for name, m := range r.view.Machines {
		if m.DrainReason != "" && !m.Terminating && m.Incarnation > 0 && len(m.Bindings) == 0 {
			r.scaleIn(name, m.DrainReason)
		}
	}
}

// terminateMachines deletes at the cloud the machines that are scaled in; once that is
// answered, they and their tasks are gone, and so are their records.
func (r *Autoscaler) terminateMachines() {
	if !r.isLeader() {
		return
	}
	var names []wire.MachineID
	for name, m := range r.view.Machines {
		if m.Terminating && !r.terminations.inFlight[name] && !r.updates.pending[name].terminated && len(names) < wire.MaxMachinesPerDelete {
			r.terminations.inFlight[name] = true
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	callOutside(r,
		func(ctx context.Context) (struct{}, error) { return struct{}{}, r.cloud.Delete(ctx, names) },
		func(_ struct{}, err error) { r.handleDeleted(names, err) })
}

// handleDeleted takes the cloud's answer to a deletion.
func (r *Autoscaler) handleDeleted(names []wire.MachineID, err error) {
	for _, name := range names {
		delete(r.terminations.inFlight, name)
		if err == nil {
			r.enqueueUpdate(name, machineUpdate{terminated: true})
		}
	}
	if err != nil {
		slog.Info("termination outcome unknown", "machines", joinNames(names), "error", err)
	}
}

// joinNames lists machines for a log line, separated by spaces.
func joinNames(machines []wire.MachineID) string {
	names := make([]string, len(machines))
	for i, machine := range machines {
		names[i] = string(machine)
	}
	return strings.Join(names, " ")
}
