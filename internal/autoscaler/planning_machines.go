package autoscaler

import (
	"fmt"
	"math"

	"lynxledge/internal/planner"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// machines returns the machines of the view with their tasks. secondsUntilAdmitted is, for machines
// that are up but not admitted yet while their zone recovers, the time until they take tasks.
func (g *inputGatherer) machines(secondsUntilAdmitted map[wire.MachineID]float64) []planner.Machine {
	machines := make([]planner.Machine, 0, len(g.view.Machines))
	for name, record := range g.view.Machines {
		m := planner.Machine{
			Name:        name,
			Pool:        machinePool(record),
			AgeSeconds:  (float64(g.now.UnixMilli()) - float64(record.ProvisionedAt)) / 1000,
			Tasks:       g.runningTasks(record),
			Schedulable: record.DrainReason == "" && !record.Terminating && !record.Suspected,
		}
		if record.Incarnation == 0 {
			m.ReadyInSeconds = math.Max(0, g.machineTypes.bootSeconds(record.MachineType)-m.AgeSeconds)
			// An overdue boot may never finish: the machine no longer counts as capacity.
			m.Schedulable = m.Schedulable && !g.machineTypes.isBootOverdue(record, g.now)
		}
		m.ReadyInSeconds = max(m.ReadyInSeconds, secondsUntilAdmitted[name])
		m.MaxTasks = g.maxTasks(record, len(m.Tasks))
		machines = append(machines, m)
	}
	return machines
}

// maxTasks returns how many tasks a machine that has the given number could have, as far as the
// record of its group has room for them, or will have once the scheduler has split it. The scheduler
// doesn't split records while there are more teams than a transaction has writes.
func (g *inputGatherer) maxTasks(m *statecache.Machine, tasks int) int {
	store := &g.config.Params.Store
	maxBytes := int(statecache.BindingFillShare * float64(store.ValueSizeLimit()))
	room := m.BindingRoom(maxBytes)
	if group := g.view.Groups[m.Group]; group != nil && len(g.view.Assignments) > store.TxnOpsLimit() {
		room = group.BindingRoom(maxBytes)
	}
	if tasks+room == 0 {
		return planner.NoTasks
	}
	return tasks + room
}

// runningTasks returns the tasks bound to a machine.
func (g *inputGatherer) runningTasks(m *statecache.Machine) []planner.RunningTask {
	var tasks []planner.RunningTask
	for i := range m.Bindings {
		binding := &m.Bindings[i]
		job := g.view.Jobs[binding.Job]
		if job == nil || job.Spec == nil {
			continue
		}
		remainingSeconds := math.Inf(1)
		if !job.Spec.IsService() {
			remainingSeconds = g.jobs.remainingSeconds(binding.TaskID(), g.jobs.runtimeSeconds(job.Spec), g.now)
		}
		tasks = append(tasks, planner.RunningTask{Job: job.Spec, RemainingSeconds: remainingSeconds})
	}
	return tasks
}

// unnamedMachines returns the machines that are being provisioned and whose names are not known
// yet.
func (g *inputGatherer) unnamedMachines() []planner.Machine {
	var machines []planner.Machine
	for _, intent := range g.view.ProvisioningIntents {
		for i := range intent.Count {
			machines = append(machines, planner.Machine{
				Name:           wire.MachineID(fmt.Sprintf("requested-%d", i)),
				Pool:           intentPool(intent),
				ReadyInSeconds: g.machineTypes.bootSeconds(intent.MachineType),
				Schedulable:    true,
			})
		}
	}
	return machines
}
