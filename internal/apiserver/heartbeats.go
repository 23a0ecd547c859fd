package apiserver

import (
	"log/slog"
	"net/http"

	"lynxledge/internal/actor"
	"lynxledge/internal/heartbeat"
	"lynxledge/wire"
)

// handleHeartbeat has a worker's heartbeat answered.
func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	received, err := parseHeartbeat(body)
	if err != nil {
		slog.Warn("heartbeat rejected", "error", err)
		writeRefusal(w, badRequest(err))
		return
	}
	response, ok := actor.Ask(s.heartbeats.Actor, func(reply func(heartbeat.Response)) { s.heartbeats.HandleHeartbeat(received, reply) })
	switch {
	case ok && response.Outcome == heartbeat.Accepted:
		writeJSON(w, http.StatusOK, response.Body)
	case ok && response.Outcome == heartbeat.Redirected:
		writeJSON(w, http.StatusMisdirectedRequest, wire.RedirectResponse{RedirectTo: response.RedirectTo})
	default:
		writeRefusal(w, unavailable("not entitled to answer"))
	}
}

// parseHeartbeat decodes and checks a heartbeat.
func parseHeartbeat(body []byte) (*wire.Heartbeat, error) {
	received := &wire.Heartbeat{}
	if err := wire.Decode(body, received); err != nil {
		return nil, err
	}
	return received, received.Validate()
}
