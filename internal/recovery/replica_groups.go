package recovery

import (
	"strings"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// replicaGroupKey is all that decides where a replica may go. Replicas that share it are one
// group of the linear program.
type replicaGroupKey struct {
	team         wire.TeamName
	machineTypes string
	zone         wire.Zone
	need         resources.Vector
	priority     wire.Priority
	spot, spread bool
	boundZone    wire.Zone // the only zone that its other replicas leave it
	atRisk       bool
}

func groupKeyOf(service *Service, atRisk bool) replicaGroupKey {
	job := service.Job
	key := replicaGroupKey{
		team: job.Team, machineTypes: strings.Join(job.MachineTypes, " "), zone: job.Zone,
		need: resources.OfTask(job), priority: job.Priority, spot: job.AllowSpot, spread: job.SpreadZones, atRisk: atRisk,
	}
	if job.SingleZone {
		for zone, bound := range service.BoundByZone {
			if atRisk {
				bound -= service.AtRisk[zone]
			}
			if bound > 0 {
				key.boundZone = zone
			}
		}
	}
	return key
}

// replicaGroup is replicas of any services that may go to the same pools.
type replicaGroup struct {
	key        replicaGroupKey
	job        *wire.Job // any of its services
	count      int
	zoneLimits map[wire.Zone]int // of services that spread: replicas that a zone may still have
}

// groupReplicas gathers the replicas of services into groups, in the services' order.
func groupReplicas(services []*Service) []*replicaGroup {
	var groups []*replicaGroup
	byKey := map[replicaGroupKey]*replicaGroup{}
	add := func(service *Service, count int, atRisk bool) {
		if count == 0 {
			return
		}
		key := groupKeyOf(service, atRisk)
		group := byKey[key]
		if group == nil {
			group = &replicaGroup{key: key, job: service.Job, zoneLimits: map[wire.Zone]int{}}
			byKey[key] = group
			groups = append(groups, group)
		}
		group.count += count
	}
	for _, service := range services {
		add(service, service.Pending, false)
	}
	for _, service := range services {
		add(service, service.AtRiskCount(), true)
	}
	return groups
}

// addZoneLimits counts how many replicas of the groups' services each zone may still have.
func addZoneLimits(groups []*replicaGroup, services []*Service, zones []wire.Zone) {
	byKey := map[replicaGroupKey]*replicaGroup{}
	for _, group := range groups {
		byKey[group.key] = group
	}
	for _, service := range services {
		if !service.Job.SpreadZones {
			continue
		}
		for _, atRisk := range []bool{false, true} {
			group := byKey[groupKeyOf(service, atRisk)]
			if group == nil {
				continue
			}
			bound := service.BoundByZone
			if atRisk {
				bound = service.boundAfterLoss()
			}
			for _, zone := range zones {
				group.zoneLimits[zone] += max(0, (service.Job.TaskCount+1)/2-bound[zone])
			}
		}
	}
}
