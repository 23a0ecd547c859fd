// Package election keeps this controller's membership, runs for the lead and,
// while leading, hands teams to controllers. Who believes to lead is never
// trusted: every write of a leader is guarded on its record's stamp.
package election

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/kvstore"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// LeaseClient is what the election needs of the state service.
type LeaseClient interface {
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
}

// Options of an election.
type Options struct {
	MemberName  string
	Incarnation uint64 // tells this process from its earlier ones
	LeaseTTL    time.Duration
	Teams       []wire.TeamName
	MaxTxnOps   int
	ChunkTasks  int
	// Capabilities are announced in the membership record.
	Capabilities []string
}

// Election is the actor that owns membership and leadership.
type Election struct {
	*actor.Actor
	ctx         context.Context
	leaseClient LeaseClient
	cache       *statecache.Cache
	options     Options
	view        *statecache.View
	teams       *teamList

	leaseID           uint64
	lastRenewal       time.Time
	requestInFlight   bool // a lease call or a commit is under way
	campaignScheduled bool // an election is about to begin

	resigned bool // this process leaves: it renews and claims nothing any more
}

// Start runs an election.
func Start(ctx context.Context, leases LeaseClient, l *statecache.Cache, opt Options) *Election {
	e := &Election{
		Actor: actor.Start(ctx, "election", 256), ctx: ctx, leaseClient: leases, cache: l,
		options: opt, view: statecache.NewUnfinishedView(opt.ChunkTasks), teams: newTeamList(opt.Teams),
	}
	l.Subscribe(func(d statecache.Update) {
		e.Send(func() {
			for _, c := range d.Changes {
				e.view.Apply(c)
				if c.Kind == statecache.KindJob {
					job, _ := c.Record.(*statecache.Job)
					e.teams.apply(wire.JobID(c.Name), job)
				}
			}
			e.reconcile()
		})
	})
	e.Every(opt.LeaseTTL/6, e.maintainLease)
	return e
}

// maintainLease keeps the lease alive.
func (e *Election) maintainLease() {
	if e.requestInFlight || e.resigned {
		return
	}
	switch {
	case e.leaseID == 0:
		e.requestInFlight = true
		go func() {
			id, err := e.leaseClient.GrantLease(e.ctx, e.options.LeaseTTL)
			e.Send(func() {
				e.requestInFlight = false
				if err != nil {
					slog.Debug("no lease", "err", err)
					return
				}
				e.leaseID, e.lastRenewal = id, time.Now()
				e.reconcile()
			})
		}()
	case time.Since(e.lastRenewal) > e.options.LeaseTTL/config.RenewalsPerLeaseTTL:
		lease, begun := e.leaseID, time.Now()
		e.requestInFlight = true
		go func() {
			err := e.leaseClient.RenewLease(e.ctx, lease)
			e.Send(func() {
				e.requestInFlight = false
				switch {
				case err == nil:
					e.lastRenewal = begun
				case errors.Is(err, kvstore.ErrNotFound):
					slog.Info("membership lease ended", "lease", lease)
					e.leaseID = 0
					e.maintainLease()
				}
				e.reconcile()
			})
		}()
	default:
		e.reconcile()
	}
}

// IsLeader tells whether this process leads, as far as a view knows.
func IsLeader(v *statecache.View, boot uint64) bool {
	return v.Leader != nil && v.Leader.Incarnation == boot
}

// reconcile does the next thing that membership, leadership or the teams need.
func (e *Election) reconcile() {
	if e.leaseID == 0 || e.requestInFlight || e.resigned || e.view.Term == nil && e.view.Leader != nil {
		return
	}
	me := e.view.Members[e.options.MemberName]
	if me == nil || me.Incarnation != e.options.Incarnation {
		e.commit(statecache.Commit{
			Puts: []statecache.Put{{Key: statecache.Key(statecache.KindMember, e.options.MemberName), Record: &statecache.Member{Incarnation: e.options.Incarnation, Capabilities: e.options.Capabilities}, LeaseID: e.leaseID}},
		}, nil)
		return
	}
	l := e.view.Leader
	switch {
	case l == nil && !e.campaignScheduled:
		e.campaignScheduled = true
		e.After(time.Duration(rand.Int64N(int64(e.options.LeaseTTL/20))), func() {
			e.campaignScheduled = false
			if e.view.Leader == nil && e.leaseID != 0 && !e.requestInFlight {
				e.campaign()
			}
		})
	case l != nil && l.Member == e.options.MemberName && l.Incarnation != e.options.Incarnation:
		// Our own earlier process led; it is gone for certain.
		e.campaign()
	case IsLeader(e.view, e.options.Incarnation):
		e.assignTeams()
	}
}

