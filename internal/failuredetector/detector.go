package failuredetector

import (
	"fmt"
	"slices"
	"time"
)

// maxGapHeartbeats is how many heartbeat intervals may pass between two checks. After a longer
// gap this process stood still itself, and trusts nothing that it has observed before.
const maxGapHeartbeats = 3

// Verdict says that a process has failed.
type Verdict struct {
	Member      string
	Incarnation uint64 // of the process
	Reason      string
}

// MemberStatus is what is known of a controller.
type MemberStatus struct {
	Member         string
	Level          Level
	Incarnation    uint64 // 0: no heartbeat of any of its processes was received
	SinceHeartbeat time.Duration
	Connections    int
}

// memberState is what is known of a controller at any time.
type memberState struct {
	incarnation         uint64
	lastHeartbeat       time.Time // its last heartbeat, or from when on missed heartbeats count
	connections         int       // open ones, from it and to it
	disconnectedSince   time.Time // since when none is open
	replacedIncarnation uint64    // the process before, which has certainly ended
}

// Detector tracks the other controllers of a deployment.
type Detector struct {
	policy    Policy
	names     []string // sorted
	members   map[string]*memberState
	lastCheck time.Time
}

// New returns a detector that takes every controller for alive.
func New(now time.Time, policy Policy, members []string) *Detector {
	d := &Detector{
		policy:    policy,
		names:     slices.Sorted(slices.Values(members)),
		members:   map[string]*memberState{},
		lastCheck: now,
	}
	for _, name := range members {
		d.members[name] = &memberState{lastHeartbeat: now, disconnectedSince: now}
	}
	return d
}

// Heartbeat records a heartbeat of a process. It returns false if the controller is not one of
// the deployment, or the heartbeat is a late one of a process that has been replaced.
func (d *Detector) Heartbeat(now time.Time, member string, incarnation uint64) bool {
	state := d.members[member]
	if state == nil || incarnation == 0 || incarnation == state.replacedIncarnation {
		return false
	}
	if state.incarnation != incarnation {
		state.replacedIncarnation, state.incarnation = state.incarnation, incarnation
	}
	state.lastHeartbeat = now
	return true
}

// ConnectionOpened records a connection from a controller or to it.
func (d *Detector) ConnectionOpened(member string) {
	if state := d.members[member]; state != nil {
		state.connections++
	}
}

// ConnectionClosed records the end of such a connection.
func (d *Detector) ConnectionClosed(now time.Time, member string) {
	state := d.members[member]
	if state == nil || state.connections == 0 {
		return
	}
	if state.connections--; state.connections == 0 {
		state.disconnectedSince = now
	}
}

// Check returns the verdicts that stand. It is to be called more than once per heartbeat
// interval.
func (d *Detector) Check(now time.Time) []Verdict {
	gap := now.Sub(d.lastCheck)
	d.lastCheck = now
	if gap > maxGapHeartbeats*d.policy.HeartbeatInterval {
		d.restartTimers(now)
	}
	verdicts := d.replacedProcesses()
	if d.isolated(now) {
		return verdicts
	}
	return append(verdicts, d.failedProcesses(now)...)
}

// replacedProcesses returns verdicts on processes that a later incarnation has replaced.
func (d *Detector) replacedProcesses() []Verdict {
	var verdicts []Verdict
	for _, name := range d.names {
		if state := d.members[name]; state.replacedIncarnation != 0 {
			verdicts = append(verdicts, Verdict{name, state.replacedIncarnation, "another process of it was heard"})
		}
	}
	return verdicts
}

// failedProcesses returns verdicts on processes that have neither a heartbeat nor a connection.
func (d *Detector) failedProcesses(now time.Time) []Verdict {
	var verdicts []Verdict
	for _, name := range d.names {
		state := d.members[name]
		if d.levelOf(now, state) != Failed {
			continue
		}
		reason := fmt.Sprintf("silent for %v, all connections closed for %v",
			now.Sub(state.lastHeartbeat).Round(time.Millisecond), now.Sub(state.disconnectedSince).Round(time.Millisecond))
		verdicts = append(verdicts, Verdict{name, state.incarnation, reason})
	}
	return verdicts
}

// restartTimers has missed heartbeats and closed connections count from now on.
func (d *Detector) restartTimers(now time.Time) {
	for _, state := range d.members {
		state.lastHeartbeat = now
		if state.connections == 0 {
			state.disconnectedSince = now
		}
	}
}

// isolated tells whether there are several other controllers and none of them is alive: then it
// is more likely that this one is partitioned from all.
func (d *Detector) isolated(now time.Time) bool {
	if len(d.members) < 2 {
		return false
	}
	return !slices.ContainsFunc(d.names, func(name string) bool { return d.levelOf(now, d.members[name]) == Alive })
}

func (d *Detector) levelOf(now time.Time, state *memberState) Level {
	sinceHeartbeat := now.Sub(state.lastHeartbeat)
	started := state.incarnation != 0
	disconnected := state.connections == 0
	switch {
	case started && disconnected && sinceHeartbeat >= d.policy.FailedAfter && now.Sub(state.disconnectedSince) >= d.policy.FailedAfter:
		return Failed
	case sinceHeartbeat >= d.policy.SuspectAfter || disconnected && started:
		return Suspect
	}
	return Alive
}

// Level returns what a controller is taken for; one that is not known is suspect.
func (d *Detector) Level(now time.Time, member string) Level {
	if state := d.members[member]; state != nil {
		return d.levelOf(now, state)
	}
	return Suspect
}

// Statuses returns what is known of all controllers, sorted by name.
func (d *Detector) Statuses(now time.Time) []MemberStatus {
	var statuses []MemberStatus
	for _, name := range d.names {
		state := d.members[name]
		statuses = append(statuses, MemberStatus{
			Member:         name,
			Level:          d.levelOf(now, state),
			Incarnation:    state.incarnation,
			SinceHeartbeat: now.Sub(state.lastHeartbeat),
			Connections:    state.connections,
		})
	}
	return statuses
}
