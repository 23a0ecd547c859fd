package standby

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"lynxledge/internal/failuredetector"
	"lynxledge/wire"
)

// verdictState tracks a verdict on a process and what was done about it.
type verdictState struct {
	since          time.Time // when the verdict was first returned
	actionRecorded bool
	// claimedRevision and evictedRevision are the mod revisions of the leader and the membership
	// record that were acted on; 0 if none was. A later record of the same process shows that
	// it is alive.
	claimedRevision, evictedRevision uint64
}

// Kinds of an Action, as they appear in the status and in log lines.
const (
	actionClaim = "claim" // claims the leadership of a failed leader
	actionEvict = "evict" // evicts a failed member
)

// Action is an action that a Standby took on a verdict.
type Action struct {
	At     time.Time `json:"at,omitzero"`
	Kind   string    `json:"what,omitempty"`
	Member string    `json:"member,omitempty"`
	Reason string    `json:"reason,omitempty"`
}

// act claims the leadership of a failed leader when it is this controller's turn, or evicts a
// failed member if this controller leads. It runs at each check, and so retries as long as the
// verdict is current and the record unchanged.
func (s *Standby) act(now time.Time, verdict failuredetector.Verdict, state *verdictState) {
	leader, member := s.view.Leader, s.view.Members[verdict.Member]
	switch {
	case leader != nil && leader.Member == verdict.Member && leader.Incarnation == verdict.Incarnation:
		if !s.isTurn(now, verdict.Member, state.since) || !s.mayActOn(now, verdict, &state.claimedRevision, leader.ModRevision) {
			return
		}
		s.recordAction(now, state, actionClaim, verdict)
		s.election.ClaimLeadership(leader.ModRevision)
	case leader != nil && leader.Incarnation == s.incarnation && member != nil && member.Incarnation == verdict.Incarnation:
		if !s.mayActOn(now, verdict, &state.evictedRevision, member.ModRevision) {
			return
		}
		s.recordAction(now, state, actionEvict, verdict)
		s.election.EvictMember(verdict.Member, verdict.Incarnation)
	}
}

// isTurn reports whether this controller may claim the leadership of a failed leader now: each
// successor waits one heartbeat interval longer than its predecessor in the order.
func (s *Standby) isTurn(now time.Time, failed string, since time.Time) bool {
	rank := s.successorRank(now, failed)
	return rank >= 0 && now.Sub(since) >= time.Duration(rank)*s.heartbeatInterval
}

// mayActOn reports whether to act on the record of a process that is considered failed. A record
// that the process wrote after an earlier one was acted on refutes the verdict. Otherwise two
// controllers that consider each other failed would take leadership from each other repeatedly. If
// it returns true, it has stored the record's revision in actedOn.
func (s *Standby) mayActOn(now time.Time, verdict failuredetector.Verdict, actedOn *uint64, modRevision uint64) bool {
	if *actedOn != 0 && *actedOn != modRevision {
		s.refuteVerdict(now, verdict.Member)
		return false
	}
	*actedOn = modRevision
	return true
}

// recordAction logs the first action on a verdict and stores it for the status.
func (s *Standby) recordAction(now time.Time, state *verdictState, kind string, verdict failuredetector.Verdict) {
	if !state.actionRecorded {
		slog.Info("failover started", "action", kind, "member", verdict.Member, "reason", verdict.Reason)
		s.lastAction = Action{now, kind, verdict.Member, verdict.Reason}
	}
	state.actionRecorded = true
}

// successorRank returns this controller's position among the successors of a failed leader, from 0;
// negative if it is not a member.
func (s *Standby) successorRank(now time.Time, failed string) int {
	return slices.Index(s.successors(now, failed), s.config.MemberName)
}

// successors returns the members that may claim a failed leader's leadership, in their order.
func (s *Standby) successors(now time.Time, failed string) []string {
	var candidates []string
	for _, member := range slices.Sorted(maps.Keys(s.view.Members)) {
		if member == s.config.MemberName || member != failed && s.detector.Level(now, member) != failuredetector.Failed {
			candidates = append(candidates, member)
		}
	}
	return failuredetector.SuccessorOrder(candidates, s.zoneOf, s.zoneOf(failed), s.activeScheduler())
}

// zoneOf returns the zone of a controller from the settings; empty if it is not in them.
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

// activeScheduler returns the controller that the teams are assigned to; empty if there is none.
func (s *Standby) activeScheduler() string {
	for _, assignment := range s.view.Assignments {
		return assignment.Member // all teams are assigned to the same member
	}
	return ""
}
