package statecache

import "lynxledge/wire"

// Job is an accepted job. It is written again only when it ends.
type Job struct {
	Spec        *wire.Job     `json:"spec,omitempty"` // nil once the job is done
	State       wire.JobState `json:"state,omitempty"`
	TaskCount   int           `json:"n"`
	SubmittedAt Timestamp     `json:"at"`
	FinishedAt  Timestamp     `json:"end,omitempty"`
	ModRevision uint64        `json:"-"`

	// What follows is derived from other jobs' records by the dependency graph, and not stored.

	Blocked               bool         `json:"-"` // not all dependencies are done
	DependenciesDoneAt    Timestamp    `json:"-"` // when the last dependency was done
	CancelledByDependency bool         `json:"-"` // cancelled because a dependency was
	PriorityInherited     bool         `json:"-"` // the priority is that of a dependent job
	InheritedDeadline     Timestamp    `json:"-"` // deadline of a dependent job; 0: none
	DownstreamRuntime     wire.Seconds `json:"-"` // estimated from the end of this job to the end of that one
}

// Active tells whether the job has not ended: its tasks may be started, or may be once its
// dependencies are done.
func (j *Job) Active() bool { return j.State == "" }

// RunnableSince returns the time from which the job could run; while it is blocked, that of
// its submission.
func (j *Job) RunnableSince() Timestamp {
	if j.Blocked {
		return j.SubmittedAt
	}
	return max(j.SubmittedAt, j.DependenciesDoneAt)
}

// Cancelled returns the record of the job's cancellation. What only a start would need is left
// out: the record must fit whatever the limit of a value has become.
func (j *Job) Cancelled(at Timestamp) *Job {
	next := &Job{State: wire.JobCancelled, TaskCount: j.TaskCount, SubmittedAt: j.SubmittedAt, FinishedAt: at}
	if j.Spec != nil {
		spec := *j.Spec
		spec.MachineTypes, spec.Dependencies = nil, nil
		next.Spec = &spec
	}
	return next
}
