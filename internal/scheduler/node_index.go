package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/estimate"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// nodeIndex has a node for each machine of a known type, and keeps sums and lists over them,
// so that what one changed machine costs does not grow with the fleet.
type nodeIndex struct {
	view         *statecache.View
	images       *imageCaches
	machineTypes map[string]*wire.MachineType
	offers       placement.ZoneOffers

	byName       map[wire.MachineID]*indexedNode
	all          []*placement.Node                  // by their ordinals, from 1
	withCapacity []*placement.Node                  // those that may take tasks
	pools        map[resources.Pool]poolCapacity    // of the schedulable nodes
	starting     map[wire.MachineID]*placement.Node // machines that are booting
	usage        resources.Usage                    // by the teams' bound tasks
}

// indexedNode is a node with what the index keeps of it.
type indexedNode struct {
	placement.Node
	capacityPosition int             // in nodeIndex.withCapacity, from 1; 0: it isn't there
	countedTasks     []*wire.Job     // one for each task that the sums count
	countedPool      *resources.Pool // the pool that counts it as schedulable
}

// poolCapacity is what the nodes of a pool have.
type poolCapacity struct {
	schedulableNodes int
	serviceUsage     resources.Vector // by the replicas that they run
}

// newNodeIndex makes an index of the machines of a view that holds none yet.
func newNodeIndex(view *statecache.View, images *imageCaches) *nodeIndex {
	return &nodeIndex{
		view:         view,
		images:       images,
		machineTypes: map[string]*wire.MachineType{},
		byName:       map[wire.MachineID]*indexedNode{},
		pools:        map[resources.Pool]poolCapacity{},
		starting:     map[wire.MachineID]*placement.Node{},
		usage:        resources.Usage{},
	}
}

// setMachineTypes replaces the machine types, and makes all nodes anew.
func (x *nodeIndex) setMachineTypes(types []wire.MachineType) {
	x.offers = placement.ZoneOffers{}
	most := 0.0
	for i := range types {
		x.machineTypes[types[i].Name] = &types[i]
		for _, zone := range types[i].Zones {
			x.offers[zone]++
			most = max(most, x.offers[zone])
		}
	}
	for zone := range x.offers {
		x.offers[zone] /= most
	}
	for _, name := range slices.Sorted(maps.Keys(x.view.Machines)) { // ordinals follow
		x.refresh(name, x.view.Machines[name])
	}
}

// node is the node of a machine, or nil.
func (x *nodeIndex) node(machine wire.MachineID) *placement.Node {
	if n := x.byName[machine]; n != nil {
		return &n.Node
	}
	return nil
}

// refresh makes a machine's node anew from its record, and keeps the sums and lists over the
// nodes; without a record the node is removed.
func (x *nodeIndex) refresh(machine wire.MachineID, rec *statecache.Machine) {
	n := x.byName[machine]
	if n != nil {
		x.uncount(n)
	}
	if rec == nil || x.machineTypes[rec.MachineType] == nil {
		if n != nil {
			x.remove(n)
		}
		return
	}
	if n == nil {
		n = x.add(machine)
	}
	x.loadRecord(&n.Node, rec)
	x.count(n, rec)
}

// reset makes the nodes of machines say again what their records do, after a scheduling cycle
// has changed them.
func (x *nodeIndex) reset(machines []wire.MachineID) {
	for _, name := range machines {
		if rec := x.view.Machines[name]; rec != nil {
			x.refresh(name, rec)
		}
	}
}

// add makes the node of a machine that has none.
func (x *nodeIndex) add(machine wire.MachineID) *indexedNode {
	n := &indexedNode{Node: placement.Node{Name: machine, HasImage: func(image string) bool { return x.images.has(machine, image) }}}
	x.byName[machine] = n
	x.all = append(x.all, &n.Node)
	n.Ordinal = len(x.all)
	return n
}

// remove drops a node that is counted nowhere any more. The last one takes its place.
func (x *nodeIndex) remove(n *indexedNode) {
	last := x.all[len(x.all)-1]
	x.all[n.Ordinal-1] = last
	last.Ordinal = n.Ordinal
	x.all = x.all[:len(x.all)-1]
	delete(x.byName, n.Name)
}

// count adds a node to the sums and lists. A scheduling cycle changes nodes for a while, so
// what is added is kept.
func (x *nodeIndex) count(n *indexedNode, rec *statecache.Machine) {
	n.countedTasks, n.countedPool = n.countedTasks[:0], nil
	for _, t := range n.Tasks {
		if t.Job != nil {
			n.countedTasks = append(n.countedTasks, t.Job)
		}
	}
	if n.Schedulable {
		n.countedPool = &resources.Pool{MachineType: n.MachineType.Name, Zone: n.Zone, Spot: n.Spot}
	}
	x.addToSums(n, 1)
	if n.HasCapacity() {
		x.withCapacity = append(x.withCapacity, &n.Node)
		n.capacityPosition = len(x.withCapacity)
	}
	if rec.Incarnation == 0 && rec.DrainReason == "" {
		x.starting[n.Name] = &n.Node
	}
}

