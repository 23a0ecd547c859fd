package recovery

import (
	"strings"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// replicaGroupKey holds all that determines where a replica may be placed, and its weight.
// Replicas with equal keys form one group of the linear program.
type replicaGroupKey struct {
	team         wire.TeamName
	machineTypes string
	zone         wire.Zone
	need         resources.Vector
	priority     wire.Priority
	spot, spread bool
	boundZone    wire.Zone // of a single-zone service: the zone of its other replicas
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

// replicaGroup is a set of replicas, of one or more services, with the same key.
type replicaGroup struct {
	key        replicaGroupKey
	job        *wire.Job // of any of its services
	count      int
	zoneLimits map[wire.Zone]int // for services that spread: how many more replicas a zone may take
}

// groupReplicas groups the replicas of services: the pending ones in the services' order, then
// those at risk.
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

// addZoneLimits sets how many more replicas of each group's services each zone may take.
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
