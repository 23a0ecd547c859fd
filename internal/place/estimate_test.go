package place

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "lynxledge/internal/seeded"

	"lynxledge/internal/ledger"
	"lynxledge/wire"
)

// Owners who are off by the same factor all day are corrected; a job whose own
// tasks were seen is judged by them; nothing seen leaves the estimate alone.
func TestEstimatesAreCorrected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factor := rapid.Float64Range(0.3, 3).Draw(t, "factor")
		e := NewEstimates()
		jobs := map[string]*ledger.Job{}
		for i := range 40 {
			id := fmt.Sprintf("req-%06d", i)
			est := rapid.Float64Range(5, 100).Draw(t, "estimate")
			jobs[id] = &ledger.Job{Spec: &wire.Job{ID: id, Class: "c", EstimateS: est}}
			e.Learn([]ledger.Departure{
				{Job: id, N: 0, Why: wire.WhyDone, RanS: est * factor},
				{Job: id, N: 1, Why: wire.WhyStopped, RanS: 1000},
				{Job: id, N: 2, Why: wire.WhyDone},
			}, jobs)
		}
		next := &wire.Job{ID: "req-000099", Class: "c", EstimateS: 10}
		if got := e.RunS(next); math.Abs(math.Log(got/(10*factor))) > 0.05 {
			t.Fatalf("expects %v of 10, owners are off by %v", got, factor)
		}
		if got := e.RunS(&wire.Job{ID: "req-000100", Class: "other", EstimateS: 10}); got != 10 {
			t.Fatalf("another class expects %v", got)
		}
		jobs[next.ID] = &ledger.Job{Spec: next}
		for range enoughOf {
			e.Learn([]ledger.Departure{{Job: next.ID, Why: wire.WhyDone, RanS: 77}}, jobs)
		}
		if got := e.RunS(next); math.Abs(got-77) > 1e-9 {
			t.Fatalf("job's own tasks ran 77, expects %v", got)
		}
	})
}
