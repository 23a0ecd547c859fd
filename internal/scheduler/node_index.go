package scheduler

import (
	"slices"
	"time"

	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

type nodePool struct {
	typ  string
	zone wire.Zone
	spot bool
}

// poolCapacity is what a pool has.
type poolCapacity struct {
	schedulableNodes int              // machines that may take tasks
	serviceUsage     resources.Vector // what replicas hold of them
}

type cachedImage struct {
	name string
	gb   float64
}

// applyMachineChange takes a machine's new row over: what is bound since when, and
// which images are there.
func (p *Scheduler) applyMachineChange(c statecache.MachineChange, now time.Time) {
	p.refreshNode(c.Machine, c.New)
	if c.New == nil {
		delete(p.imageCaches, c.Machine)
		delete(p.avoidUntil, c.Machine)
		return
	}
	if c.Old != nil && c.Old.Group != c.New.Group {
		if n := p.pendingEvidence[c.Old.Group][c.Machine]; n != nil {
			delete(p.pendingEvidence[c.Old.Group], c.Machine)
			p.storeEvidence(c.New.Group, c.Machine, n)
		}
	}
	for i := range c.New.Bindings {
		t := &c.New.Bindings[i]
		if c.Old != nil && c.Old.FindBinding(t.Job, t.TaskIndex) != nil {
			continue
		}
		if j := p.view.Jobs[t.Job]; j != nil && j.Spec != nil {
			p.recordImageFetch(c.Machine, c.New.MachineType, j.Spec.Image, j.Spec.ImageGB)
		}
	}
}

// recordImageFetch moves an image to the front of a machine's cache, as far as it can
// be known from here.
func (p *Scheduler) recordImageFetch(machine wire.MachineID, typ, name string, gb float64) {
	old := p.imageCaches[machine]
	if len(old) > 0 && old[0].name == name {
		return
	}
	list := append(make([]cachedImage, 0, len(old)+1), cachedImage{name, gb})
	for _, i := range old {
		if i.name != name {
			list = append(list, i)
		}
	}
	if t := p.machineTypes[typ]; t != nil {
		sum := 0.0
		for i := range list {
			if sum += list[i].gb; sum > t.CacheGB {
				list = list[:max(1, i)]
				break
			}
		}
	}
	p.imageCaches[machine] = list
}

// refreshNode makes a machine's node anew from its row, and keeps the sums and the
// indexes over the nodes; without a row the node goes.
func (p *Scheduler) refreshNode(machine wire.MachineID, b *statecache.Machine) {
	n := p.nodes[machine]
	if n != nil {
		p.updateIndexes(n, -1)
	}
	if b == nil || p.machineTypes[b.MachineType] == nil {
		if n != nil {
			p.allNodes = removeFromIndex(p.allNodes, n, func(n *Node) *int { return &n.nodeIndex })
		}
		delete(p.nodes, machine)
		return
	}
	if n == nil {
		n = &Node{Name: machine, HasImage: func(img string) bool {
			return slices.ContainsFunc(p.imageCaches[machine], func(i cachedImage) bool { return i.name == img })
		}}
		p.nodes[machine] = n
		p.allNodes = addToIndex(p.allNodes, n, func(n *Node) *int { return &n.nodeIndex })
	}
	p.loadNode(n, b)
	p.updateIndexes(n, 1)
}

// addToIndex and unlist keep a list in which each node knows its place, from 1.
func addToIndex(list []*Node, n *Node, place func(*Node) *int) []*Node {
	list = append(list, n)
	*place(n) = len(list)
	return list
}

func removeFromIndex(list []*Node, n *Node, place func(*Node) *int) []*Node {
	i := *place(n) - 1
	if i < 0 {
		return list
	}
	last := list[len(list)-1]
	list[i], *place(last) = last, i+1
	*place(n) = 0
	return list[:len(list)-1]
}

// updateIndexes adds a node to the sums and indexes, or takes out what was added with
// sign -1. A round changes nodes for a while, so what was added is kept.
func (p *Scheduler) updateIndexes(n *Node, sign float64) {
	if sign > 0 {
		n.countedTasks, n.countedPool = n.countedTasks[:0], nil
		for _, t := range n.Tasks {
			if t.Job != nil {
				n.countedTasks = append(n.countedTasks, t.Job)
			}
		}
		if n.Schedulable {
			n.countedPool = &nodePool{n.MachineType.Name, n.Zone, n.Spot}
		}
	}
	for _, j := range n.countedTasks {
		p.usage[j.Team] = p.usage[j.Team].Plus(resources.OfTask(j), sign)
	}
	if n.countedPool != nil {
		s := p.pools[*n.countedPool]
		s.schedulableNodes += int(sign)
		for _, j := range n.countedTasks {
			if j.IsService() {
				s.serviceUsage = s.serviceUsage.Plus(resources.OfTask(j), sign)
			}
		}
		p.pools[*n.countedPool] = s
	}
	byRoom := func(n *Node) *int { return &n.capacityIndex }
	if sign < 0 {
		p.nodesWithCapacity = removeFromIndex(p.nodesWithCapacity, n, byRoom)
		delete(p.startingNodes, n.Name)
		return
	}
	if n.HasCapacity() {
		p.nodesWithCapacity = addToIndex(p.nodesWithCapacity, n, byRoom)
	}
	if b := p.view.Machines[n.Name]; b.Incarnation == 0 && b.DrainReason == "" {
		p.startingNodes[n.Name] = n
	}
}

// loadNode makes a node say what a row does.
func (p *Scheduler) loadNode(n *Node, b *statecache.Machine) {
	old := n.Tasks
	n.Group, n.MachineType, n.Zone, n.Spot, n.Schedulable = b.Group, p.machineTypes[b.MachineType], b.Zone, b.Spot, b.Schedulable()
	n.Used, n.Tasks = resources.Vector{}, make([]RunningTask, 0, len(b.Bindings))
	for i := range b.Bindings {
		t := &b.Bindings[i]
		task := RunningTask{TaskIndex: t.TaskIndex, Stopping: t.StopToken > 0, BoundSince: time.Now()}
		if j := p.view.Jobs[t.Job]; j != nil && j.Spec != nil {
			task.Job = j.Spec
			// What is ordered to stop without saving is gone before a launch in
			// the same commands is carried out.
			if t.StopToken == 0 || t.GraceSeconds > 0 {
				n.Used = n.Used.Plus(resources.OfTask(j.Spec), 1)
			}
		}
		for _, o := range old {
			if o.TaskIndex == t.TaskIndex && o.Job != nil && o.Job.ID == t.Job {
				task.BoundSince = o.BoundSince
			}
		}
		n.Tasks = append(n.Tasks, task)
	}
}
