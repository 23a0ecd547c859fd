package election

import (
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Leadership is a leadership that was confirmed. There is no other way to a leader's guard, so
// nothing that a leader writes is written without: its view holds all that stood when its
// term began, it is fresh, and the term is its own as far as it knows. Whether it still is
// when the write arrives the guard decides.
type Leadership struct {
	term, modRevision uint64
}

// ConfirmLeadership tells whether a process leads by a view that reflects all changes up to epoch,
// and is as of fresh.
func ConfirmLeadership(v *statecache.View, boot, epoch uint64, fresh time.Time, maxAge time.Duration) (Leadership, bool) {
	if !IsLeader(v, boot) || epoch < v.Leader.ModRevision || time.Since(fresh) > maxAge {
		return Leadership{}, false
	}
	return Leadership{term: v.Leader.Term, modRevision: v.Leader.ModRevision}, true
}

// Term is the leadership's term.
func (l Leadership) Term() uint64 { return l.term }

// Precondition has a write refused once this leadership is over.
func (l Leadership) Precondition() wire.Precondition {
	return wire.Precondition{Key: statecache.LeaderKey, ModRevision: l.modRevision}
}
