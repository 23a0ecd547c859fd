package reconcile

import (
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Result is what a report proves of a machine's record.
type Result struct {
	Commands         []wire.Command
	Terminated       []statecache.Termination // bound tasks that are certainly not on the machine any more
	ToFence          []statecache.TaskBinding // tasks of cancelled jobs that a late launch could still start
	NewIncarnation   bool                     // the report opens a session that the record doesn't know
	RecordOutdated   bool                     // the worker has seen a token beyond the record's
	ReachableAgain   bool                     // the record says that the machine is quiet, but it has heard of that
	PreemptionNotice bool                     // the cloud will take the machine, which the record doesn't know
}

// RequiresUpdate tells whether the record has to be rewritten.
func (p *Result) RequiresUpdate() bool {
	return len(p.Terminated) > 0 || len(p.ToFence) > 0 || p.NewIncarnation || p.RecordOutdated || p.ReachableAgain || p.PreemptionNotice
}

// Heartbeat compares a machine's record with a report. Only an ended entry, a
// later session, or absence under a token that fences every launch of the
// attempt proves that a task is gone; absence alone proves nothing, because a
// launch may be on its way.
func Heartbeat(rec *statecache.Machine, rep *wire.Heartbeat, active func(job wire.JobID) bool) Result {
	var p Result
	if rep.Incarnation < rec.Incarnation {
		return p // a report from before the worker's lease ended
	}
	// The rewrite that marked it raised its token: only a machine that was
	// answered since then has seen it, and no copy of an older report has.
	p.ReachableAgain = rec.Suspected && !rec.Terminating && rep.FencingToken >= rec.FencingToken
	p.RecordOutdated = rep.FencingToken > rec.FencingToken
	if rep.Incarnation > rec.Incarnation {
		p.NewIncarnation = true
		for i := range rec.Bindings {
			p.confirmTermination(rec, &rec.Bindings[i], statecache.ReasonIncarnationEnded)
		}
		return p
	}
	p.PreemptionNotice = rep.PreemptionNotice != nil && rec.DrainReason == ""
	type entries struct{ same, other *wire.TaskStatus }
	seen := make(map[wire.TaskID]entries, len(rep.Tasks))
	bound := make(map[wire.TaskID]*statecache.TaskBinding, len(rec.Bindings))
	for i := range rec.Bindings {
		bound[rec.Bindings[i].TaskID()] = &rec.Bindings[i]
	}
	saving := false
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		e := seen[t.Task]
		if b := bound[t.Task]; b != nil && b.Attempt == t.Attempt {
			e.same = t
		} else {
			e.other = t
			p.handleUnboundTask(t)
		}
		seen[t.Task] = e
	}
	var starts []wire.Command
	for i := range rec.Bindings {
		b := &rec.Bindings[i]
		name := b.TaskID()
		e := seen[name]
		runs := active(b.Job)
		switch {
		case e.same != nil && e.same.State == wire.TaskExited:
			p.confirmTermination(rec, b, e.same.ExitReason)
		case e.same != nil && (b.StopToken > 0 || !runs):
			grace := wire.Seconds(b.GraceSeconds)
			if !runs {
				grace = 0 // nobody wants what a cancelled task would save
			}
			if e.same.State != wire.TaskCheckpointing || grace == 0 {
				p.Commands = append(p.Commands, wire.Command{Op: wire.OpStop, Task: name, Attempt: b.Attempt, GracePeriod: &grace})
			}
			saving = saving || grace > 0
		case e.same != nil:
		case b.StopToken > 0 && rep.FencingToken >= b.StopToken:
			p.confirmTermination(rec, b, statecache.ReasonNeverStarted)
		case b.StopToken > 0:
		case !runs:
			p.ToFence = append(p.ToFence, *b)
		default:
			starts = append(starts, wire.Command{Op: wire.OpLaunch, Task: name, Attempt: b.Attempt})
		}
	}
	if !saving { // a successor is launched once there is room
		p.Commands = append(p.Commands, starts...)
	}
	return p
}

func (p *Result) confirmTermination(rec *statecache.Machine, b *statecache.TaskBinding, why wire.ExitReason) {
	p.Terminated = append(p.Terminated, statecache.Termination{Machine: rec.Name, Job: b.Job, TaskIndex: b.TaskIndex, Reason: why})
}

// handleUnboundTask orders what is to happen to an entry that nothing is bound to.
func (p *Result) handleUnboundTask(t *wire.TaskStatus) {
	if t.State == wire.TaskExited {
		p.Commands = append(p.Commands, wire.Command{Op: wire.OpAcknowledge, Task: t.Task, Attempt: t.Attempt})
		return
	}
	grace := wire.Seconds(0)
	p.Commands = append(p.Commands, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GracePeriod: &grace})
}
