package standby

import (
	"encoding/json"
	"net/http"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/failuredetector"
)

// StatusPath is the path on a controller's peer address that serves its Status.
const StatusPath = "/status/standby"

// Status shows how a controller classifies its peers, and who would succeed the leader.
type Status struct {
	Member          string `json:"member"`
	Leader          string `json:"leader,omitempty"`
	ActiveScheduler string `json:"placer,omitempty"`
	// Successors are the members that would claim leadership if the leader failed now, in order.
	Successors []string     `json:"standsBy"`
	Peers      []PeerStatus `json:"others"`
	// LastAction is the last claim or eviction by this controller.
	LastAction Action `json:"last"`
}

// PeerStatus is the status of another controller.
type PeerStatus struct {
	Member               string    `json:"member"`
	Level                string    `json:"level"`
	SinceHeartbeatMillis int64     `json:"silentMs"`
	Connections          int       `json:"connections"`
	Refutations          int       `json:"refuted,omitempty"`
	HoldUntil            time.Time `json:"heldUntil,omitzero"`
}

// ServeHTTP writes the Status as JSON.
func (s *Standby) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	status, ok := actor.Ask(s.Actor, func(reply func(Status)) { reply(s.status(time.Now())) })
	if !ok {
		http.Error(w, "the controller is too busy to tell", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // fails only if the client has disconnected
}

func (s *Standby) status(now time.Time) Status {
	status := Status{Member: s.config.MemberName, ActiveScheduler: s.activeScheduler(), LastAction: s.lastAction}
	if s.view.Leader != nil {
		status.Leader = s.view.Leader.Member
		status.Successors = s.successors(now, status.Leader)
	}
	for _, member := range s.detector.Statuses(now) {
		status.Peers = append(status.Peers, s.peerStatus(member))
	}
	return status
}

func (s *Standby) peerStatus(member failuredetector.MemberStatus) PeerStatus {
	status := PeerStatus{
		Member:               member.Member,
		Level:                member.Level.String(),
		SinceHeartbeatMillis: member.SinceHeartbeat.Milliseconds(),
		Connections:          member.Connections,
	}
	if h := s.holdDowns[member.Member]; h != nil {
		status.Refutations, status.HoldUntil = h.refutations, h.until
	}
	return status
}
