package heartbeat

import (
	"log/slog"
	"time"

	"lynxledge/wire"
)

// contact is what this controller knows of a machine from its heartbeats.
type contact struct {
	incarnation, sequence uint64 // of the latest heartbeat
	unacknowledgedToken   uint64 // fencing token of the first response that the machine has not acknowledged; 0: none
	unacknowledgedSince   time.Time
	inboundPartitioned    bool                      // responses don't reach the machine
	redirectedAt          time.Time                 // to the controller that writes its evidence
	taskStarts            map[wire.TaskID]time.Time // when a task was first seen running
}

// observe takes note of a heartbeat; false for a copy, or one older than the latest: it says
// nothing of the machine as it is now.
func (c *contact) observe(heartbeat *wire.Heartbeat, now time.Time) (isNew bool) {
	if heartbeat.Incarnation < c.incarnation || heartbeat.Incarnation == c.incarnation && heartbeat.Sequence <= c.sequence {
		return false
	}
	c.incarnation, c.sequence = heartbeat.Incarnation, heartbeat.Sequence
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		if _, ok := c.taskStarts[task.Task]; !ok && task.State == wire.TaskRunning {
			c.taskStarts[task.Task] = now
		}
	}
	if heartbeat.FencingToken >= c.unacknowledgedToken {
		c.unacknowledgedToken, c.unacknowledgedSince, c.inboundPartitioned = 0, time.Time{}, false
	}
	return true
}

// expectAcknowledgement takes note that a response carries a fencing token beyond the one that
// the heartbeat showed.
func (c *contact) expectAcknowledgement(fencingToken uint64, now time.Time) {
	if c.unacknowledgedToken == 0 {
		c.unacknowledgedToken, c.unacknowledgedSince = fencingToken, now
	}
}

// contact is what is known of a machine, with its heartbeat taken into account.
func (r *Receiver) contact(heartbeat *wire.Heartbeat, now time.Time) (c *contact, isNew bool) {
	c = r.contacts[heartbeat.Machine]
	if c == nil {
		c = &contact{taskStarts: map[wire.TaskID]time.Time{}}
		if r.view.Machines[heartbeat.Machine] != nil { // unknown workers are not kept: there may be any number
			r.contacts[heartbeat.Machine] = c
		}
	}
	return c, c.observe(heartbeat, now)
}

// markReachable counts a machine as reachable if its heartbeat is new, and responses reach it too.
func (r *Receiver) markReachable(heartbeat *wire.Heartbeat, c *contact, isNew bool, now time.Time) {
	if isNew && !r.inboundPartitioned(heartbeat, c, now) {
		r.reachable[heartbeat.Machine] = true
	}
}

// inboundPartitionHeartbeats is for how many heartbeat intervals a machine may show no sign of
// a response.
const inboundPartitionHeartbeats = 2.5

// inboundPartitioned tells whether a machine's heartbeats arrive, but responses don't reach it:
// it was sent a fencing token that its heartbeats still don't show two heartbeats later. Such a
// machine doesn't count as reachable, so the leader suspects and terminates it.
func (r *Receiver) inboundPartitioned(heartbeat *wire.Heartbeat, c *contact, now time.Time) bool {
	before := c.inboundPartitioned
	c.inboundPartitioned = c.unacknowledgedToken > 0 && now.Sub(c.unacknowledgedSince) > r.config.Params.Workers.Heartbeats(inboundPartitionHeartbeats)
	if c.inboundPartitioned && !before {
		slog.Info("worker unreachable for replies",
			"machine", heartbeat.Machine, "fencing_token", heartbeat.FencingToken, "unacknowledged_fencing_token", c.unacknowledgedToken)
	}
	return c.inboundPartitioned
}
