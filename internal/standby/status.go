package standby

import (
	"encoding/json"
	"net/http"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/failuredetector"
)

// StatusPath is where a controller answers with its Status, on its mesh address.
const StatusPath = "/status/standby"

// Status is what a controller thinks of the others, and what it would do.
type Status struct {
	Member string `json:"member"`
	Leader string `json:"leader,omitempty"`
	Placer string `json:"placer,omitempty"`
	// StandsBy is who would claim the lead if the leader failed now, the first first.
	StandsBy []string      `json:"standsBy"`
	Others   []OtherStatus `json:"others"`
	// Last is the last takeover of this controller.
	Last Action `json:"last"`
}

// OtherStatus is what is known of another controller.
type OtherStatus struct {
	Member      string    `json:"member"`
	Level       string    `json:"level"`
	SilentMS    int64     `json:"silentMs"`
	Connections int       `json:"connections"`
	Refuted     int       `json:"refuted,omitempty"`
	HeldUntil   time.Time `json:"heldUntil,omitzero"`
}

// ServeHTTP answers with the Status.
func (s *Standby) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	status, ok := actor.Ask(s.Actor, func(reply func(Status)) { reply(s.status(time.Now())) })
	if !ok {
		http.Error(w, "the controller is too busy to tell", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // the client may have gone
}

func (s *Standby) status(now time.Time) Status {
	status := Status{Member: s.config.MemberName, Placer: s.activeScheduler(), Last: s.last}
	if s.view.Leader != nil {
		status.Leader = s.view.Leader.Member
		status.StandsBy = s.successors(now, status.Leader)
	}
	for _, g := range s.detector.Statuses(now) {
		status.Others = append(status.Others, s.otherStatus(g))
	}
	return status
}

func (s *Standby) otherStatus(g failuredetector.MemberStatus) OtherStatus {
	o := OtherStatus{Member: g.Member, Level: g.Level.String(), SilentMS: g.SilentFor.Milliseconds(), Connections: g.Connections}
	if h := s.holds[g.Member]; h != nil {
		o.Refuted, o.HeldUntil = h.refuted, h.until
	}
	return o
}
