package autoscaler

import (
	"iter"
	"time"

	"lynxledge/internal/estimate"
	"lynxledge/internal/jobhealth"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// jobFailures holds the failures of active jobs since their last success.
type jobFailures struct {
	byJob    map[wire.JobID]*jobhealth.Failures
	heldBack map[wire.JobID]bool // jobs whose tasks the scheduler tries one at a time
}

func newJobFailures() *jobFailures {
	return &jobFailures{byJob: map[wire.JobID]*jobhealth.Failures{}, heldBack: map[wire.JobID]bool{}}
}

// observe updates the failures of the task's job, which is active.
func (j *jobFailures) observe(t *statecache.Termination, now time.Time) {
	switch {
	case t.Reason == wire.ReasonCompleted:
		j.forget(t.Job)
	case jobhealth.IsFailure(t.Reason):
		if j.byJob[t.Job] == nil {
			j.byJob[t.Job] = &jobhealth.Failures{}
		}
		j.byJob[t.Job].Add(t, now)
	}
}

// forget drops the failures of a job.
func (j *jobFailures) forget(job wire.JobID) {
	delete(j.byJob, job)
	delete(j.heldBack, job)
}

// failsEverywhere reports whether a job fails on so many machines that none of them is to blame.
func (j *jobFailures) failsEverywhere(job wire.JobID) bool {
	f := j.byJob[job]
	return f != nil && f.Everywhere()
}

// judgeFailedJobs updates which jobs are held back, and ends the failures of those that have
// recovered. Jobs that failed on a single machine don't count as held back: mostly that machine is
// faulty, and the others are soon placed.
func (a *Autoscaler) judgeFailedJobs(now time.Time) {
	limits := jobhealth.TrialLimitsOf(a.config)
	for id, f := range a.failures.byJob {
		verdict := f.Judge(a.tasksOfJob(id), limits, now)
		if verdict == jobhealth.Recovered {
			a.failures.forget(id)
			continue
		}
		a.failures.heldBack[id] = verdict == jobhealth.Unknown && f.Suspected() && f.Repeated()
	}
}

// tasksOfJob returns the job's tasks that are bound to schedulable machines and not being stopped.
func (a *Autoscaler) tasksOfJob(id wire.JobID) iter.Seq[jobhealth.BoundTask] {
	return func(yield func(jobhealth.BoundTask) bool) {
		for index, machine := range a.view.Bindings[id] {
			rec := a.view.Machines[machine]
			if task, ok := a.boundTask(rec, rec.FindBinding(id, index)); ok && !yield(task) {
				return
			}
		}
	}
}

// tasksOnMachine returns the tasks that are bound to a machine, if it is schedulable, and not being
// stopped.
func (a *Autoscaler) tasksOnMachine(rec *statecache.Machine) iter.Seq[jobhealth.BoundTask] {
	return func(yield func(jobhealth.BoundTask) bool) {
		for i := range rec.Bindings {
			if task, ok := a.boundTask(rec, &rec.Bindings[i]); ok && !yield(task) {
				return
			}
		}
	}
}

// boundTask returns a task for jobhealth; false if it is not known to run undisturbed.
func (a *Autoscaler) boundTask(rec *statecache.Machine, binding *statecache.TaskBinding) (jobhealth.BoundTask, bool) {
	if binding == nil || binding.StopToken > 0 || !rec.Schedulable() {
		return jobhealth.BoundTask{}, false
	}
	since, known := a.jobs.boundSince[binding.TaskID()]
	job, machineType := a.view.Jobs[binding.Job], a.machineTypes.find(rec.MachineType)
	if !known || job == nil || job.Spec == nil || machineType == nil {
		return jobhealth.BoundTask{}, false
	}
	return jobhealth.BoundTask{Since: since, FetchTime: estimate.ImageFetchTime(job.Spec, machineType)}, true
}
