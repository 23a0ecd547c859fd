package wire

import "math"

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task.
const (
	TaskFetchingImage TaskState = "fetching"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "saving" // was stopped and writes a checkpoint
	TaskExited        TaskState = "ended"  // with an ExitReason
)

// ExitReason is the reason for which a task exited or was not started.
type ExitReason string

// Reasons that workers give.
const (
	ReasonCompleted            ExitReason = "done"
	ReasonStopped              ExitReason = "halted" // by command
	ReasonError                ExitReason = "error"
	ReasonInsufficientCapacity ExitReason = "no_room" // not started: the machine has too little left
	ReasonAttemptConflict      ExitReason = "in_use"  // not started: the task is there with another attempt
	ReasonUnknown              ExitReason = "unknown" // not started: no such job or task
)

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Task         TaskID     `json:"leg"`
	Attempt      uint64     `json:"try"`
	State        TaskState  `json:"status"`
	ExitReason   ExitReason `json:"cause,omitempty"`
	Checkpointed bool       `json:"stored,omitempty"` // stopped, and its progress was saved
}

// Heartbeat is what a worker tells the controllers about its machine. Of two heartbeats of
// a machine, the one with the larger incarnation and sequence is the newer.
type Heartbeat struct {
	Machine          MachineID    `json:"nest"`
	Address          string       `json:"address"` // host and port for direct commands
	MachineType      string       `json:"build"`
	Zone             Zone         `json:"yard"`
	Spot             bool         `json:"loaners"`
	Incarnation      uint64       `json:"shift"`   // from 1, higher each time the worker's lease expires
	Sequence         uint64       `json:"tick"`    // higher with every message of the worker
	FencingToken     uint64       `json:"baton"`   // the highest that the worker has seen
	PreemptionNotice *Seconds     `json:"recallS"` // time until the cloud takes the machine back; nil: none
	Tasks            []TaskStatus `json:"legs"`    // all on the machine, also exited ones that are not acknowledged
}

// Validate returns an error for a heartbeat that no correct worker sends.
func (h *Heartbeat) Validate() error {
	switch {
	case !ValidMachineName(string(h.Machine)):
		return invalid("nest", "nest %.40q", h.Machine)
	case !ValidMachineName(h.Address) || h.MachineType == "" || h.Zone == "":
		return invalid("", "address, build and yard must be set")
	case h.Incarnation == 0:
		return invalid("shift", "shift must be 1 or more")
	case h.PreemptionNotice != nil && (math.IsNaN(float64(*h.PreemptionNotice)) || *h.PreemptionNotice < 0):
		return invalid("recallS", "recallS is negative")
	}
	return nil
}

// HeartbeatResponse answers a heartbeat. It renews the worker's lease unless its fencing
// token is lower than one the worker has seen.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// RedirectResponse sends a worker to another controller.
type RedirectResponse struct {
	RedirectTo string `json:"reportsTo,omitempty"` // the controller's member name; empty: any other
}

// CommandOp is the operation of a command.
type CommandOp string

// Operations.
const (
	OpLaunch      CommandOp = "launch"
	OpStop        CommandOp = "stop"
	OpAcknowledge CommandOp = "clear" // removes an exited task from the heartbeats
)

// Command is one command to a worker.
type Command struct {
	Op          CommandOp `json:"verb"`
	Task        TaskID    `json:"leg"`
	Attempt     uint64    `json:"try"`
	GracePeriod *Seconds  `json:"windS,omitempty"` // of a stop: time to write a checkpoint
}

// CommandBatch is a batch of commands sent to a worker directly. The worker refuses it if
// the fencing token is lower than one it has seen, or if the incarnation is another.
type CommandBatch struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}
