package election

import (
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Leadership shows that this process was confirmed as leader. Other packages get a leader's
// precondition only from it, so they write as leader only with a view that is fresh, includes
// everything stored when the term began and shows this process as leader. The precondition then
// checks that this process still leads when the write reaches the store.
type Leadership struct {
	term, modRevision uint64
}

// ConfirmLeadership returns the leadership of the process with the given incarnation, and whether
// it is confirmed: the view, which reflects all changes up to revision, shows that process as
// leader, includes the revision of the leader record and is at most maxAge old.
func ConfirmLeadership(v *statecache.View, incarnation, revision uint64, freshAsOf time.Time, maxAge time.Duration) (Leadership, bool) {
	if !IsLeader(v, incarnation) || revision < v.Leader.ModRevision || time.Since(freshAsOf) > maxAge {
		return Leadership{}, false
	}
	return Leadership{term: v.Leader.Term, modRevision: v.Leader.ModRevision}, true
}

// Term returns the leadership's term.
func (l Leadership) Term() uint64 { return l.term }

// Precondition returns the condition that makes a write fail once this leadership has ended.
func (l Leadership) Precondition() wire.Precondition {
	return wire.Precondition{Key: statecache.LeaderKey, ModRevision: l.modRevision}
}
