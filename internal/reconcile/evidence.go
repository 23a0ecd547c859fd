package reconcile

import "lynxledge/wire"

// Evidence is a heartbeat that requires an update of its machine's record, and how long the
// terminated tasks ran, as far as the controller that received it knows.
type Evidence struct {
	Heartbeat    *wire.Heartbeat              `json:"report"`
	TaskRuntimes map[wire.TaskID]wire.Seconds `json:"ranS,omitempty"`
}
