package scheduler

import (
	"iter"
	"time"

	"lynxledge/internal/estimate"
	"lynxledge/internal/jobhealth"
	"lynxledge/wire"
)

// judgeIntervalHeartbeats is the time, in heartbeat intervals, between two judgements of a job.
const judgeIntervalHeartbeats = 0.5

// judgeFailedJobs judges the jobs with failures by their bound tasks. It ends the failures of those
// that have recovered or ended.
func (s *schedulingState) judgeFailedJobs(now time.Time) {
	limits := jobhealth.TrialLimitsOf(s.config)
	for id, f := range s.backoff.failures {
		if s.jobs.active[id] == nil {
			delete(s.backoff.failures, id)
			continue
		}
		if now.Before(f.judgeAt) {
			continue
		}
		f.judgeAt = now.Add(s.config.Params.Workers.Heartbeats(judgeIntervalHeartbeats))
		verdict := f.Judge(s.tasksOnTrial(id), limits, now)
		f.outlived = verdict == jobhealth.Sound
		if verdict == jobhealth.Recovered {
			delete(s.backoff.failures, id)
		}
	}
}

// tasksOnTrial returns the job's tasks that are bound to schedulable machines and not being stopped.
func (s *schedulingState) tasksOnTrial(id wire.JobID) iter.Seq[jobhealth.BoundTask] {
	return func(yield func(jobhealth.BoundTask) bool) {
		for index, machine := range s.view.Bindings[id] {
			node := s.nodes.node(machine)
			if node == nil || !node.Schedulable {
				continue
			}
			task := node.FindTask(id, index)
			if task == nil || task.Stopping {
				continue
			}
			if !yield(jobhealth.BoundTask{Since: task.BoundSince, FetchTime: estimate.ImageFetchTime(task.Job, node.MachineType)}) {
				return
			}
		}
	}
}
