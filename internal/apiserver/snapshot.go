package apiserver

import (
	"context"
	"errors"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// errStoreUnreachable means that the store can't be reached in time. Its text is sent to users.
var errStoreUnreachable = errors.New("state service not reachable")

// storeUnreachable reports whether the store has not responded for so long that a call would
// probably time out. The time that a user waits is better spent on forwarding the request.
func (s *Server) storeUnreachable() bool { return time.Since(s.cache.FreshAsOf()) > s.maxViewAge }

// linearizableRead waits until the view includes everything committed before the call.
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
		if !s.TrySend(func() { refreshed <- nil }) { // runs after the updates that the refresh sent to the mailbox
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

// jobSnapshot is a job as of one state of the view.
type jobSnapshot struct {
	known  bool
	status wire.JobStatus
	job    *statecache.Job
}

// final reports whether the job's state can't change any more.
func (j *jobSnapshot) final() bool { return j.known && !j.job.Active() }

// snapshot returns a job as it is in the view now; ok is false if the actor's mailbox is full or
// the actor has ended.
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

// jobStatus returns a job's status as reported to users.
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

// currentSnapshot returns a job as of the call or later: from the view if its state is final, and
// after a linearizable read otherwise.
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

// commit commits a change for a request; ok is false if there is no outcome within twice
// commitRetryTime or before ctx ends.
func (s *Server) commit(ctx context.Context, commit statecache.Commit) (outcome statecache.Outcome, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*commitRetryTime)
	defer cancel()
	commit.RetryFor = commitRetryTime
	commit.AcceptStaleView = true // a request is answered from a linearizable read, or forwarded at once
	outcomes := make(chan statecache.Outcome, 1)
	s.cache.Commit(commit, func(outcome statecache.Outcome) { outcomes <- outcome })
	select {
	case outcome := <-outcomes:
		return outcome, true
	case <-ctx.Done():
		return statecache.OutcomeUnknown, false
	}
}
