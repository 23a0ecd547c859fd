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
	// Pending counts replicas that are bound to no machine.
	Pending int
	// AtRisk counts replicas, by zone, that are bound to unreachable machines of lost zones.
	// They count until they are proved terminated, and may still run.
	AtRisk map[wire.Zone]int
	// BoundByZone counts all bound replicas by zone, those at risk included.
	BoundByZone placement.ZoneCounts
	// RunnableSince is the time from which the service could run.
	RunnableSince statecache.Timestamp
}

// AtRiskCount is the number of replicas at risk.
func (s *Service) AtRiskCount() int {
	total := 0
	for _, count := range s.AtRisk {
		total += count
	}
	return total
}

// runningShare is the share of the replicas that certainly run somewhere else.
func (s *Service) runningShare() float64 {
	return 1 - float64(s.Pending+s.AtRiskCount())/float64(s.Job.TaskCount)
}

// boundAfterLoss counts the replicas that are left once those at risk are terminated.
func (s *Service) boundAfterLoss() placement.ZoneCounts {
	left := placement.ZoneCounts{}
	for zone, bound := range s.BoundByZone {
		left[zone] = bound - s.AtRisk[zone]
	}
	return left
}

// SortByRecoveryOrder sorts services in the order in which they are made whole: the higher
// priority first, then those of which the least is left, then those that wait the longest.
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

// AffectedServices finds the services that lack replicas, or are about to, in recovery order.
func AffectedServices(view *statecache.View, active map[wire.JobID]*statecache.Job) []*Service {
	affected := affectedServices{view: view, active: active, services: map[wire.JobID]*Service{}}
	affected.addPending()
	affected.addAtRisk()
	services := make([]*Service, 0, len(affected.services))
	for _, service := range affected.services {
		services = append(services, service)
	}
	SortByRecoveryOrder(services)
	return services
}

// affectedServices gathers the services that lack replicas, or are about to.
type affectedServices struct {
	view     *statecache.View
	active   map[wire.JobID]*statecache.Job
	services map[wire.JobID]*Service
}

// get returns an active service, added when it is first asked for.
func (a *affectedServices) get(id wire.JobID) *Service {
	service := a.services[id]
	if service == nil {
		job := a.active[id]
		service = &Service{
			Job:           job.Spec,
			AtRisk:        map[wire.Zone]int{},
			BoundByZone:   placement.ZoneCountsOf(a.view, id),
			RunnableSince: job.RunnableSince(),
		}
		a.services[id] = service
	}
	return service
}

func (a *affectedServices) addPending() {
	for id, job := range a.active {
		if !job.Spec.IsService() {
			continue
		}
		if pending := a.view.PendingTasks(id, job); pending > 0 {
			a.get(id).Pending = pending
		}
	}
}

func (a *affectedServices) addAtRisk() {
	for _, machine := range a.view.Machines {
		if !unreachableInLostZone(a.view, machine) {
			continue
		}
		for i := range machine.Bindings {
			id := machine.Bindings[i].Job
			if job := a.active[id]; job != nil && job.Spec.IsService() {
				a.get(id).AtRisk[machine.Zone]++
			}
		}
	}
}

// unreachableInLostZone tells whether a machine is unreachable and in a lost zone.
func unreachableInLostZone(view *statecache.View, machine *statecache.Machine) bool {
	return (machine.Suspected || machine.Terminating) && phaseOf(view.ZoneRecoveries, machine.Zone) == zonehealth.Lost
}
