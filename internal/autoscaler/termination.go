package autoscaler

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"lynxledge/wire"
)

// terminationTracker tracks the deletions in flight and the recently terminated machines, which
// the cloud goes on listing for a while.
type terminationTracker struct {
	inFlight     map[wire.MachineID]bool
	terminatedAt map[wire.MachineID]time.Time
}

func newTerminationTracker() *terminationTracker {
	return &terminationTracker{inFlight: map[wire.MachineID]bool{}, terminatedAt: map[wire.MachineID]time.Time{}}
}

// markTerminated records when the record of a terminated machine was removed.
func (t *terminationTracker) markTerminated(machine wire.MachineID, now time.Time) {
	t.terminatedAt[machine] = now
}

// wasTerminated reports whether a machine was terminated recently.
func (t *terminationTracker) wasTerminated(machine wire.MachineID) bool {
	_, terminated := t.terminatedAt[machine]
	return terminated
}

// forgetOlder drops the machines that were terminated more than age ago.
func (t *terminationTracker) forgetOlder(age time.Duration, now time.Time) {
	for machine, at := range t.terminatedAt {
		if now.Sub(at) > age {
			delete(t.terminatedAt, machine)
		}
	}
}

// scaleIn requests that a machine be drained, so that nothing more is bound to it, and terminated.
func (a *Autoscaler) scaleIn(machine wire.MachineID, reason string) {
	a.enqueueUpdate(machine, machineUpdate{drainReason: reason, scaleIn: true})
}

// scaleInDrained scales in the drained machines to which nothing is bound any more.
func (a *Autoscaler) scaleInDrained() {
	for name, m := range a.view.Machines {
		if m.DrainReason != "" && !m.Terminating && m.Incarnation > 0 && len(m.Bindings) == 0 {
			a.scaleIn(name, m.DrainReason)
		}
	}
}

// terminateMachines has the cloud delete the machines that are recorded as terminating. Once it has
// confirmed, they and their tasks no longer exist, and their records are removed.
func (a *Autoscaler) terminateMachines() {
	if !a.isConfirmedLeader() {
		return
	}
	var names []wire.MachineID
	for name, m := range a.view.Machines {
		if m.Terminating && !a.terminations.inFlight[name] && !a.updates.pending[name].terminated && len(names) < wire.MaxMachinesPerDelete {
			a.terminations.inFlight[name] = true
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	callAsync(a,
		func(ctx context.Context) (struct{}, error) { return struct{}{}, a.cloud.Delete(ctx, names) },
		func(_ struct{}, err error) { a.handleDeleted(names, err) })
}

// handleDeleted handles the cloud's response to a deletion.
func (a *Autoscaler) handleDeleted(names []wire.MachineID, err error) {
	for _, name := range names {
		delete(a.terminations.inFlight, name)
		if err == nil {
			a.enqueueUpdate(name, machineUpdate{terminated: true})
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
