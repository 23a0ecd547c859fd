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
	Waiting int
	// AtRisk counts replicas, by zone, that are bound to machines of lost zones which
	// nobody hears. They count until they are proved gone, and may still run.
	AtRisk map[wire.Zone]int
	// Zones counts all bound replicas by zone, those at risk included.
	Zones placement.ZoneCounts
	// Since is the time of day from which the service could run.
	Since statecache.Timestamp
}

// AtRiskCount is the number of replicas at risk.
func (s *Service) AtRiskCount() int {
	n := 0
	for _, c := range s.AtRisk {
		n += c
	}
	return n
}

// serving is the share of the replicas that certainly run somewhere else.
func (s *Service) serving() float64 {
	return 1 - float64(s.Waiting+s.AtRiskCount())/float64(s.Job.TaskCount)
}

// zonesAfterLoss counts the replicas that are left once those at risk are gone.
func (s *Service) zonesAfterLoss() placement.ZoneCounts {
	left := placement.ZoneCounts{}
	for zone, n := range s.Zones {
		left[zone] = n - s.AtRisk[zone]
	}
	return left
}

// Order sorts services in the order in which they are made whole: the higher priority
// first, then those of which the least is left, then those that wait the longest.
func Order(services []*Service) {
	slices.SortFunc(services, func(a, b *Service) int {
		return cmp.Or(
			cmp.Compare(b.Job.Priority, a.Job.Priority),
			cmp.Compare(a.serving(), b.serving()),
			cmp.Compare(a.Since, b.Since),
			strings.Compare(string(a.Job.ID), string(b.Job.ID)),
		)
	})
}

// Services finds the services that lack replicas, or are about to, in order.
func Services(view *statecache.View, active map[wire.JobID]*statecache.Job) []*Service {
	found := map[wire.JobID]*Service{}
	get := func(id wire.JobID) *Service {
		s := found[id]
		if s == nil {
			j := active[id]
			s = &Service{Job: j.Spec, AtRisk: map[wire.Zone]int{}, Zones: placement.ZoneCountsOf(view, id), Since: j.RunnableSince()}
			found[id] = s
		}
		return s
	}
	for id, j := range active {
		if !j.Spec.IsService() {
			continue
		}
		if n := view.PendingTasks(id, j); n > 0 {
			get(id).Waiting = n
		}
	}
	for _, m := range view.Machines {
		if !unheard(view, m) {
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
	Order(services)
	return services
}

// unheard tells whether a machine is in a lost zone and nobody hears it.
func unheard(view *statecache.View, m *statecache.Machine) bool {
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
