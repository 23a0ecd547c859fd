package peer

import (
	"time"

	"lynxledge/internal/reconcile"
	"lynxledge/wire"
)

// PeerHeartbeat is one message of a stream.
type PeerHeartbeat struct {
	Member        string `json:"member"`
	ViewAgeMillis int64  `json:"ageMs"` // of the sender's view; negative: it has none
	// Incarnation tells the sender's process from its earlier ones; 0: it is not announced.
	Incarnation uint64           `json:"boot,omitempty"`
	Reachable   []wire.MachineID `json:"heard,omitempty"` // machines whose workers the sender had heartbeats from
	// Evidence is for the receiver to write to the store, if its scheduler is active.
	Evidence *reconcile.Evidence `json:"note,omitempty"`
}

// viewAge is the age of the sender's view; negative: it has none.
func (h *PeerHeartbeat) viewAge() time.Duration {
	return time.Duration(h.ViewAgeMillis) * time.Millisecond
}

// hasValidEvidence tells whether the message brings evidence that is well-formed.
func (h *PeerHeartbeat) hasValidEvidence() bool {
	return h.Evidence != nil && h.Evidence.Heartbeat != nil && h.Evidence.Heartbeat.Validate() == nil
}
