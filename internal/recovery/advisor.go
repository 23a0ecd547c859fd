package recovery

import (
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/scheduler"
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// Advisor advises a placer while zones recover. It belongs to the placer's actor.
type Advisor struct {
	policy zonehealth.Policy
	pause  time.Duration // advice is given anew after that

	last  *advice
	stamp uint64 // of the record that it follows
	given time.Time
}

// adviceShare is the part of a report interval for which advice holds.
const adviceShare = 1.0 / 3

// NewAdvisor makes an advisor; the settings' ZoneRecovery section is set.
func NewAdvisor(cfg *config.Config) *Advisor {
	return &Advisor{
		policy: zonehealth.PolicyOf(cfg),
		pause:  cfg.Params.Workers.Heartbeats(adviceShare),
	}
}

// Advise tells how to place while zones recover; nil when none does.
func (a *Advisor) Advise(now time.Time, cluster scheduler.ClusterState) scheduler.Advice {
	record := cluster.View.ZoneRecoveries
	if !Recovering(record) {
		a.last = nil
		return nil
	}
	if a.last == nil || a.stamp != record.ModRevision || now.Sub(a.given) >= a.pause {
		a.last = a.advise(now, cluster)
		a.stamp, a.given = record.ModRevision, now
	}
	return a.last
}

// Recovering tells whether any zone is lost or returning.
func Recovering(record *statecache.ZoneRecoveries) bool {
	if record == nil || record.Unreadable {
		return false
	}
	for i := range record.Zones {
		if phaseOf(record, record.Zones[i].Zone).Recovering() {
			return true
		}
	}
	return false
}

func (a *Advisor) advise(now time.Time, cluster scheduler.ClusterState) *advice {
	out := &advice{
		zones:     admissions(now, cluster.View.ZoneRecoveries, &a.policy, cluster.Nodes),
		preferred: map[wire.JobID][]*placement.Node{},
		reserved:  map[*placement.Node]resources.Vector{},
		positions: map[wire.JobID]int{},
	}
	services := Services(cluster.View, cluster.ActiveJobs)
	for i, s := range services {
		out.positions[s.Job.ID] = i
	}
	in := Input{
		Services:  services,
		Usage:     cluster.Usage,
		TeamQuota: cluster.TeamQuota,
	}
	if len(services) == 0 {
		return out
	}
	for _, n := range cluster.Nodes {
		switch {
		case !n.Schedulable:
		case out.admits(n, true):
			in.Nodes = append(in.Nodes, n)
		default:
			in.LastResort = append(in.LastResort, n)
		}
	}
	plan := Compute(in)
	for _, p := range plan.Placements {
		need := resources.OfTask(p.Service.Job)
		if p.AtRisk {
			out.reserved[p.Node] = out.reserved[p.Node].Plus(need, 1)
			continue
		}
		id := p.Service.Job.ID
		out.preferred[id] = append(out.preferred[id], p.Node)
	}
	return out
}

// advice is what an Advisor tells; it stays as it is.
type advice struct {
	zones     map[wire.Zone]*Admission
	preferred map[wire.JobID][]*placement.Node
	reserved  map[*placement.Node]resources.Vector
	positions map[wire.JobID]int
}

// Admits tells whether a machine may take a task of a job.
func (a *advice) Admits(n *placement.Node, j *wire.Job) bool { return a.admits(n, j.IsService()) }

func (a *advice) admits(n *placement.Node, service bool) bool {
	zone := a.zones[n.Zone]
	return zone == nil || zone.admits(n.Name, service)
}

// IsFallback tells whether a machine may take a replica that has no room elsewhere: any
// machine that is heard, or the steps of a return would leave a service short.
func (a *advice) IsFallback(n *placement.Node, j *wire.Job) bool {
	return j.IsService() && !a.admits(n, true)
}

// PreferredNodes are machines with room for the waiting replicas of a service.
func (a *advice) PreferredNodes(service wire.JobID) []*placement.Node { return a.preferred[service] }

// RecoveryOrder is a service's place in the order; one that was not known yet comes last.
func (a *advice) RecoveryOrder(service wire.JobID) int {
	if i, known := a.positions[service]; known {
		return i
	}
	return len(a.positions)
}

// ReservedCapacity is the room kept for replicas that are about to be placed anew.
func (a *advice) ReservedCapacity() map[*placement.Node]resources.Vector { return a.reserved }
