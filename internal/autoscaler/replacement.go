package autoscaler

import (
	"maps"
	"slices"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// replacementFinder checks whether the replicas of unreachable machines fit on other machines. It
// builds its nodes once, on first use: usually no machine is unreachable, but sometimes many are.
type replacementFinder struct {
	autoscaler *Autoscaler
	nodes      []*placement.Node
}

// canReplaceReplicas reports whether all replicas of an unreachable machine fit on other nodes.
// If not, the machine is kept for up to maxUnreachableTime: a partitioned machine goes on serving
// until its lease expires, a new one takes time to boot, and the cloud may have none.
func (f *replacementFinder) canReplaceReplicas(unreachable *statecache.Machine) bool {
	if f.nodes == nil {
		f.nodes = f.autoscaler.replicaNodes()
	}
	view := f.autoscaler.view
	usedBefore := map[*placement.Node]resources.Vector{}
	defer func() { // each unreachable machine is checked independently
		for node, used := range usedBefore {
			node.Used = used
		}
	}()
	zones := zoneCountsWithout(view, unreachable)
	for _, task := range unreachable.Bindings {
		job := view.Jobs[task.Job]
		if job == nil || !job.Active() || !job.Spec.IsService() {
			continue
		}
		need := resources.OfTask(job.Spec)
		i := slices.IndexFunc(f.nodes, func(n *placement.Node) bool { return n.CanTake(job.Spec, need, zones[task.Job]) })
		if i < 0 {
			return false
		}
		node := f.nodes[i]
		if _, changed := usedBefore[node]; !changed {
			usedBefore[node] = node.Used
		}
		node.Used = node.Used.AddScaled(need, 1)
		zones[task.Job][node.Zone]++
	}
	return true
}

// zoneCountsWithout counts, for each job with tasks on a machine, its bound tasks on other machines
// by zone.
func zoneCountsWithout(view *statecache.View, machine *statecache.Machine) map[wire.JobID]placement.ZoneCounts {
	zones := map[wire.JobID]placement.ZoneCounts{}
	for _, task := range machine.Bindings {
		if zones[task.Job] == nil {
			zones[task.Job] = placement.ZoneCountsOf(view, task.Job)
		}
		zones[task.Job][machine.Zone]--
	}
	return zones
}

// replicaNodes returns the schedulable machines outside lost zones whose records can have room for
// a replica, sorted by name. Only tasks of production priority count as used capacity: work of
// lower priority is preempted for replicas.
func (a *Autoscaler) replicaNodes() []*placement.Node {
	types := a.machineTypes.byName()
	maxBytes := int(statecache.HighPriorityFillShare * float64(a.config.Params.Store.ValueSizeLimit()))
	nodes := make([]*placement.Node, 0, len(a.view.Machines))
	for _, name := range slices.Sorted(maps.Keys(a.view.Machines)) {
		m := a.view.Machines[name]
		if types[m.MachineType] == nil || !m.Schedulable() || a.zoneRecoveryPolicy.IsLost(a.view.ZoneRecoveries, m.Zone) {
			continue
		}
		if m.BindingRoom(maxBytes) == 0 { // a replica would wait until a task there has ended
			continue
		}
		node := &placement.Node{Name: name, MachineType: types[m.MachineType], Zone: m.Zone, Spot: m.Spot}
		for i := range m.Bindings {
			job := a.view.Jobs[m.Bindings[i].Job]
			if job != nil && job.Spec != nil && job.Spec.Priority == wire.PriorityProduction {
				node.Used = node.Used.AddScaled(resources.OfTask(job.Spec), 1)
			}
		}
		nodes = append(nodes, node)
	}
	return nodes
}
