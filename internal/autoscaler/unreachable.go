package autoscaler

import (
	"time"

	"lynxledge/internal/statecache"
)

const (
	// suspicionHeartbeats is the time, in heartbeat intervals, that a machine must have been
	// recorded as suspected before it is scaled in. A leader that is partitioned from the workers
	// receives no heartbeats, and may not reach its peers either: other controllers have this time
	// to clear the suspicion.
	suspicionHeartbeats = 4.0 / 3

	// maxUnreachableLeases is how long, in lease durations, an unreachable machine may be kept.
	// One that stopped is listed as failed long before; one that is partitioned ends its tasks
	// after a lease, but may be back before a replacement is up.
	maxUnreachableLeases = 2
)

// checkLiveness scales in machines that never came up or stay unreachable. A machine is never
// assumed to be gone: it is terminated, so that it certainly is. checkLiveness also deletes empty
// groups, and retries pending updates and terminations.
func (a *Autoscaler) checkLiveness() {
	if !a.isConfirmedLeader() {
		return
	}
	now := time.Now()
	survey := a.surveyLiveness(now)
	for _, machine := range survey.toSuspect {
		a.enqueueUpdate(machine, machineUpdate{suspected: true})
	}
	a.deleteEmptyGroups()
	a.flush()
	a.terminateMachines()
	a.scaleInUnreachable(now, survey)
}

// scaleInUnreachable scales in unreachable machines that have been suspected for long enough. It
// keeps those that may recover or whose replicas don't fit elsewhere, for up to maxUnreachableTime.
func (a *Autoscaler) scaleInUnreachable(now time.Time, survey *livenessSurvey) {
	replacements := replacementFinder{autoscaler: a}
	for _, name := range survey.unreachable {
		m, l := a.view.Machines[name], a.liveness.of(name)
		if !m.Suspected || now.Sub(l.suspectedAt) < a.config.Params.Workers.Heartbeats(suspicionHeartbeats) {
			continue
		}
		unreachableFor := now.Sub(l.lastReachable)
		if unreachableFor < a.maxUnreachableTime() &&
			(a.mayRecover(m, unreachableFor, survey) || !replacements.canReplaceReplicas(m)) {
			continue
		}
		a.scaleIn(name, statecache.DrainUnreachable)
	}
}

// maxUnreachableTime returns how long an unreachable machine may be kept.
func (a *Autoscaler) maxUnreachableTime() time.Duration {
	return a.config.Params.Workers.Leases(maxUnreachableLeases)
}

// mayRecover reports whether an unreachable machine is more likely partitioned than lost. Such a
// machine comes back with its images, and a replacement would not be reachable either. While a zone
// recovers, the machines that become reachable last are no more likely to be lost than the first.
func (a *Autoscaler) mayRecover(m *statecache.Machine, unreachableFor time.Duration, survey *livenessSurvey) bool {
	switch {
	case survey.mostUnreachable():
		return true
	case survey.zonePartitioned(m.Zone) || a.zoneRecoveryPolicy.IsRecovering(a.view.ZoneRecoveries, m.Zone):
		return !a.zoneRecoveryPolicy.ShouldEvacuate(a.view, m, unreachableFor)
	}
	return false
}
