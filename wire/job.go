package wire

import (
	"encoding/json"
	"fmt"
)

// MaxTasksPerJob is the largest number of tasks of one job.
const MaxTasksPerJob = 100_000

// JobKind says when a job's tasks are over.
type JobKind string

// Kinds of jobs.
const (
	KindArray   JobKind = "array"   // independent tasks, each runs to completion
	KindService JobKind = "service" // replicas, which run until the job is cancelled
)

// Priority is the priority of a job; a larger one is more urgent.
type Priority int

// Priorities, from the least urgent.
const (
	PriorityIdle Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityProduction
)

var priorityNames = [...]string{"idle", "normal", "high", "prod"}

// String returns the protocol's name of the priority.
func (p Priority) String() string { return priorityNames[p] }

// MarshalJSON writes the protocol's name of the priority.
func (p Priority) MarshalJSON() ([]byte, error) { return json.Marshal(p.String()) }

// UnmarshalJSON reads the protocol's name of a priority.
func (p *Priority) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	for i, name := range priorityNames {
		if name == s {
			*p = Priority(i)
			return nil
		}
	}
	return fmt.Errorf("unknown rank %q", s)
}

// Job is the specification of a job, as its user submits it. Resources are those of one task.
type Job struct {
	ID                 JobID    `json:"id"`
	Class              string   `json:"lane"`
	Team               TeamName `json:"crew"`
	Kind               JobKind  `json:"shape"`
	Priority           Priority `json:"rank"`
	TaskCount          int      `json:"legs"`
	CPUs               float64  `json:"cores"`
	GPUs               float64  `json:"gpus"`
	MemoryGB           float64  `json:"memoryGb"`
	Image              string   `json:"bundle"`
	ImageGB            float64  `json:"sizeGb"`
	MachineTypes       []string `json:"builds,omitempty"` // allowed types; empty: any
	Zone               Zone     `json:"yard,omitempty"`   // the only allowed zone; empty: any
	SingleZone         bool     `json:"oneZone"`          // all tasks must be in the same zone
	SpreadZones        bool     `json:"scatter"`          // at most half of the tasks, rounded up, may be in one zone
	AllowSpot          bool     `json:"loaners"`
	EstimatedRuntime   Seconds  `json:"expectS"`   // of a task, without fetching its image; 0 for services
	CheckpointInterval Seconds  `json:"waypointS"` // progress between two checkpoints; 0: the tasks write none
	CheckpointDuration Seconds  `json:"stashS"`    // time to write a checkpoint when stopped
	Deadline           *Seconds `json:"dueS,omitempty"`
	// Dependencies are the jobs that have to be done before any task of this one starts.
	Dependencies []JobID `json:"awaits,omitempty"`
}

// IsService reports whether the job's tasks run until it is cancelled.
func (j *Job) IsService() bool { return j.Kind == KindService }

// JobState is the state of a job as users see it.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued" // no task runs
	JobRunning   JobState = "running"
	JobDone      JobState = "done" // all tasks have completed; final
	JobCancelled JobState = "aborted"
)

// JobStatus answers a submission, a query and a cancellation.
type JobStatus struct {
	ID             JobID    `json:"id"`
	State          JobState `json:"status"`
	CompletedTasks int      `json:"done"`
	RunningTasks   int      `json:"running"`
}
