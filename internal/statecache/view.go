package statecache

import "lynxledge/wire"

// MaxViewAgeHeartbeats is the age, in heartbeat intervals, above which a view is too old for an
// actor to base decisions on it.
const MaxViewAgeHeartbeats = 2

// View holds the store's records as an actor knows them. Every actor owns one and applies the
// cache's updates to it.
type View struct {
	JobTable
	MachineTable
	Membership
	ZoneRecoveries *ZoneRecoveries // nil: no zone is recovering
}

// NewView returns an empty view. chunkTasks is the number of tasks in a completion chunk.
func NewView(chunkTasks int) *View {
	return &View{JobTable: newJobTable(chunkTasks), MachineTable: newMachineTable(), Membership: newMembership()}
}

// NewUnfinishedView returns an empty view that drops jobs once they are done, for actors that
// don't need them: their number is unbounded.
func NewUnfinishedView(chunkTasks int) *View {
	v := NewView(chunkTasks)
	v.unfinishedOnly = true
	return v
}

// Apply applies one change, and returns the resulting changes of machines. Jobs must be applied
// before their bindings and completions, and within a revision, puts before deletions: a group
// may take over the machines of another.
func (v *View) Apply(c Change) []MachineChange {
	if s := schemas[c.Kind]; s != nil {
		return s.apply(v, c.Name, c.Record)
	}
	return nil
}

// modRevisionOf returns the revision of the last change of a record, or 0 if there is none.
func (v *View) modRevisionOf(kind Kind, name string) uint64 {
	if s := schemas[kind]; s != nil {
		if record := s.find(v, name); record != nil {
			return *record.modRevision()
		}
	}
	return 0
}

// allRecords lists every record as a change.
func (v *View) allRecords() []Change {
	var changes []Change
	for _, kind := range kinds {
		schemas[kind].each(v, func(name string, record Record) {
			changes = append(changes, changeTo(name, record))
		})
	}
	return changes
}

// groupReplaced updates the view's machines and completions after the record of a group was
// replaced. Either record may be nil. It returns the changes of machines.
func (v *View) groupReplaced(previous, next *MachineGroup) []MachineChange {
	changes := v.replaceMachines(previous, next)
	if next == nil {
		return changes
	}
	for job, tasks := range next.Completions {
		if set := v.completionsOf(job); set != nil && set.count < v.Jobs[job].TaskCount {
			for _, task := range tasks {
				set.add(task)
			}
		}
	}
	return changes
}

// PendingTasks returns how many tasks of a job are neither completed nor bound.
func (v *View) PendingTasks(id wire.JobID, j *Job) int {
	return j.TaskCount - v.CompletedCount(id) - len(v.Bindings[id])
}
