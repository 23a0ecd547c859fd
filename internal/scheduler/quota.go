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

// QuotaClaim is an unfinished job: since when it could run, and its tasks not yet done.
type QuotaClaim struct {
	Job            *wire.Job
	SubmittedAt    statecache.Timestamp
	RemainingTasks int
}

// compareClaims orders claims by the time from which they count.
func compareClaims(a, b QuotaClaim) int {
	return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), strings.Compare(string(a.Job.ID), string(b.Job.ID)))
}

// JobsWithinGuarantee tells which jobs are within their teams' guarantees: those that fit
// together with the team's earlier unfinished jobs. What a team runs beyond its
// guarantee is the rest. It sorts the claims.
func JobsWithinGuarantee(claims []QuotaClaim, team func(wire.TeamName) config.TeamQuota) map[wire.JobID]bool {
	slices.SortFunc(claims, compareClaims)
	used := resources.Usage{}
	guaranteed := map[wire.JobID]bool{}
	for _, c := range claims {
		all := resources.Vector{}.Plus(resources.OfTask(c.Job), float64(c.RemainingTasks))
		if used.WithinGuarantee(team(c.Job.Team), all) {
			guaranteed[c.Job.ID] = true
		}
		used[c.Job.Team] = used[c.Job.Team].Plus(all, 1)
	}
	return guaranteed
}

// quotaClaimList keeps the claims of jobs in order from one round to the next: rounds are many
// more than jobs that come and end.
type quotaClaimList struct {
	claims   []QuotaClaim
	outdated bool // the jobs have changed
}

// current is the claims of jobs as they are now.
func (l *quotaClaimList) current(jobs map[wire.JobID]*statecache.Job, done func(job wire.JobID) int) []QuotaClaim {
	if l.outdated {
		l.claims = l.claims[:0]
		for _, j := range jobs {
			l.claims = append(l.claims, QuotaClaim{Job: j.Spec, SubmittedAt: j.RunnableSince()})
		}
		l.outdated = false
	}
	for i := range l.claims {
		c := &l.claims[i]
		c.RemainingTasks = c.Job.TaskCount - done(c.Job.ID)
	}
	return l.claims
}

// updateVictimFacts brings up to date what a choice of victims looks at.
func (p *Scheduler) updateVictimFacts(r *cycle, nodes []*Node) {
	if r.guaranteed == nil {
		r.guaranteed = JobsWithinGuarantee(p.quotaClaims.current(p.activeJobs, p.view.CompletedCount), p.teamQuota)
	}
	for _, n := range nodes {
		if r.victimFactsUpdated[n] {
			continue
		}
		r.victimFactsUpdated[n] = true
		for i := range n.Tasks {
			t := &n.Tasks[i]
			if t.Job == nil {
				continue
			}
			j := p.activeJobs[t.Job.ID]
			t.Stopping = t.Stopping || j == nil
			t.WithinGuarantee = r.guaranteed[t.Job.ID]
			t.LastOfJob = j != nil && p.view.PendingTasks(t.Job.ID, j) <= 0
			t.RuntimeSoFar = r.now.Sub(t.BoundSince).Seconds()
		}
	}
}
