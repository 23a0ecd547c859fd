package placement

import (
	"lynxledge/internal/config"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// ClusterState is what an advisor looks at. It belongs to the scheduler's actor: it must
// neither be changed nor kept.
type ClusterState struct {
	View       *statecache.View
	ActiveJobs map[wire.JobID]*statecache.Job
	Nodes      []*Node
	Usage      resources.Usage
	TeamQuota  func(name wire.TeamName) config.TeamQuota
}
