package reconcile

import "lynxledge/wire"

// Evidence is a report that proves something of its machine's record, and how long
// the tasks ran that it calls ended, as far as its hearer knows.
type Evidence struct {
	Heartbeat    *wire.Heartbeat         `json:"report"`
	TaskRuntimes map[wire.TaskID]float64 `json:"ranS,omitempty"`
}
