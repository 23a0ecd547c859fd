package scheduler

import (
	"math/rand/v2"
	"strings"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/estimate"
	"lynxledge/internal/statecache"
	"lynxledge/internal/storelimits"
	"lynxledge/wire"
)

// schedulingState is the state that scheduling cycles are planned from. It is accessed only by the
// actor and does no I/O.
type schedulingState struct {
	config      *config.Config
	limits      recordLimits
	storeLimits *storelimits.Tracker
	incarnation uint64
	rng         *rand.Rand

	view      *statecache.View
	revision  uint64    // of the view
	freshAsOf time.Time // the view includes every write made before this time

	nodes               *nodeIndex
	images              *imageCaches
	jobs                *jobQueue
	runtimes            *estimate.RuntimeEstimator
	backoff             *backoff
	evidence            *evidenceQueue
	layout              *groupLayout
	writes              *writeBudget
	completedJobs       *completedJobs
	cancelledDependents map[wire.JobID]*statecache.Job // cancelled because a dependency was; not yet stored in their own records
	advice              advisory
	shortages           *shortages
	moves               *replicaMoves
	uncertainCommits    []uncertainCommit
}

// newSchedulingState returns a state with an empty view.
func newSchedulingState(cfg *config.Config, incarnation uint64, storeLimits *storelimits.Tracker) schedulingState {
	workers := cfg.Params.Workers
	view := statecache.NewUnfinishedView(statecache.ChunkTasks(cfg.Params.Store.MaxValueKB))
	limits := recordLimits{&cfg.Params.Store}
	images := newImageCaches()
	nodes := newNodeIndex(view, limits, images)
	runtimes := estimate.NewRuntimeEstimator()
	backoff := newBackoff(workers)
	return schedulingState{
		config:              cfg,
		limits:              limits,
		storeLimits:         storeLimits,
		incarnation:         incarnation,
		rng:                 rand.New(rand.NewPCG(incarnation, 1)),
		view:                view,
		nodes:               nodes,
		images:              images,
		jobs:                newJobQueue(cfg, view, nodes, runtimes, backoff),
		runtimes:            runtimes,
		backoff:             backoff,
		evidence:            newEvidenceQueue(workers, view),
		layout:              newGroupLayout(limits),
		writes:              newWriteBudget(cfg, storeLimits),
		completedJobs:       newCompletedJobs(view),
		cancelledDependents: map[wire.JobID]*statecache.Job{},
		shortages:           newShortages(workers.HeartbeatInterval, workers.LeaseDuration),
		moves:               newReplicaMoves(workers.LeaseDuration),
	}
}

// apply applies an update of the cache to the view and to everything derived from it.
func (s *schedulingState) apply(update statecache.Update, now time.Time) {
	s.revision, s.freshAsOf = update.Revision, update.FreshAsOf
	s.writes.observe(len(update.Changes), now)
	for _, change := range update.Changes {
		machines := s.view.Apply(change)
		switch change.Kind {
		case statecache.KindMachineGroup:
			for _, machine := range machines {
				s.applyMachineChange(machine, now)
			}
			group, _ := change.Record.(*statecache.MachineGroup)
			s.applyGroupChange(change.Name, group, now)
		case statecache.KindCompletionChunk:
			job, _, _ := strings.Cut(change.Name, "/")
			s.completedJobs.observe(wire.JobID(job), now)
		case statecache.KindJob:
			job, _ := change.Record.(*statecache.Job)
			s.applyJobChange(wire.JobID(change.Name), job)
		}
	}
}

// applyMachineChange updates the node index, the image caches, the pending evidence and the backoff
// after a change of a machine's record.
func (s *schedulingState) applyMachineChange(change statecache.MachineChange, now time.Time) {
	s.nodes.refresh(change.Machine, change.New)
	if change.New == nil {
		s.images.forget(change.Machine)
		s.backoff.forgetMachine(change.Machine)
		return
	}
	if change.Old != nil && change.Old.Group != change.New.Group {
		s.evidence.moveMachine(change.Machine, change.Old.Group, change.New.Group)
	}
	for i := range change.New.Bindings {
		binding := &change.New.Bindings[i]
		if change.Old != nil && change.Old.FindBinding(binding.Job, binding.TaskIndex) != nil {
			continue
		}
		if job := s.view.Jobs[binding.Job]; job != nil && job.Spec != nil {
			s.images.recordUse(change.Machine, s.nodes.machineTypes[change.New.MachineType], cachedImage{job.Spec.Image, job.Spec.ImageGB})
		}
	}
}

// applyGroupChange updates the group layout, the evidence queue, the backoff, the runtime estimates
// and the completed jobs from a group's new record; nil if it was deleted.
func (s *schedulingState) applyGroupChange(name string, group *statecache.MachineGroup, now time.Time) {
	s.layout.observe(name, group)
	if group == nil {
		s.evidence.forgetGroup(name)
		return
	}
	s.backoff.observe(group.Terminations, now)
	s.runtimes.Observe(group.Terminations, s.view.Jobs)
	if len(group.Terminations) > 0 {
		s.evidence.lastTermination = now
	}
	for job := range group.Completions {
		s.completedJobs.observe(job, now)
	}
}

// applyJobChange queues the job of a new record, or forgets it if it ended, is blocked or its
// record was deleted (nil).
func (s *schedulingState) applyJobChange(id wire.JobID, job *statecache.Job) {
	if job != nil && job.CancelledByDependency {
		s.cancelledDependents[id] = job
	} else {
		delete(s.cancelledDependents, id)
	}
	// A blocked job is not queued, and counts neither as a quota claim nor as load. It becomes
	// ready only when the records of all its dependencies say done.
	if job != nil && job.Active() && job.Spec != nil && !job.Blocked {
		s.jobs.put(id, job)
		return
	}
	s.jobs.remove(id)
	s.backoff.forgetJob(id)
	s.shortages.forget(id)
	s.moves.forget(id)
	s.completedJobs.forget(id)
	s.runtimes.Forget(id)
}

// ownAssignments returns the assignments of the teams whose tasks this process may place: they
// name this process, and the view has reached their revision, so that it includes every binding
// made under earlier assignments.
func (s *schedulingState) ownAssignments() map[wire.TeamName]*statecache.Assignment {
	out := map[wire.TeamName]*statecache.Assignment{}
	for team, assignment := range s.view.Assignments {
		if assignment.Incarnation == s.incarnation && s.revision >= assignment.ModRevision {
			out[team] = assignment
		}
	}
	return out
}

// ownsAllTeams reports whether all teams are assigned to this process. Only then does it move
// machines between group records: the commit requires the current revisions of all assignments
// and so fails after a reassignment, and a process that is assigned a team later has seen the
// move, with the moved machines' bindings.
func (s *schedulingState) ownsAllTeams() bool {
	assignments := len(s.view.Assignments)
	return assignments > 0 && s.mayMoveMachines() && len(s.ownAssignments()) == assignments
}

// mayMoveMachines reports whether a transaction has room for preconditions on all assignments, so that
// a process that all teams are assigned to may move machines between group records.
func (s *schedulingState) mayMoveMachines() bool {
	return len(s.view.Assignments) <= s.limits.txnOps()
}

// teamQuota returns a team's configured quota, or a zero quota for an unknown team.
func (s *schedulingState) teamQuota(name wire.TeamName) config.TeamQuota {
	quota, _ := s.config.Params.TeamQuota(name)
	quota.Name = name
	return quota
}
