package reconcile

import "lynxledge/wire"

// Evidence is a heartbeat that requires an update of its machine's record. TaskRuntimes holds the
// runtimes of the terminated tasks, as far as the controller that received the heartbeat knows
// them.
type Evidence struct {
	Heartbeat    *wire.Heartbeat              `json:"report"`
	TaskRuntimes map[wire.TaskID]wire.Seconds `json:"ranS,omitempty"`
}
