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

// nodeIndex holds a node for each machine of a known type, and maintains sums and lists over them
// incrementally, so that the cost of one changed machine does not grow with the fleet.
type nodeIndex struct {
	view         *statecache.View
	limits       recordLimits
	images       *imageCaches
	machineTypes map[string]*wire.MachineType
	offers       placement.ZoneOffers

	byName       map[wire.MachineID]*indexedNode
	all          []*placement.Node                  // by ordinal; the first has ordinal 1
	withCapacity []*placement.Node                  // schedulable nodes with free capacity
	pools        map[resources.Pool]poolCapacity    // of the schedulable nodes
	booting      map[wire.MachineID]*placement.Node // nodes whose machines are booting
	usage        resources.Usage                    // of the teams' bound tasks
}

// indexedNode is a node with its entries in the index.
type indexedNode struct {
	placement.Node
	capacityPosition int             // 1 + its position in nodeIndex.withCapacity; 0: it isn't in the list
	countedTasks     []*wire.Job     // the job of each task that is included in the sums
	countedPool      *resources.Pool // the pool in which it is counted as schedulable; nil: none
}

// poolCapacity sums up the schedulable nodes of a pool.
type poolCapacity struct {
	schedulableNodes int
	serviceUsage     resources.Vector // of the replicas on them
}

// newNodeIndex returns an empty index for the machines of a view that has none yet.
func newNodeIndex(view *statecache.View, limits recordLimits, images *imageCaches) *nodeIndex {
	return &nodeIndex{
		view:         view,
		limits:       limits,
		images:       images,
		machineTypes: map[string]*wire.MachineType{},
		byName:       map[wire.MachineID]*indexedNode{},
		pools:        map[resources.Pool]poolCapacity{},
		booting:      map[wire.MachineID]*placement.Node{},
		usage:        resources.Usage{},
	}
}

// setMachineTypes adds or replaces machine types, and refreshes all nodes.
func (x *nodeIndex) setMachineTypes(types []wire.MachineType) {
	x.offers = placement.ZoneOffers{}
	maxOffers := 0.0
	for i := range types {
		x.machineTypes[types[i].Name] = &types[i]
		for _, zone := range types[i].Zones {
			x.offers[zone]++
			maxOffers = max(maxOffers, x.offers[zone])
		}
	}
	for zone := range x.offers {
		x.offers[zone] /= maxOffers
	}
	for _, name := range slices.Sorted(maps.Keys(x.view.Machines)) { // sorted: new nodes get their ordinals in this order
		x.refresh(name, x.view.Machines[name])
	}
}

// node returns the node of a machine, or nil.
func (x *nodeIndex) node(machine wire.MachineID) *placement.Node {
	if n := x.byName[machine]; n != nil {
		return &n.Node
	}
	return nil
}

// refresh updates a machine's node from its record, and the sums and lists with it. The node is
// removed if rec is nil or the machine type unknown.
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

// reset restores the nodes of machines from their records in the view, dropping the changes of a
// scheduling cycle.
func (x *nodeIndex) reset(machines []wire.MachineID) {
	for _, name := range machines {
		if rec := x.view.Machines[name]; rec != nil {
			x.refresh(name, rec)
		}
	}
}

// add adds a node for a machine that has none.
func (x *nodeIndex) add(machine wire.MachineID) *indexedNode {
	n := &indexedNode{Node: placement.Node{Name: machine, HasImage: func(image string) bool { return x.images.has(machine, image) }}}
	x.byName[machine] = n
	x.all = append(x.all, &n.Node)
	n.Ordinal = len(x.all)
	return n
}

// remove removes a node that has been uncounted. The last node takes over its ordinal.
func (x *nodeIndex) remove(n *indexedNode) {
	last := x.all[len(x.all)-1]
	x.all[n.Ordinal-1] = last
	last.Ordinal = n.Ordinal
	x.all = x.all[:len(x.all)-1]
	delete(x.byName, n.Name)
}

// count adds a node to the sums and lists. It stores what it adds for uncount, since a scheduling
// cycle modifies nodes in the meantime.
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
		x.booting[n.Name] = &n.Node
	}
}

