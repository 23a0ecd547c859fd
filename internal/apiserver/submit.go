package apiserver

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"lynxledge/internal/overload"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// submit serves a submission. A new job is checked and committed. The repeated submission of an
// accepted job gets the job's status, whatever the rest of its body says.
func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	if s.overload.Level() >= overload.Overloaded {
		writeError(w, s.retryLater(http.StatusServiceUnavailable, "overloaded"))
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	job, parseErr := wire.ParseJob(body)
	id, hasID := wire.PeekJobID(body)
	if parseErr != nil && !hasID {
		writeError(w, badRequest(parseErr))
		return
	}
	if snapshot, ok := s.snapshot(id); ok && snapshot.known {
		s.respondToRepeat(ctx, w, r, id, body)
		return
	}
	var err error
	if parseErr != nil {
		err = badRequest(parseErr)
	} else {
		err = s.checkAdmission(ctx, job)
	}
	if err == nil {
		s.accept(ctx, w, r, job, body)
	} else if httpErr, ok := errors.AsType[*httpError](err); ok {
		s.rejectUnlessRepeat(ctx, w, r, id, body, httpErr)
	} else {
		s.forwardToPeer(ctx, w, r, body)
	}
}

// rejectUnlessRepeat rejects a submission unless it repeats that of an accepted job, which must
// never be rejected later, whatever the repeated submission says. Only a read of the store can tell
// whether it does. An error with Retry-After is not final, and is sent without a read.
func (s *Server) rejectUnlessRepeat(ctx context.Context, w http.ResponseWriter, r *http.Request, id wire.JobID, body []byte, httpErr *httpError) {
	if httpErr.retryAfter > 0 {
		writeError(w, httpErr)
		return
	}
	snapshot, err := s.currentSnapshot(ctx, id)
	switch {
	case err != nil:
		s.forwardToPeer(ctx, w, r, body)
	case snapshot.known:
		writeJSON(w, http.StatusOK, snapshot.status)
	default:
		writeError(w, httpErr)
	}
}

// respondToRepeat responds to the repeated submission of an accepted job with the job's status.
func (s *Server) respondToRepeat(ctx context.Context, w http.ResponseWriter, r *http.Request, id wire.JobID, body []byte) {
	snapshot, err := s.currentSnapshot(ctx, id)
	if err != nil || !snapshot.known {
		s.forwardToPeer(ctx, w, r, body)
		return
	}
	writeJSON(w, http.StatusOK, snapshot.status)
}

// accept commits a job that passed the checks, within the admission rate.
func (s *Server) accept(ctx context.Context, w http.ResponseWriter, r *http.Request, job *wire.Job, body []byte) {
	if s.storeUnreachable() {
		s.forwardToPeer(ctx, w, r, body)
		return
	}
	if !s.allowAdmission() {
		writeError(w, s.retryLater(http.StatusTooManyRequests, "too many submissions at once"))
		return
	}
	key := statecache.Key(statecache.KindJob, string(job.ID))
	outcome, ok := s.commit(ctx, statecache.Commit{
		Preconditions: []wire.Precondition{{Key: key}},
		Puts:          []statecache.Put{{Key: key, Record: &statecache.Job{Spec: job, TaskCount: job.TaskCount, SubmittedAt: statecache.TimestampOf(time.Now())}}},
	})
	switch {
	case ok && outcome == statecache.Committed:
		logAccepted(job)
		writeJSON(w, http.StatusCreated, s.acceptedStatus(job.ID))
	case ok && outcome == statecache.Conflicted:
		s.respondToRepeat(ctx, w, r, job.ID, body)
	default:
		s.forwardToPeer(ctx, w, r, body)
	}
}

// acceptedStatus returns the status of a job that was just committed: queued, unless it depends on
// a cancelled job.
func (s *Server) acceptedStatus(id wire.JobID) wire.JobStatus {
	if snapshot, ok := s.snapshot(id); ok && snapshot.known {
		return snapshot.status
	}
	return wire.JobStatus{ID: id, State: wire.JobQueued}
}

func logAccepted(job *wire.Job) {
	slog.Debug("job accepted",
		"job", job.ID,
		"class", job.Class,
		"team", job.Team,
		"tasks", job.TaskCount,
		"image", job.Image,
		"image_gb", job.ImageGB,
		"estimated_runtime_seconds", float64(job.EstimatedRuntime))
}
