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

// Service is a service with pending replicas or replicas at risk.
type Service struct {
	Job *wire.Job
	// Pending counts replicas that are not bound to a machine.
	Pending int
	// AtRisk counts replicas, by zone, that are bound to suspected or terminating machines of lost zones.
	// They may still be running, and count until they are proved terminated.
	AtRisk map[wire.Zone]int
	// BoundByZone counts all bound replicas by zone, those at risk included.
	BoundByZone placement.ZoneCounts
	// RunnableSince is when the service became runnable.
	RunnableSince statecache.Timestamp
}

// AtRiskCount returns the number of replicas at risk in all zones.
func (s *Service) AtRiskCount() int {
	total := 0
	for _, count := range s.AtRisk {
		total += count
	}
	return total
}

// runningShare returns the share of the replicas that are neither pending nor at risk.
func (s *Service) runningShare() float64 {
	return 1 - float64(s.Pending+s.AtRiskCount())/float64(s.Job.TaskCount)
}

// boundAfterLoss counts, by zone, the bound replicas that are left once those at risk are
// terminated.
func (s *Service) boundAfterLoss() placement.ZoneCounts {
	left := placement.ZoneCounts{}
	for zone, bound := range s.BoundByZone {
		left[zone] = bound - s.AtRisk[zone]
	}
	return left
}

// SortByRecoveryOrder sorts services into the order in which their replicas are restored: by
// priority, highest first, then the smallest running share, then the longest wait.
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

// AffectedServices returns the services with pending or at-risk replicas, in recovery order.
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

// affectedServices collects the result of AffectedServices.
type affectedServices struct {
	view     *statecache.View
	active   map[wire.JobID]*statecache.Job
	services map[wire.JobID]*Service
}

// get returns an active service, which it adds on the first call.
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

// unreachableInLostZone reports whether a machine of a lost zone is suspected or terminating.
func unreachableInLostZone(view *statecache.View, machine *statecache.Machine) bool {
	return (machine.Suspected || machine.Terminating) && phaseOf(view.ZoneRecoveries, machine.Zone) == zonehealth.Lost
}
