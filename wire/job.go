// Package wire holds the formats that lynxledge speaks with users, workers,
// the cloud and the state service, and the checks on them. It depends on
// nothing else of the project, so clients can use it too.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// Limits that the protocol states.
const (
	MaxBodyBytes    = 64 << 10 // bytes of a request body
	MaxTasksPerJob  = 100_000  // tasks of one job
	maxNameBytes    = 128      // bytes of a name inside a job: keeps records well under any value limit
	maxAmount       = 1e9      // amounts and durations beyond this are mistakes
	maxMachineTypes = 64
)

// Shapes of a job.
const (
	KindArray   = "array"
	KindService = "service"
)

// Priority is the priority of a job; a larger one is more urgent.
type Priority int

// The priorities, from the least urgent.
const (
	PriorityIdle Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityProduction
)

var priorityNames = [...]string{"idle", "normal", "high", "prod"}

// String is the protocol's word for the priority.
func (r Priority) String() string { return priorityNames[r] }

// MarshalJSON writes the protocol's word.
func (r Priority) MarshalJSON() ([]byte, error) { return json.Marshal(r.String()) }

// UnmarshalJSON reads the protocol's word.
func (r *Priority) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	for i, n := range priorityNames {
		if n == s {
			*r = Priority(i)
			return nil
		}
	}
	return fmt.Errorf("unknown rank %q", s)
}

// Job is what a user submits.
type Job struct {
	ID                 string   `json:"id"`
	Class              string   `json:"lane"`
	Team               string   `json:"crew"`
	Kind               string   `json:"shape"`
	Priority           Priority `json:"rank"`
	TaskCount          int      `json:"legs"`
	CPUs               float64  `json:"cores"`
	GPUs               float64  `json:"gpus"`
	MemoryGB           float64  `json:"memoryGb"`
	Image              string   `json:"bundle"`
	ImageGB            float64  `json:"sizeGb"`
	MachineTypes       []string `json:"builds,omitempty"`
	Zone               string   `json:"yard,omitempty"`
	SingleZone         bool     `json:"oneZone"`
	SpreadZones        bool     `json:"scatter"`
	AllowSpot          bool     `json:"loaners"`
	EstimatedRuntime   float64  `json:"expectS"`
	CheckpointInterval float64  `json:"waypointS"`
	CheckpointDuration float64  `json:"stashS"`
	Deadline           *float64 `json:"dueS,omitempty"`
	// Awaits names the predecessors: jobs that have to be done before any task of
	// this one starts.
	Dependencies []string `json:"awaits,omitempty"`
}

// IsService tells whether the job's tasks run until it is cancelled.
func (j *Job) IsService() bool { return j.Kind == KindService }

// jobDocument has every field as a pointer: a field that is missing, or null where
// null is not allowed, must be told from a zero.
type jobDocument struct {
	ID                 *string   `json:"id"`
	Class              *string   `json:"lane"`
	Team               *string   `json:"crew"`
	Kind               *string   `json:"shape"`
	Priority           *Priority `json:"rank"`
	TaskCount          *int      `json:"legs"`
	CPUs               *float64  `json:"cores"`
	GPUs               *float64  `json:"gpus"`
	MemoryGB           *float64  `json:"memoryGb"`
	Image              *string   `json:"bundle"`
	ImageGB            *float64  `json:"sizeGb"`
	MachineTypes       *[]string `json:"builds"`
	Zone               *string   `json:"yard"`
	SingleZone         *bool     `json:"oneZone"`
	SpreadZones        *bool     `json:"scatter"`
	AllowSpot          *bool     `json:"loaners"`
	EstimatedRuntime   *float64  `json:"expectS"`
	CheckpointInterval *float64  `json:"waypointS"`
	CheckpointDuration *float64  `json:"stashS"`
	Deadline           *float64  `json:"dueS"`
	Dependencies       []string  `json:"awaits"`
}

// ErrMalformed is wrapped by every error of ParseJob.
var ErrMalformed = errors.New("malformed")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Decode reads exactly one JSON object from b into v.
func Decode(b []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(b))
	if t := bytes.TrimLeft(b, " \t\r\n"); len(t) == 0 || t[0] != '{' {
		return malformed("not a JSON object")
	}
	if err := dec.Decode(v); err != nil {
		return malformed("%v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return malformed("data after the object")
	}
	return nil
}

// PeekJobID reads only the id of a submission, so that a repeat of a known job
// can be recognised whatever the rest of its body says.
func PeekJobID(b []byte) (string, bool) {
	var p struct {
		ID *string `json:"id"`
	}
	if Decode(b, &p) != nil || p.ID == nil || !ValidJobID(*p.ID) {
		return "", false
	}
	return *p.ID, true
}