// uncount takes back what count has added.
func (x *nodeIndex) uncount(n *indexedNode) {
	x.addToSums(n, -1)
	delete(x.starting, n.Name)
	position := n.capacityPosition - 1
	if position < 0 {
		return
	}
	last := x.withCapacity[len(x.withCapacity)-1]
	x.withCapacity[position] = last
	x.byName[last.Name].capacityPosition = position + 1
	n.capacityPosition = 0
	x.withCapacity = x.withCapacity[:len(x.withCapacity)-1]
}

// addToSums adds what is counted of a node to the sums, or with sign -1 takes it out of them.
func (x *nodeIndex) addToSums(n *indexedNode, sign float64) {
	for _, job := range n.countedTasks {
		x.usage[job.Team] = x.usage[job.Team].Plus(resources.OfTask(job), sign)
	}
	if n.countedPool == nil {
		return
	}
	pool := x.pools[*n.countedPool]
	pool.schedulableNodes += int(sign)
	for _, job := range n.countedTasks {
		if job.IsService() {
			pool.serviceUsage = pool.serviceUsage.Plus(resources.OfTask(job), sign)
		}
	}
	x.pools[*n.countedPool] = pool
}

// loadRecord makes a node say what a machine record does. The sums and lists are left alone.
func (x *nodeIndex) loadRecord(n *placement.Node, rec *statecache.Machine) {
	old := n.Tasks
	n.Group, n.MachineType, n.Zone, n.Spot, n.Schedulable = rec.Group, x.machineTypes[rec.MachineType], rec.Zone, rec.Spot, rec.Schedulable()
	n.Used, n.Tasks = resources.Vector{}, make([]placement.RunningTask, 0, len(rec.Bindings))
	for i := range rec.Bindings {
		binding := &rec.Bindings[i]
		task := placement.RunningTask{TaskIndex: binding.TaskIndex, Stopping: binding.StopToken > 0, BoundSince: time.Now()}
		if job := x.view.Jobs[binding.Job]; job != nil && job.Spec != nil {
			task.Job = job.Spec
			// What is to stop without a checkpoint has ended before a launch in the same
			// batch of commands is carried out.
			if binding.StopToken == 0 || binding.GraceSeconds > 0 {
				n.Used = n.Used.Plus(resources.OfTask(job.Spec), 1)
			}
		}
		for _, before := range old {
			if before.TaskIndex == binding.TaskIndex && before.Job != nil && before.Job.ID == binding.Job {
				task.BoundSince = before.BoundSince
			}
		}
		n.Tasks = append(n.Tasks, task)
	}
}

// slotsFor is how many tasks of a job the machines that are up could run at once if they had
// nothing else to do but to keep the replicas that they run.
func (x *nodeIndex) slotsFor(job *wire.Job) float64 {
	slots := 1.0
	for pool, capacity := range x.pools {
		if capacity.schedulableNodes > 0 && placement.Allowed(job, pool.MachineType, pool.Zone, pool.Spot) {
			limit := resources.OfMachineType(x.machineTypes[pool.MachineType])
			whole := float64(capacity.schedulableNodes) * math.Floor(1/resources.OfTask(job).Share(limit)+resources.RoundingTolerance)
			slots += whole * max(0, 1-capacity.serviceUsage.Share(limit)/float64(capacity.schedulableNodes))
		}
	}
	return slots
}

// shouldWaitForBoot reports whether a job that could go elsewhere had better wait for a machine that
// is booting than take capacity in a zone that offers few machine types: that is for jobs that
// must spread into it. Only a cluster that begins waits: later a replica can be moved.
func (x *nodeIndex) shouldWaitForBoot(job *wire.Job, n *placement.Node, now time.Time) bool {
	if n.Spot || job.SpreadZones && job.TaskCount > 1 || job.Zone != "" {
		return false
	}
	for pool, capacity := range x.pools {
		if capacity.schedulableNodes > 0 && !pool.Spot && x.offers[pool.Zone] > x.offers[n.Zone] {
			return false
		}
	}
	for name, booting := range x.starting {
		if !booting.Spot && x.offers[booting.Zone] > x.offers[n.Zone] && booting.AllowedFor(job) &&
			resources.OfTask(job).Fits(resources.OfMachineType(booting.MachineType)) && x.bootsInTime(name, booting.MachineType, now) {
			return true
		}
	}
	return false
}

// bootsInTime reports whether a machine that is booting has not taken longer than machines
// usually do.
func (x *nodeIndex) bootsInTime(machine wire.MachineID, machineType *wire.MachineType, now time.Time) bool {
	provisionedAt := x.view.Machines[machine].ProvisionedAt.Time()
	return now.Sub(provisionedAt) < config.Seconds(estimate.UsualBootFactor*float64(machineType.BootTime))
}
