package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"lynxledge/internal/config"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// quotaClaim is an unfinished job's claim on its team's quota.
type quotaClaim struct {
	Job            *wire.Job
	RunnableSince  statecache.Timestamp
	RemainingTasks int // not yet completed
}

// compareClaims orders claims by the time since which their jobs could run, then by job ID.
func compareClaims(a, b quotaClaim) int {
	return cmp.Or(cmp.Compare(a.RunnableSince, b.RunnableSince), strings.Compare(string(a.Job.ID), string(b.Job.ID)))
}

// jobsWithinGuarantee returns the jobs that fit into their teams' guarantees together with the
// team's earlier unfinished jobs. A team's other jobs are beyond its guarantee. It sorts the claims.
func jobsWithinGuarantee(claims []quotaClaim, quotaOf func(wire.TeamName) config.TeamQuota) map[wire.JobID]bool {
	slices.SortFunc(claims, compareClaims)
	used := resources.Usage{}
	guaranteed := map[wire.JobID]bool{}
	for _, claim := range claims {
		need := resources.Vector{}.AddScaled(resources.OfTask(claim.Job), float64(claim.RemainingTasks))
		if used.WithinGuarantee(quotaOf(claim.Job.Team), need) {
			guaranteed[claim.Job.ID] = true
		}
		used[claim.Job.Team] = used[claim.Job.Team].AddScaled(need, 1)
	}
	return guaranteed
}

// quotaClaims caches the sorted claims of the active jobs between scheduling cycles, since the jobs
// change in few of them.
type quotaClaims struct {
	claims   []quotaClaim
	outdated bool // the set of jobs has changed
}

// current returns the claims of jobs with their remaining tasks. completed returns a job's number
// of completed tasks.
func (q *quotaClaims) current(jobs map[wire.JobID]*statecache.Job, completed func(job wire.JobID) int) []quotaClaim {
	if q.outdated {
		q.claims = q.claims[:0]
		for _, job := range jobs {
			q.claims = append(q.claims, quotaClaim{Job: job.Spec, RunnableSince: job.RunnableSince()})
		}
		q.outdated = false
	}
	for i := range q.claims {
		claim := &q.claims[i]
		claim.RemainingTasks = claim.Job.TaskCount - completed(claim.Job.ID)
	}
	return q.claims
}
