package autoscaler

import (
	"time"

	"lynxledge/internal/statecache"
)

const (
	// suspicionHeartbeats is for how many heartbeat intervals a machine has to be recorded as
	// suspected before it is scaled in. A leader that is cut off from the workers receives no
	// heartbeats, and then its peers may be unreachable as well: others have that time to
	// clear the suspicion.
	suspicionHeartbeats = 4.0 / 3

	// maxUnreachableLeases is for how many lease durations an unreachable machine may be kept.
	// One that stopped is listed as failed long before; one that is cut off ends its tasks
	// after a lease, but may be back sooner than another is up.
	maxUnreachableLeases = 2
)

// checkLiveness looks for machines that are lost: never up, unreachable or unlisted. A machine
// is never taken for gone; it is terminated, which makes it so.
func (r *Autoscaler) checkLiveness() {
	if !r.isLeader() {
		return
	}
	now := time.Now()
	survey := r.surveyLiveness(now)
	for _, machine := range survey.toSuspect {
		r.enqueueUpdate(machine, machineUpdate{suspected: true})
	}
	r.deleteEmptyGroups()
	r.flush()
	r.terminateMachines()
	r.scaleInUnreachable(now, survey)
}

// scaleInUnreachable scales in unreachable machines, except for those that had better be kept.
func (r *Autoscaler) scaleInUnreachable(now time.Time, survey *livenessSurvey) {
	replacements := replacementFinder{autoscaler: r}
	for _, name := range survey.unreachable {
		m, l := r.view.Machines[name], r.liveness.of(name)
		if !m.Suspected || now.Sub(l.suspectedAt) < r.config.Params.Workers.Heartbeats(suspicionHeartbeats) {
			continue
		}
		unreachableFor := now.Sub(l.lastReachable)
		if unreachableFor < r.maxUnreachableTime() &&
			(r.mayRecover(m, unreachableFor, survey) || !replacements.canReplaceReplicas(m)) {
			continue
		}
		r.scaleIn(name, statecache.DrainUnreachable)
	}
}

// maxUnreachableTime is for how long an unreachable machine may be kept.
func (r *Autoscaler) maxUnreachableTime() time.Duration {
	return r.config.Params.Workers.Leases(maxUnreachableLeases)
}

// mayRecover tells whether an unreachable machine is rather cut off than lost. It will be back
// with its images, and a new one in its place would not be reachable either. While a zone
// recovers, the last to be reachable again are as little lost as the first.
func (r *Autoscaler) mayRecover(m *statecache.Machine, unreachableFor time.Duration, survey *livenessSurvey) bool {
	switch {
	case survey.mostUnreachable():
		return true
	case survey.zonePartitioned(m.Zone) || r.zoneRecovery.IsRecovering(r.view.ZoneRecoveries, m.Zone):
		return !r.zoneRecovery.ShouldEvacuate(r.view, m, unreachableFor)
	}
	return false
}
