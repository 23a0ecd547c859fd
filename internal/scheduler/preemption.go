package scheduler

import (
	"log/slog"
	"time"

	"lynxledge/internal/estimate"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// maxVictimSearches is how many of the queued jobs of a priority on average may search for victims
// in a cycle. They are drawn at random in each cycle. A search costs far more than finding that
// there is no free capacity.
const maxVictimSearches = 64

// victimSearchShares returns the share of the queued jobs of each priority that may search for
// victims.
func victimSearchShares(queue []queuedJob) map[wire.Priority]float64 {
	shares := map[wire.Priority]float64{}
	for i := range queue {
		shares[queue[i].job.Spec.Priority]++
	}
	for priority, jobs := range shares {
		shares[priority] = min(1, maxVictimSearches/jobs)
	}
	return shares
}

// victimFacts holds a cycle's data for the search for victims. guaranteed, updated and replicaSets
// are filled when first needed.
type victimFacts struct {
	searchShares map[wire.Priority]float64 // share of the jobs that may search for victims
	guaranteed   map[wire.JobID]bool       // jobs within their teams' guarantees
	updated      map[*placement.Node]bool  // nodes whose tasks have been updated in this cycle
	replicaSets  map[wire.JobID]*placement.ReplicaSet
}

// updateVictimFacts updates the fields of the nodes' tasks that the search for victims uses, once a
// cycle for each node.
func (c *cycle) updateVictimFacts(nodes []*placement.Node) {
	if c.victims.guaranteed == nil {
		c.victims.guaranteed = c.jobs.withinGuarantee(c.teamQuota)
	}
	for _, n := range nodes {
		if c.victims.updated[n] {
			continue
		}
		c.victims.updated[n] = true
		for i := range n.Tasks {
			t := &n.Tasks[i]
			if t.Job == nil {
				continue
			}
			job := c.jobs.active[t.Job.ID]
			t.Stopping = t.Stopping || job == nil
			t.WithinGuarantee = c.victims.guaranteed[t.Job.ID]
			t.JobHasNoPendingTasks = job != nil && c.view.PendingTasks(t.Job.ID, job) <= 0
			t.RuntimeSoFar = c.now.Sub(t.BoundSince)
			if job != nil && t.Job.IsService() {
				t.Service = c.replicaSet(job)
			}
		}
	}
}

// maxImageFetchShare is the share of a class's start objective that fetching the image may take.
const maxImageFetchShare = 0.6

// fetchesTooLong reports whether a task would miss the start objective of its class because the
// node has to fetch its image first.
func (c *cycle) fetchesTooLong(job *wire.Job, n *placement.Node) bool {
	within, ofClass := c.config.StartObjective(job.Class)
	return ofClass && fetchTime(job, n).Seconds() > within.Seconds()*maxImageFetchShare
}

// fetchTime returns how long a node takes to fetch a job's image; 0 if it has the image or its fetch
// rate is unknown.
func fetchTime(job *wire.Job, n *placement.Node) time.Duration {
	if n.HasImage(job.Image) {
		return 0
	}
	return estimate.ImageFetchTime(job, n.MachineType)
}

// stopBytes is the estimated size that stopping a task adds to a record.
const stopBytes = 12

// preempt stops the victims on a node, in the same group record that will bind their successor, a
// task of the given job. If the victims have a target node, it starts the move to it.
func (c *cycle) preempt(update *groupUpdate, victims *placement.Victims, successor *wire.Job) {
	rec := update.UpdateMachine(victims.Node.Name)
	for _, i := range victims.Tasks {
		task := &victims.Node.Tasks[i]
		task.Stopping = true
		victims.Node.Used = victims.Node.Used.AddScaled(resources.OfTask(task.Job), -1)
		binding := rec.FindBinding(task.Job.ID, task.TaskIndex)
		if binding == nil {
			continue
		}
		if task.Service != nil {
			task.Service.Immovable = true
			task.Service.Running--
		}
		if victims.Target != nil {
			c.startMove(victims, task, binding)
		}
		binding.StopToken = rec.FencingToken
		if !task.Job.IsService() && task.RuntimeSoFar < c.config.Params.Workers.HeartbeatInterval {
			c.backoff.recordEarlyPreemption(binding.Job, c.now)
		}
		update.size += stopBytes
		c.commands.addStop(rec.Name, binding)
		slog.Info("task preempted",
			"task", binding.TaskID(),
			"machine", rec.Name,
			"runtime_seconds", int(task.RuntimeSoFar.Seconds()),
			"successor", successor.ID,
			"reason", preemptionReasonOf(victims, task.Job, successor))
	}
}

// preemptionReason is the reason for which a task is preempted, as logged.
type preemptionReason string

const (
	preemptedForPriority  preemptionReason = "priority"
	preemptedForGuarantee preemptionReason = "guarantee"
	preemptedForMove      preemptionReason = "move"
)

func preemptionReasonOf(victims *placement.Victims, victim, successor *wire.Job) preemptionReason {
	switch {
	case victims.Target != nil:
		return preemptedForMove
	case victim.Priority < successor.Priority:
		return preemptedForPriority
	}
	return preemptedForGuarantee
}
