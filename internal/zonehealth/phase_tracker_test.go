package zonehealth

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lynxledge/internal/rapidseed"
	"lynxledge/wire"
)

const tick = time.Second

var testPolicy = Policy{
	DegradedShare: 0.3, LostShare: 0.6, ReturnShare: 0.5, MinMachines: 4,
	UnreachableAfter: 8 * tick, LossConfirmation: 2 * tick, ReturnConfirmation: 6 * tick,
	AdmissionSteps: []float64{0.25, 0.5, 1}, StepDuration: 5 * tick,
	HoldDown: 7 * tick, MaxHoldDown: 24 * tick, FlapWindow: 60 * tick,
}

// evaluate evaluates the same evidence on zone a for a number of ticks, and returns its status.
func evaluate(t *PhaseTracker, now *time.Time, ticks int, e Evidence) Status {
	for range ticks {
		*now = now.Add(tick)
		t.Evaluate(*now, map[wire.Zone]Evidence{"a": e})
	}
	return t.Status("a")
}

func down(unreachable, of int) Evidence {
	return Evidence{Expected: of, Unreachable: unreachable, ReachableFrom: 1}
}

// A zone goes through its phases in order. Losses and returns need evidence that has held for the
// confirmation time.
func TestPhases(t *testing.T) {
	tracker, now := NewPhaseTracker(testPolicy), time.Unix(1000, 0)
	for i, step := range []struct {
		ticks int
		e     Evidence
		want  Phase
		share float64 // admitted to services
	}{
		{5, down(0, 10), Healthy, 1},
		{5, down(2, 10), Healthy, 1},
		{1, down(3, 10), Degraded, 1},
		{5, down(2, 10), Degraded, 1}, // remains until less than half of DegradedShare is down
		{1, down(1, 10), Healthy, 1},
		{2, down(10, 10), Degraded, 1}, // loss not confirmed yet
		{1, down(0, 10), Healthy, 1},   // the loss was never confirmed
		{3, down(6, 10), Lost, 0},
		{4, down(0, 10), Lost, 0}, // reachable, but recovery not confirmed yet
		{2, down(6, 10), Lost, 0}, // the confirmation starts over
		{6, down(5, 10), Lost, 0},
		{1, down(5, 10), Returning, 0.25}, // ReturnShare may be down
		{5, down(5, 10), Returning, 0.5},
		{20, Evidence{Expected: 10, Unreachable: 6, ReachableFrom: 1}, Lost, 0}, // the return is undone
	} {
		s := evaluate(tracker, &now, step.ticks, step.e)
		if share := s.AdmittedShare(testPolicy.AdmissionSteps, true); s.Phase != step.want || share != step.share {
			t.Errorf("step %d: %v with %v admitted, not %v with %v", i, s.Phase, share, step.want, step.share)
		}
	}
	if s := tracker.Status("a"); s.Losses != 2 {
		t.Errorf("%d losses", s.Losses)
	}
}

// The hold-down of a flapping zone doubles with each loss up to MaxHoldDown. Losses are forgotten
// after a long healthy time.
func TestHoldDownGrows(t *testing.T) {
	tracker, now := NewPhaseTracker(testPolicy), time.Unix(1000, 0)
	var holdDowns []time.Duration
	for range 4 {
		lost := evaluate(tracker, &now, 3, down(10, 10))
		holdDowns = append(holdDowns, lost.HoldUntil.Sub(lost.Since))
		for n := 0; tracker.Status("a").Phase == Lost && n < 100; n++ {
			evaluate(tracker, &now, 1, down(0, 10))
		}
	}
	if want := []time.Duration{7 * tick, 14 * tick, 24 * tick, 24 * tick}; !slices.Equal(holdDowns, want) {
		t.Errorf("held down for %v, not %v", holdDowns, want)
	}
	if s := evaluate(tracker, &now, 200, down(0, 10)); s.Phase != Healthy || s.Losses != 0 {
		t.Errorf("%v with %d losses after a long healthy time", s.Phase, s.Losses)
	}
}

// A zone with few machines is never lost. If its controllers are down too, a smaller share of
// machines is enough for a loss. A lost zone without any machine returns, unless its pools are
// exhausted. A returning zone stays at its step while too many machines are down.
func TestEvidenceOfControllersAndPools(t *testing.T) {
	tracker, now := NewPhaseTracker(testPolicy), time.Unix(1000, 0)
	if s := evaluate(tracker, &now, 50, down(3, 3)); s.Phase != Healthy {
		t.Errorf("three machines: %v", s.Phase)
	}
	controllersDown := Evidence{Expected: 10, Unreachable: 4, Controllers: 1, ControllersDown: 1}
	if s := evaluate(tracker, &now, 5, controllersDown); s.Phase != Lost {
		t.Errorf("with its controllers down: %v", s.Phase)
	}
	if s := evaluate(tracker, &now, 20, Evidence{Pools: 2, PoolsExhausted: 2}); s.Phase != Lost {
		t.Errorf("with all pools exhausted: %v", s.Phase)
	}
	if s := evaluate(tracker, &now, 8, Evidence{Pools: 2}); s.Phase != Returning {
		t.Errorf("empty: %v", s.Phase)
	}
	if s := evaluate(tracker, &now, 50, Evidence{Expected: 20, Unreachable: 11, ReachableFrom: 1}); s.Phase != Returning || s.Step != 0 {
		t.Errorf("too many machines down: %v at step %d", s.Phase, s.Step)
	}
}

// For any evidence: no zone starts to return before its hold-down ends or from a phase other than
// Lost, arrays are never admitted on more machines than services, and after a long healthy time
// the zone is healthy and its losses are forgotten. A tracker restored in between continues in
// the same phase and step.
func TestPhasesWithAnyEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := NewPhaseTracker(testPolicy), time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "spells") {
			of := rapid.IntRange(0, 12).Draw(t, "machines")
			e := Evidence{
				Expected: of, Unreachable: rapid.IntRange(0, of).Draw(t, "silent"), Failed: rapid.IntRange(0, 3).Draw(t, "failed"),
				Controllers: 1, ControllersDown: rapid.IntRange(0, 1).Draw(t, "gone"),
			}
			before := tracker.Status("a")
			s := evaluate(tracker, &now, rapid.IntRange(1, 9).Draw(t, "ticks"), e)
			if s.Phase == Returning && before.Phase != Returning && (before.Phase != Lost || s.Since.Before(s.HoldUntil)) {
				t.Fatalf("returning since %v from %+v", s.Since, before)
			}
			if s.AdmittedShare(testPolicy.AdmissionSteps, false) > s.AdmittedShare(testPolicy.AdmissionSteps, true) {
				t.Fatalf("arrays admitted on more machines than services: %+v", s)
			}
			if rapid.IntRange(0, 9).Draw(t, "takeover") == 0 {
				next := NewPhaseTracker(testPolicy)
				next.Restore(now, tracker.Statuses())
				if next.Status("a").Phase != s.Phase || next.Status("a").Step != s.Step {
					t.Fatalf("%+v became %+v", s, next.Status("a"))
				}
				tracker = next
			}
		}
		if s := evaluate(tracker, &now, 200, down(0, 10)); s.Phase != Healthy || s.Losses != 0 {
			t.Fatalf("stuck: %+v", s)
		}
	})
}
