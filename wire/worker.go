package wire

import "math"

// States of a task on a worker.
const (
	TaskFetchingImage = "fetching"
	TaskRunning       = "running"
	TaskCheckpointing = "saving"
	TaskExited        = "ended"
)

// Reasons for which a task exited.
const (
	ReasonCompleted            = "done"
	ReasonStopped              = "halted"
	ReasonError                = "error"
	ReasonInsufficientCapacity = "no_room"
	ReasonAttemptConflict      = "in_use"
	ReasonUnknown              = "unknown"
)

// Verbs of orders.
const (
	OpLaunch      = "launch"
	OpStop        = "stop"
	OpAcknowledge = "clear"
)

// TaskStatus is one task in a report.
type TaskStatus struct {
	Task         string `json:"leg"`
	Attempt      uint64 `json:"try"`
	State        string `json:"status"`
	ExitReason   string `json:"cause,omitempty"`
	Checkpointed bool   `json:"stored,omitempty"`
}

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Machine          string       `json:"nest"`
	Address          string       `json:"address"`
	MachineType      string       `json:"build"`
	Zone             string       `json:"yard"`
	Spot             bool         `json:"loaners"`
	Incarnation      uint64       `json:"shift"`
	Sequence         uint64       `json:"tick"`
	FencingToken     uint64       `json:"baton"`
	PreemptionNotice *float64     `json:"recallS"`
	Tasks            []TaskStatus `json:"legs"`
}

// Validate refuses a report that no sound worker sends.
func (r *Heartbeat) Validate() error {
	switch {
	case !ValidMachineName(r.Machine):
		return malformed("nest %.40q", r.Machine)
	case !ValidMachineName(r.Address) || r.MachineType == "" || r.Zone == "":
		return malformed("address, build and yard must be set")
	case r.Incarnation == 0:
		return malformed("shift must be 1 or more")
	case r.PreemptionNotice != nil && (math.IsNaN(*r.PreemptionNotice) || *r.PreemptionNotice < 0):
		return malformed("recallS is negative")
	}
	return nil
}

// ValidMachineName tells whether s can name a machine inside a key.
func ValidMachineName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c == '/' || c >= 0x7f {
			return false
		}
	}
	return true
}

// Command is one command to a worker.
type Command struct {
	Op          string   `json:"verb"`
	Task        string   `json:"leg"`
	Attempt     uint64   `json:"try"`
	GracePeriod *float64 `json:"windS,omitempty"`
}

// HeartbeatResponse answers a report.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// RedirectResponse sends a worker to another node.
type RedirectResponse struct {
	RedirectTo string `json:"reportsTo,omitempty"`
}

// CommandBatch go straight to a worker.
type CommandBatch struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}
