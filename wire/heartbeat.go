package wire

import "math"

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task.
const (
	TaskFetchingImage TaskState = "fetching"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "saving" // stopping, while it writes a checkpoint
	TaskExited        TaskState = "ended"  // exited or was not started; see ExitReason
)

// ExitReason is the reason why a task exited or was not started.
type ExitReason string

// Reasons that workers give.
const (
	ReasonCompleted            ExitReason = "done"
	ReasonStopped              ExitReason = "halted" // by command
	ReasonError                ExitReason = "error"
	ReasonInsufficientCapacity ExitReason = "no_room" // not started: too little free capacity on the machine
	ReasonAttemptConflict      ExitReason = "in_use"  // not started: the machine has another attempt of the task
	ReasonUnknown              ExitReason = "unknown" // not started: no such job or task
)

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Task         TaskID     `json:"leg"`
	Attempt      uint64     `json:"try"`
	State        TaskState  `json:"status"`
	ExitReason   ExitReason `json:"cause,omitempty"`
	Checkpointed bool       `json:"stored,omitempty"` // whether the task was stopped and wrote a checkpoint
}

// Heartbeat is a worker's report on its machine to a controller. Of two heartbeats of a machine,
// the one with the higher incarnation is newer, and of the same incarnation the one with the
// higher sequence number.
type Heartbeat struct {
	Machine          MachineID    `json:"nest"`
	Address          string       `json:"address"` // host and port for direct commands
	MachineType      string       `json:"build"`
	Zone             Zone         `json:"yard"`
	Spot             bool         `json:"loaners"`
	Incarnation      uint64       `json:"shift"`   // starts at 1 and increases when the worker's lease expires
	Sequence         uint64       `json:"tick"`    // increases with every message of the worker
	FencingToken     uint64       `json:"baton"`   // the highest that the worker has seen
	PreemptionNotice *Seconds     `json:"recallS"` // time until the cloud reclaims the machine; nil: no notice
	Tasks            []TaskStatus `json:"legs"`    // all tasks on the machine, including exited ones that are not acknowledged yet
}

// Validate returns a *ValidationError if the heartbeat has a missing or invalid field.
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

// HeartbeatResponse is the response to a heartbeat. It renews the worker's lease unless its
// fencing token is lower than one that the worker has seen.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// RedirectResponse tells a worker to send its heartbeats to another controller.
type RedirectResponse struct {
	RedirectTo string `json:"reportsTo,omitempty"` // member name of the controller; empty: any other
}

// CommandOp is the operation of a command.
type CommandOp string

// Operations of commands.
const (
	OpLaunch      CommandOp = "launch"
	OpStop        CommandOp = "stop"
	OpAcknowledge CommandOp = "clear" // the worker forgets an exited task and no longer reports it
)

// Command is one command to a worker.
type Command struct {
	Op          CommandOp `json:"verb"`
	Task        TaskID    `json:"leg"`
	Attempt     uint64    `json:"try"`
	GracePeriod *Seconds  `json:"windS,omitempty"` // for OpStop: time to write a checkpoint
}

// CommandBatch is a batch of commands sent directly to a worker. The worker rejects it if the
// fencing token is lower than one that it has seen, or if the incarnation is not its current one.
type CommandBatch struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}
