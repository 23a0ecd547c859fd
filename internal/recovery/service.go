// Package recovery decides how services are made whole again after the loss of a zone,
// and how a zone that returns is taken back into use. It is pure: the placer asks it
// for advice, and carries out what its guards allow.
package recovery

import (
	"cmp"
	"slices"
	"strings"

	"lynxledge/internal/placement"
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// Service is a service that lacks replicas, or is about to.
type Service struct {
	Job *wire.Job
	// Waiting counts replicas that are bound to no machine.
	Pending int
	// AtRisk counts replicas, by zone, that are bound to machines of lost zones which
	// nobody hears. They count until they are proved gone, and may still run.
	AtRisk map[wire.Zone]int
	// Zones counts all bound replicas by zone, those at risk included.
	BoundByZone placement.ZoneCounts
	// Since is the time of day from which the service could run.
	RunnableSince statecache.Timestamp
}

// AtRiskCount is the number of replicas at risk.
func (s *Service) AtRiskCount() int {
	n := 0
	for _, c := range s.AtRisk {
		n += c
	}
	return n
}

// runningShare is the share of the replicas that certainly run somewhere else.
func (s *Service) runningShare() float64 {
	return 1 - float64(s.Pending+s.AtRiskCount())/float64(s.Job.TaskCount)
}

// boundAfterLoss counts the replicas that are left once those at risk are gone.
func (s *Service) boundAfterLoss() placement.ZoneCounts {
	left := placement.ZoneCounts{}
	for zone, n := range s.BoundByZone {
		left[zone] = n - s.AtRisk[zone]
	}
	return left
}

// SortByRecoveryOrder sorts services in the order in which they are made whole: the higher priority
// first, then those of which the least is left, then those that wait the longest.
func SortByRecoveryOrder(services []*Service) {
	slices.SortFunc(services, func(a, b *Service) int {
		return cmp.Or(
			cmp.Compare(b.Job.Priority, a.Job.Priority),
			cmp.Compare(a.runningShare(), b.runningShare()),
			cmp.Compare(a.RunnableSince, b.RunnableSince),
			strings.Compare(string(a.Job.ID), string(b.Job.ID)),
		)
	})
}

// AffectedServices finds the services that lack replicas, or are about to, in order.
func AffectedServices(view *statecache.View, active map[wire.JobID]*statecache.Job) []*Service {
	found := map[wire.JobID]*Service{}
	get := func(id wire.JobID) *Service {
		s := found[id]
		if s == nil {
			j := active[id]
			s = &Service{Job: j.Spec, AtRisk: map[wire.Zone]int{}, BoundByZone: placement.ZoneCountsOf(view, id), RunnableSince: j.RunnableSince()}
			found[id] = s
		}
		return s
	}
	for id, j := range active {
		if !j.Spec.IsService() {
			continue
		}
		if n := view.PendingTasks(id, j); n > 0 {
			get(id).Pending = n
		}
	}
	for _, m := range view.Machines {
		if !unreachableInLostZone(view, m) {
			continue
		}
		for i := range m.Bindings {
			if j := active[m.Bindings[i].Job]; j != nil && j.Spec.IsService() {
				get(m.Bindings[i].Job).AtRisk[m.Zone]++
			}
		}
	}
	services := make([]*Service, 0, len(found))
	for _, s := range found {
		services = append(services, s)
	}
	SortByRecoveryOrder(services)
	return services
}

// unreachableInLostZone tells whether a machine is in a lost zone and nobody hears it.
func unreachableInLostZone(view *statecache.View, m *statecache.Machine) bool {
	return (m.Suspected || m.Terminating) && phaseOf(view.ZoneRecoveries, m.Zone) == zonehealth.Lost
}

// phaseOf is the recorded phase of a zone.
func phaseOf(record *statecache.ZoneRecoveries, zone wire.Zone) zonehealth.Phase {
	z := record.Find(zone)
	if z == nil {
		return zonehealth.Healthy
	}
	phase, err := zonehealth.ParsePhase(z.Phase)
	if err != nil {
		return zonehealth.Healthy
	}
	return phase
}
