package wire

import (
	"encoding/json"
	"fmt"
)

// MaxTasksPerJob is the maximum number of tasks of a job.
const MaxTasksPerJob = 100_000

// JobKind determines whether a job's tasks run to completion or until the job is cancelled.
type JobKind string

// Kinds of jobs.
const (
	KindArray   JobKind = "array"   // independent tasks, each of which runs to completion
	KindService JobKind = "service" // replicas that run until the job is cancelled
)

// Priority is the priority of a job; a higher value is more urgent.
type Priority int

// Priorities, in ascending order.
const (
	PriorityIdle Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityProduction
)

var priorityNames = [...]string{"idle", "normal", "high", "prod"}

// String returns the priority's name in the protocol.
func (p Priority) String() string { return priorityNames[p] }

// MarshalJSON encodes the priority as its name in the protocol.
func (p Priority) MarshalJSON() ([]byte, error) { return json.Marshal(p.String()) }

// UnmarshalJSON decodes a priority from its name in the protocol.
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

// Job is the specification of a job as submitted by its user. Resources are per task.
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
	CheckpointDuration Seconds  `json:"stashS"`    // time that a stopped task takes to write a checkpoint
	Deadline           *Seconds `json:"dueS,omitempty"`
	// Dependencies are the jobs that must be done before any task of this job starts.
	Dependencies []JobID `json:"awaits,omitempty"`
}

// IsService reports whether the job's tasks run until it is cancelled.
func (j *Job) IsService() bool { return j.Kind == KindService }

// JobState is the state of a job as reported to users.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued" // no task is running
	JobRunning   JobState = "running"
	JobDone      JobState = "done" // all tasks have completed; final
	JobCancelled JobState = "aborted"
)

// JobStatus is the response to a submission, a poll or a cancellation.
type JobStatus struct {
	ID             JobID    `json:"id"`
	State          JobState `json:"status"`
	CompletedTasks int      `json:"done"`
	RunningTasks   int      `json:"running"`
}
