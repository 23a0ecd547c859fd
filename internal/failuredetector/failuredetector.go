package failuredetector

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lynxledge/wire"
)

// Level is what a controller is taken for.
type Level int

// The levels. Silence alone makes a controller suspect; only a process of which nothing
// is left, no connection and no heartbeat, has failed.
const (
	Alive Level = iota
	Suspect
	Failed
)

var levelNames = [...]string{"alive", "suspect", "failed"}

// String is the level's name.
func (l Level) String() string { return levelNames[l] }

// Policy is when a controller goes from one level to another.
type Policy struct {
	// Heartbeat is the time between two heartbeats of a controller.
	Heartbeat time.Duration
	// SuspectAfter is the silence from which a controller is suspect.
	SuspectAfter time.Duration
	// FailedAfter is for how long a controller must have been silent, with all
	// connections closed, to have failed.
	FailedAfter time.Duration
}

// maxGaps is how many heartbeats' time may pass between two looks. After a longer gap
// this process stood still itself, and trusts nothing that it has seen before.
const maxGaps = 3

// Verdict says that a process has failed.
type Verdict struct {
	Member      string
	Incarnation uint64 // of the process
	Reason      string
}

// MemberStatus is what is known of a controller.
type MemberStatus struct {
	Member      string
	Level       Level
	Incarnation uint64 // 0: none of its processes was heard
	SilentFor   time.Duration
	Connections int
}

type peer struct {
	incarnation   uint64
	lastHeartbeat time.Time // its last heartbeat, or from when on silence counts
	open          int       // connections from it and to it
	closed        time.Time // since when none is open
	replaced      uint64    // the process before, which has certainly ended
}

// Detector knows the other controllers of a deployment.
type Detector struct {
	policy    Policy
	names     []string // sorted
	peers     map[string]*peer
	lastCheck time.Time
}

// New begins with every controller alive.
func New(now time.Time, policy Policy, members []string) *Detector {
	d := &Detector{policy: policy, names: slices.Sorted(slices.Values(members)), peers: map[string]*peer{}, lastCheck: now}
	for _, m := range members {
		d.peers[m] = &peer{lastHeartbeat: now, closed: now}
	}
	return d
}

// Heartbeat notes a heartbeat of a process. False: the controller is not one of the
// deployment, or the heartbeat is a late one of a process that has been replaced.
func (d *Detector) Heartbeat(now time.Time, member string, boot uint64) bool {
	p := d.peers[member]
	if p == nil || boot == 0 || boot == p.replaced {
		return false
	}
	if p.incarnation != boot {
		p.replaced, p.incarnation = p.incarnation, boot
	}
	p.lastHeartbeat = now
	return true
}

// Opened notes a connection from a controller or to it.
func (d *Detector) Opened(member string) {
	if p := d.peers[member]; p != nil {
		p.open++
	}
}

// Closed notes the end of such a connection.
func (d *Detector) Closed(now time.Time, member string) {
	p := d.peers[member]
	if p == nil || p.open == 0 {
		return
	}
	if p.open--; p.open == 0 {
		p.closed = now
	}
}

// Check returns the verdicts that stand. It is to be called more than once a heartbeat.
func (d *Detector) Check(now time.Time) []Verdict {
	gap := now.Sub(d.lastCheck)
	d.lastCheck = now
	if gap > maxGaps*d.policy.Heartbeat {
		d.creditBlindTime(now)
	}
	var verdicts []Verdict
	for _, name := range d.names {
		if p := d.peers[name]; p.replaced != 0 {
			verdicts = append(verdicts, Verdict{name, p.replaced, "another process of it was heard"})
		}
	}
	if d.blind(now) {
		return verdicts
	}
	for _, name := range d.names {
		p := d.peers[name]
		if d.level(now, p) != Failed {
			continue
		}
		reason := fmt.Sprintf("silent for %v, all connections closed for %v", now.Sub(p.lastHeartbeat).Round(time.Millisecond), now.Sub(p.closed).Round(time.Millisecond))
		verdicts = append(verdicts, Verdict{name, p.incarnation, reason})
	}
	return verdicts
}

// creditBlindTime has silence count from now on.
func (d *Detector) creditBlindTime(now time.Time) {
	for _, p := range d.peers {
		p.lastHeartbeat = now
		if p.open == 0 {
			p.closed = now
		}
	}
}

// blind tells whether several controllers have failed and none is alive: then it is more
// likely that this one is cut off from all.
func (d *Detector) blind(now time.Time) bool {
	if len(d.peers) < 2 {
		return false
	}
	return !slices.ContainsFunc(d.names, func(name string) bool { return d.level(now, d.peers[name]) == Alive })
}

func (d *Detector) level(now time.Time, p *peer) Level {
	silent := now.Sub(p.lastHeartbeat)
	switch {
	case p.incarnation != 0 && p.open == 0 && silent >= d.policy.FailedAfter && now.Sub(p.closed) >= d.policy.FailedAfter:
		return Failed
	case silent >= d.policy.SuspectAfter || p.open == 0 && p.incarnation != 0:
		return Suspect
	}
	return Alive
}

// Level is what a controller is taken for; one that is not known is suspect.
func (d *Detector) Level(now time.Time, member string) Level {
	if p := d.peers[member]; p != nil {
		return d.level(now, p)
	}
	return Suspect
}

// Statuses is what is known of all controllers.
func (d *Detector) Statuses(now time.Time) []MemberStatus {
	var grades []MemberStatus
	for _, name := range d.names {
		p := d.peers[name]
		grades = append(grades, MemberStatus{name, d.level(now, p), p.incarnation, now.Sub(p.lastHeartbeat), p.open})
	}
	return grades
}

// SuccessorOrder sorts the controllers that may take a role over: those in other zones than the
// dead one first, and among these those that do not hold the other role.
func SuccessorOrder(members []string, zoneOf func(string) wire.Zone, deadZone wire.Zone, busy string) []string {
	order := slices.Clone(members)
	worse := func(m string) int {
		n := 0
		if zoneOf(m) == deadZone {
			n += 2
		}
		if m == busy {
			n++
		}
		return n
	}
	slices.SortFunc(order, func(a, b string) int {
		if d := worse(a) - worse(b); d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	return order
}
