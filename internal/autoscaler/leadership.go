package autoscaler

import (
	"time"

	"lynxledge/internal/election"
)

// maxViewAgeHeartbeats is how old a view may be to lead by it, in heartbeat intervals.
const maxViewAgeHeartbeats = 2

// isLeader tells whether this process leads and its view can be trusted.
func (r *Autoscaler) isLeader() bool {
	_, ok := r.leadership()
	return ok
}

// leadership returns the leadership of this process, if it is confirmed.
func (r *Autoscaler) leadership() (election.Leadership, bool) {
	maxAge := r.config.Params.Workers.Heartbeats(maxViewAgeHeartbeats)
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