func (e *Election) campaign() {
	var leader, term, next uint64 = 0, 0, 1
	if e.view.Leader != nil {
		leader = e.view.Leader.ModRevision
	}
	if e.view.Term != nil {
		term, next = e.view.Term.ModRevision, e.view.Term.Number+1
	}
	e.commit(statecache.Commit{
		Preconditions: []wire.Precondition{{Key: statecache.LeaderKey, ModRevision: leader}, {Key: statecache.TermKey, ModRevision: term}},
		Puts: []statecache.Put{
			{Key: statecache.LeaderKey, Record: &statecache.Leader{Member: e.options.MemberName, Incarnation: e.options.Incarnation, Term: next}, LeaseID: e.leaseID},
			{Key: statecache.TermKey, Record: &statecache.Term{Number: next}},
		},
	}, func() { slog.Info("leading", "term", next) })
}

func (e *Election) commit(c statecache.Commit, done func()) {
	e.requestInFlight = true
	e.cache.Commit(c, func(out statecache.Outcome) {
		e.Send(func() {
			e.requestInFlight = false
			switch out {
			case statecache.Committed:
				if done != nil {
					done()
				}
				e.reconcile()
			case statecache.Rejected:
				// Also what an ended lease gets.
				if time.Since(e.lastRenewal) > e.options.LeaseTTL/2 {
					e.leaseID = 0
				}
			}
		})
	})
}

// assignTeams gives teams without a live controller a new one.
func (e *Election) assignTeams() {
	teams := e.teams.list()
	c := statecache.Commit{Preconditions: []wire.Precondition{{Key: statecache.LeaderKey, ModRevision: e.view.Leader.ModRevision}}}
	for team, member := range Assign(teams, e.view.Assignments, e.view.Members, e.view.Leader.Member) {
		if len(c.Puts) == e.options.MaxTxnOps {
			break
		}
		var stamp uint64
		if h := e.view.Assignments[team]; h != nil {
			stamp = h.ModRevision
		}
		key := statecache.Key(statecache.KindAssignment, string(team))
		c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key, ModRevision: stamp})
		c.Puts = append(c.Puts, statecache.Put{Key: key, Record: &statecache.Assignment{Member: member, Incarnation: e.view.Members[member].Incarnation}})
		slog.Info("team handed out", "team", team, "to", member)
	}
	if len(c.Puts) > 0 {
		e.commit(c, nil)
	}
}

// Assign names the teams that need another controller. All are handed to one,
// since a group of machines is best written by one controller alone; it keeps
// them while it lives. Rather another than the leader, which has work enough.
func Assign(teams []wire.TeamName, hands map[wire.TeamName]*statecache.Assignment, members map[string]*statecache.Member, leader string) map[wire.TeamName]string {
	out := map[wire.TeamName]string{}
	if len(members) == 0 {
		return out
	}
	alive := func(h *statecache.Assignment) bool {
		return h != nil && members[h.Member] != nil && members[h.Member].Incarnation == h.Incarnation
	}
	held := map[string]int{}
	for _, t := range teams {
		if h := hands[t]; alive(h) {
			held[h.Member]++
		}
	}
	best := ""
	for m := range members {
		switch {
		case best == "" || held[m] > held[best]:
			best = m
		case held[m] < held[best]:
		case m != leader && (best == leader || m < best):
			best = m
		}
	}
	for _, t := range teams {
		if h := hands[t]; !alive(h) || h.Member != best {
			out[t] = best
		}
	}
	return out
}
