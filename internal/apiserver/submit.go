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

// submit answers a submission: a new job is admitted and committed, a repeated submission is
// answered with the job's state, whatever else it says.
func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	if s.overload.Level() >= overload.Overloaded {
		writeRefusal(w, s.queued(http.StatusServiceUnavailable, "overloaded"))
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
		writeRefusal(w, badRequest(parseErr))
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
	} else if refused, ok := errors.AsType[*refusal](err); ok {
		s.refuseUnlessRepeat(ctx, w, r, id, body, refused)
	} else {
		s.forwardToPeer(ctx, w, r, body)
	}
}

// refuseUnlessRepeat refuses a submission. A job that was accepted is never refused later,
// whatever its repeat says, and only a read of the store can tell; a refusal that asks the user
// to come back decides nothing and needs no read.
func (s *Server) refuseUnlessRepeat(ctx context.Context, w http.ResponseWriter, r *http.Request, id wire.JobID, body []byte, refused *refusal) {
	if refused.retryAfter > 0 {
		writeRefusal(w, refused)
		return
	}
	snapshot, err := s.currentSnapshot(ctx, id)
	switch {
	case err != nil:
		s.forwardToPeer(ctx, w, r, body)
	case snapshot.known:
		writeJSON(w, http.StatusOK, snapshot.status)
	default:
		writeRefusal(w, refused)
	}
}

// respondToRepeat answers the repeated submission of a job that was accepted before.
func (s *Server) respondToRepeat(ctx context.Context, w http.ResponseWriter, r *http.Request, id wire.JobID, body []byte) {
	snapshot, err := s.currentSnapshot(ctx, id)
	if err != nil || !snapshot.known {
		s.forwardToPeer(ctx, w, r, body)
		return
	}
	writeJSON(w, http.StatusOK, snapshot.status)
}

// accept commits a job that was admitted.
func (s *Server) accept(ctx context.Context, w http.ResponseWriter, r *http.Request, job *wire.Job, body []byte) {
	if s.storeUnreachable() {
		s.forwardToPeer(ctx, w, r, body)
		return
	}
	if !s.allowAdmission() {
		writeRefusal(w, s.queued(http.StatusTooManyRequests, "too many submissions at once"))
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

// acceptedStatus is the state of a job that was just committed: queued, unless it depends on one
// that is cancelled.
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
