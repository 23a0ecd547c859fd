package autoscaler

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lynxledge/internal/estimate"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Operators are told early that a pipeline will be late and which stage holds it up, once
// for each change, and when it is in time again.
func TestLatePipelinesAreReportedOnce(t *testing.T) {
	var log bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(before)
	now := time.Now()
	due := wire.Seconds(100)
	last := &statecache.Job{
		Spec:        &wire.Job{ID: "req-000009", Class: "publish", Kind: wire.KindArray, TaskCount: 1, EstimatedRuntime: 10, Deadline: &due},
		TaskCount:   1,
		SubmittedAt: statecache.TimestampOf(now),
		Blocked:     true,
	}
	r := &Autoscaler{
		blockedJobs:   map[wire.JobID]*statecache.Job{"req-000009": last},
		latePipelines: map[wire.JobID]wire.JobID{},
		runtimes:      estimate.NewRuntimeEstimator(),
	}
	for _, step := range []struct {
		held estimate.DependencyWait
		want string // in what is logged; nothing if empty
	}{
		{estimate.DependencyWait{Wait: 60, BlockedBy: "req-000001"}, ""},
		{estimate.DependencyWait{Wait: 120, BlockedBy: "req-000001"}, "held_up_by=req-000001"},
		{estimate.DependencyWait{Wait: 130, BlockedBy: "req-000001"}, ""},
		{estimate.DependencyWait{Wait: 130, BlockedBy: "req-000002"}, "held_up_by=req-000002"},
		{estimate.DependencyWait{Wait: 50, BlockedBy: "req-000002"}, "pipeline is in time again"},
		{estimate.DependencyWait{Wait: 50, BlockedBy: "req-000002"}, ""},
	} {
		log.Reset()
		r.logDeadlineRisk("req-000009", step.held, now)
		if got := log.String(); (step.want == "") != (got == "") || !strings.Contains(got, step.want) {
			t.Errorf("%+v: logged %q, want %q", step.held, got, step.want)
		}
	}
}
