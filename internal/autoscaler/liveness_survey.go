package autoscaler

import (
	"time"

	"lynxledge/wire"
)

// minPartitionedMachines is the least number of machines with missed heartbeats by which a zone
// is taken for partitioned: fewer may well have failed.
const minPartitionedMachines = 5

// livenessSurvey tells which machines the leader can reach.
type livenessSurvey struct {
	started               int               // machines that have been up
	startedByZone         map[wire.Zone]int // the same by zone
	missedHeartbeatByZone map[wire.Zone]int // of them, those that missed a heartbeat
	toSuspect             []wire.MachineID  // machines to be recorded as suspected
	unreachable           []wire.MachineID  // machines that no controller hears from, and that answer no probe
}

// zonePartitioned tells whether a zone looks partitioned: most of its machines miss heartbeats
// at once, and they are not just a few.
func (s *livenessSurvey) zonePartitioned(zone wire.Zone) bool {
	missed := s.missedHeartbeatByZone[zone]
	return missed >= minPartitionedMachines && 2*missed > s.startedByZone[zone]
}

// mostUnreachable tells whether most machines of all zones are unreachable: rather this
// controller is cut off from them.
func (s *livenessSurvey) mostUnreachable() bool { return 2*len(s.unreachable) > s.started }

// surveyLiveness finds out which machines are reachable, and probes those that missed a
// heartbeat.
func (r *Autoscaler) surveyLiveness(now time.Time) *livenessSurvey {
	workers := &r.config.Params.Workers
	missedAfter := workers.Heartbeats(1) * 3 / 2 // half an interval for the delay of the network
	unreachableAfter := workers.Heartbeats(r.config.Operator.UnreachableHeartbeats)
	suspectedAfter := unreachableAfter * 2 / 3 // early enough for other controllers to object
	s := &livenessSurvey{startedByZone: map[wire.Zone]int{}, missedHeartbeatByZone: map[wire.Zone]int{}}
	for name, m := range r.view.Machines {
		if m.Terminating {
			continue
		}
		if m.Incarnation == 0 {
			if r.machineTypes.bootExceeds(m, r.config.Operator.BootTimeoutMultiple, now) {
				r.scaleIn(name, drainReasonNeverUp)
			}
			continue
		}
		s.started++
		s.startedByZone[m.Zone]++
		l := r.liveness.of(name)
		sinceReachable := now.Sub(l.lastReachable)
		if sinceReachable > missedAfter {
			r.probe(name, m)
			s.missedHeartbeatByZone[m.Zone]++
		}
		if (sinceReachable > suspectedAfter || l.outboundPartitioned) && !m.Suspected {
			s.toSuspect = append(s.toSuspect, name)
		}
		if sinceReachable > unreachableAfter && l.lastFailedProbe.After(l.lastReachable) {
			s.unreachable = append(s.unreachable, name)
		}
	}
	return s
}
