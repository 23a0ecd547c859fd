package rent

import (
	"log/slog"
	"strings"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// tidy drops records of groups of which nothing is left but marks of jobs that
// are over.
func (r *Renter) tidy() {
	lead, ok := r.lead()
	if !ok {
		return
	}
	c := statecache.Commit{Preconditions: []wire.Precondition{lead.Precondition()}}
	for name, g := range r.view.Groups {
		if len(g.Machines) > 0 || len(c.Deletes) >= r.cfg.Params.Store.TxnOpsLimit() {
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

// close fences a machine's row, so that nothing new is bound to it; then it is
// returned.
func (r *Renter) close(m, why string) { r.edit(m, edit{drain: why, close: true}) }

// remove deletes closed machines at the cloud; once that is answered, they and
// their tasks are gone, and so are their rows.
func (r *Renter) remove() {
	if !r.leads() {
		return
	}
	var names []string
	for m, b := range r.view.Machines {
		if b.Terminating && !r.deleting[m] && !r.edits[m].gone && len(names) < wire.MaxMachinesPerDelete {
			r.deleting[m] = true
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
				delete(r.deleting, m)
				if err == nil {
					r.edit(m, edit{gone: true})
				}
			}
			if err != nil {
				slog.Info("return unanswered", "machines", strings.Join(names, " "), "err", err)
			}
		})
	}()
}
