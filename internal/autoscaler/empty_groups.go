package autoscaler

import (
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// deleteEmptyGroups deletes the records of groups of which nothing is left but completions of
// jobs that have ended.
func (r *Autoscaler) deleteEmptyGroups() {
	lead, ok := r.leadership()
	if !ok {
		return
	}
	c := statecache.Commit{Preconditions: []wire.Precondition{lead.Precondition()}}
	for name, group := range r.view.Groups {
		if len(group.Machines) > 0 || len(c.Deletes) >= r.config.Params.Store.TxnOpsLimit() {
			continue
		}
		if update := r.view.UpdateGroup(name); update.Empty() {
			update.AddTo(&c)
		}
	}
	if c.Ops() > 0 {
		r.commit(c, func(statecache.Outcome) {})
	}
}
