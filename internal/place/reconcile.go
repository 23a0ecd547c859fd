package place

import (
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Proof is what a report proves of a machine's record.
type Proof struct {
	Orders []wire.Command
	Gone   []statecache.Termination // bound tasks that are certainly not on the machine any more
	Fence  []statecache.TaskBinding // tasks of cancelled jobs that a late launch could still start
	Joined bool                     // the report opens a session that the record doesn't know
	Behind bool                     // the worker has seen a token beyond the record's
	Back   bool                     // the record says that the machine is quiet, but it has heard of that
	Notice bool                     // the cloud will take the machine, which the record doesn't know
}

// Changes tells whether the record has to be rewritten.
func (p *Proof) Changes() bool {
	return len(p.Gone) > 0 || len(p.Fence) > 0 || p.Joined || p.Behind || p.Back || p.Notice
}

// Reconcile compares a machine's record with a report. Only an ended entry, a
// later session, or absence under a token that fences every launch of the
// attempt proves that a task is gone; absence alone proves nothing, because a
// launch may be on its way.
func Reconcile(rec *statecache.Machine, rep *wire.Heartbeat, active func(job string) bool) Proof {
	var p Proof
	if rep.Incarnation < rec.Incarnation {
		return p // a report from before the worker's lease ended
	}
	// The rewrite that marked it raised its token: only a machine that was
	// answered since then has seen it, and no copy of an older report has.
	p.Back = rec.Suspected && !rec.Terminating && rep.FencingToken >= rec.FencingToken
	p.Behind = rep.FencingToken > rec.FencingToken
	if rep.Incarnation > rec.Incarnation {
		p.Joined = true
		for i := range rec.Bindings {
			p.gone(rec, &rec.Bindings[i], statecache.ReasonIncarnationEnded)
		}
		return p
	}
	p.Notice = rep.PreemptionNotice != nil && rec.DrainReason == ""
	type entries struct{ same, other *wire.TaskStatus }
	seen := make(map[string]entries, len(rep.Tasks))
	bound := make(map[string]*statecache.TaskBinding, len(rec.Bindings))
	for i := range rec.Bindings {
		bound[rec.Bindings[i].TaskName()] = &rec.Bindings[i]
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
	var starts []wire.Command
	for i := range rec.Bindings {
		b := &rec.Bindings[i]
		name := b.TaskName()
		e := seen[name]
		runs := active(b.Job)
		switch {
		case e.same != nil && e.same.State == wire.TaskExited:
			p.gone(rec, b, e.same.ExitReason)
		case e.same != nil && (b.StopToken > 0 || !runs):
			grace := float64(b.GraceSeconds)
			if !runs {
				grace = 0 // nobody wants what a cancelled task would save
			}
			if e.same.State != wire.TaskCheckpointing || grace == 0 {
				p.Orders = append(p.Orders, wire.Command{Op: wire.OpStop, Task: name, Attempt: b.Attempt, GracePeriod: &grace})
			}
			saving = saving || grace > 0
		case e.same != nil:
		case b.StopToken > 0 && rep.FencingToken >= b.StopToken:
			p.gone(rec, b, statecache.ReasonNeverStarted)
		case b.StopToken > 0:
		case !runs:
			p.Fence = append(p.Fence, *b)
		default:
			starts = append(starts, wire.Command{Op: wire.OpLaunch, Task: name, Attempt: b.Attempt})
		}
	}
	if !saving { // a successor is launched once there is room
		p.Orders = append(p.Orders, starts...)
	}
	return p
}

func (p *Proof) gone(rec *statecache.Machine, b *statecache.TaskBinding, why string) {
	p.Gone = append(p.Gone, statecache.Termination{Machine: rec.Name, Job: b.Job, TaskIndex: b.TaskIndex, Reason: why})
}

// remnant orders what is to happen to an entry that nothing is bound to.
func (p *Proof) remnant(t *wire.TaskStatus) {
	if t.State == wire.TaskExited {
		p.Orders = append(p.Orders, wire.Command{Op: wire.OpAcknowledge, Task: t.Task, Attempt: t.Attempt})
		return
	}
	grace := 0.0
	p.Orders = append(p.Orders, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GracePeriod: &grace})
}
