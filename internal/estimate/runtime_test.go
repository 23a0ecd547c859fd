package estimate

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "lynxledge/internal/rapidseed"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// A constant error of a class's estimates is corrected; a job with enough completed tasks is
// estimated by their mean; without observations the owner's estimate is used.
func TestEstimatesAreCorrected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factor := rapid.Float64Range(0.3, 3).Draw(t, "factor")
		e := NewRuntimeEstimator()
		jobs := map[wire.JobID]*statecache.Job{}
		for i := range 40 {
			id := wire.JobID(fmt.Sprintf("req-%06d", i))
			est := rapid.Float64Range(5, 100).Draw(t, "estimate")
			jobs[id] = &statecache.Job{Spec: &wire.Job{ID: id, Class: "c", EstimatedRuntime: wire.Seconds(est)}}
			e.Observe([]statecache.Termination{
				{Job: id, TaskIndex: 0, Reason: wire.ReasonCompleted, Runtime: wire.Seconds(est * factor)},
				{Job: id, TaskIndex: 1, Reason: wire.ReasonStopped, Runtime: 1000},
				{Job: id, TaskIndex: 2, Reason: wire.ReasonCompleted},
			}, jobs)
		}
		next := &wire.Job{ID: "req-000099", Class: "c", EstimatedRuntime: 10}
		if got := e.EstimateSeconds(next); math.Abs(math.Log(got/(10*factor))) > 0.05 {
			t.Fatalf("runtime %v for an estimate of 10, owners are off by a factor of %v", got, factor)
		}
		if got := e.EstimateSeconds(&wire.Job{ID: "req-000100", Class: "other", EstimatedRuntime: 10}); got != 10 {
			t.Fatalf("estimate of 10 in a class without observations corrected to %v", got)
		}
		jobs[next.ID] = &statecache.Job{Spec: next}
		for range minSamples {
			e.Observe([]statecache.Termination{{Job: next.ID, Reason: wire.ReasonCompleted, Runtime: 77}}, jobs)
		}
		if got := e.EstimateSeconds(next); math.Abs(got-77) > 1e-9 {
			t.Fatalf("the job's own tasks ran for 77 s, estimate %v", got)
		}
	})
}
