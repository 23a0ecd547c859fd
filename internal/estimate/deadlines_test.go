package estimate

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lynxledge/internal/rapidseed"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// The time left until the deadline of a pipeline's last job is split over the remaining stages in
// proportion to their runtimes: a late stage leaves less to the rest, and no stage gets a deadline
// after that of the pipeline.
func TestDeadlineIsSplitOverStages(t *testing.T) {
	cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
	rapid.Check(t, func(t *rapid.T) {
		runtimes := rapid.SliceOfN(rapid.Float64Range(1, 50), 1, 6).Draw(t, "runs")
		downstream := 0.0
		for _, r := range runtimes {
			downstream += r
		}
		deadline := rapid.Float64Range(1, 500).Draw(t, "due")
		now := rapid.Float64Range(0, 400).Draw(t, "now")
		total := downstream
		for i, runtime := range runtimes {
			downstream -= runtime
			j := &statecache.Job{Spec: &wire.Job{Class: "c"}, InheritedDeadline: statecache.Timestamp(1000 * deadline), DownstreamRuntime: wire.Seconds(downstream)}
			got := Deadlines(cfg, j, config.Seconds(runtime), config.Seconds(now), config.Seconds(now))
			if len(got) != 1 {
				t.Fatalf("%v", got)
			}
			want := deadline
			if deadline > now {
				want = now + (deadline-now)*runtime/(runtime+downstream)
			}
			if math.Abs(got[0].Seconds()-want) > 0.01 || deadline > now && got[0].Seconds() > deadline+0.01 {
				t.Fatalf("stage %d of %v, %v of %v s left: deadline %v, want %v", i, runtimes, downstream, total, got[0], want)
			}
			now = math.Max(now, got[0].Seconds())
		}
	})
}

// A blocked job's own deadline counts from its submission, its objectives' from its earliest start.
func TestDeadlinesOfBlockedJob(t *testing.T) {
	cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
	cfg.Params.Objectives = []config.Objective{{Kind: config.ObjectiveFinished, Class: "c", Within: 100 * time.Second}}
	due := wire.Seconds(60)
	j := &statecache.Job{SubmittedAt: 5000, Blocked: true, Spec: &wire.Job{Class: "c", Deadline: &due}}
	if got := Deadlines(cfg, j, 10*time.Second, 20*time.Second, 50*time.Second); !slices.Equal(got, []time.Duration{60 * time.Second, 150 * time.Second}) {
		t.Errorf("blocked: %v", got)
	}
	ready := &statecache.Job{SubmittedAt: 5000, DependenciesDoneAt: 45000, Spec: j.Spec} // 40 s later
	if got := Deadlines(cfg, ready, 10*time.Second, 5*time.Second, 5*time.Second); !slices.Equal(got, []time.Duration{20 * time.Second, 100 * time.Second}) {
		t.Errorf("ready: %v", got)
	}
}
