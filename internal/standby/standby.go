// Package standby takes a dead controller's roles over before its lease has ended. Every
// controller stands by for every other: who acts first follows from an order that all
// work out for themselves, and if two act at once, the guards of the state service let one
// through.
package standby

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/failuredetector"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Roles is what a standby may do; package election does it.
type Roles interface {
	ClaimLeadership(version uint64)
	EvictMember(member string, boot uint64)
}

// Standby is the actor.
type Standby struct {
	*actor.Actor
	config            *config.Config
	incarnation       uint64
	roles             Roles
	heartbeatInterval time.Duration

	detector  *failuredetector.Detector
	view      *statecache.View // of members, the leader and assignments
	freshAsOf time.Time

	verdicts map[processID]*verdict
	holds    map[string]*hold   // by member
	deposed  map[processID]bool // leaders that lost the lead to others, and were not heard since
	last     Action
}

// processID is one process of a controller.
type processID struct {
	member string
	boot   uint64
}

// verdict is one that stands, and since when.
type verdict struct {
	since time.Time
	acted bool
	// claimed and evicted are the versions of the records that were acted on. A later
	// record of the same process shows that it is alive.
	claimed, evicted uint64
}

// hold keeps verdicts on a member from being acted on, after some were refuted.
type hold struct {
	refuted int
	until   time.Time
}

// Action is what a standby did.
type Action struct {
	At     time.Time `json:"at,omitzero"`
	What   string    `json:"what,omitempty"`
	Member string    `json:"member,omitempty"`
	Reason string    `json:"reason,omitempty"`
}

// checksPerHeartbeat is how often between two heartbeats the verdicts are looked at.
const checksPerHeartbeat = 4

// Start runs the actor; the settings' Standby section is set.
func Start(ctx context.Context, cfg *config.Config, boot uint64, l *statecache.Cache, roles Roles) *Standby {
	section := cfg.Operator.Standby
	beat := section.HeartbeatInterval(cfg.Params.Workers)
	beats := func(n float64) time.Duration { return time.Duration(n * float64(beat)) }
	var members []string
	for _, p := range cfg.Peers {
		members = append(members, p.Name)
	}
	now := time.Now()
	s := &Standby{
		Actor: actor.Start(ctx, "standby", 512), config: cfg, incarnation: boot, roles: roles, heartbeatInterval: beat,
		detector: failuredetector.New(now, failuredetector.Policy{Heartbeat: beat, SuspectAfter: beats(section.SuspectAfterHeartbeats), FailedAfter: beats(section.FailedAfterHeartbeats)}, members),
		view:     statecache.NewUnfinishedView(statecache.ChunkTasks(cfg.Params.Store.MaxValueKB)),
		verdicts: map[processID]*verdict{},
		holds:    map[string]*hold{},
		deposed:  map[processID]bool{},
	}
	l.Subscribe(func(d statecache.Update) { s.Send(func() { s.apply(d) }) })
	s.Every(beat/checksPerHeartbeat, s.check)
	return s
}

// Opened notes a connection from a controller or to it.
func (s *Standby) Opened(member string) { s.Post(func() { s.detector.Opened(member) }) }

// Closed notes the end of such a connection.
func (s *Standby) Closed(member string) { s.Post(func() { s.detector.Closed(time.Now(), member) }) }

// Heartbeat notes a heartbeat of a controller's process. It refutes a verdict on that
// process, and a takeover of its lead, whoever made it: all controllers then hold verdicts on
// it down. If only those did that had a verdict themselves, the lead could swing from one
// to the next.
func (s *Standby) Heartbeat(member string, boot uint64) {
	s.Post(func() {
		now := time.Now()
		if !s.detector.Heartbeat(now, member, boot) {
			return
		}
		p := processID{member, boot}
		if s.verdicts[p] != nil || s.deposed[p] {
			s.refuted(now, member)
			delete(s.verdicts, p)
			delete(s.deposed, p)
		}
	})
}

// refuted holds verdicts on a member down, longer each time.
func (s *Standby) refuted(now time.Time, member string) {
	h := s.holds[member]
	if h == nil {
		h = &hold{}
		s.holds[member] = h
	}
	section := s.config.Operator.Standby
	reports := min(section.HoldDownHeartbeats*float64(uint64(1)<<min(h.refuted, maxDoublings)), section.HoldDownMaxHeartbeats)
	h.refuted++
	wait := s.config.Params.Workers.Heartbeats(reports)
	h.until = now.Add(wait)
	slog.Warn("a controller taken for failed is alive", "member", member, "times", h.refuted, "hold_s", int(wait.Seconds()))
}

// maxDoublings keeps the doubling of a hold-down from overflowing.
const maxDoublings = 30

