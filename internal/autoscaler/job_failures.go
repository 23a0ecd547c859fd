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
type jobFailures map[wire.JobID]*jobhealth.Failures

// observe updates the failures of the task's job, which is active.
func (j jobFailures) observe(t *statecache.Termination, now time.Time) {
	switch {
	case t.Reason == wire.ReasonCompleted:
		delete(j, t.Job)
	case jobhealth.IsFailure(t.Reason):
		if j[t.Job] == nil {
			j[t.Job] = &jobhealth.Failures{}
		}
		j[t.Job].Add(t, now)
	}
}

// failsEverywhere reports whether a job fails on so many machines that none of them is to blame.
func (j jobFailures) failsEverywhere(job wire.JobID) bool {
	f := j[job]
	return f != nil && f.Everywhere()
}

// judgeFailedJobs ends the failures of the jobs that have recovered.
func (a *Autoscaler) judgeFailedJobs(now time.Time) {
	limits := jobhealth.TrialLimitsOf(a.config)
	for id, f := range a.failures {
		if f.Judge(a.tasksOfJob(id), limits, now) == jobhealth.Recovered {
			delete(a.failures, id)
		}
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
