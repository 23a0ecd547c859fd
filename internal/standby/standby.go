// Package standby takes over a failed controller's roles before its lease has expired. Every
// controller is a standby for every other one. Each of them computes the same order of successors,
// which decides who acts first. If two act at once, the preconditions of their commits let only
// one succeed.
package standby

import (
	"context"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/failuredetector"
	"lynxledge/internal/statecache"
)

// Election performs the actions of a Standby. It is implemented by package election.
type Election interface {
	// ClaimLeadership campaigns if the leader record is still at modRevision.
	ClaimLeadership(modRevision uint64)
	// EvictMember deletes the record of a member's process if this controller leads.
	EvictMember(member string, incarnation uint64)
}

// Standby is the actor that detects failed controllers and takes over their roles.
type Standby struct {
	*actor.Actor
	config            *config.Config
	incarnation       uint64
	election          Election
	heartbeatInterval time.Duration // between heartbeats of a controller to its peers

	detector  *failuredetector.Detector
	view      *statecache.View // members, leader and assignments only
	freshAsOf time.Time

	verdicts   map[processID]*verdictState
	holdDowns  map[string]*holdDown // by member
	deposed    map[processID]bool   // leaders replaced by another member, with no heartbeat since
	lastAction Action
}

// processID identifies one process of a controller.
type processID struct {
	member      string
	incarnation uint64
}

// Options configures a Standby.
type Options struct {
	Config      *config.Config // Operator.Standby must be set
	Incarnation uint64         // of this process
	Cache       *statecache.Cache
	Election    Election
}

// mailboxSize is the number of messages that the actor's mailbox holds. While it is full, Send
// blocks and TrySend drops the message.
const mailboxSize = 512

// checksPerHeartbeat is the number of failure detector checks per heartbeat interval.
const checksPerHeartbeat = 4

// Start starts a Standby that runs until ctx ends.
func Start(ctx context.Context, o Options) *Standby {
	cfg := o.Config
	interval := cfg.Operator.Standby.HeartbeatInterval(cfg.Params.Workers)
	now := time.Now()
	s := &Standby{
		Actor:             actor.Start(ctx, "standby", mailboxSize),
		config:            cfg,
		incarnation:       o.Incarnation,
		election:          o.Election,
		heartbeatInterval: interval,
		detector:          failuredetector.New(now, detectorPolicy(cfg.Operator.Standby, interval), peerNames(cfg)),
		view:              statecache.NewUnfinishedView(statecache.ChunkTasks(cfg.Params.Store.MaxValueKB)),
		verdicts:          map[processID]*verdictState{},
		holdDowns:         map[string]*holdDown{},
		deposed:           map[processID]bool{},
	}
	o.Cache.Subscribe(func(update statecache.Update) { s.Send(func() { s.apply(update) }) })
	s.Every(interval/checksPerHeartbeat, s.check)
	return s
}

// detectorPolicy returns the failure detector's policy for a heartbeat interval.
func detectorPolicy(section *config.Standby, interval time.Duration) failuredetector.Policy {
	heartbeats := func(n float64) time.Duration { return time.Duration(n * float64(interval)) }
	return failuredetector.Policy{
		HeartbeatInterval: interval,
		SuspectAfter:      heartbeats(section.SuspectAfterHeartbeats),
		FailedAfter:       heartbeats(section.FailedAfterHeartbeats),
	}
}

// peerNames returns the names of the other controllers.
func peerNames(cfg *config.Config) []string {
	var names []string
	for _, peer := range cfg.Peers {
		names = append(names, peer.Name)
	}
	return names
}

// ConnectionOpened records a new connection from or to a controller.
func (s *Standby) ConnectionOpened(member string) {
	s.TrySend(func() { s.detector.ConnectionOpened(member) })
}

// ConnectionClosed records the end of a connection from or to a controller.
func (s *Standby) ConnectionClosed(member string) {
	s.TrySend(func() { s.detector.ConnectionClosed(time.Now(), member) })
}

// Heartbeat records a heartbeat of a controller's process. It refutes this controller's verdict on
// that process, and a takeover of its leadership by any controller, so that after a takeover all
// controllers hold down verdicts on the member. If only those with a verdict of their own did so,
// leadership could move on from one controller to the next.
func (s *Standby) Heartbeat(member string, incarnation uint64) {
	s.TrySend(func() {
		now := time.Now()
		if !s.detector.Heartbeat(now, member, incarnation) {
			return
		}
		process := processID{member, incarnation}
		if s.verdicts[process] != nil || s.deposed[process] {
			s.refuteVerdict(now, member)
			delete(s.verdicts, process)
			delete(s.deposed, process)
		}
	})
}

// apply applies an update of the cache.
func (s *Standby) apply(update statecache.Update) {
	s.freshAsOf = update.FreshAsOf
	for _, change := range update.Changes {
		switch change.Kind {
		case statecache.KindMember, statecache.KindAssignment:
			s.view.Apply(change)
		case statecache.KindLeader:
			s.applyLeaderChange(change)
		}
	}
}

// applyLeaderChange records a leader whose leadership was taken over by another member. The record
// of a leader that resigned, or whose lease expired, was deleted before its successor's was
// written, so such a leader is not recorded.
func (s *Standby) applyLeaderChange(change statecache.Change) {
	before := s.view.Leader
	s.view.Apply(change)
	if after := s.view.Leader; before != nil && after != nil && before.Member != after.Member {
		clear(s.deposed) // leaders deposed earlier have sent no heartbeat since
		s.deposed[processID{before.Member, before.Incarnation}] = true
	}
}

// check runs the failure detector and acts on its verdicts.
func (s *Standby) check() {
	now := time.Now()
	verdicts := s.detector.Check(now)
	if now.Sub(s.freshAsOf) > s.config.Params.Workers.HeartbeatInterval {
		return // the store is probably unreachable, so no takeover could be committed
	}
	current := map[processID]bool{}
	for _, verdict := range verdicts {
		process := processID{verdict.Member, verdict.Incarnation}
		current[process] = true
		if s.verdicts[process] == nil {
			s.verdicts[process] = &verdictState{since: now}
		}
		if !s.holdDowns[verdict.Member].active(now) {
			s.act(now, verdict, s.verdicts[process])
		}
	}
	s.expireVerdicts(now, current)
}

// expireVerdicts deletes verdicts that are no longer current. It keeps each for the maximum
// hold-down after it was first returned, since a late heartbeat may still refute it.
func (s *Standby) expireVerdicts(now time.Time, current map[processID]bool) {
	for process, state := range s.verdicts {
		if !current[process] && now.Sub(state.since) > s.maxHoldDown() {
			delete(s.verdicts, process)
		}
	}
}
