package standby

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"lynxledge/internal/failuredetector"
	"lynxledge/wire"
)

// standingVerdict is a verdict that stands, and since when.
type standingVerdict struct {
	since time.Time
	acted bool
	// claimedRevision and evictedRevision are the mod revisions of the records that were acted
	// on. A later record of the same process shows that it is alive.
	claimedRevision, evictedRevision uint64
}

// Kinds of an Action, as status pages and log lines have them.
const (
	actionClaim = "claim" // of the leadership of a leader that has failed
	actionEvict = "evict" // the membership of another member
)

// Action is the last thing that a standby did.
type Action struct {
	At     time.Time `json:"at,omitzero"`
	Kind   string    `json:"what,omitempty"`
	Member string    `json:"member,omitempty"`
	Reason string    `json:"reason,omitempty"`
}

// act claims the leadership of a leader that has failed, when it is this controller's turn, or
// evicts a member, if this controller leads. It is repeated while the verdict and the
// record stand.
func (s *Standby) act(now time.Time, verdict failuredetector.Verdict, standing *standingVerdict) {
	leader, member := s.view.Leader, s.view.Members[verdict.Member]
	switch {
	case leader != nil && leader.Member == verdict.Member && leader.Incarnation == verdict.Incarnation:
		if !s.isTurn(now, verdict.Member, standing.since) || !s.mayActOn(now, verdict, &standing.claimedRevision, leader.ModRevision) {
			return
		}
		s.recordAction(now, standing, actionClaim, verdict)
		s.election.ClaimLeadership(leader.ModRevision)
	case leader != nil && leader.Incarnation == s.incarnation && member != nil && member.Incarnation == verdict.Incarnation:
		if !s.mayActOn(now, verdict, &standing.evictedRevision, member.ModRevision) {
			return
		}
		s.recordAction(now, standing, actionEvict, verdict)
		s.election.EvictMember(verdict.Member, verdict.Incarnation)
	}
}

// isTurn tells whether this controller may claim the leadership of a leader that has failed:
// each successor waits one heartbeat interval more than the one before it.
func (s *Standby) isTurn(now time.Time, failed string, since time.Time) bool {
	rank := s.successorRank(now, failed)
	return rank >= 0 && now.Sub(since) >= time.Duration(rank)*s.heartbeatInterval
}

// mayActOn tells whether a record of a process that is taken for failed may be acted on. One
// that was written after another was acted on refutes the verdict: two controllers that
// see each other as failed would take the leadership from each other again and again.
func (s *Standby) mayActOn(now time.Time, verdict failuredetector.Verdict, actedOn *uint64, modRevision uint64) bool {
	if *actedOn != 0 && *actedOn != modRevision {
		s.refuteVerdict(now, verdict.Member)
		return false
	}
	*actedOn = modRevision
	return true
}

// recordAction logs the first action on a verdict, and keeps it for the status page.
func (s *Standby) recordAction(now time.Time, standing *standingVerdict, kind string, verdict failuredetector.Verdict) {
	if !standing.acted {
		slog.Info("failover started", "action", kind, "member", verdict.Member, "reason", verdict.Reason)
		s.lastAction = Action{now, kind, verdict.Member, verdict.Reason}
	}
	standing.acted = true
}

// successorRank is this controller's place among those that may claim the leadership; negative
// if it is not a member.
func (s *Standby) successorRank(now time.Time, failed string) int {
	return slices.Index(s.successors(now, failed), s.config.MemberName)
}

// successors lists who may claim a failed leader's leadership, in order.
func (s *Standby) successors(now time.Time, failed string) []string {
	var candidates []string
	for _, member := range slices.Sorted(maps.Keys(s.view.Members)) {
		if member == s.config.MemberName || member != failed && s.detector.Level(now, member) != failuredetector.Failed {
			candidates = append(candidates, member)
		}
	}
	return failuredetector.SuccessorOrder(candidates, s.zoneOf, s.zoneOf(failed), s.activeScheduler())
}

// zoneOf is the zone of a controller as configured.
func (s *Standby) zoneOf(member string) wire.Zone {
	if member == s.config.MemberName {
		return s.config.Zone
	}
	for _, peer := range s.config.Peers {
		if peer.Name == member {
			return peer.Zone
		}
	}
	return ""
}

// activeScheduler is the controller that the teams are assigned to.
func (s *Standby) activeScheduler() string {
	for _, assignment := range s.view.Assignments {
		return assignment.Member // they are all assigned to one
	}
	return ""
}
