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

// evidenceQueue is the evidence from heartbeats that isn't written yet: the latest of each
// machine, by groups, since a group's record is written as a whole.
type evidenceQueue struct {
	workers         config.WorkerTimings
	view            *statecache.View
	byGroup         map[string]map[wire.MachineID]*pendingEvidence
	lastTermination time.Time // when some process last wrote that tasks terminated
}

// pendingEvidence is the evidence from a machine's heartbeat that waits to be written.
type pendingEvidence struct {
	reconcile.Evidence
	applyAt     time.Time // when this process writes it, if no other has
	exitedTasks int       // tasks that it shows ended: capacity that is idle until it is written
}

func newEvidenceQueue(workers config.WorkerTimings, view *statecache.View) *evidenceQueue {
	return &evidenceQueue{workers: workers, view: view, byGroup: map[string]map[wire.MachineID]*pendingEvidence{}}
}

// groups is how many groups have evidence waiting.
func (q *evidenceQueue) groups() int { return len(q.byGroup) }

// add takes evidence to be written by applyAt, together with what waits of the same machine;
// false if it is of no use: the machine is unknown, or later evidence is there already.
func (q *evidenceQueue) add(evidence reconcile.Evidence, applyAt time.Time) bool {
	heartbeat := evidence.Heartbeat
	rec := q.view.Machines[heartbeat.Machine]
	if rec == nil {
		return false
	}
	// What was written since waits no longer: what is new waits its own time.
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

// isNewer tells whether a heartbeat was sent after another one of its machine.
func isNewer(heartbeat, other *wire.Heartbeat) bool {
	return cmp.Or(cmp.Compare(heartbeat.Incarnation, other.Incarnation), cmp.Compare(heartbeat.Sequence, other.Sequence)) > 0
}

// mergedRuntimes is a new map: the peer transport may be sending the evidence as it came, and a
// map that both held ended the process.
func mergedRuntimes(old, latest map[wire.TaskID]wire.Seconds) map[wire.TaskID]wire.Seconds {
	out := maps.Clone(old)
	if out == nil {
		out = map[wire.TaskID]wire.Seconds{}
	}
	maps.Copy(out, latest)
	return out
}

// countExited counts the tasks that a heartbeat shows ended.
func countExited(heartbeat *wire.Heartbeat) int {
	n := 0
	for i := range heartbeat.Tasks {
		if heartbeat.Tasks[i].State == wire.TaskExited {
			n++
		}
	}
	return n
}

// requiresUpdate tells whether evidence still has anything to write.
func (q *evidenceQueue) requiresUpdate(rec *statecache.Machine, e *pendingEvidence) bool {
	result := reconcile.Heartbeat(rec, e.Heartbeat, q.view.Active)
	return result.RequiresUpdate()
}

// put sets the evidence of a machine.
func (q *evidenceQueue) put(group string, machine wire.MachineID, e *pendingEvidence) {
	if q.byGroup[group] == nil {
		q.byGroup[group] = map[wire.MachineID]*pendingEvidence{}
	}
	q.byGroup[group][machine] = e
}

// moveMachine follows a machine into another group.
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
	late        bool    // some of it waits for more than a heartbeat
	idleSeconds float64 // how long the capacity of ended tasks has been idle, all taken together
}

// due lists the groups with evidence to write now, the most urgent first: those that are late,
// then those whose capacity has been idle longest. placing tells whether teams are assigned to
// this process.
func (q *evidenceQueue) due(now time.Time, placing bool) []dueGroup {
	// A writer that is slow is not dead: others that wrote for it made its preconditions
	// fail, and it slower yet.
	idle := now.Sub(q.lastTermination) > q.workers.Heartbeats(1)
	groups := make([]dueGroup, 0, len(q.byGroup))
	for name, machines := range q.byGroup {
		group := dueGroup{name: name, idleSeconds: -1}
		for machine, e := range machines {
			if rec := q.view.Machines[machine]; rec == nil || rec.Group != name {
				delete(machines, machine)
				continue
			}
			waits := now.Sub(e.applyAt)
			if placing || waits > 0 && (idle || waits > q.workers.LeaseDuration) {
				group.idleSeconds = max(group.idleSeconds, 0) + waits.Seconds()*float64(max(e.exitedTasks, 1))
				group.late = group.late || waits > q.workers.Heartbeats(1)
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
