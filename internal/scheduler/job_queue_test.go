package scheduler

import (
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Jobs are queued by priority; within a priority starved jobs come first, with one task, then the
// others by deadline. Jobs of teams not assigned to this process and delayed jobs are not queued.
func TestQueueOrder(t *testing.T) {
	cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
	cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 8 * time.Second, LeaseDuration: 44 * time.Second}
	cfg.Params.Store = config.StoreLimits{MaxValueKB: 8, MaxTxnOps: 8, RequestRate: 200, WriteRate: 20}
	s := newScheduler(Options{Config: cfg, Incarnation: 1})
	now := time.Now()
	add := func(id wire.JobID, team wire.TeamName, priority wire.Priority, age, due time.Duration) {
		deadline := wire.Seconds((age + due).Seconds())
		job := &statecache.Job{TaskCount: 3, SubmittedAt: statecache.TimestampOf(now.Add(-age)), Spec: &wire.Job{
			ID: id, Class: "c", Team: team, Kind: wire.KindArray, Priority: priority, TaskCount: 3, CPUs: 1, MemoryGB: 1, EstimatedRuntime: 1, Deadline: &deadline,
		}}
		s.view.Jobs[id] = job
		s.jobs.put(id, job)
	}
	add("req-000001", "red", wire.PriorityNormal, 0, 90*time.Second)
	add("req-000002", "red", wire.PriorityNormal, 0, 60*time.Second)
	add("req-000003", "red", wire.PriorityNormal, 200*time.Second, 300*time.Second)
	add("req-000004", "red", wire.PriorityHigh, 0, 300*time.Second)
	add("req-000005", "blue", wire.PriorityHigh, 0, 300*time.Second)
	add("req-000006", "red", wire.PriorityHigh, 0, 300*time.Second)
	s.backoff.recordEarlyPreemption("req-000006", now)
	queue := s.jobs.pending(map[wire.TeamName]*statecache.Assignment{"red": {ModRevision: 7}}, nil, now)
	want := []struct {
		id       wire.JobID
		maxTasks int
	}{{"req-000004", 3}, {"req-000003", 1}, {"req-000002", 3}, {"req-000001", 3}}
	if len(queue) != len(want) {
		t.Fatalf("%d jobs queued, not %d", len(queue), len(want))
	}
	for i, entry := range queue {
		if entry.id != want[i].id || entry.maxTasks != want[i].maxTasks || entry.assignment != 7 {
			t.Errorf("%d: %s with %d tasks under assignment %d, want %+v", i, entry.id, entry.maxTasks, entry.assignment, want[i])
		}
	}
	s.jobs.remove("req-000004")
	if queue = s.jobs.pending(map[wire.TeamName]*statecache.Assignment{"red": {}}, nil, now); len(queue) != 3 {
		t.Errorf("%d jobs queued after one was removed", len(queue))
	}
}
