package apiserver

import (
	"context"
	"errors"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// errStoreUnreachable says that the store can't be reached in time. Users read its text.
var errStoreUnreachable = errors.New("state service not reachable")

// storeUnreachable tells whether this controller has had no response of the store for so long
// that a call would only hang: the time that a user waits is better spent on another
// controller.
func (s *Server) storeUnreachable() bool { return time.Since(s.cache.FreshAsOf()) > s.maxViewAge }

// linearizableRead waits until the view holds everything committed before the call.
func (s *Server) linearizableRead(ctx context.Context) error {
	if s.storeUnreachable() {
		return errStoreUnreachable
	}
	refreshed := make(chan error, 1)
	s.cache.Refresh(func(err error) {
		if err != nil {
			refreshed <- err
			return
		}
		if !s.Post(func() { refreshed <- nil }) { // behind the update in our mailbox
			refreshed <- errStoreUnreachable
		}
	})
	select {
	case err := <-refreshed:
		return err
	case <-ctx.Done():
		return errStoreUnreachable
	}
}

// jobSnapshot is what the view says of a job.
type jobSnapshot struct {
	known  bool
	status wire.JobStatus
	job    *statecache.Job
}

// final tells whether nothing will change the job's state any more.
func (j *jobSnapshot) final() bool { return j.known && !j.job.Active() }

// snapshot is what the view says of a job now; ok is false if the actor is too busy.
func (s *Server) snapshot(id wire.JobID) (snapshot jobSnapshot, ok bool) {
	return actor.Ask(s.Actor, func(reply func(jobSnapshot)) {
		job := s.view.Jobs[id]
		if job == nil {
			reply(jobSnapshot{})
			return
		}
		reply(jobSnapshot{known: true, job: job, status: s.jobStatus(id, job)})
	})
}

// jobStatus is a job's state as its user sees it.
func (s *Server) jobStatus(id wire.JobID, job *statecache.Job) wire.JobStatus {
	status := wire.JobStatus{ID: id, State: job.State}
	switch job.State {
	case wire.JobDone:
		status.CompletedTasks = job.TaskCount
	case wire.JobCancelled:
	default:
		status.CompletedTasks, status.RunningTasks = s.view.CompletedCount(id), len(s.view.Bindings[id])
		status.State = wire.JobQueued
		if status.RunningTasks > 0 {
			status.State = wire.JobRunning
		}
	}
	return status
}

// currentSnapshot is a job's state no older than the call: a final one from memory, any other
// after a linearizable read.
func (s *Server) currentSnapshot(ctx context.Context, id wire.JobID) (jobSnapshot, error) {
	if snapshot, ok := s.snapshot(id); ok && snapshot.final() {
		return snapshot, nil
	}
	if err := s.linearizableRead(ctx); err != nil {
		return jobSnapshot{}, err
	}
	snapshot, ok := s.snapshot(id)
	if !ok {
		return jobSnapshot{}, errStoreUnreachable
	}
	return snapshot, nil
}

// commit makes a change on behalf of a waiting user; ok is false if its outcome came too late.
func (s *Server) commit(ctx context.Context, commit statecache.Commit) (outcome statecache.Outcome, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*commitRetryTime)
	defer cancel()
	commit.RetryFor = commitRetryTime
	outcomes := make(chan statecache.Outcome, 1)
	s.cache.Commit(commit, func(outcome statecache.Outcome) { outcomes <- outcome })
	select {
	case outcome := <-outcomes:
		return outcome, true
	case <-ctx.Done():
		return statecache.OutcomeUnknown, false
	}
}
