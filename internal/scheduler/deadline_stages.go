package scheduler

import (
	"cmp"
	"slices"
)

// deadlineCandidate is a queued job, as far as its deadline stage depends on it. Times are in
// seconds from now.
type deadlineCandidate struct {
	clusterSeconds  float64   // how long the whole cluster would take for it
	runtimeSeconds  float64   // of one task
	deadlineSeconds []float64 // the deadlines that it may still keep, the earliest first
}

// latestStartSeconds is when the last of the job's tasks must have begun to keep the deadline
// of a stage.
func (c *deadlineCandidate) latestStartSeconds(stage int) float64 {
	return c.deadlineSeconds[stage] - c.runtimeSeconds
}

// startsSoon tells whether the job must start soon to keep the deadline of a stage, if it has
// that many.
func (c *deadlineCandidate) startsSoon(stage int) bool {
	return stage >= 0 && stage < len(c.deadlineSeconds) && c.latestStartSeconds(stage) < c.runtimeSeconds/2
}

// assignStages tells for jobs of one priority which of its deadlines each is to keep, by Moore
// and Hodgson: taken in order of their latest starts, whenever one would be late, the largest so
// far gives way. No other order has fewer late. A job that gave way is tried again with its next
// deadline, behind those that didn't. One that can't keep any gets the number of its deadlines.
// freeSeconds is when the cluster is free to begin; the result is also when it has done all that
// is on time.
func assignStages(jobs []deadlineCandidate, freeSeconds float64) ([]int, float64) {
	stages := make([]int, len(jobs))
	remaining := make([]int, len(jobs))
	most := 0
	for i := range jobs {
		remaining[i] = i
		most = max(most, len(jobs[i].deadlineSeconds))
	}
	for stage := 0; stage < most && len(remaining) > 0; stage++ {
		var tried, late []int
		for _, i := range remaining {
			if stage < len(jobs[i].deadlineSeconds) {
				tried = append(tried, i)
			} else {
				late = append(late, i)
			}
		}
		late, freeSeconds = keepOnTime(jobs, tried, late, stage, freeSeconds)
		for _, i := range late {
			stages[i] = stage + 1
		}
		remaining = late
	}
	return stages, freeSeconds
}

// keepOnTime adds to late those of the jobs tried with a stage that give way, so that the others
// keep its deadline, and tells when the others are done. It sorts tried.
func keepOnTime(jobs []deadlineCandidate, tried, late []int, stage int, freeSeconds float64) ([]int, float64) {
	slices.SortStableFunc(tried, func(a, b int) int {
		return cmp.Compare(jobs[a].latestStartSeconds(stage), jobs[b].latestStartSeconds(stage))
	})
	var kept []int
	endSeconds := freeSeconds
	for _, i := range tried {
		kept = append(kept, i)
		endSeconds += jobs[i].clusterSeconds
		if endSeconds <= jobs[i].latestStartSeconds(stage) {
			continue
		}
		// The job itself gives way if it couldn't be on time even alone.
		out := len(kept) - 1
		if freeSeconds+jobs[i].clusterSeconds <= jobs[i].latestStartSeconds(stage) {
			for k, other := range kept {
				if jobs[other].clusterSeconds > jobs[kept[out]].clusterSeconds {
					out = k
				}
			}
		}
		endSeconds -= jobs[kept[out]].clusterSeconds
		late = append(late, kept[out])
		kept = slices.Delete(kept, out, out+1)
	}
	return late, endSeconds
}
