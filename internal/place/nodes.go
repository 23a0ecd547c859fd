package place

import (
	"slices"
	"time"

	"lynxledge/internal/statecache"
)

type pool struct {
	typ, zone string
	spot      bool
}

// poolStock is what a pool has.
type poolStock struct {
	open int       // machines that may take tasks
	kept Resources // what replicas hold of them
}

type image struct {
	name string
	gb   float64
}

// bindChanged takes a machine's new row over: what is bound since when, and
// which images are there.
func (p *Placer) bindChanged(c statecache.MachineChange, now time.Time) {
	p.renew(c.Machine, c.New)
	if c.New == nil {
		delete(p.images, c.Machine)
		delete(p.unreliable, c.Machine)
		return
	}
	if c.Old != nil && c.Old.Group != c.New.Group {
		if n := p.observations[c.Old.Group][c.Machine]; n != nil {
			delete(p.observations[c.Old.Group], c.Machine)
			p.file(c.New.Group, c.Machine, n)
		}
	}
	for i := range c.New.Bindings {
		t := &c.New.Bindings[i]
		if c.Old != nil && c.Old.FindBinding(t.Job, t.TaskIndex) != nil {
			continue
		}
		if j := p.view.Jobs[t.Job]; j != nil && j.Spec != nil {
			p.fetched(c.Machine, c.New.MachineType, j.Spec.Image, j.Spec.ImageGB)
		}
	}
}

// fetched moves an image to the front of a machine's cache, as far as it can
// be known from here.
func (p *Placer) fetched(machine, typ, name string, gb float64) {
	old := p.images[machine]
	if len(old) > 0 && old[0].name == name {
		return
	}
	list := append(make([]image, 0, len(old)+1), image{name, gb})
	for _, i := range old {
		if i.name != name {
			list = append(list, i)
		}
	}
	if t := p.types[typ]; t != nil {
		sum := 0.0
		for i := range list {
			if sum += list[i].gb; sum > t.CacheGB {
				list = list[:max(1, i)]
				break
			}
		}
	}
	p.images[machine] = list
}

// renew makes a machine's node anew from its row, and keeps the sums and the
// indexes over the nodes; without a row the node goes.
func (p *Placer) renew(machine string, b *statecache.Machine) {
	n := p.nodes[machine]
	if n != nil {
		p.index(n, -1)
	}
	if b == nil || p.types[b.MachineType] == nil {
		if n != nil {
			p.all = unlist(p.all, n, func(n *Node) *int { return &n.all })
		}
		delete(p.nodes, machine)
		return
	}
	if n == nil {
		n = &Node{Name: machine, Image: func(img string) bool {
			return slices.ContainsFunc(p.images[machine], func(i image) bool { return i.name == img })
		}}
		p.nodes[machine] = n
		p.all = enlist(p.all, n, func(n *Node) *int { return &n.all })
	}
	p.fill(n, b)
	p.index(n, 1)
}

// enlist and unlist keep a list in which each node knows its place, from 1.
func enlist(list []*Node, n *Node, place func(*Node) *int) []*Node {
	list = append(list, n)
	*place(n) = len(list)
	return list
}

func unlist(list []*Node, n *Node, place func(*Node) *int) []*Node {
	i := *place(n) - 1
	if i < 0 {
		return list
	}
	last := list[len(list)-1]
	list[i], *place(last) = last, i+1
	*place(n) = 0
	return list[:len(list)-1]
}

// index adds a node to the sums and indexes, or takes out what was added with
// sign -1. A round changes nodes for a while, so what was added is kept.
func (p *Placer) index(n *Node, sign float64) {
	if sign > 0 {
		n.held, n.pool = n.held[:0], nil
		for _, t := range n.Tasks {
			if t.Job != nil {
				n.held = append(n.held, t.Job)
			}
		}
		if n.Open {
			n.pool = &pool{n.Type.Name, n.Zone, n.Spot}
		}
	}
	for _, j := range n.held {
		p.tally[j.Team] = p.tally[j.Team].Plus(RequestOf(j), sign)
	}
	if n.pool != nil {
		s := p.pools[*n.pool]
		s.open += int(sign)
		for _, j := range n.held {
			if j.IsService() {
				s.kept = s.kept.Plus(RequestOf(j), sign)
			}
		}
		p.pools[*n.pool] = s
	}
	byRoom := func(n *Node) *int { return &n.roomy }
	if sign < 0 {
		p.roomy = unlist(p.roomy, n, byRoom)
		delete(p.starts, n.Name)
		return
	}
	if n.HasRoom() {
		p.roomy = enlist(p.roomy, n, byRoom)
	}
	if b := p.view.Machines[n.Name]; b.Incarnation == 0 && b.DrainReason == "" {
		p.starts[n.Name] = n
	}
}

// fill makes a node say what a row does.
func (p *Placer) fill(n *Node, b *statecache.Machine) {
	old := n.Tasks
	n.Group, n.Type, n.Zone, n.Spot, n.Open = b.Group, p.types[b.MachineType], b.Zone, b.Spot, b.Schedulable()
	n.Used, n.Tasks = Resources{}, make([]Task, 0, len(b.Bindings))
	for i := range b.Bindings {
		t := &b.Bindings[i]
		task := Task{N: t.TaskIndex, Stops: t.StopToken > 0, Since: time.Now()}
		if j := p.view.Jobs[t.Job]; j != nil && j.Spec != nil {
			task.Job = j.Spec
			// What is ordered to stop without saving is gone before a launch in
			// the same commands is carried out.
			if t.StopToken == 0 || t.GraceSeconds > 0 {
				n.Used = n.Used.Plus(RequestOf(j.Spec), 1)
			}
		}
		for _, o := range old {
			if o.N == t.TaskIndex && o.Job != nil && o.Job.ID == t.Job {
				task.Since = o.Since
			}
		}
		n.Tasks = append(n.Tasks, task)
	}
}
