package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/reconcile"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// evidenceQueue holds the evidence from heartbeats that isn't written yet: the latest of each
// machine, by group, since a group's record is written as a whole.
type evidenceQueue struct {
	workers         config.WorkerTimings
	view            *statecache.View
	byGroup         map[string]map[wire.MachineID]*pendingEvidence
	lastTermination time.Time // when a termination written by any process was last observed
}

// pendingEvidence is the evidence from a machine's heartbeat that is to be written.
type pendingEvidence struct {
	reconcile.Evidence
	applyAt     time.Time // when this process writes it, if no other has by then
	exitedTasks int       // number of exited tasks, whose capacity is idle until the evidence is written
}

func newEvidenceQueue(workers config.WorkerTimings, view *statecache.View) *evidenceQueue {
	return &evidenceQueue{workers: workers, view: view, byGroup: map[string]map[wire.MachineID]*pendingEvidence{}}
}

// groupCount returns the number of groups with pending evidence.
func (q *evidenceQueue) groupCount() int { return len(q.byGroup) }

// add queues evidence to be written at applyAt, or earlier if older evidence of the machine is due
// earlier. It returns false if the machine is unknown or the queue already has evidence from the
// same or a later heartbeat.
func (q *evidenceQueue) add(evidence reconcile.Evidence, applyAt time.Time) bool {
	heartbeat := evidence.Heartbeat
	rec := q.view.Machines[heartbeat.Machine]
	if rec == nil {
		return false
	}
	// Evidence that has been written meanwhile does not determine when the new evidence is due.
	if old := q.byGroup[rec.Group][rec.Name]; old != nil && q.requiresUpdate(rec, old) {
		if !isNewer(heartbeat, old.Heartbeat) {
			return false
		}
		if old.applyAt.Before(applyAt) {
			applyAt = old.applyAt
		}
		evidence.TaskRuntimes = mergedRuntimes(old.TaskRuntimes, evidence.TaskRuntimes)
	}
	q.put(rec.Group, rec.Name, &pendingEvidence{evidence, applyAt, countExited(heartbeat)})
	return true
}

// isNewer reports whether a heartbeat was sent after another one of the same machine.
func isNewer(heartbeat, other *wire.Heartbeat) bool {
	return cmp.Or(cmp.Compare(heartbeat.Incarnation, other.Incarnation), cmp.Compare(heartbeat.Sequence, other.Sequence)) > 0
}

// mergedRuntimes returns a new map with both maps' entries. It must not modify latest, which the
// peer transport may be encoding: concurrent access to a shared map crashed the process.
func mergedRuntimes(old, latest map[wire.TaskID]wire.Seconds) map[wire.TaskID]wire.Seconds {
	out := maps.Clone(old)
	if out == nil {
		out = map[wire.TaskID]wire.Seconds{}
	}
	maps.Copy(out, latest)
	return out
}

// countExited returns the number of exited tasks in a heartbeat.
func countExited(heartbeat *wire.Heartbeat) int {
	n := 0
	for i := range heartbeat.Tasks {
		if heartbeat.Tasks[i].State == wire.TaskExited {
			n++
		}
	}
	return n
}

// requiresUpdate reports whether a machine's record still has to be updated with the evidence.
func (q *evidenceQueue) requiresUpdate(rec *statecache.Machine, e *pendingEvidence) bool {
	result := reconcile.Heartbeat(rec, e.Heartbeat, q.view.Active)
	return result.RequiresUpdate()
}

// put adds or replaces the evidence of a machine.
func (q *evidenceQueue) put(group string, machine wire.MachineID, e *pendingEvidence) {
	if q.byGroup[group] == nil {
		q.byGroup[group] = map[wire.MachineID]*pendingEvidence{}
	}
	q.byGroup[group][machine] = e
}

// moveMachine moves a machine's evidence to the machine's new group.
func (q *evidenceQueue) moveMachine(machine wire.MachineID, from, to string) {
	if e := q.byGroup[from][machine]; e != nil {
		delete(q.byGroup[from], machine)
		q.put(to, machine, e)
	}
}

// forgetGroup drops the evidence of a group that was deleted.
func (q *evidenceQueue) forgetGroup(group string) { delete(q.byGroup, group) }

// dueGroup is a group with evidence that this process should write.
type dueGroup struct {
	name        string
	late        bool    // some of it has been due for more than a heartbeat interval
	idleSeconds float64 // sum over the machines of the time since applyAt, times the exited tasks (at least 1)
}

// due returns the groups with evidence to write now, the most urgent first: late ones, then by
// descending idle time. A process with assigned teams doesn't wait for other writers, but evidence
// whose applyAt has not passed counts as negative idle time, which can leave its group out. In any
// other process only evidence whose applyAt has passed counts.
func (q *evidenceQueue) due(now time.Time, hasAssignments bool) []dueGroup {
	// A process without assignments waits while some process still writes terminations, until at
	// most a lease after applyAt: a slow writer is still alive, and writes by others made its
	// preconditions fail and slowed it further.
	noWriter := now.Sub(q.lastTermination) > q.workers.Heartbeats(1)
	groups := make([]dueGroup, 0, len(q.byGroup))
	for name, machines := range q.byGroup {
		group := dueGroup{name: name, idleSeconds: -1}
		for machine, e := range machines {
			if rec := q.view.Machines[machine]; rec == nil || rec.Group != name {
				delete(machines, machine)
				continue
			}
			overdue := now.Sub(e.applyAt)
			if hasAssignments || overdue > 0 && (noWriter || overdue > q.workers.LeaseDuration) {
				group.idleSeconds = max(group.idleSeconds, 0) + overdue.Seconds()*float64(max(e.exitedTasks, 1))
				group.late = group.late || overdue > q.workers.Heartbeats(1)
			}
		}
		if len(machines) == 0 {
			delete(q.byGroup, name)
		} else if group.idleSeconds >= 0 {
			groups = append(groups, group)
		}
	}
	slices.SortFunc(groups, func(a, b dueGroup) int {
		if a.late != b.late {
			if a.late {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.idleSeconds, a.idleSeconds)
	})
	return groups
}
