package rent

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lynxledge/internal/place"
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
	due := 100.0
	last := &statecache.Job{
		Spec:        &wire.Job{ID: "req-000009", Class: "publish", Kind: wire.KindArray, TaskCount: 1, EstimatedRuntime: 10, Deadline: &due},
		TaskCount:   1,
		SubmittedAt: now.UnixMilli(),
		Blocked:     true,
	}
	r := &Renter{
		blocked:       map[string]*statecache.Job{"req-000009": last},
		latePipelines: map[string]string{},
		runs:          place.NewEstimates(),
	}
	for _, step := range []struct {
		held place.Held
		want string // in what is logged; nothing if empty
	}{
		{place.Held{S: 60, By: "req-000001"}, ""},
		{place.Held{S: 120, By: "req-000001"}, "held_up_by=req-000001"},
		{place.Held{S: 130, By: "req-000001"}, ""},
		{place.Held{S: 130, By: "req-000002"}, "held_up_by=req-000002"},
		{place.Held{S: 50, By: "req-000002"}, "pipeline is in time again"},
		{place.Held{S: 50, By: "req-000002"}, ""},
	} {
		log.Reset()
		r.reportLateness("req-000009", step.held, now)
		if got := log.String(); (step.want == "") != (got == "") || !strings.Contains(got, step.want) {
			t.Errorf("%+v: logged %q, want %q", step.held, got, step.want)
		}
	}
}
