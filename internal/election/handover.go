package election

import (
	"log/slog"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// ClaimLeadership runs for the lead although the leader's lease has not ended. That is safe, since
// the claim is guarded on the leader's record as it stands at this version: from its
// commit on, every write of the old leader is refused, and its launches carry older
// tokens. A leader that is alive has lost the lead, no more.
func (e *Election) ClaimLeadership(version uint64) {
	e.Post(func() {
		if e.requestInFlight || e.resigned || e.leaseID == 0 || e.view.Leader == nil || e.view.Leader.ModRevision != version {
			return
		}
		e.campaign()
	})
}

// EvictMember ends a member's membership before its lease has ended, if this process leads:
// its teams are handed to others. The member's record is guarded as it was judged. A
// member that is alive writes its record again, and may be handed teams again.
func (e *Election) EvictMember(member string, boot uint64) {
	e.Post(func() {
		m := e.view.Members[member]
		if e.requestInFlight || e.resigned || !IsLeader(e.view, e.options.Incarnation) || m == nil || m.Incarnation != boot {
			return
		}
		key := statecache.Key(statecache.KindMember, member)
		e.commit(statecache.Commit{
			Preconditions: []wire.Precondition{{Key: statecache.LeaderKey, ModRevision: e.view.Leader.ModRevision}, {Key: key, ModRevision: m.ModRevision}},
			Deletes:       []string{key},
		}, func() { slog.Info("member evicted", "member", member, "boot", boot) })
	})
}

// Resign gives up the lead and the membership at once, in one write, and claims nothing any
// more. done is called when that is answered, or need not be written.
func (e *Election) Resign(done func()) {
	e.Send(func() {
		e.resigned = true
		var c statecache.Commit
		drop := func(key string, version uint64) {
			c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key, ModRevision: version})
			c.Deletes = append(c.Deletes, key)
		}
		if IsLeader(e.view, e.options.Incarnation) {
			drop(statecache.LeaderKey, e.view.Leader.ModRevision)
		}
		if me := e.view.Members[e.options.MemberName]; me != nil && me.Incarnation == e.options.Incarnation {
			drop(statecache.Key(statecache.KindMember, e.options.MemberName), me.ModRevision)
		}
		if len(c.Deletes) == 0 {
			done()
			return
		}
		e.cache.Commit(c, func(out statecache.Outcome) {
			slog.Info("resigned", "records", len(c.Deletes), "stands", out == statecache.Committed)
			done()
		})
	})
}
