package autoscaler

import (
	"log/slog"
	"strings"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// reconcileMachines drops records of groups of which nothing is left but marks of jobs that
// are over.
func (r *Autoscaler) reconcileMachines() {
	lead, ok := r.leadership()
	if !ok {
		return
	}
	c := statecache.Commit{Preconditions: []wire.Precondition{lead.Precondition()}}
	for name, g := range r.view.Groups {
		if len(g.Machines) > 0 || len(c.Deletes) >= r.config.Params.Store.TxnOpsLimit() {
			continue
		}
		if d := r.view.UpdateGroup(name); d.Empty() {
			d.AddTo(&c)
		}
	}
	if c.Ops() > 0 {
		r.commit(c, func(statecache.Outcome) {})
	}
}

// scaleIn fences a machine's row, so that nothing new is bound to it; then it is
// returned.
func (r *Autoscaler) scaleIn(m wire.MachineID, why string) {
	r.enqueueUpdate(m, machineUpdate{drainReason: why, scaleIn: true})
}

// terminateMachines deletes closed machines at the cloud; once that is answered, they and
// their tasks are gone, and so are their rows.
func (r *Autoscaler) terminateMachines() {
	if !r.isLeader() {
		return
	}
	var names []wire.MachineID
	for m, b := range r.view.Machines {
		if b.Terminating && !r.terminating[m] && !r.pendingUpdates[m].terminated && len(names) < wire.MaxMachinesPerDelete {
			r.terminating[m] = true
			names = append(names, m)
		}
	}
	if len(names) == 0 {
		return
	}
	go func() {
		err := r.cloud.Delete(r.ctx, names)
		r.Send(func() {
			for _, m := range names {
				delete(r.terminating, m)
				if err == nil {
					r.enqueueUpdate(m, machineUpdate{terminated: true})
				}
			}
			if err != nil {
				slog.Info("return unanswered", "machines", joinNames(names), "err", err)
			}
		})
	}()
}

// joinNames lists machines for a log line, separated by spaces.
func joinNames(machines []wire.MachineID) string {
	names := make([]string, len(machines))
	for i, machine := range machines {
		names[i] = string(machine)
	}
	return strings.Join(names, " ")
}
