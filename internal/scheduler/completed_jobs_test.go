package scheduler

import (
	"testing"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// A job is listed once all its tasks are completed, with the first time at which that was observed.
func TestCompletedJobs(t *testing.T) {
	view := statecache.NewUnfinishedView(8)
	view.Apply(statecache.Change{Kind: statecache.KindJob, Name: "req-000001", Record: &statecache.Job{TaskCount: 2, Spec: &wire.Job{ID: "req-000001", TaskCount: 2}}})
	jobs, now := newCompletedJobs(view), time.Now()
	group := &statecache.MachineGroup{Name: "a", Completions: map[wire.JobID][]int{"req-000001": {0}}}
	view.Apply(statecache.Change{Kind: statecache.KindMachineGroup, Name: "a", Record: group})
	if jobs.observe("req-000001", now); jobs.count() != 0 {
		t.Error("completed with one task of two")
	}
	next := *group
	next.Completions = map[wire.JobID][]int{"req-000001": {0, 1}}
	view.Apply(statecache.Change{Kind: statecache.KindMachineGroup, Name: "a", Record: &next})
	jobs.observe("req-000001", now)
	jobs.observe("req-000001", now.Add(time.Minute))
	if since := jobs.since["req-000001"]; !since.Equal(now) {
		t.Errorf("completed since %v, not %v", since, now)
	}
	if jobs.forget("req-000001"); jobs.count() != 0 {
		t.Error("not forgotten")
	}
}
