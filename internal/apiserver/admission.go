package apiserver

import (
	"context"
	"encoding/json"
	"strconv"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// jobRecordMarginBytes is reserved for the growth of a job's record when the job ends.
const jobRecordMarginBytes = 128

// checkAdmission returns an *httpError if a job can never run or can't be checked yet. Any other
// error means that the store could not be read.
func (s *Server) checkAdmission(ctx context.Context, job *wire.Job) error {
	if err := s.checkRequirements(job); err != nil {
		return err
	}
	return s.checkDependencies(ctx, job)
}

// checkRequirements returns an *httpError if a job can never run on the known machine types or
// within its team's quota, if its record would be too large for the store, or if the machine types
// are not known yet.
func (s *Server) checkRequirements(job *wire.Job) error {
	team, ok := s.config.Params.TeamQuota(job.Team)
	if !ok {
		return unprocessable("unknown team " + strconv.Quote(string(job.Team)))
	}
	types, ok := actor.Ask(s.Actor, func(reply func([]wire.MachineType)) { reply(s.machineTypes) })
	if !ok || len(types) == 0 {
		return unavailable("machine types not known yet")
	}
	if !FitsAnyMachineType(job, types) {
		return unprocessable("a task fits no allowed machine type")
	}
	if !s.fitsRecord(job) {
		return unprocessable("the description is too long for the state service")
	}
	if !fitsQuota(job, team) {
		return unprocessable("needs more than the team's limit")
	}
	return nil
}

// FitsAnyMachineType reports whether a task of the job fits a machine type that the job allows.
func FitsAnyMachineType(job *wire.Job, types []wire.MachineType) bool {
	for i := range types {
		machineType := &types[i]
		for _, zone := range machineType.Zones {
			if placement.Allowed(job, machineType.Name, zone, false) && resources.OfTask(job).Fits(resources.OfMachineType(machineType)) {
				return true
			}
		}
	}
	return false
}

// fitsRecord reports whether a job's record stays within the store's value size limit, also after
// the job has ended.
func (s *Server) fitsRecord(job *wire.Job) bool {
	record, err := json.Marshal(&statecache.Job{Spec: job})
	return err == nil && len(record)+jobRecordMarginBytes <= s.config.Params.Store.ValueSizeLimit()
}

// checkDependencies returns an *httpError if a job can't depend on the jobs that it names. An
// accepted job stays accepted, so the store is read only for jobs unknown to the view, and only
// once.
func (s *Server) checkDependencies(ctx context.Context, job *wire.Job) error {
	refreshed := false
	for _, id := range job.Dependencies {
		snapshot, ok := s.snapshot(id)
		if ok && !snapshot.known && !refreshed {
			if err := s.linearizableRead(ctx); err != nil {
				return err
			}
			refreshed = true
			snapshot, ok = s.snapshot(id)
		}
		switch {
		case !ok:
			return errStoreUnreachable
		case id == job.ID:
			return unprocessable("awaits: the job names itself")
		case !snapshot.known:
			return unprocessable("awaits: " + string(id) + " was never accepted")
		case snapshot.job.Spec != nil && snapshot.job.Spec.IsService():
			return unprocessable("awaits: " + string(id) + " is a service, which is never done")
		}
	}
	return nil
}

// fitsQuota reports whether a job fits its team's quota when no other job of the team runs: one
// task of an array, or all tasks of a service.
func fitsQuota(job *wire.Job, team config.TeamQuota) bool {
	tasks := 1.0
	if job.IsService() {
		tasks = float64(job.TaskCount)
	}
	return (resources.Usage{}).WithinLimit(team, resources.Vector{}.AddScaled(resources.OfTask(job), tasks))
}
