package peer

import (
	"time"

	"lynxledge/internal/reconcile"
	"lynxledge/wire"
)

// PeerHeartbeat is a message between controllers; a stream is a sequence of them. Each message
// counts as a heartbeat of its sender, whatever else it contains.
type PeerHeartbeat struct {
	Member        string `json:"member"`
	ViewAgeMillis int64  `json:"ageMs"` // age of the sender's view; negative: it has none
	// Incarnation distinguishes the sender's process from its earlier ones; 0: not announced.
	Incarnation uint64           `json:"boot,omitempty"`
	Reachable   []wire.MachineID `json:"heard,omitempty"` // machines that the sender has received heartbeats from
	// Evidence is to be written to the store by the receiver, whose scheduler is the active one
	// in the sender's view; nil: none.
	Evidence *reconcile.Evidence `json:"note,omitempty"`
}

// viewAge returns the age of the sender's view; negative if it has none.
func (h *PeerHeartbeat) viewAge() time.Duration {
	return time.Duration(h.ViewAgeMillis) * time.Millisecond
}

// hasValidEvidence reports whether the message contains well-formed evidence.
func (h *PeerHeartbeat) hasValidEvidence() bool {
	return h.Evidence != nil && h.Evidence.Heartbeat != nil && h.Evidence.Heartbeat.Validate() == nil
}
