package apiserver

import (
	"context"
	"encoding/json"
	"net/http"

	"lynxledge/internal/peer"
)

// Forwarder forwards requests to the controller with the freshest view.
type Forwarder interface {
	Forward(ctx context.Context, method, path string, body []byte) (status int, response []byte, err error)
	FreshPeer() string // the name of that controller; empty: no other has a fresh view
}

// forwardToPeer forwards a request that this controller can't serve because the store is
// unreachable. If no other controller can serve it, the response is 503 with Retry-After. A
// forwarded request is not forwarded again, to avoid loops.
func (s *Server) forwardToPeer(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) {
	if s.peers != nil && r.Header.Get(peer.ForwardedHeader) == "" {
		status, response, err := s.peers.Forward(ctx, r.Method, r.URL.Path, body)
		if err == nil && status < http.StatusInternalServerError {
			writeJSON(w, status, json.RawMessage(response))
			return
		}
	}
	writeError(w, unavailable(errStoreUnreachable.Error()))
}
