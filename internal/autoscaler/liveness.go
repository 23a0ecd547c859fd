package autoscaler

import (
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// machineLiveness is what the leader knows of a machine from its heartbeats and probes, or
// from missing them.
type machineLiveness struct {
	lastReachable       time.Time           // when its heartbeat reached some controller, or it answered a probe; zero: never
	suspectedAt         time.Time           // when it was recorded as suspected
	lastFailedProbe     time.Time           // when a probe failed last
	probing             bool                // a probe is under way
	outboundPartitioned bool                // it answers probes, but its heartbeats reach nobody
	failedJobs          map[wire.JobID]bool // jobs with tasks that failed on it since one completed
}

// applyRecord follows the machine's new record; old is nil if it is the first.
func (l *machineLiveness) applyRecord(old, next *statecache.Machine, now time.Time) {
	firstHeartbeat := l.lastReachable.IsZero() && next.Incarnation > 0
	noLongerSuspected := old != nil && old.Suspected && !next.Suspected
	if firstHeartbeat || noLongerSuspected {
		l.lastReachable = now // some controller receives its heartbeats
	}
	if next.Suspected && (old == nil || !old.Suspected) {
		l.suspectedAt = now
	}
}

// observeTermination takes note of how a task on the machine ended.
func (l *machineLiveness) observeTermination(t *statecache.Termination) {
	switch t.Reason {
	case wire.ReasonCompleted:
		clear(l.failedJobs)
	case wire.ReasonError:
		l.failedJobs[t.Job] = true
	}
}

// probeSucceeded takes note of a probe's answer. incarnation is the one that the machine's
// record had when the probe was sent. A machine that answers is not lost, its heartbeats may
// just reach nobody. But if its lease has run out meanwhile, it loses all that is assigned to
// it again and again: from then on its answers don't count, until a heartbeat of it arrives.
// It tells whether this was the first sign of that.
func (l *machineLiveness) probeSucceeded(response *wire.Heartbeat, incarnation uint64, now time.Time) (partitionDetected bool) {
	if response.Incarnation > incarnation && !l.outboundPartitioned {
		l.outboundPartitioned, partitionDetected = true, true
	}
	if l.outboundPartitioned {
		l.lastFailedProbe = now
	} else {
		l.lastReachable = now
	}
	return partitionDetected
}

// livenessTracker knows the liveness of the machines.
type livenessTracker struct {
	machines map[wire.MachineID]*machineLiveness
}

func newLivenessTracker() *livenessTracker {
	return &livenessTracker{machines: map[wire.MachineID]*machineLiveness{}}
}

// of returns the liveness of a machine, made when it is first asked for.
func (t *livenessTracker) of(machine wire.MachineID) *machineLiveness {
	l := t.machines[machine]
	if l == nil {
		l = &machineLiveness{failedJobs: map[wire.JobID]bool{}}
		t.machines[machine] = l
	}
	return l
}

// forget drops a machine that is gone.
func (t *livenessTracker) forget(machine wire.MachineID) { delete(t.machines, machine) }

// heartbeatsReceived takes note of machines whose heartbeats reached some controller.
func (t *livenessTracker) heartbeatsReceived(machines []wire.MachineID, now time.Time) {
	for _, machine := range machines {
		l := t.of(machine)
		l.lastReachable, l.outboundPartitioned = now, false
	}
}

// beginTerm has the time since the last heartbeat count from now: what an earlier leader
// received is not known.
func (t *livenessTracker) beginTerm(now time.Time) {
	for _, l := range t.machines {
		if !l.lastReachable.IsZero() {
			l.lastReachable = now
		}
	}
}
