package apiserver

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lynxledge/wire"
)

// errNoSuchJob refuses requests about jobs that were never accepted.
var errNoSuchJob = &refusal{status: http.StatusNotFound, text: "no such job"}

// jobIDFrom is the id of the job that a request names; false if it was answered already.
func jobIDFrom(w http.ResponseWriter, r *http.Request) (id wire.JobID, ok bool) {
	id = wire.JobID(chi.URLParam(r, "id"))
	if !wire.ValidJobID(string(id)) {
		writeRefusal(w, errNoSuchJob)
		return "", false
	}
	return id, true
}

// poll answers with a job's current state.
func (s *Server) poll(w http.ResponseWriter, r *http.Request) {
	id, ok := jobIDFrom(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	snapshot, err := s.currentSnapshot(ctx, id)
	switch {
	case err != nil:
		s.forwardToPeer(ctx, w, r, nil)
	case !snapshot.known:
		writeRefusal(w, errNoSuchJob)
	default:
		writeJSON(w, http.StatusOK, snapshot.status)
	}
}
