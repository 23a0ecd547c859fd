package autoscaler

import (
	"time"

	"lynxledge/internal/election"
	"lynxledge/internal/statecache"
)

// isLeader tells whether this process leads and its view can be trusted.
func (r *Autoscaler) isLeader() bool {
	_, ok := r.leadership()
	return ok
}

// leadership returns the leadership of this process, if it is confirmed.
func (r *Autoscaler) leadership() (election.Leadership, bool) {
	maxAge := r.config.Params.Workers.Heartbeats(statecache.MaxViewAgeHeartbeats)
	lead, ok := election.ConfirmLeadership(r.view, r.incarnation, r.revision, r.freshAsOf, maxAge)
	if ok && r.term != lead.Term() {
		r.beginTerm(lead.Term())
	}
	return lead, ok
}

// beginTerm resets the state that counts from the beginning of a term.
func (r *Autoscaler) beginTerm(term uint64) {
	r.term = term
	r.provisioning.beginTerm(term)
	r.liveness.beginTerm(time.Now())
}
