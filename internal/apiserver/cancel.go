package apiserver

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// maxCancelAttempts bounds the commits for one cancellation. A job's record changes only when the
// job ends, so conflicts are rare.
const maxCancelAttempts = 4

// errRecordChanged means that a job's record was changed concurrently with its cancellation.
var errRecordChanged = errors.New("job record changed")

// cancel cancels a job, and responds with success only after the cancellation is committed.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id, ok := jobIDFromPath(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	status, err := s.tryCancel(ctx, id)
	for attempts := 1; errors.Is(err, errRecordChanged) && attempts < maxCancelAttempts; attempts++ {
		status, err = s.tryCancel(ctx, id)
	}
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, status)
	case errors.Is(err, errNoSuchJob):
		writeError(w, errNoSuchJob)
	default:
		s.forwardToPeer(ctx, w, r, nil)
	}
}

// tryCancel commits a job's cancellation, unless the job has ended already, and returns the
// resulting status.
func (s *Server) tryCancel(ctx context.Context, id wire.JobID) (wire.JobStatus, error) {
	snapshot, ok := s.snapshot(id)
	if !ok {
		return wire.JobStatus{}, errStoreUnreachable
	}
	if !snapshot.known {
		var err error
		if snapshot, err = s.currentSnapshot(ctx, id); err != nil {
			return wire.JobStatus{}, err
		}
	}
	switch {
	case !snapshot.known:
		return wire.JobStatus{}, errNoSuchJob
	case snapshot.final():
		return snapshot.status, nil
	case s.storeUnreachable():
		return wire.JobStatus{}, errStoreUnreachable
	}
	key := statecache.Key(statecache.KindJob, string(id))
	outcome, ok := s.commit(ctx, statecache.Commit{
		Preconditions: []wire.Precondition{{Key: key, ModRevision: snapshot.job.ModRevision}},
		Puts:          []statecache.Put{{Key: key, Record: snapshot.job.AsCancelled(statecache.TimestampOf(time.Now()))}},
	})
	switch {
	case ok && outcome == statecache.Committed:
		slog.Debug("job cancelled", "job", id)
		return wire.JobStatus{ID: id, State: wire.JobCancelled}, nil
	case ok && outcome == statecache.Conflicted:
		return wire.JobStatus{}, errRecordChanged
	}
	return wire.JobStatus{}, errStoreUnreachable
}
