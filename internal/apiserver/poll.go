package apiserver

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lynxledge/wire"
)

// errNoSuchJob is the error for a job that was never accepted.
var errNoSuchJob = &httpError{status: http.StatusNotFound, text: "no such job"}

// jobIDFromPath returns the job ID in a request's path. If it is invalid, jobIDFromPath writes the
// error response and ok is false.
func jobIDFromPath(w http.ResponseWriter, r *http.Request) (id wire.JobID, ok bool) {
	id = wire.JobID(chi.URLParam(r, "id"))
	if !wire.ValidJobID(string(id)) {
		writeError(w, errNoSuchJob)
		return "", false
	}
	return id, true
}

// poll responds with a job's current status.
func (s *Server) poll(w http.ResponseWriter, r *http.Request) {
	id, ok := jobIDFromPath(w, r)
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
		writeError(w, errNoSuchJob)
	default:
		writeJSON(w, http.StatusOK, snapshot.status)
	}
}
