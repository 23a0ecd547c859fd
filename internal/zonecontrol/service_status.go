package zonecontrol

import (
	"lynxledge/internal/placement"
	"lynxledge/internal/recovery"
)

// reasonNotTerminated is the PendingReason of a service if there is capacity for all its replicas,
// but some are still bound to unreachable machines of a lost zone.
const reasonNotTerminated = "proof that its replicas in the lost zone are gone"

// serviceStatuses returns the status of each service with pending or at-risk replicas.
func serviceStatuses(cluster placement.ClusterState) []ServiceStatus {
	services := recovery.AffectedServices(cluster.View, cluster.ActiveJobs)
	plan := recovery.Compute(recovery.Input{
		Services:  services,
		Nodes:     schedulableNodes(cluster.Nodes),
		Usage:     cluster.Usage,
		TeamQuota: cluster.TeamQuota,
	})
	placeable := map[*recovery.Service]int{}
	for _, p := range plan.Placements {
		placeable[p.Service]++
	}
	causes := map[*recovery.Service]recovery.Cause{}
	for _, shortfall := range plan.Shortfalls {
		causes[shortfall.Service] = shortfall.Cause
	}
	statuses := make([]ServiceStatus, 0, len(services))
	for _, service := range services {
		statuses = append(statuses, serviceStatus(service, placeable[service], causes[service]))
	}
	return statuses
}

// schedulableNodes returns the nodes to which tasks may be bound.
func schedulableNodes(nodes []*placement.Node) []*placement.Node {
	var schedulable []*placement.Node
	for _, n := range nodes {
		if n.Schedulable {
			schedulable = append(schedulable, n)
		}
	}
	return schedulable
}

// serviceStatus returns the status of a service, given how many of its replicas are placeable,
// and the cause why the others are not.
func serviceStatus(service *recovery.Service, placeable int, cause recovery.Cause) ServiceStatus {
	status := ServiceStatus{
		Service:       service.Job.ID,
		Class:         service.Job.Class,
		Pending:       service.Pending,
		AtRisk:        service.AtRiskCount(),
		Placeable:     placeable,
		PendingReason: string(cause),
	}
	if status.PendingReason == "" && status.AtRisk > 0 {
		status.PendingReason = reasonNotTerminated
	}
	return status
}
