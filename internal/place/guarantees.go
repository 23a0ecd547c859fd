package place

import (
	"cmp"
	"slices"
	"strings"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Claim is an unfinished job: since when it could run, and its tasks not yet done.
type Claim struct {
	Job  *wire.Job
	At   int64
	Left int
}

// compareClaims orders claims by the time from which they count.
func compareClaims(a, b Claim) int {
	return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.Job.ID, b.Job.ID))
}

// GuaranteedJobs tells which jobs are within their teams' guarantees: those that fit
// together with the team's earlier unfinished jobs. What a team runs beyond its
// guarantee is the rest. It sorts the claims.
func GuaranteedJobs(claims []Claim, team func(string) config.TeamQuota) map[string]bool {
	slices.SortFunc(claims, compareClaims)
	used := Usage{}
	guaranteed := map[string]bool{}
	for _, c := range claims {
		all := Resources{}.Plus(RequestOf(c.Job), float64(c.Left))
		if used.WithinGuarantee(team(c.Job.Team), all) {
			guaranteed[c.Job.ID] = true
		}
		used[c.Job.Team] = used[c.Job.Team].Plus(all, 1)
	}
	return guaranteed
}

// claimList keeps the claims of jobs in order from one round to the next: rounds are many
// more than jobs that come and end.
type claimList struct {
	claims   []Claim
	outdated bool // the jobs have changed
}

// current is the claims of jobs as they are now.
func (l *claimList) current(jobs map[string]*statecache.Job, done func(job string) int) []Claim {
	if l.outdated {
		l.claims = l.claims[:0]
		for _, j := range jobs {
			l.claims = append(l.claims, Claim{Job: j.Spec, At: j.RunnableSince()})
		}
		l.outdated = false
	}
	for i := range l.claims {
		c := &l.claims[i]
		c.Left = c.Job.TaskCount - done(c.Job.ID)
	}
	return l.claims
}

// judge brings up to date what a choice of victims looks at.
func (p *Placer) judge(r *round, nodes []*Node) {
	if r.guaranteed == nil {
		r.guaranteed = GuaranteedJobs(p.claims.current(p.active, p.view.CompletedCount), p.team)
	}
	for _, n := range nodes {
		if r.judged[n] {
			continue
		}
		r.judged[n] = true
		for i := range n.Tasks {
			t := &n.Tasks[i]
			if t.Job == nil {
				continue
			}
			j := p.active[t.Job.ID]
			t.Stops = t.Stops || j == nil
			t.Guaranteed = r.guaranteed[t.Job.ID]
			t.Last = j != nil && p.view.PendingTasks(t.Job.ID, j) <= 0
			t.Spent = r.now.Sub(t.Since).Seconds()
		}
	}
}
