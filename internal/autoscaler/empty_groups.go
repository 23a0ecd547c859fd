package autoscaler

import (
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// deleteEmptyGroups deletes the records of groups that have no machines and no completions except of
// jobs that have ended.
func (a *Autoscaler) deleteEmptyGroups() {
	lead, ok := a.leadership()
	if !ok {
		return
	}
	c := statecache.Commit{Preconditions: []wire.Precondition{lead.Precondition()}}
	for name, group := range a.view.Groups {
		if len(group.Machines) > 0 || len(c.Deletes) >= a.config.Params.Store.TxnOpsLimit() {
			continue
		}
		if update := a.view.UpdateGroup(name); update.Empty() {
			update.AddTo(&c)
		}
	}
	if c.Ops() > 0 {
		a.commit(c, func(statecache.Outcome) {})
	}
}
