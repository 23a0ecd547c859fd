package election

import (
	"log/slog"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// ClaimLeadership campaigns although the leader's lease has not expired. That is safe, since the
// claim is conditional on the leader's record at a revision: from its commit on, every write of
// the former leader fails, and its launches carry older fencing tokens. A leader that is alive
// has lost leadership, no more.
func (e *Election) ClaimLeadership(revision uint64) {
	e.Post(func() {
		if e.isBusy() || e.lease.id == 0 || e.view.Leader == nil || e.view.Leader.ModRevision != revision {
			return
		}
		e.campaign()
	})
}

// EvictMember ends a member's membership before its lease has expired, if this process leads: its
// teams are assigned to others. That is conditional on the member's record as it was judged. A
// member that is alive registers again, and may be assigned teams again.
func (e *Election) EvictMember(name string, incarnation uint64) {
	e.Post(func() {
		member := e.view.Members[name]
		if e.isBusy() || !e.isLeader() || member == nil || member.Incarnation != incarnation {
			return
		}
		c := statecache.Commit{Preconditions: []wire.Precondition{e.leaderPrecondition()}}
		addDeletion(&c, statecache.Key(statecache.KindMember, name), member.ModRevision)
		e.commit(c, func() { slog.Info("member evicted", "member", name, "incarnation", incarnation) })
	})
}

// Resign gives up leadership and membership at once, in one transaction, and claims nothing any
// more. done is called when that has an outcome, or there is nothing to give up.
func (e *Election) Resign(done func()) {
	e.Send(func() {
		e.resigned = true
		var c statecache.Commit
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

// addDeletion adds the deletion of a key to a commit, conditional on its revision.
func addDeletion(c *statecache.Commit, key string, revision uint64) {
	c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key, ModRevision: revision})
	c.Deletes = append(c.Deletes, key)
}
