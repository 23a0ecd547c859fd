package placement

import (
	"lynxledge/internal/config"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// ClusterState is the input of an advisor. It belongs to the scheduler's actor: advisors must
// neither modify nor retain it.
type ClusterState struct {
	View       *statecache.View
	ActiveJobs map[wire.JobID]*statecache.Job
	Nodes      []*Node
	Usage      resources.Usage
	TeamQuota  func(name wire.TeamName) config.TeamQuota
}
