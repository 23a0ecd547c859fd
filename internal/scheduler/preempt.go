package scheduler

import (
	"log/slog"
	"slices"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// preemptionCandidates is a sample of all nodes that a job may use: to preempt on, or to move replicas
// from.
func (p *Scheduler) preemptionCandidates(r *cycle, j *wire.Job) []*Node {
	var from []*Node
	if r.isFull() {
		for _, d := range r.groupUpdates {
			for _, b := range d.Machines {
				if n := p.nodes[b.Name]; n != nil {
					from = append(from, n)
				}
			}
		}
		slices.SortFunc(from, func(a, b *Node) int { return a.nodeIndex - b.nodeIndex })
	} else {
		from = p.allNodes
	}
	list := slices.DeleteFunc(Sample(from, p.rng), func(n *Node) bool {
		return !n.Schedulable || r.now.Before(p.avoidUntil[n.Name]) || !p.advisorAdmits(n, j)
	})
	p.updateVictimFacts(r, list)
	return list
}

// fetchesTooLong tells whether a task would start too late for the aims of its
// class because the node lacks its image.
func (p *Scheduler) fetchesTooLong(j *wire.Job, n *Node) bool {
	within, ofClass := p.config.StartObjective(j.Class)
	return ofClass && !n.HasImage(j.Image) && n.MachineType.ImageFetchGBps > 0 && j.ImageGB/n.MachineType.ImageFetchGBps > within.Seconds()*maxImageFetchShare
}

// maxImageFetchShare is the part of the time to a start that a fetch may take.
const maxImageFetchShare = 0.6

// mustStartSoon tells whether a job must start soon to keep the deadline it is to
// keep, if it has one.
func (w *queuedJob) mustStartSoon() bool {
	return w.deadlineStage >= 0 && w.deadlineStage < len(w.candidate.deadlines) && w.candidate.latestStart(w.deadlineStage) < w.candidate.runtime/2
}

// stopOverheadBytes is what ordering a task stopped adds to a record.
const stopOverheadBytes = 12

// preempt orders victims stopped in the record that binds their successor.
func (p *Scheduler) preempt(r *cycle, d *groupUpdate, v *PreemptionVictims) {
	rec := d.UpdateMachine(v.Node.Name)
	for _, i := range v.Tasks {
		task := &v.Node.Tasks[i]
		task.Stopping = true
		v.Node.Used = v.Node.Used.Plus(resources.OfTask(task.Job), -1)
		t := rec.FindBinding(task.Job.ID, task.TaskIndex)
		if t == nil {
			continue
		}
		t.StopToken = rec.FencingToken
		// What gives way as soon as it is placed would take the next free place, and give
		// way again: each time two writes and a launch for nothing.
		if !task.Job.IsService() && task.RuntimeSoFar < p.config.Params.Workers.HeartbeatInterval.Seconds() {
			p.preemptedUntil[t.Job] = r.now.Add(p.config.Params.Workers.Heartbeats(1))
		}
		d.size += stopOverheadBytes
		grace := wire.Seconds(0)
		r.stops[v.Node.Name] = append(r.stops[v.Node.Name], wire.Command{Op: wire.OpStop, Task: t.TaskID(), Attempt: t.Attempt, GracePeriod: &grace})
		slog.Info("preempting", "task", t.TaskID(), "machine", v.Node.Name, "ran_s", int(task.RuntimeSoFar))
	}
}
