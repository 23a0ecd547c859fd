package election

import (
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Leadership is a confirmed leadership. There is no other way to a leader's precondition, so no
// leader writes without one: its view has all that was stored when its term began, it is fresh,
// and the term is its own as far as it knows. Whether it still is when the write arrives the
// precondition decides.
type Leadership struct {
	term, modRevision uint64
}

// ConfirmLeadership tells whether a process leads, by a view that reflects all changes up to a
// revision and is at most maxAge old.
func ConfirmLeadership(v *statecache.View, incarnation, revision uint64, freshAsOf time.Time, maxAge time.Duration) (Leadership, bool) {
	if !IsLeader(v, incarnation) || revision < v.Leader.ModRevision || time.Since(freshAsOf) > maxAge {
		return Leadership{}, false
	}
	return Leadership{term: v.Leader.Term, modRevision: v.Leader.ModRevision}, true
}

// Term returns the leadership's term.
func (l Leadership) Term() uint64 { return l.term }

// Precondition returns the condition of writes that fail once this leadership is over.
func (l Leadership) Precondition() wire.Precondition {
	return wire.Precondition{Key: statecache.LeaderKey, ModRevision: l.modRevision}
}
