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
	MaxBody     = 64 << 10 // bytes of a request body
	MaxTasks    = 100_000  // tasks of one job
	maxNameSize = 128      // bytes of a name inside a job: keeps records well under any value limit
	maxAmount   = 1e9      // amounts and durations beyond this are mistakes
	maxBuilds   = 64
)

// Shapes of a job.
const (
	ShapeArray   = "array"
	ShapeService = "service"
)

// Priority is the priority of a job; a larger one is more urgent.
type Priority int

// The priorities, from the least urgent.
const (
	RankIdle Priority = iota
	RankNormal
	RankHigh
	RankProd
)

var rankNames = [...]string{"idle", "normal", "high", "prod"}

func (r Priority) String() string { return rankNames[r] }

// MarshalJSON writes the protocol's word.
func (r Priority) MarshalJSON() ([]byte, error) { return json.Marshal(r.String()) }

// UnmarshalJSON reads the protocol's word.
func (r *Priority) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	for i, n := range rankNames {
		if n == s {
			*r = Priority(i)
			return nil
		}
	}
	return fmt.Errorf("unknown rank %q", s)
}

// Job is what a user submits.
type Job struct {
	ID          string   `json:"id"`
	Class       string   `json:"lane"`
	Team        string   `json:"crew"`
	Shape       string   `json:"shape"`
	Rank        Priority `json:"rank"`
	Tasks       int      `json:"legs"`
	CPUs        float64  `json:"cores"`
	GPUs        float64  `json:"gpus"`
	MemoryGB    float64  `json:"memoryGb"`
	Image       string   `json:"bundle"`
	ImageGB     float64  `json:"sizeGb"`
	Types       []string `json:"builds,omitempty"`
	Zone        string   `json:"yard,omitempty"`
	OneZone     bool     `json:"oneZone"`
	Spread      bool     `json:"scatter"`
	Spot        bool     `json:"loaners"`
	EstimateS   float64  `json:"expectS"`
	CheckpointS float64  `json:"waypointS"`
	SaveS       float64  `json:"stashS"`
	DeadlineS   *float64 `json:"dueS,omitempty"`
	// Awaits names the predecessors: jobs that have to be done before any task of
	// this one starts.
	Awaits []string `json:"awaits,omitempty"`
}

// Service tells whether the job's tasks run until it is cancelled.
func (j *Job) Service() bool { return j.Shape == ShapeService }

// rawJob has every field as a pointer: a field that is missing, or null where
// null is not allowed, must be told from a zero.
type rawJob struct {
	ID          *string   `json:"id"`
	Class       *string   `json:"lane"`
	Team        *string   `json:"crew"`
	Shape       *string   `json:"shape"`
	Rank        *Priority `json:"rank"`
	Tasks       *int      `json:"legs"`
	CPUs        *float64  `json:"cores"`
	GPUs        *float64  `json:"gpus"`
	MemoryGB    *float64  `json:"memoryGb"`
	Image       *string   `json:"bundle"`
	ImageGB     *float64  `json:"sizeGb"`
	Types       *[]string `json:"builds"`
	Zone        *string   `json:"yard"`
	OneZone     *bool     `json:"oneZone"`
	Spread      *bool     `json:"scatter"`
	Spot        *bool     `json:"loaners"`
	EstimateS   *float64  `json:"expectS"`
	CheckpointS *float64  `json:"waypointS"`
	SaveS       *float64  `json:"stashS"`
	DeadlineS   *float64  `json:"dueS"`
	Awaits      []string  `json:"awaits"`
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

// PeekID reads only the id of a submission, so that a repeat of a known job
// can be recognised whatever the rest of its body says.
func PeekID(b []byte) (string, bool) {
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
	var r rawJob
	if err := Decode(b, &r); err != nil {
		return nil, err
	}
	missing := []struct {
		name   string
		absent bool
	}{
		{"id", r.ID == nil}, {"lane", r.Class == nil}, {"crew", r.Team == nil},
		{"shape", r.Shape == nil}, {"rank", r.Rank == nil}, {"legs", r.Tasks == nil},
		{"cores", r.CPUs == nil}, {"gpus", r.GPUs == nil}, {"memoryGb", r.MemoryGB == nil},
		{"bundle", r.Image == nil}, {"sizeGb", r.ImageGB == nil}, {"oneZone", r.OneZone == nil},
		{"scatter", r.Spread == nil}, {"loaners", r.Spot == nil}, {"expectS", r.EstimateS == nil},
		{"waypointS", r.CheckpointS == nil}, {"stashS", r.SaveS == nil},
	}
	for _, m := range missing {
		if m.absent {
			return nil, malformed("%s is missing", m.name)
		}
	}
	j := &Job{
		ID: *r.ID, Class: *r.Class, Team: *r.Team, Shape: *r.Shape, Rank: *r.Rank,
		Tasks: *r.Tasks, CPUs: *r.CPUs, GPUs: *r.GPUs, MemoryGB: *r.MemoryGB,
		Image: *r.Image, ImageGB: *r.ImageGB, OneZone: *r.OneZone, Spread: *r.Spread,
		Spot: *r.Spot, EstimateS: *r.EstimateS, CheckpointS: *r.CheckpointS,
		SaveS: *r.SaveS, DeadlineS: r.DeadlineS,
	}
	if r.Types != nil {
		if len(*r.Types) == 0 || len(*r.Types) > maxBuilds {
			return nil, malformed("builds must name 1 to %d types", maxBuilds)
		}
		j.Types = *r.Types
	}
	if r.Zone != nil {
		if *r.Zone == "" {
			return nil, malformed("yard is empty")
		}
		j.Zone = *r.Zone
	}
	for _, p := range r.Awaits {
		if !ValidJobID(p) {
			return nil, malformed("awaits: %.40q is not of the form req-000412", p)
		}
		if !slices.Contains(j.Awaits, p) {
			j.Awaits = append(j.Awaits, p)
		}
	}
	return j, j.check()
}

func (j *Job) check() error {
	if !ValidJobID(j.ID) {
		return malformed("id %.40q is not of the form req-000412", j.ID)
	}
	if j.Shape != ShapeArray && j.Shape != ShapeService {
		return malformed("shape %.40q", j.Shape)
	}
	if j.Tasks < 1 || j.Tasks > MaxTasks {
		return malformed("legs must be 1 to %d", MaxTasks)
	}
	names := append([]string{j.Class, j.Team, j.Image}, j.Types...)
	for _, n := range names {
		if n == "" || len(n) > maxNameSize {
			return malformed("a name is empty or longer than %d bytes", maxNameSize)
		}
	}
	if len(j.Zone) > maxNameSize {
		return malformed("yard is longer than %d bytes", maxNameSize)
	}
	if !(j.CPUs > 0) {
		return malformed("cores must be more than 0")
	}
	amounts := []float64{j.CPUs, j.GPUs, j.MemoryGB, j.ImageGB, j.EstimateS, j.CheckpointS, j.SaveS}
	if j.DeadlineS != nil {
		amounts = append(amounts, *j.DeadlineS)
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

// SplitTask is the reverse of TaskName.
func SplitTask(s string) (job string, n int, ok bool) {
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
	return job, n, n < MaxTasks
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
	ID      string `json:"id"`
	State   string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Problem is the body of every refusal.
type Problem struct {
	Error string `json:"error"`
}
