package recovery

import (
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/zonehealth"
)

// Advisor advises a scheduler while zones recover. Only the scheduler's actor may use it.
type Advisor struct {
	policy          zonehealth.Policy
	refreshInterval time.Duration // after which advice is recomputed

	current        *advice
	recordRevision uint64 // mod revision of the record that current is based on
	computedAt     time.Time
}

// refreshHeartbeats is the refresh interval of advice, in heartbeat intervals.
const refreshHeartbeats = 1.0 / 3

// NewAdvisor returns an advisor that admits machines by a policy.
func NewAdvisor(cfg *config.Config, policy zonehealth.Policy) *Advisor {
	return &Advisor{
		policy:          policy,
		refreshInterval: cfg.Params.Workers.Heartbeats(refreshHeartbeats),
	}
}

// Advise returns advice on placement, or nil if no zone is recovering.
func (a *Advisor) Advise(now time.Time, cluster placement.ClusterState) placement.Advice {
	record := cluster.View.ZoneRecoveries
	if !Recovering(record) {
		a.current = nil
		return nil
	}
	if a.current == nil || a.recordRevision != record.ModRevision || now.Sub(a.computedAt) >= a.refreshInterval {
		a.current = a.advise(now, cluster)
		a.recordRevision, a.computedAt = record.ModRevision, now
	}
	return a.current
}

// advise computes advice from the cluster's state.
func (a *Advisor) advise(now time.Time, cluster placement.ClusterState) *advice {
	services := AffectedServices(cluster.View, cluster.ActiveJobs)
	advice := newAdvice(admissionsOf(now, cluster.View.ZoneRecoveries, &a.policy, cluster.Nodes), services)
	if len(services) == 0 {
		return advice
	}
	in := Input{
		Services:  services,
		Usage:     cluster.Usage,
		TeamQuota: cluster.TeamQuota,
	}
	for _, n := range cluster.Nodes {
		switch {
		case !n.Schedulable:
		case advice.admits(n, true):
			in.Nodes = append(in.Nodes, n)
		default:
			in.Fallback = append(in.Fallback, n)
		}
	}
	advice.applyPlan(Compute(in))
	return advice
}
