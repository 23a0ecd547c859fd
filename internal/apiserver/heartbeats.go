package apiserver

import (
	"log/slog"
	"net/http"

	"lynxledge/internal/actor"
	"lynxledge/internal/heartbeat"
	"lynxledge/wire"
)

// handleHeartbeat passes a worker's heartbeat to the heartbeat receiver and writes its response.
func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	received, err := parseHeartbeat(body)
	if err != nil {
		slog.Warn("heartbeat rejected", "error", err)
		writeError(w, badRequest(err))
		return
	}
	response, ok := actor.Ask(s.heartbeats.Actor, func(reply func(heartbeat.Response)) { s.heartbeats.HandleHeartbeat(received, reply) })
	switch {
	case ok && response.Outcome == heartbeat.Accepted:
		writeJSON(w, http.StatusOK, response.Body)
	case ok && response.Outcome == heartbeat.Redirected:
		writeJSON(w, http.StatusMisdirectedRequest, wire.RedirectResponse{RedirectTo: response.RedirectTo})
	default:
		writeError(w, unavailable("not entitled to answer"))
	}
}

// parseHeartbeat decodes and validates a heartbeat.
func parseHeartbeat(body []byte) (*wire.Heartbeat, error) {
	received := &wire.Heartbeat{}
	if err := wire.Decode(body, received); err != nil {
		return nil, err
	}
	return received, received.Validate()
}
