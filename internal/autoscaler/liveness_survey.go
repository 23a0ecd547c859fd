package autoscaler

import (
	"time"

	"lynxledge/wire"
)

// minPartitionedMachines is the minimum number of machines with missed heartbeats for a zone to
// count as partitioned: fewer may well have failed.
const minPartitionedMachines = 5

// livenessSurvey is the result of checking which machines the leader can reach.
type livenessSurvey struct {
	started               int               // machines that have come up
	startedByZone         map[wire.Zone]int // the same by zone
	missedHeartbeatByZone map[wire.Zone]int // of them, those that missed a heartbeat
	toSuspect             []wire.MachineID  // machines to be recorded as suspected
	unreachable           []wire.MachineID  // machines not reachable for UnreachableHeartbeats, with a failed probe since
}

// zonePartitioned reports whether a zone looks partitioned: most of its machines, and at least
// minPartitionedMachines, miss heartbeats at the same time.
func (s *livenessSurvey) zonePartitioned(zone wire.Zone) bool {
	missed := s.missedHeartbeatByZone[zone]
	return missed >= minPartitionedMachines && 2*missed > s.startedByZone[zone]
}

// mostUnreachable reports whether most machines of all zones are unreachable. It is then more likely
// that this controller is partitioned from them.
func (s *livenessSurvey) mostUnreachable() bool { return 2*len(s.unreachable) > s.started }

// surveyLiveness determines which machines are reachable, probes those that missed a heartbeat, and
// scales in those that never came up.
func (a *Autoscaler) surveyLiveness(now time.Time) *livenessSurvey {
	workers := &a.config.Params.Workers
	missedAfter := workers.Heartbeats(1) * 3 / 2 // half an interval allows for network delay
	unreachableAfter := workers.Heartbeats(a.config.Operator.UnreachableHeartbeats)
	suspectedAfter := unreachableAfter * 2 / 3 // early enough for other controllers to clear the suspicion
	s := &livenessSurvey{startedByZone: map[wire.Zone]int{}, missedHeartbeatByZone: map[wire.Zone]int{}}
	for name, m := range a.view.Machines {
		if m.Terminating {
			continue
		}
		if m.Incarnation == 0 {
			if a.machineTypes.bootExceeds(m, a.config.Operator.BootTimeoutMultiple, now) {
				a.scaleIn(name, drainReasonNeverUp)
			}
			continue
		}
		s.started++
		s.startedByZone[m.Zone]++
		l := a.liveness.of(name)
		sinceReachable := now.Sub(l.lastReachable)
		if sinceReachable > missedAfter {
			a.probe(name, m)
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
