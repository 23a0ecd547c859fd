package scheduler

import (
	"maps"
	"time"

	"lynxledge/internal/reconcile"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

type pendingEvidence struct {
	reconcile.Evidence
	applyAt     time.Time // when this process writes it, if no other has
	exitedTasks int       // tasks that it shows ended: places that stand empty until it is written
}

// HandleEvidence takes what a report proves; it is written at once if the teams are
// handed to this process, else after wait unless another process has.
func (p *Scheduler) HandleEvidence(n reconcile.Evidence, wait time.Duration) {
	p.Post(func() {
		rec := p.view.Machines[n.Heartbeat.Machine]
		if rec == nil {
			return
		}
		due := time.Now().Add(wait)
		old := p.pendingEvidence[rec.Group][rec.Name]
		if old != nil && !p.stillProves(rec, old) {
			old = nil // it was written: what is new waits its own time
		}
		if old != nil {
			if old.Heartbeat.Incarnation > n.Heartbeat.Incarnation || old.Heartbeat.Incarnation == n.Heartbeat.Incarnation && old.Heartbeat.Sequence >= n.Heartbeat.Sequence {
				return
			}
			if old.applyAt.Before(due) {
				due = old.applyAt
			}
			// The mesh may be sending the note as it came: its map is not written to.
			ran := maps.Clone(old.TaskRuntimes)
			if ran == nil {
				ran = map[wire.TaskID]float64{}
			}
			maps.Copy(ran, n.TaskRuntimes)
			n.TaskRuntimes = ran
		}
		p.storeEvidence(rec.Group, rec.Name, &pendingEvidence{n, due, countExited(n.Heartbeat)})
		p.schedule()
	})
}

// storeEvidence puts a note with those of its group.
func (p *Scheduler) storeEvidence(group string, machine wire.MachineID, n *pendingEvidence) {
	if p.pendingEvidence[group] == nil {
		p.pendingEvidence[group] = map[wire.MachineID]*pendingEvidence{}
	}
	p.pendingEvidence[group][machine] = n
}

// countExited counts the tasks that a report shows ended.
func countExited(rep *wire.Heartbeat) int {
	n := 0
	for i := range rep.Tasks {
		if rep.Tasks[i].State == wire.TaskExited {
			n++
		}
	}
	return n
}

// stillProves tells whether a note still has anything to write.
func (p *Scheduler) stillProves(rec *statecache.Machine, n *pendingEvidence) bool {
	proof := reconcile.Heartbeat(rec, n.Heartbeat, p.view.Active)
	return proof.RequiresUpdate()
}
