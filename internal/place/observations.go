package place

import (
	"maps"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Observation is a report that proves something of its machine's record, and how long
// the tasks ran that it calls ended, as far as its hearer knows.
type Observation struct {
	Report *wire.Heartbeat    `json:"report"`
	RanS   map[string]float64 `json:"ranS,omitempty"`
}

type pendingObservation struct {
	Observation
	due   time.Time // when this process writes it, if no other has
	frees int       // tasks that it shows ended: places that stand empty until it is written
}

// Observe takes what a report proves; it is written at once if the teams are
// handed to this process, else after wait unless another process has.
func (p *Placer) Observe(n Observation, wait time.Duration) {
	p.Post(func() {
		rec := p.view.Machines[n.Report.Machine]
		if rec == nil {
			return
		}
		due := time.Now().Add(wait)
		old := p.observations[rec.Group][rec.Name]
		if old != nil && !p.proves(rec, old) {
			old = nil // it was written: what is new waits its own time
		}
		if old != nil {
			if old.Report.Incarnation > n.Report.Incarnation || old.Report.Incarnation == n.Report.Incarnation && old.Report.Sequence >= n.Report.Sequence {
				return
			}
			if old.due.Before(due) {
				due = old.due
			}
			// The mesh may be sending the note as it came: its map is not written to.
			ran := maps.Clone(old.RanS)
			if ran == nil {
				ran = map[string]float64{}
			}
			maps.Copy(ran, n.RanS)
			n.RanS = ran
		}
		p.file(rec.Group, rec.Name, &pendingObservation{n, due, ended(n.Report)})
		p.schedule()
	})
}

// file puts a note with those of its group.
func (p *Placer) file(group, machine string, n *pendingObservation) {
	if p.observations[group] == nil {
		p.observations[group] = map[string]*pendingObservation{}
	}
	p.observations[group][machine] = n
}

// ended counts the tasks that a report shows ended.
func ended(rep *wire.Heartbeat) int {
	n := 0
	for i := range rep.Tasks {
		if rep.Tasks[i].State == wire.TaskExited {
			n++
		}
	}
	return n
}

// proves tells whether a note still has anything to write.
func (p *Placer) proves(rec *statecache.Machine, n *pendingObservation) bool {
	proof := Reconcile(rec, n.Report, p.view.Active)
	return proof.Changes()
}
