package apiserver

import (
	"math"
	"net/http"
	"time"

	"lynxledge/internal/actor"
)

// isolationTimeoutLeases is for how long, in workers' leases, a controller whose view is old
// stays ready when no other is known to be better off.
const isolationTimeoutLeases = 0.75

// ready answers 200 while this controller can serve users.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.isReady() {
		writeRefusal(w, unavailable("not ready"))
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// isReady tells whether the view is fresh enough to serve users. In an outage that every
// controller sees, nobody serves better: users are then told at once when to come back, and are
// served the moment it ends. But a controller that has lost its peers too can't tell that from
// its own isolation, and users who stay connected to it would never be answered: it gives up in
// time for them to find another.
func (s *Server) isReady() bool {
	const none = time.Duration(math.MaxInt64) // age of a view that isn't there
	viewAge, ok := actor.Ask(s.Actor, func(reply func(time.Duration)) {
		if len(s.machineTypes) == 0 || s.freshAsOf.IsZero() {
			reply(none)
			return
		}
		reply(time.Since(s.freshAsOf))
	})
	if !ok || viewAge > s.config.Params.Workers.Leases(isolationTimeoutLeases) {
		return false
	}
	othersServeBetter := s.peers != nil && s.peers.FreshPeer() != ""
	return viewAge <= s.maxViewAge || !othersServeBetter
}