// uncount removes from the sums and lists what count added.
func (x *nodeIndex) uncount(n *indexedNode) {
	x.addToSums(n, -1)
	delete(x.booting, n.Name)
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

// addToSums adds a node's counted tasks and pool to the sums, or subtracts them if sign is -1.
func (x *nodeIndex) addToSums(n *indexedNode, sign float64) {
	for _, job := range n.countedTasks {
		x.usage[job.Team] = x.usage[job.Team].AddScaled(resources.OfTask(job), sign)
	}
	if n.countedPool == nil {
		return
	}
	pool := x.pools[*n.countedPool]
	pool.schedulableNodes += int(sign)
	for _, job := range n.countedTasks {
		if job.IsService() {
			pool.serviceUsage = pool.serviceUsage.AddScaled(resources.OfTask(job), sign)
		}
	}
	x.pools[*n.countedPool] = pool
}

// loadRecord sets a node's fields from a machine's record. It does not update the sums and lists.
func (x *nodeIndex) loadRecord(n *placement.Node, rec *statecache.Machine) {
	old := n.Tasks
	n.RecordFull = rec.BindingRoom(x.limits.valueBytes(statecache.HighPriorityFillShare)) == 0
	n.Group, n.MachineType, n.Zone, n.Spot, n.Schedulable = rec.Group, x.machineTypes[rec.MachineType], rec.Zone, rec.Spot, rec.Schedulable()
	n.Used, n.Tasks = resources.Vector{}, make([]placement.RunningTask, 0, len(rec.Bindings))
	for i := range rec.Bindings {
		binding := &rec.Bindings[i]
		task := placement.RunningTask{
			TaskIndex: binding.TaskIndex, Attempt: binding.Attempt, Stopping: binding.StopToken > 0, BoundSince: boundSince(old, binding),
		}
		if job := x.view.Jobs[binding.Job]; job != nil && job.Spec != nil {
			task.Job = job.Spec
			// A task that is stopped without a grace period counts as free capacity: it has
			// ended before a launch in the same batch of commands is carried out.
			if binding.StopToken == 0 || binding.GraceSeconds > 0 {
				n.Used = n.Used.AddScaled(resources.OfTask(job.Spec), 1)
			}
		}
		n.Tasks = append(n.Tasks, task)
	}
}

// boundSince returns when a binding was first observed, given the node's tasks before: now if its
// attempt is not among them.
func boundSince(before []placement.RunningTask, binding *statecache.TaskBinding) time.Time {
	for i := range before {
		task := &before[i]
		if task.TaskIndex == binding.TaskIndex && task.Attempt == binding.Attempt && task.Job != nil && task.Job.ID == binding.Job {
			return task.BoundSince
		}
	}
	return time.Now()
}

// slotsFor returns how many tasks of a job the schedulable machines could run at once if they ran
// nothing else but their present replicas of services. One is added so that it is never 0.
func (x *nodeIndex) slotsFor(job *wire.Job) float64 {
	slots := 1.0
	for pool, capacity := range x.pools {
		if capacity.schedulableNodes > 0 && placement.Allowed(job, pool.MachineType, pool.Zone, pool.Spot) {
			limit := resources.OfMachineType(x.machineTypes[pool.MachineType])
			slotsIfEmpty := float64(capacity.schedulableNodes) * math.Floor(1/resources.OfTask(job).Share(limit)+resources.RoundingTolerance)
			slots += slotsIfEmpty * max(0, 1-capacity.serviceUsage.Share(limit)/float64(capacity.schedulableNodes))
		}
	}
	return slots
}

// shouldWaitForBoot reports whether a task that could be placed on the on-demand node n should wait
// for a machine that is booting in a zone with more machine types. That holds for jobs that are free
// to choose their zones: the zone with fewer types is left to jobs that must spread into it. Jobs
// wait only while a cluster starts, with no on-demand machine up in a zone with more types; later a
// replica can be moved instead.
func (x *nodeIndex) shouldWaitForBoot(job *wire.Job, n *placement.Node, now time.Time) bool {
	if n.Spot || job.SpreadZones && job.TaskCount > 1 || job.Zone != "" {
		return false
	}
	for pool, capacity := range x.pools {
		if capacity.schedulableNodes > 0 && !pool.Spot && x.offers[pool.Zone] > x.offers[n.Zone] {
			return false
		}
	}
	for name, node := range x.booting {
		if !node.Spot && x.offers[node.Zone] > x.offers[n.Zone] && node.AllowedFor(job) &&
			resources.OfTask(job).Fits(resources.OfMachineType(node.MachineType)) && x.bootsInTime(name, node.MachineType, now) {
			return true
		}
	}
	return false
}

// bootsInTime reports whether a booting machine is still within the usual boot time of its type.
func (x *nodeIndex) bootsInTime(machine wire.MachineID, machineType *wire.MachineType, now time.Time) bool {
	provisionedAt := x.view.Machines[machine].ProvisionedAt.Time()
	return now.Sub(provisionedAt) < config.Seconds(estimate.UsualBootFactor*float64(machineType.BootTime))
}
