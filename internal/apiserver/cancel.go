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

// maxCancelAttempts bounds the commits for one cancellation. A job's record changes only when it
// ends, so conflicts are rare.
const maxCancelAttempts = 4

// errRecordChanged says that a job's record changed while its cancellation was committed.
var errRecordChanged = errors.New("job record changed")

// cancel cancels a job, and answers only once that is committed.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id, ok := jobIDFrom(w, r)
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
		writeRefusal(w, errNoSuchJob)
	default:
		s.forwardToPeer(ctx, w, r, nil)
	}
}

// tryCancel commits a job's cancellation, unless it has ended already, and returns its state
// then.
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
		Puts:          []statecache.Put{{Key: key, Record: snapshot.job.Cancelled(statecache.TimestampOf(time.Now()))}},
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
