package election

import (
	"log/slog"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// ClaimLeadership campaigns even though the leader's lease has not expired. This is safe because
// the claim is conditional on the revision of the leader record. Once it is committed, every write
// of the former leader fails, and its launches carry older fencing tokens. A former leader that is
// still alive loses its leadership but nothing else.
func (e *Election) ClaimLeadership(modRevision uint64) {
	e.TrySend(func() {
		if e.requestBlocked() || e.lease.id == 0 || e.view.Leader == nil || e.view.Leader.ModRevision != modRevision {
			return
		}
		e.campaign()
	})
}

// EvictMember deletes a member's record before its lease has expired, if this process leads, so
// that its teams are assigned to another member. It deletes only the record of the given
// incarnation, conditional on that record's revision. A member that is still alive registers
// again, and may be assigned teams again.
func (e *Election) EvictMember(name string, incarnation uint64) {
	e.TrySend(func() {
		member := e.view.Members[name]
		if e.requestBlocked() || !e.isLeader() || member == nil || member.Incarnation != incarnation {
			return
		}
		c := statecache.Commit{Preconditions: []wire.Precondition{e.leaderPrecondition()}}
		addDeletion(&c, statecache.Key(statecache.KindMember, name), member.ModRevision)
		e.commit(c, func() { slog.Info("member evicted", "member", name, "incarnation", incarnation) })
	})
}

// Resign deletes this process's leader and membership records in one transaction. From then on the
// process renews no lease and starts no request, except for a campaign that is already scheduled.
// It calls done once the transaction has an outcome, or at once if there is no record to delete.
func (e *Election) Resign(done func()) {
	e.Send(func() {
		e.resigned = true
		c := statecache.Commit{AcceptStaleView: true} // nothing is decided after it
		if e.isLeader() {
			addDeletion(&c, statecache.LeaderKey, e.view.Leader.ModRevision)
		}
		if e.isMember() {
			addDeletion(&c, statecache.Key(statecache.KindMember, e.options.MemberName), e.view.Members[e.options.MemberName].ModRevision)
		}
		if len(c.Deletes) == 0 {
			done()
			return
		}
		e.cache.Commit(c, func(outcome statecache.Outcome) {
			slog.Info("membership resigned", "records", len(c.Deletes), "committed", outcome == statecache.Committed)
			done()
		})
	})
}

// addDeletion adds the deletion of a key to a commit, conditional on the key's revision.
func addDeletion(c *statecache.Commit, key string, revision uint64) {
	c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key, ModRevision: revision})
	c.Deletes = append(c.Deletes, key)
}
