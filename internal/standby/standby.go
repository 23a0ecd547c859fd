// Package standby takes over a failed controller's roles before its lease has expired. Every
// controller stands by for every other: who acts first follows from an order that all
// work out for themselves, and if two act at once, the preconditions of the key-value store let
// one through.
package standby

import (
	"context"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/failuredetector"
	"lynxledge/internal/statecache"
)

// Election is what a standby may do; package election does it.
type Election interface {
	// ClaimLeadership campaigns for the leadership whose record has a mod revision.
	ClaimLeadership(modRevision uint64)
	// EvictMember ends the membership of a member's process.
	EvictMember(member string, incarnation uint64)
}

// Standby is the actor.
type Standby struct {
	*actor.Actor
	config            *config.Config
	incarnation       uint64
	election          Election
	heartbeatInterval time.Duration // of the controllers

	detector  *failuredetector.Detector
	view      *statecache.View // of members, the leader and assignments
	freshAsOf time.Time

	verdicts   map[processID]*standingVerdict
	holdDowns  map[string]*holdDown // by member
	deposed    map[processID]bool   // leaders whose leadership others took, without a heartbeat since
	lastAction Action
}

// processID is one process of a controller.
type processID struct {
	member      string
	incarnation uint64
}

// Options are what a Standby works with.
type Options struct {
	Config      *config.Config // with its Standby section
	Incarnation uint64         // of this process
	Cache       *statecache.Cache
	Election    Election
}

// mailboxSize is how many messages may wait for the actor before senders do.
const mailboxSize = 512

// checksPerHeartbeat is how often per heartbeat interval the verdicts are checked.
const checksPerHeartbeat = 4

// Start runs the actor until ctx ends.
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
		verdicts:          map[processID]*standingVerdict{},
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

// Opened takes note of a connection from a controller or to it.
func (s *Standby) Opened(member string) {
	s.Post(func() { s.detector.ConnectionOpened(member) })
}

// Closed takes note of the end of such a connection.
func (s *Standby) Closed(member string) {
	s.Post(func() { s.detector.ConnectionClosed(time.Now(), member) })
}

// Heartbeat takes note of a heartbeat of a controller's process. It refutes a verdict on that
// process, and a takeover of its leadership, whoever made it: all controllers then hold verdicts
// on it down. If only those did that had a verdict themselves, the leadership could swing from
// one to the next.
func (s *Standby) Heartbeat(member string, incarnation uint64) {
	s.Post(func() {
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

// apply follows an update of the cache.
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

// applyLeaderChange takes note of a leader whose leadership another has taken. One that
// resigned, or whose lease expired first, has lost its record before.
func (s *Standby) applyLeaderChange(change statecache.Change) {
	before := s.view.Leader
	s.view.Apply(change)
	if after := s.view.Leader; before != nil && after != nil && before.Member != after.Member {
		clear(s.deposed) // from those before, no heartbeat came all the time
		s.deposed[processID{before.Member, before.Incarnation}] = true
	}
}

// check acts on the verdicts that stand.
func (s *Standby) check() {
	now := time.Now()
	verdicts := s.detector.Check(now)
	if now.Sub(s.freshAsOf) > s.config.Params.Workers.HeartbeatInterval {
		return // without the store nothing could be written
	}
	standing := map[processID]bool{}
	for _, verdict := range verdicts {
		process := processID{verdict.Member, verdict.Incarnation}
		standing[process] = true
		if s.verdicts[process] == nil {
			s.verdicts[process] = &standingVerdict{since: now}
		}
		if !s.holdDowns[verdict.Member].active(now) {
			s.act(now, verdict, s.verdicts[process])
		}
	}
	s.forgetVerdicts(now, standing)
}

// forgetVerdicts drops those that stand no more, but keeps them for a while: a heartbeat may
// refute them.
func (s *Standby) forgetVerdicts(now time.Time, standing map[processID]bool) {
	for process, verdict := range s.verdicts {
		if !standing[process] && now.Sub(verdict.since) > s.maxHoldDown() {
			delete(s.verdicts, process)
		}
	}
}
