package scheduler

import (
	"testing"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

// A team's earlier jobs stay within its guarantee however much batch work it runs beyond the
// guarantee later. When they did not, its replicas were preempted for those of other teams.
func TestEarlierJobsAreGuaranteed(t *testing.T) {
	team := func(wire.TeamName) config.TeamQuota { return config.TeamQuota{Name: "a", GuaranteedCPUs: 10} }
	job := func(id wire.JobID, cpus float64) *wire.Job { return &wire.Job{ID: id, Team: "a", CPUs: cpus} }
	guaranteed := jobsWithinGuarantee([]quotaClaim{
		{job("req-000003", 4), 30, 20}, {job("req-000001", 2), 10, 2}, {job("req-000004", 2), 40, 1}, {job("req-000002", 2), 20, 3},
	}, team)
	for id, want := range map[wire.JobID]bool{"req-000001": true, "req-000002": true, "req-000003": false, "req-000004": false} {
		if guaranteed[id] != want {
			t.Errorf("%s guaranteed: %v", id, guaranteed[id])
		}
	}
}
