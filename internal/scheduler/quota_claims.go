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

// compareClaims orders claims by the time from which they count.
func compareClaims(a, b quotaClaim) int {
	return cmp.Or(cmp.Compare(a.RunnableSince, b.RunnableSince), strings.Compare(string(a.Job.ID), string(b.Job.ID)))
}

// jobsWithinGuarantee tells which jobs are within their teams' guarantees: those that fit
// together with the team's earlier unfinished jobs. What a team runs beyond its guarantee is
// the rest. It sorts the claims.
func jobsWithinGuarantee(claims []quotaClaim, quotaOf func(wire.TeamName) config.TeamQuota) map[wire.JobID]bool {
	slices.SortFunc(claims, compareClaims)
	used := resources.Usage{}
	guaranteed := map[wire.JobID]bool{}
	for _, claim := range claims {
		need := resources.Vector{}.Plus(resources.OfTask(claim.Job), float64(claim.RemainingTasks))
		if used.WithinGuarantee(quotaOf(claim.Job.Team), need) {
			guaranteed[claim.Job.ID] = true
		}
		used[claim.Job.Team] = used[claim.Job.Team].Plus(need, 1)
	}
	return guaranteed
}

// quotaClaims keeps the claims of jobs in order from one scheduling cycle to the next: cycles
// are many more than jobs that come and end.
type quotaClaims struct {
	claims   []quotaClaim
	outdated bool // the jobs have changed
}

// current is the claims of jobs as they are now.
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
