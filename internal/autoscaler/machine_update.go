package autoscaler

import (
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Reasons for which machines are drained, as they are stored; others are in package statecache.
const (
	// drainReasonIdle is the one reason for which a machine is scaled in only as it was seen:
	// with nothing bound to it.
	drainReasonIdle     = "idle"
	drainReasonFaulty   = "faulty"        // tasks of too many jobs failed on it
	drainReasonNeverUp  = "never came up" // no heartbeat of it arrived long after it was provisioned
	drainReasonSlowBoot = "boot drags on and no other is to be had"
)

// machineUpdate is what the leader wants written of a machine.
type machineUpdate struct {
	suspected   bool   // ask, through the record, whether anybody receives its heartbeats
	drainReason string // bind nothing more to it, and say why
	scaleIn     bool   // and terminate it
	terminated  bool   // it is: the cloud answered its deletion
}

// stillNeeded tells whether an update still changes a machine's record.
func (u machineUpdate) stillNeeded(m *statecache.Machine) bool {
	switch {
	case m == nil:
		return false
	case u.terminated:
		return true
	case u.scaleIn:
		return !m.Terminating && (u.drainReason != drainReasonIdle || len(m.Bindings) == 0)
	case u.drainReason != "":
		return m.DrainReason == ""
	}
	return !m.Suspected
}

// supersedes tells whether an update goes further than the one that is pending, and takes its
// place.
func (u machineUpdate) supersedes(pending machineUpdate) bool {
	switch {
	case pending.terminated:
		return false
	case pending.scaleIn:
		return u.terminated
	case pending.drainReason != "":
		return !u.suspected
	}
	return true
}

// applyTo changes a machine's record in the next record of its group.
func (u machineUpdate) applyTo(group *statecache.GroupUpdate, machine wire.MachineID) {
	if u.terminated {
		group.RemoveMachine(machine)
		return
	}
	record := group.UpdateMachine(machine)
	record.Suspected = record.Suspected || u.suspected
	record.Terminating = record.Terminating || u.scaleIn
	if u.drainReason != "" {
		record.DrainReason = u.drainReason
	}
}
