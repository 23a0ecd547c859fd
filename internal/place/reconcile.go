package place

import (
	"lynxledge/internal/ledger"
	"lynxledge/wire"
)

// Proof is what a report proves of a machine's record.
type Proof struct {
	Orders []wire.Order
	Gone   []ledger.Departure // bound tasks that are certainly not on the machine any more
	Fence  []ledger.BoundTask // tasks of cancelled jobs that a late launch could still start
	Joined bool               // the report opens a session that the record doesn't know
	Behind bool               // the worker has seen a token beyond the record's
	Back   bool               // the record says that the machine is quiet, but it has heard of that
	Notice bool               // the cloud will take the machine, which the record doesn't know
}

// Changes tells whether the record has to be rewritten.
func (p *Proof) Changes() bool {
	return len(p.Gone) > 0 || len(p.Fence) > 0 || p.Joined || p.Behind || p.Back || p.Notice
}

// Reconcile compares a machine's record with a report. Only an ended entry, a
// later session, or absence under a token that fences every launch of the
// attempt proves that a task is gone; absence alone proves nothing, because a
// launch may be on its way.
func Reconcile(rec *ledger.Machine, rep *wire.Report, active func(job string) bool) Proof {
	var p Proof
	if rep.Session < rec.Session {
		return p // a report from before the worker's lease ended
	}
	// The rewrite that marked it raised its token: only a machine that was
	// answered since then has seen it, and no copy of an older report has.
	p.Back = rec.Suspected && !rec.Closed && rep.Token >= rec.Token
	p.Behind = rep.Token > rec.Token
	if rep.Session > rec.Session {
		p.Joined = true
		for i := range rec.Tasks {
			p.gone(rec, &rec.Tasks[i], ledger.WhySession)
		}
		return p
	}
	p.Notice = rep.NoticeS != nil && rec.Drain == ""
	type entries struct{ same, other *wire.TaskReport }
	seen := make(map[string]entries, len(rep.Tasks))
	bound := make(map[string]*ledger.BoundTask, len(rec.Tasks))
	for i := range rec.Tasks {
		bound[rec.Tasks[i].Name()] = &rec.Tasks[i]
	}
	saving := false
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		e := seen[t.Task]
		if b := bound[t.Task]; b != nil && b.Attempt == t.Attempt {
			e.same = t
		} else {
			e.other = t
			p.remnant(t)
		}
		seen[t.Task] = e
	}
	var starts []wire.Order
	for i := range rec.Tasks {
		b := &rec.Tasks[i]
		name := b.Name()
		e := seen[name]
		runs := active(b.Job)
		switch {
		case e.same != nil && e.same.State == wire.TaskExited:
			p.gone(rec, b, e.same.Why)
		case e.same != nil && (b.Stop > 0 || !runs):
			grace := float64(b.Grace)
			if !runs {
				grace = 0 // nobody wants what a cancelled task would save
			}
			if e.same.State != wire.TaskSaving || grace == 0 {
				p.Orders = append(p.Orders, wire.Order{Op: wire.OpStop, Task: name, Attempt: b.Attempt, GraceS: &grace})
			}
			saving = saving || grace > 0
		case e.same != nil:
		case b.Stop > 0 && rep.Token >= b.Stop:
			p.gone(rec, b, ledger.WhyNever)
		case b.Stop > 0:
		case !runs:
			p.Fence = append(p.Fence, *b)
		default:
			starts = append(starts, wire.Order{Op: wire.OpStart, Task: name, Attempt: b.Attempt})
		}
	}
	if !saving { // a successor is launched once there is room
		p.Orders = append(p.Orders, starts...)
	}
	return p
}

func (p *Proof) gone(rec *ledger.Machine, b *ledger.BoundTask, why string) {
	p.Gone = append(p.Gone, ledger.Departure{Machine: rec.Name, Job: b.Job, N: b.N, Why: why})
}

// remnant orders what is to happen to an entry that nothing is bound to.
func (p *Proof) remnant(t *wire.TaskReport) {
	if t.State == wire.TaskExited {
		p.Orders = append(p.Orders, wire.Order{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt})
		return
	}
	grace := 0.0
	p.Orders = append(p.Orders, wire.Order{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
}
