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

// jobRecordMarginBytes is what a job's record may grow by, in bytes, when it ends.
const jobRecordMarginBytes = 128

// checkAdmission tells, as a *refusal, why a job can never run or can't be judged yet. Any other
// error means that the store could not be read.
func (s *Server) checkAdmission(ctx context.Context, job *wire.Job) error {
	if err := s.checkRequirements(job); err != nil {
		return err
	}
	return s.checkDependencies(ctx, job)
}

// checkRequirements tells why a job can never run on the machines and within the quotas of the
// settings.
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

// FitsAnyMachineType tells whether a task of the job fits a type it may use.
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

// fitsRecord tells whether a job's record, also once it has ended, fits a value of the store.
func (s *Server) fitsRecord(job *wire.Job) bool {
	record, err := json.Marshal(&statecache.Job{Spec: job})
	return err == nil && len(record)+jobRecordMarginBytes <= s.config.Params.Store.ValueSizeLimit()
}

// checkDependencies tells why a job can't wait for those that it names. That a job was accepted
// is final: only if one is not known here the store has to be read, once.
func (s *Server) checkDependencies(ctx context.Context, job *wire.Job) error {
	read := false
	for _, id := range job.Dependencies {
		snapshot, ok := s.snapshot(id)
		if ok && !snapshot.known && !read {
			if err := s.linearizableRead(ctx); err != nil {
				return err
			}
			read = true
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

// fitsQuota tells whether a team's quota has room for a job that runs alone: for one task of an
// array, and for all tasks of a service.
func fitsQuota(job *wire.Job, team config.TeamQuota) bool {
	tasks := 1.0
	if job.IsService() {
		tasks = float64(job.TaskCount)
	}
	return (resources.Usage{}).WithinLimit(team, resources.Vector{}.Plus(resources.OfTask(job), tasks))
}
