package autoscaler

import (
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Drain reasons as they are stored. Those that other packages depend on are in package statecache.
const (
	// drainReasonIdle is the only reason for which a machine is not scaled in once something is
	// bound to it.
	drainReasonIdle     = "idle"
	drainReasonFaulty   = "faulty"        // tasks of too many jobs failed on it
	drainReasonNeverUp  = "never came up" // no heartbeat arrived long after the machine was provisioned
	drainReasonSlowBoot = "boot drags on and no other is to be had"
)

// machineUpdate is a change that the leader wants to write to a machine's record.
type machineUpdate struct {
	suspected   bool   // mark it as suspected; a controller that receives its heartbeats clears the mark
	drainReason string // drain it for this reason, so that nothing more is bound to it
	scaleIn     bool   // drain and terminate it
	terminated  bool   // remove it: the cloud has confirmed its deletion
}

// stillNeeded reports whether an update would still change a machine's record.
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

// supersedes reports whether an update goes further than the pending one and is to replace it.
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

// applyTo applies the update to a machine's entry in the next record of its group.
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
