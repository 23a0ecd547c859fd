package statecache

import "lynxledge/wire"

// Job is the record of an accepted job. It is rewritten only when the job ends.
type Job struct {
	Spec        *wire.Job     `json:"spec,omitempty"` // nil once the job is done
	State       wire.JobState `json:"state,omitempty"`
	TaskCount   int           `json:"n"`
	SubmittedAt Timestamp     `json:"at"`
	FinishedAt  Timestamp     `json:"end,omitempty"`
	ModRevision uint64        `json:"-"`

	// The fields below are derived from other jobs' records by the dependency graph, not stored.

	Blocked               bool         `json:"-"` // not all dependencies are done
	DependenciesDoneAt    Timestamp    `json:"-"` // when the last dependency was done
	CancelledByDependency bool         `json:"-"` // cancelled because a dependency was
	PriorityInherited     bool         `json:"-"` // the priority is that of a dependent job
	InheritedDeadline     Timestamp    `json:"-"` // deadline of a dependent job; 0: none
	DownstreamRuntime     wire.Seconds `json:"-"` // estimated time from the end of this job to the end of that dependent
}

// Active reports whether the job has not ended: its tasks may be started once its dependencies
// are done.
func (j *Job) Active() bool { return j.State == "" }

// RunnableSince returns the time since which the job has been able to run; while it is blocked,
// the time of its submission.
func (j *Job) RunnableSince() Timestamp {
	if j.Blocked {
		return j.SubmittedAt
	}
	return max(j.SubmittedAt, j.DependenciesDoneAt)
}

// AsCancelled returns the record of the cancelled job. It omits the fields that only the start of
// tasks needs, so that the record fits even if the size limit was lowered since.
func (j *Job) AsCancelled(at Timestamp) *Job {
	next := &Job{State: wire.JobCancelled, TaskCount: j.TaskCount, SubmittedAt: j.SubmittedAt, FinishedAt: at}
	if j.Spec != nil {
		spec := *j.Spec
		spec.MachineTypes, spec.Dependencies = nil, nil
		next.Spec = &spec
	}
	return next
}
