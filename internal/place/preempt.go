package place

import (
	"log/slog"
	"slices"

	"lynxledge/wire"
)

// others is a sample of all nodes that a job may use: to preempt on, or to move replicas
// from.
func (p *Placer) others(r *round, j *wire.Job) []*Node {
	var from []*Node
	if r.full() {
		for _, d := range r.drafts {
			for _, b := range d.Machines {
				if n := p.nodes[b.Name]; n != nil {
					from = append(from, n)
				}
			}
		}
		slices.SortFunc(from, func(a, b *Node) int { return a.all - b.all })
	} else {
		from = p.all
	}
	list := slices.DeleteFunc(Sample(from, p.rng), func(n *Node) bool {
		return !n.Open || r.now.Before(p.unreliable[n.Name]) || !p.admitted(n, j)
	})
	p.judge(r, list)
	return list
}

// fetchesTooLong tells whether a task would start too late for the aims of its
// class because the node lacks its image.
func (p *Placer) fetchesTooLong(j *wire.Job, n *Node) bool {
	within, own := p.cfg.StartObjective(j.Class)
	return own && !n.Image(j.Image) && n.Type.ImageFetchGBps > 0 && j.ImageGB/n.Type.ImageFetchGBps > within*fetchPart
}

// fetchPart is the part of the time to a start that a fetch may take.
const fetchPart = 0.6

// hurried tells whether a job must start soon to keep the deadline it is to
// keep, if it has one.
func (w *waiting) hurried() bool {
	return w.late >= 0 && w.late < len(w.claim.due) && w.claim.latest(w.late) < w.claim.run/2
}

// stopBytes is what ordering a task stopped adds to a record.
const stopBytes = 12

// stop orders victims stopped in the record that binds their successor.
func (p *Placer) stop(r *round, d *draft, v *Victims) {
	rec := d.UpdateMachine(v.Node.Name)
	for _, i := range v.Tasks {
		task := &v.Node.Tasks[i]
		task.Stops = true
		v.Node.Used = v.Node.Used.Plus(RequestOf(task.Job), -1)
		t := rec.FindBinding(task.Job.ID, task.N)
		if t == nil {
			continue
		}
		t.StopToken = rec.FencingToken
		// What gives way as soon as it is placed would take the next free place, and give
		// way again: each time two writes and a launch for nothing.
		if !task.Job.IsService() && task.Spent < p.cfg.Params.Workers.HeartbeatInterval {
			p.gaveWay[t.Job] = r.now.Add(p.reportS(1))
		}
		d.size += stopBytes
		grace := 0.0
		r.stops[v.Node.Name] = append(r.stops[v.Node.Name], wire.Command{Op: wire.OpStop, Task: t.TaskName(), Attempt: t.Attempt, GracePeriod: &grace})
		slog.Info("preempting", "task", t.TaskName(), "machine", v.Node.Name, "ran_s", int(task.Spent))
	}
}
