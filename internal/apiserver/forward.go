package apiserver

import (
	"context"
	"encoding/json"
	"net/http"

	"lynxledge/internal/peer"
)

// Forwarder passes requests on to the controller with the freshest view.
type Forwarder interface {
	Forward(ctx context.Context, method, path string, body []byte) (status int, response []byte, err error)
	FreshPeer() string // the name of that controller, or ""
}

// forwardToPeer passes a request on when this controller can't answer because the store is
// unreachable; without a controller that can, the user is told at once to come back. A request
// that was forwarded before is not forwarded again, or it could go in circles.
func (s *Server) forwardToPeer(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) {
	if s.peers != nil && r.Header.Get(peer.ForwardedHeader) == "" {
		status, response, err := s.peers.Forward(ctx, r.Method, r.URL.Path, body)
		if err == nil && status < http.StatusInternalServerError {
			writeJSON(w, status, json.RawMessage(response))
			return
		}
	}
	writeRefusal(w, unavailable(errStoreUnreachable.Error()))
}
