package election

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// LeaseClient is the part of the key-value store's client that the election uses.
type LeaseClient interface {
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
}

// Options configures an Election.
type Options struct {
	MemberName   string
	Incarnation  uint64 // identifies this process among successive processes of the member
	LeaseTTL     time.Duration
	Teams        []wire.TeamName
	MaxTxnOps    int
	ChunkTasks   int
	Capabilities []string // written to the membership record
}

// Election is the actor that owns this controller's membership and leadership. It stops when its
// context ends. That context is also the only thing that cancels its requests to the store.
type Election struct {
	*actor.Actor
	ctx     context.Context
	leases  LeaseClient
	cache   *statecache.Cache
	options Options
	view    *statecache.View
	teams   *teamList

	lease             lease
	requestInFlight   bool // a lease grant or a commit; at most one is in flight
	campaignScheduled bool
	resigned          bool // this process is leaving; set by Resign
}

// Start starts an Election that runs until ctx ends.
func Start(ctx context.Context, leases LeaseClient, cache *statecache.Cache, options Options) *Election {
	e := &Election{
		Actor: actor.Start(ctx, "election", 256), ctx: ctx, leases: leases, cache: cache,
		options: options, view: statecache.NewUnfinishedView(options.ChunkTasks), teams: newTeamList(options.Teams),
	}
	cache.Subscribe(func(update statecache.Update) {
		e.Send(func() {
			e.apply(update.Changes)
			e.reconcile()
		})
	})
	e.Every(options.LeaseTTL/checksPerLeaseTTL, e.maintainLease)
	return e
}

// apply applies the changes of an update of the cache to the view and to the team list.
func (e *Election) apply(changes []statecache.Change) {
	for _, change := range changes {
		e.view.Apply(change)
		if change.Kind == statecache.KindJob {
			job, _ := change.Record.(*statecache.Job)
			e.teams.apply(wire.JobID(change.Name), job)
		}
	}
}

// IsLeader reports whether, according to a view, the process with the given incarnation leads.
func IsLeader(v *statecache.View, incarnation uint64) bool {
	return v.Leader != nil && v.Leader.Incarnation == incarnation
}

func (e *Election) isLeader() bool { return IsLeader(e.view, e.options.Incarnation) }

// isMember reports whether this member's record was written by this process.
func (e *Election) isMember() bool {
	member := e.view.Members[e.options.MemberName]
	return member != nil && member.Incarnation == e.options.Incarnation
}

// requestBlocked reports whether no new request may start: because another one is in flight, or
// because this process has resigned.
func (e *Election) requestBlocked() bool { return e.requestInFlight || e.resigned }

// reconcile starts the next request that membership, leadership or team assignment needs.
func (e *Election) reconcile() {
	if e.lease.id == 0 || e.requestBlocked() || e.view.Term == nil && e.view.Leader != nil {
		return
	}
	if !e.isMember() {
		e.register()
		return
	}
	leader := e.view.Leader
	switch {
	case leader == nil && !e.campaignScheduled:
		e.scheduleCampaign()
	case leader != nil && leader.Member == e.options.MemberName && leader.Incarnation != e.options.Incarnation:
		// The leader is an earlier process of this member, which has certainly ended.
		e.campaign()
	case e.isLeader():
		e.assignTeams()
	}
}

// register writes the membership record.
func (e *Election) register() {
	e.commit(statecache.Commit{
		Puts: []statecache.Put{{
			Key:     statecache.Key(statecache.KindMember, e.options.MemberName),
			Record:  &statecache.Member{Incarnation: e.options.Incarnation, Capabilities: e.options.Capabilities},
			LeaseID: e.lease.id,
		}},
	}, nil)
}

// scheduleCampaign campaigns after a random delay, since the other controllers notice the missing
// leader at the same time.
func (e *Election) scheduleCampaign() {
	e.campaignScheduled = true
	e.After(time.Duration(rand.Int64N(int64(e.options.LeaseTTL/20))), func() {
		e.campaignScheduled = false
		if e.view.Leader == nil && e.lease.id != 0 && !e.requestInFlight {
			e.campaign()
		}
	})
}

// campaign claims leadership with a new term. The claim fails if the leader record or the term
// record has changed.
func (e *Election) campaign() {
	var leaderRevision, termRevision uint64
	term := uint64(1)
	if e.view.Leader != nil {
		leaderRevision = e.view.Leader.ModRevision
	}
	if e.view.Term != nil {
		termRevision, term = e.view.Term.ModRevision, e.view.Term.Number+1
	}
	leader := &statecache.Leader{Member: e.options.MemberName, Incarnation: e.options.Incarnation, Term: term}
	e.commit(statecache.Commit{
		Preconditions: []wire.Precondition{
			{Key: statecache.LeaderKey, ModRevision: leaderRevision},
			{Key: statecache.TermKey, ModRevision: termRevision},
		},
		Puts: []statecache.Put{
			{Key: statecache.LeaderKey, Record: leader, LeaseID: e.lease.id},
			{Key: statecache.TermKey, Record: &statecache.Term{Number: term}},
		},
	}, func() { slog.Info("leadership acquired", "term", term) })
}

// leaderPrecondition returns the condition that the leader record is still the one in the view.
func (e *Election) leaderPrecondition() wire.Precondition {
	return wire.Precondition{Key: statecache.LeaderKey, ModRevision: e.view.Leader.ModRevision}
}

// commit sends a commit. If it succeeds, it calls onCommitted unless nil, and reconciles.
func (e *Election) commit(c statecache.Commit, onCommitted func()) {
	e.requestInFlight = true
	e.cache.Commit(c, func(outcome statecache.Outcome) {
		e.Send(func() {
			e.requestInFlight = false
			switch outcome {
			case statecache.Committed:
				if onCommitted != nil {
					onCommitted()
				}
				e.reconcile()
			case statecache.Rejected:
				// An expired lease is one possible reason. Assume it if the lease was not
				// renewed for half its TTL.
				if time.Since(e.lease.renewedAt) > e.options.LeaseTTL/2 {
					e.lease.id = 0
				}
			}
		})
	})
}