func (s *Standby) apply(d statecache.Update) {
	s.freshAsOf = d.FreshAsOf
	for _, c := range d.Changes {
		switch c.Kind {
		case statecache.KindMember, statecache.KindAssignment:
			s.view.Apply(c)
		case statecache.KindLeader:
			s.leaderChanged(c)
		}
	}
}

// leaderChanged notes a leader whose lead another has taken. One that resigned, or whose
// lease ended first, has lost its record before.
func (s *Standby) leaderChanged(c statecache.Change) {
	before := s.view.Leader
	s.view.Apply(c)
	if after := s.view.Leader; before != nil && after != nil && before.Member != after.Member {
		clear(s.deposed) // of those before, nothing was heard all the time
		s.deposed[processID{before.Member, before.Incarnation}] = true
	}
}

// check acts on the verdicts that stand.
func (s *Standby) check() {
	now := time.Now()
	verdicts := s.detector.Check(now)
	if now.Sub(s.freshAsOf) > s.config.Params.Workers.HeartbeatInterval {
		return // without the state service nothing could be written
	}
	standing := map[processID]bool{}
	for _, v := range verdicts {
		p := processID{v.Member, v.Incarnation}
		standing[p] = true
		if s.verdicts[p] == nil {
			s.verdicts[p] = &verdict{since: now}
		}
		if h := s.holds[v.Member]; h != nil && now.Before(h.until) {
			continue
		}
		s.act(now, v, s.verdicts[p])
	}
	for p, v := range s.verdicts {
		// One that stands no more is kept for a while: a heartbeat may refute it.
		if !standing[p] && now.Sub(v.since) > s.longestHold() {
			delete(s.verdicts, p)
		}
	}
}

// longestHold is the longest time for which verdicts on a member are held down.
func (s *Standby) longestHold() time.Duration {
	return s.config.Params.Workers.Heartbeats(s.config.Operator.Standby.HoldDownMaxHeartbeats)
}

// act claims the lead of a leader that has failed, when it is this controller's turn, or
// evicts a member, if this controller leads. It is repeated while the verdict and the
// record stand.
func (s *Standby) act(now time.Time, v failuredetector.Verdict, standing *verdict) {
	leader, member := s.view.Leader, s.view.Members[v.Member]
	switch {
	case leader != nil && leader.Member == v.Member && leader.Incarnation == v.Incarnation:
		turn := s.positionInOrder(now, v.Member)
		if turn < 0 || now.Sub(standing.since) < time.Duration(turn)*s.heartbeatInterval || !s.mayActOn(now, v, &standing.claimed, leader.ModRevision) {
			return
		}
		s.recordAction(now, standing, "claim", v)
		s.roles.ClaimLeadership(leader.ModRevision)
	case leader != nil && leader.Incarnation == s.incarnation && member != nil && member.Incarnation == v.Incarnation:
		if !s.mayActOn(now, v, &standing.evicted, member.ModRevision) {
			return
		}
		s.recordAction(now, standing, "evict", v)
		s.roles.EvictMember(v.Member, v.Incarnation)
	}
}

// mayActOn tells whether a record of a process that is taken for failed may be acted on. One
// that was written after another was acted on refutes the verdict: two controllers that
// see each other as failed would take the lead from each other again and again.
func (s *Standby) mayActOn(now time.Time, v failuredetector.Verdict, actedOn *uint64, version uint64) bool {
	if *actedOn != 0 && *actedOn != version {
		s.refuted(now, v.Member)
		return false
	}
	*actedOn = version
	return true
}

func (s *Standby) recordAction(now time.Time, standing *verdict, what string, v failuredetector.Verdict) {
	if !standing.acted {
		slog.Info("taking over", "what", what, "member", v.Member, "reason", v.Reason)
		s.last = Action{now, what, v.Member, v.Reason}
	}
	standing.acted = true
}

// positionInOrder is this controller's place among those that may claim the lead; below 0: it is not
// a member.
func (s *Standby) positionInOrder(now time.Time, dead string) int {
	return slices.Index(s.successors(now, dead), s.config.MemberName)
}

// successors is who may claim a dead leader's lead, the first first.
func (s *Standby) successors(now time.Time, dead string) []string {
	var candidates []string
	for _, m := range slices.Sorted(maps.Keys(s.view.Members)) {
		if m == s.config.MemberName || m != dead && s.detector.Level(now, m) != failuredetector.Failed {
			candidates = append(candidates, m)
		}
	}
	return failuredetector.SuccessorOrder(candidates, s.zoneOf, s.zoneOf(dead), s.activeScheduler())
}

func (s *Standby) zoneOf(member string) wire.Zone {
	if member == s.config.MemberName {
		return s.config.Zone
	}
	for _, p := range s.config.Peers {
		if p.Name == member {
			return p.Zone
		}
	}
	return ""
}

// activeScheduler is the controller that the teams are handed to.
func (s *Standby) activeScheduler() string {
	for _, a := range s.view.Assignments {
		return a.Member // they are all handed to one
	}
	return ""
}
