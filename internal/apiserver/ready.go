package apiserver

import (
	"math"
	"net/http"
	"time"

	"lynxledge/internal/actor"
)

// isolationTimeoutLeases is the view age, in worker leases, above which a controller is not ready
// even if no peer is known to have a fresh view.
const isolationTimeoutLeases = 0.75

// ready responds with 200 while this controller should get users' requests, and with 503 otherwise.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.isReady() {
		writeError(w, unavailable("not ready"))
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// isReady reports whether this controller should get users' requests. In a store outage that all
// controllers see, none serves users better, so this one stays ready with a stale view: it rejects
// requests at once with Retry-After and serves users as soon as the outage ends. But a controller
// that has lost its peers too can't tell an outage from its own isolation, in which users who stay
// connected to it would never be served. It therefore stays ready only until its view is older than
// isolationTimeoutLeases, which leaves users enough time to find another controller.
func (s *Server) isReady() bool {
	const noView = time.Duration(math.MaxInt64) // view age if the view or the machine types are not loaded yet
	viewAge, ok := actor.Ask(s.Actor, func(reply func(time.Duration)) {
		if len(s.machineTypes) == 0 || s.freshAsOf.IsZero() {
			reply(noView)
			return
		}
		reply(time.Since(s.freshAsOf))
	})
	if !ok || viewAge > s.config.Params.Workers.Leases(isolationTimeoutLeases) {
		return false
	}
	freshPeerKnown := s.peers != nil && s.peers.FreshPeer() != ""
	return viewAge <= s.maxViewAge || !freshPeerKnown
}
