package autoscaler

import (
	"time"

	"lynxledge/internal/election"
	"lynxledge/internal/statecache"
)

// isConfirmedLeader reports whether this process is the leader and its view is fresh enough to act
// on.
func (a *Autoscaler) isConfirmedLeader() bool {
	_, ok := a.leadership()
	return ok
}

// leadership returns the leadership of this process, if its view confirms it. It begins the term if
// that is new.
func (a *Autoscaler) leadership() (election.Leadership, bool) {
	maxAge := a.config.Params.Workers.Heartbeats(statecache.MaxViewAgeHeartbeats)
	lead, ok := election.ConfirmLeadership(a.view, a.incarnation, a.revision, a.freshAsOf, maxAge)
	if ok && a.term != lead.Term() {
		a.beginTerm(lead.Term())
	}
	return lead, ok
}

// beginTerm resets the state that starts anew with each term.
func (a *Autoscaler) beginTerm(term uint64) {
	a.term = term
	a.provisioning.beginTerm(term)
	a.liveness.beginTerm(time.Now())
}