// ParseJob reads and checks a submission.
func ParseJob(b []byte) (*Job, error) {
	var r jobDocument
	if err := Decode(b, &r); err != nil {
		return nil, err
	}
	missing := []struct {
		name   string
		absent bool
	}{
		{"id", r.ID == nil}, {"lane", r.Class == nil}, {"crew", r.Team == nil},
		{"shape", r.Kind == nil}, {"rank", r.Priority == nil}, {"legs", r.TaskCount == nil},
		{"cores", r.CPUs == nil}, {"gpus", r.GPUs == nil}, {"memoryGb", r.MemoryGB == nil},
		{"bundle", r.Image == nil}, {"sizeGb", r.ImageGB == nil}, {"oneZone", r.SingleZone == nil},
		{"scatter", r.SpreadZones == nil}, {"loaners", r.AllowSpot == nil}, {"expectS", r.EstimatedRuntime == nil},
		{"waypointS", r.CheckpointInterval == nil}, {"stashS", r.CheckpointDuration == nil},
	}
	for _, m := range missing {
		if m.absent {
			return nil, malformed("%s is missing", m.name)
		}
	}
	j := &Job{
		ID: *r.ID, Class: *r.Class, Team: *r.Team, Kind: *r.Kind, Priority: *r.Priority,
		TaskCount: *r.TaskCount, CPUs: *r.CPUs, GPUs: *r.GPUs, MemoryGB: *r.MemoryGB,
		Image: *r.Image, ImageGB: *r.ImageGB, SingleZone: *r.SingleZone, SpreadZones: *r.SpreadZones,
		AllowSpot: *r.AllowSpot, EstimatedRuntime: *r.EstimatedRuntime, CheckpointInterval: *r.CheckpointInterval,
		CheckpointDuration: *r.CheckpointDuration, Deadline: r.Deadline,
	}
	if r.MachineTypes != nil {
		if len(*r.MachineTypes) == 0 || len(*r.MachineTypes) > maxMachineTypes {
			return nil, malformed("builds must name 1 to %d types", maxMachineTypes)
		}
		j.MachineTypes = *r.MachineTypes
	}
	if r.Zone != nil {
		if *r.Zone == "" {
			return nil, malformed("yard is empty")
		}
		j.Zone = *r.Zone
	}
	for _, p := range r.Dependencies {
		if !ValidJobID(p) {
			return nil, malformed("awaits: %.40q is not of the form req-000412", p)
		}
		if !slices.Contains(j.Dependencies, p) {
			j.Dependencies = append(j.Dependencies, p)
		}
	}
	return j, j.validate()
}

func (j *Job) validate() error {
	if !ValidJobID(j.ID) {
		return malformed("id %.40q is not of the form req-000412", j.ID)
	}
	if j.Kind != KindArray && j.Kind != KindService {
		return malformed("shape %.40q", j.Kind)
	}
	if j.TaskCount < 1 || j.TaskCount > MaxTasksPerJob {
		return malformed("legs must be 1 to %d", MaxTasksPerJob)
	}
	names := append([]string{j.Class, j.Team, j.Image}, j.MachineTypes...)
	for _, n := range names {
		if n == "" || len(n) > maxNameBytes {
			return malformed("a name is empty or longer than %d bytes", maxNameBytes)
		}
	}
	if len(j.Zone) > maxNameBytes {
		return malformed("yard is longer than %d bytes", maxNameBytes)
	}
	if !(j.CPUs > 0) {
		return malformed("cores must be more than 0")
	}
	amounts := []float64{j.CPUs, j.GPUs, j.MemoryGB, j.ImageGB, j.EstimatedRuntime, j.CheckpointInterval, j.CheckpointDuration}
	if j.Deadline != nil {
		amounts = append(amounts, *j.Deadline)
	}
	for _, a := range amounts {
		if math.IsNaN(a) || a < 0 || a > maxAmount {
			return malformed("an amount is out of range")
		}
	}
	return nil
}

// ValidJobID tells whether s has the form of a job id.
func ValidJobID(s string) bool {
	d, ok := strings.CutPrefix(s, "req-")
	if !ok || len(d) < 6 || len(d) > 18 {
		return false
	}
	for _, c := range []byte(d) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// TaskName is the name that workers know a task by.
func TaskName(job string, n int) string { return fmt.Sprintf("%s/%d", job, n) }

// ParseTaskName is the reverse of TaskName.
func ParseTaskName(s string) (job string, n int, ok bool) {
	job, num, found := strings.Cut(s, "/")
	if !found || !ValidJobID(job) || num == "" || len(num) > 6 || (num[0] == '0' && num != "0") {
		return "", 0, false
	}
	for _, c := range []byte(num) {
		if c < '0' || c > '9' {
			return "", 0, false
		}
		n = n*10 + int(c-'0')
	}
	return job, n, n < MaxTasksPerJob
}

// States of a job as users see them.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "aborted"
)

// JobStatus answers users.
type JobStatus struct {
	ID             string `json:"id"`
	State          string `json:"status"`
	CompletedTasks int    `json:"done"`
	RunningTasks   int    `json:"running"`
}

// ErrorResponse is the body of every refusal.
type ErrorResponse struct {
	Message string `json:"error"`
}
