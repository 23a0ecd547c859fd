package planner

import (
	"math"
	"testing"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Headroom is a share of the CPUs that urgent jobs use and wait for, by priority and whether they
// allow spot machines, in tasks of the largest size; none is kept for other jobs.
func TestHeadroomFollowsUrgentJobs(t *testing.T) {
	urgent := func(id wire.JobID, cpus float64) *wire.Job {
		return &wire.Job{ID: id, Kind: wire.KindService, Priority: wire.PriorityProduction, CPUs: cpus, TaskCount: 10, Zone: "b"}
	}
	in := testInput(Demand{Job: urgent("req-000001", 1), Count: 8}, Demand{Job: testJob(4, false), Count: 50})
	in.Machines = []Machine{{Name: "i-1", Pool: resources.Pool{MachineType: "l", Zone: "a"}, Tasks: []RunningTask{{urgent("req-000002", 2), math.Inf(1)}}}}
	if got := newCycle(in).headroom(); len(got) != 0 {
		t.Errorf("headroom with HeadroomShare 0: %+v", got)
	}
	in.HeadroomShare = 0.5
	got := newCycle(in).headroom()
	if len(got) != 1 || got[0].Job.ID != "req-000002" || got[0].Count != 3 || got[0].Job.Zone != "" || !got[0].excludeScarceZones {
		t.Errorf("headroom: %+v", got)
	}
	for _, r := range Compute(in).ScaleOut {
		if r.Zone == "b" && r.Load > 8*0.25+1e-9 {
			t.Errorf("headroom in the zone with fewer machine types: %+v", r)
		}
	}
}
