package placement

import (
	"testing"

	"lynxledge/internal/config"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Of two replicas that otherwise cost the same, that of the service with more running replicas is
// preempted. Guards against services losing their last replica while others lose none.
func TestLastReplicaIsPreemptedLast(t *testing.T) {
	replica := func(id wire.JobID, set *ReplicaSet) *Node {
		job := &wire.Job{ID: id, Kind: wire.KindService, Priority: wire.PriorityNormal, TaskCount: 2, CPUs: 4, SpreadZones: true}
		return &Node{
			Name: wire.MachineID(id), MachineType: &testTypes[0], Zone: "p", HasImage: func(string) bool { return true },
			Used: resources.OfTask(job), Tasks: []RunningTask{{Job: job, Service: set}},
		}
	}
	last, complete := replica("req-000001", &ReplicaSet{Running: 1}), replica("req-000002", &ReplicaSet{Running: 2})
	urgent := &wire.Job{ID: "req-000003", Kind: wire.KindArray, Priority: wire.PriorityHigh, TaskCount: 1, CPUs: 4}
	quotas := Quotas{Usage: resources.Usage{}, TeamQuota: func(name wire.TeamName) config.TeamQuota { return config.TeamQuota{Name: name} }}
	for _, nodes := range [][]*Node{{last, complete}, {complete, last}} {
		if victims := FindVictims(urgent, ZoneCounts{}, ZoneOffers{}, nodes, quotas); victims == nil || victims.Node != complete {
			t.Errorf("preempted %+v", victims)
		}
	}
}
