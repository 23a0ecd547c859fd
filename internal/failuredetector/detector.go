package failuredetector

import (
	"fmt"
	"slices"
	"time"
)

// maxGapHeartbeats is the maximum time between two checks, in heartbeat intervals. A longer gap
// means that this process itself was paused, so silence up to the second check doesn't count.
const maxGapHeartbeats = 3

// Verdict states that a process is considered failed.
type Verdict struct {
	Member      string
	Incarnation uint64 // of the process
	Reason      string
}

// MemberStatus is the status of a controller at the time of a call.
type MemberStatus struct {
	Member         string
	Level          Level
	Incarnation    uint64 // of its latest process; 0: no heartbeat received yet
	SinceHeartbeat time.Duration
	Connections    int
}

// memberState is the observed state of a controller.
type memberState struct {
	incarnation         uint64
	lastHeartbeat       time.Time // time of the last heartbeat, or a later time from which missed ones count
	connections         int       // number of open connections from and to it
	disconnectedSince   time.Time // start of the current time without an open connection
	replacedIncarnation uint64    // of the previous process, which has certainly ended; 0: none
}

// Detector tracks the other controllers of a deployment.
type Detector struct {
	policy    Policy
	names     []string // sorted
	members   map[string]*memberState
	lastCheck time.Time
}

// New returns a detector that initially classifies every controller as alive.
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

// Heartbeat records a heartbeat of a process. It returns false if it ignores the heartbeat because
// the controller is unknown, the incarnation is 0, or it is that of the process last replaced.
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

// ConnectionOpened records a new connection from or to a controller.
func (d *Detector) ConnectionOpened(member string) {
	if state := d.members[member]; state != nil {
		state.connections++
	}
}

// ConnectionClosed records the end of a connection from or to a controller.
func (d *Detector) ConnectionClosed(now time.Time, member string) {
	state := d.members[member]
	if state == nil || state.connections == 0 {
		return
	}
	if state.connections--; state.connections == 0 {
		state.disconnectedSince = now
	}
}

// Check returns the current verdicts. It must be called more than once per heartbeat interval.
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

// replacedProcesses returns verdicts on processes that a new process of the member has replaced.
func (d *Detector) replacedProcesses() []Verdict {
	var verdicts []Verdict
	for _, name := range d.names {
		if state := d.members[name]; state.replacedIncarnation != 0 {
			verdicts = append(verdicts, Verdict{name, state.replacedIncarnation, "another process of it was heard"})
		}
	}
	return verdicts
}

// failedProcesses returns verdicts on processes at level Failed.
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

// restartTimers restarts the timeouts for missed heartbeats and closed connections.
func (d *Detector) restartTimers(now time.Time) {
	for _, state := range d.members {
		state.lastHeartbeat = now
		if state.connections == 0 {
			state.disconnectedSince = now
		}
	}
}

// isolated reports whether there are several other controllers and none of them is alive. In that
// case this controller has more likely been partitioned from all of them.
func (d *Detector) isolated(now time.Time) bool {
	if len(d.members) < 2 {
		return false
	}
	return !slices.ContainsFunc(d.names, func(name string) bool { return d.levelOf(now, d.members[name]) == Alive })
}

func (d *Detector) levelOf(now time.Time, state *memberState) Level {
	sinceHeartbeat := now.Sub(state.lastHeartbeat)
	heartbeatSeen := state.incarnation != 0
	disconnected := state.connections == 0
	switch {
	case heartbeatSeen && disconnected && sinceHeartbeat >= d.policy.FailedAfter && now.Sub(state.disconnectedSince) >= d.policy.FailedAfter:
		return Failed
	case sinceHeartbeat >= d.policy.SuspectAfter || disconnected && heartbeatSeen:
		return Suspect
	}
	return Alive
}

// Level returns the level of a controller. Unknown controllers are suspect.
func (d *Detector) Level(now time.Time, member string) Level {
	if state := d.members[member]; state != nil {
		return d.levelOf(now, state)
	}
	return Suspect
}

// Statuses returns the status of every other controller, sorted by name.
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
