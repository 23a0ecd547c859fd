package heartbeat

import (
	"log/slog"
	"time"

	"lynxledge/wire"
)

// machineState is what this controller has learned about a machine from its heartbeats.
type machineState struct {
	incarnation, sequence uint64 // of the latest heartbeat
	unacknowledgedToken   uint64 // fencing token of the first response that the machine has not acknowledged; 0: none
	unacknowledgedSince   time.Time
	inboundPartitioned    bool                      // responses don't reach the machine
	redirectedAt          time.Time                 // to the active scheduler, to deliver evidence
	taskStarts            map[wire.TaskID]time.Time // when a task was first seen running
}

// observe records a heartbeat. It returns false for a duplicate, or for a heartbeat older than the
// latest, which says nothing about the current state of the machine.
func (s *machineState) observe(heartbeat *wire.Heartbeat, now time.Time) (isNew bool) {
	if heartbeat.Incarnation < s.incarnation || heartbeat.Incarnation == s.incarnation && heartbeat.Sequence <= s.sequence {
		return false
	}
	s.incarnation, s.sequence = heartbeat.Incarnation, heartbeat.Sequence
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		if _, ok := s.taskStarts[task.Task]; !ok && task.State == wire.TaskRunning {
			s.taskStarts[task.Task] = now
		}
	}
	if heartbeat.FencingToken >= s.unacknowledgedToken {
		s.unacknowledgedToken, s.unacknowledgedSince, s.inboundPartitioned = 0, time.Time{}, false
	}
	return true
}

// expectAcknowledgement records that a response carries a higher fencing token than the heartbeat.
// The machine acknowledges it with a heartbeat that has that token or a higher one.
func (s *machineState) expectAcknowledgement(fencingToken uint64, now time.Time) {
	if s.unacknowledgedToken == 0 {
		s.unacknowledgedToken, s.unacknowledgedSince = fencingToken, now
	}
}

// observeHeartbeat records a heartbeat in the state of its machine, and returns that state and
// whether the heartbeat is new.
func (r *Receiver) observeHeartbeat(heartbeat *wire.Heartbeat, now time.Time) (state *machineState, isNew bool) {
	state = r.machineStates[heartbeat.Machine]
	if state == nil {
		state = &machineState{taskStarts: map[wire.TaskID]time.Time{}}
		if r.view.Machines[heartbeat.Machine] != nil { // not kept for unknown machines, whose number has no limit
			r.machineStates[heartbeat.Machine] = state
		}
	}
	return state, state.observe(heartbeat, now)
}

// markReachable marks a machine as reachable if its heartbeat is new and responses reach it.
func (r *Receiver) markReachable(heartbeat *wire.Heartbeat, state *machineState, isNew bool, now time.Time) {
	if isNew && !r.inboundPartitioned(heartbeat, state, now) {
		r.reachable[heartbeat.Machine] = true
	}
}

// inboundPartitionHeartbeats is the number of heartbeat intervals for which a machine may leave a
// fencing token unacknowledged before it counts as partitioned inbound. Two heartbeats should
// have acknowledged it by then.
const inboundPartitionHeartbeats = 2.5

// inboundPartitioned updates and reports whether a machine's heartbeats arrive but responses don't
// reach it: its heartbeats still have a lower fencing token than it was sent more than
// inboundPartitionHeartbeats ago. Such a machine doesn't count as reachable, so the leader suspects
// and then terminates it.
func (r *Receiver) inboundPartitioned(heartbeat *wire.Heartbeat, state *machineState, now time.Time) bool {
	before := state.inboundPartitioned
	state.inboundPartitioned = state.unacknowledgedToken > 0 && now.Sub(state.unacknowledgedSince) > r.config.Params.Workers.Heartbeats(inboundPartitionHeartbeats)
	if state.inboundPartitioned && !before {
		slog.Info("inbound partition detected",
			"machine", heartbeat.Machine, "fencing_token", heartbeat.FencingToken, "unacknowledged_fencing_token", state.unacknowledgedToken)
	}
	return state.inboundPartitioned
}
