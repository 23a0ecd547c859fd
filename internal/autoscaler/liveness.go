package autoscaler

import (
	"time"

	"lynxledge/internal/jobhealth"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// machineLiveness is what the leader knows about a machine from heartbeats, probes and failed tasks,
// or from the absence of heartbeats.
type machineLiveness struct {
	lastReachable       time.Time           // last heartbeat that reached any controller, or last response to a probe; zero: none
	suspectedAt         time.Time           // when it was recorded as suspected
	lastFailedProbe     time.Time           // when a probe last failed, or got a response that doesn't count
	probing             bool                // a probe is in flight
	outboundPartitioned bool                // it responds to probes, but its heartbeats reach no controller and its lease has expired
	failures            jobhealth.Failures  // of tasks on it since its last success: a task completed or outlived the failed ones
	failedJobs          map[wire.JobID]bool // the jobs of these tasks
}

// applyRecord handles the machine's new record; old is nil if it is the first.
func (l *machineLiveness) applyRecord(old, next *statecache.Machine, now time.Time) {
	firstHeartbeat := l.lastReachable.IsZero() && next.Incarnation > 0
	noLongerSuspected := old != nil && old.Suspected && !next.Suspected
	if firstHeartbeat || noLongerSuspected {
		l.lastReachable = now // a controller receives its heartbeats
	}
	if next.Suspected && (old == nil || !old.Suspected) {
		l.suspectedAt = now
	}
}

// observeTermination records how a task on the machine ended.
func (l *machineLiveness) observeTermination(t *statecache.Termination, now time.Time) {
	switch t.Reason {
	case wire.ReasonCompleted:
		l.forgetFailures()
	case wire.ReasonError:
		l.failures.Add(t, now)
		l.failedJobs[t.Job] = true
	}
}

// forgetFailures drops the failures on the machine, after a success.
func (l *machineLiveness) forgetFailures() {
	l.failures = jobhealth.Failures{}
	clear(l.failedJobs)
}

// probeSucceeded records a response to a probe. incarnation is that of the machine's record when
// the probe was sent. A machine that responds is not lost: perhaps only its heartbeats reach no
// controller. But if its lease has expired meanwhile, which begins a new incarnation, it keeps
// losing all tasks assigned to it: from then on its responses don't count until a heartbeat
// arrives. partitionDetected is true for the first such response.
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

// livenessTracker tracks the liveness of all machines.
type livenessTracker struct {
	machines map[wire.MachineID]*machineLiveness
}

func newLivenessTracker() *livenessTracker {
	return &livenessTracker{machines: map[wire.MachineID]*machineLiveness{}}
}

// of returns the liveness of a machine, which it creates on first use.
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

// heartbeatsReceived records that heartbeats of machines reached a controller.
func (t *livenessTracker) heartbeatsReceived(machines []wire.MachineID, now time.Time) {
	for _, machine := range machines {
		l := t.of(machine)
		l.lastReachable, l.outboundPartitioned = now, false
	}
}

// beginTerm restarts the time since the last heartbeat at now, as it is not known what an earlier
// leader received.
func (t *livenessTracker) beginTerm(now time.Time) {
	for _, l := range t.machines {
		if !l.lastReachable.IsZero() {
			l.lastReachable = now
		}
	}
}
