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

// A predicted deadline miss of a pipeline and the stage that delays it are logged once for each
// change, and so is the end of the risk.
func TestDeadlineRisksAreLoggedOnce(t *testing.T) {
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
	a := &Autoscaler{jobs: newJobTracker(), risks: newDeadlineRisks()}
	a.jobs.update("req-000009", last)
	for _, step := range []struct {
		wait estimate.DependencyWait
		want string // substring of the log output; empty: no output
	}{
		{estimate.DependencyWait{WaitSeconds: 60, BlockedBy: "req-000001"}, ""},
		{estimate.DependencyWait{WaitSeconds: 120, BlockedBy: "req-000001"}, "blocked_by=req-000001"},
		{estimate.DependencyWait{WaitSeconds: 130, BlockedBy: "req-000001"}, ""},
		{estimate.DependencyWait{WaitSeconds: 130, BlockedBy: "req-000002"}, "blocked_by=req-000002"},
		{estimate.DependencyWait{WaitSeconds: 50, BlockedBy: "req-000002"}, "pipeline deadline risk cleared"},
		{estimate.DependencyWait{WaitSeconds: 50, BlockedBy: "req-000002"}, ""},
	} {
		log.Reset()
		a.logDeadlineRisks(map[wire.JobID]estimate.DependencyWait{"req-000009": step.wait}, now)
		if got := log.String(); (step.want == "") != (got == "") || !strings.Contains(got, step.want) {
			t.Errorf("%+v: logged %q, want %q", step.wait, got, step.want)
		}
	}
}
