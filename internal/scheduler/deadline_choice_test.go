package scheduler

import (
	"math"
	"math/bits"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "lynxledge/internal/rapidseed"
)

// onTime returns how many of the jobs in a set, given as a bitmask, meet their first deadline when
// they run one after the other in order of their latest starts.
func onTime(jobs []deadlineCandidate, set uint, freeSeconds float64) int {
	var chosen []deadlineCandidate
	for i := range jobs {
		if set&(1<<i) != 0 {
			chosen = append(chosen, jobs[i])
		}
	}
	slices.SortFunc(chosen, func(a, b deadlineCandidate) int {
		return int(math.Copysign(1, a.latestStartSeconds(0)-b.latestStartSeconds(0)))
	})
	n := 0
	for _, j := range chosen {
		if freeSeconds += j.clusterSeconds; freeSeconds <= j.latestStartSeconds(0) {
			n++
		}
	}
	return n
}

// The largest possible number of jobs is chosen to meet the first deadline, and all of these can.
// Guards against plain earliest-deadline-first order, which made nearly all of them late.
func TestChosenDeadlinesMinimizeLateJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		freeSeconds := rapid.Float64Range(0, 20).Draw(t, "from")
		jobs := make([]deadlineCandidate, rapid.IntRange(1, 7).Draw(t, "jobs"))
		for i := range jobs {
			d := rapid.Float64Range(-10, 100).Draw(t, "due")
			jobs[i] = deadlineCandidate{clusterSeconds: rapid.Float64Range(0.1, 30).Draw(t, "work"), runtimeSeconds: rapid.Float64Range(0, 20).Draw(t, "run"), deadlineSeconds: []float64{d, 2 * max(d, 1)}}
		}
		chosen, _ := chooseDeadlines(jobs, freeSeconds)
		var kept uint
		for i, deadline := range chosen {
			if deadline == 0 {
				kept |= 1 << i
			}
			if deadline > 2 {
				t.Fatalf("deadline index %d of 2", deadline)
			}
		}
		if n := onTime(jobs, kept, freeSeconds); n != bits.OnesCount(kept) {
			t.Fatalf("%d of %d kept jobs are on time", n, bits.OnesCount(kept))
		}
		for set := range uint(1) << len(jobs) {
			if n := bits.OnesCount(set); n > bits.OnesCount(kept) && onTime(jobs, set, freeSeconds) == n {
				t.Fatalf("%b could be on time, kept %b", set, kept)
			}
		}
	})
}
