package scheduler

import (
	"cmp"
	"slices"
	"strings"
)

// deadlineCandidate is a job in the queue, as far as its turn depends on it. Times are
// in seconds from now; work is how long the whole cluster would take for it.
type deadlineCandidate struct {
	clusterTime float64
	runtime     float64   // of one task
	deadlines   []float64 // the deadlines it may still keep, the earliest first
}

// latestStart is when the last of the job's tasks must have begun to keep a deadline.
func (c *deadlineCandidate) latestStart(s int) float64 { return c.deadlines[s] - c.runtime }

// assignStages tells for jobs of one priority which of its deadlines each is to keep, by
// Moore and Hodgson: taken in order of their latest starts, whenever one would be
// late, the largest so far gives way. No other order has fewer late. What gives
// way is tried again with its next deadline, behind those that don't. A job
// that can't keep any gets the number of its deadlines. from is when the
// cluster is free to begin; the result is also when it has done all that is on
// time.
func assignStages(jobs []deadlineCandidate, from float64) ([]int, float64) {
	stage := make([]int, len(jobs))
	rest := make([]int, len(jobs))
	most := 0
	for i := range jobs {
		rest[i] = i
		most = max(most, len(jobs[i].deadlines))
	}
	for s := 0; s < most && len(rest) > 0; s++ {
		var tried, late []int
		for _, i := range rest {
			if s < len(jobs[i].deadlines) {
				tried = append(tried, i)
			} else {
				late = append(late, i)
			}
		}
		slices.SortStableFunc(tried, func(a, b int) int { return cmp.Compare(jobs[a].latestStart(s), jobs[b].latestStart(s)) })
		var kept []int
		end := from
		for _, i := range tried {
			kept = append(kept, i)
			end += jobs[i].clusterTime
			if end <= jobs[i].latestStart(s) {
				continue
			}
			// The job itself goes if it couldn't be in time even alone.
			out := len(kept) - 1
			if from+jobs[i].clusterTime <= jobs[i].latestStart(s) {
				for k, o := range kept {
					if jobs[o].clusterTime > jobs[kept[out]].clusterTime {
						out = k
					}
				}
			}
			end -= jobs[kept[out]].clusterTime
			late = append(late, kept[out])
			kept = slices.Delete(kept, out, out+1)
		}
		for _, i := range late {
			stage[i] = s + 1
		}
		from, rest = end, late
	}
	return stage, from
}

// sortQueue sorts the queue: what goes first, then by priority, then by stage, then earliest deadline first;
// jobs that can't keep any deadline by what is left of them, the least first.
func sortQueue(q []queuedJob) {
	slices.SortFunc(q, func(a, b queuedJob) int {
		if a.recoversFirst != b.recoversFirst {
			if a.recoversFirst {
				return -1
			}
			return 1
		}
		if a.job.Spec.Priority != b.job.Spec.Priority {
			return int(b.job.Spec.Priority - a.job.Spec.Priority)
		}
		if a.deadlineStage != b.deadlineStage {
			return a.deadlineStage - b.deadlineStage
		}
		if a.deadline != b.deadline {
			return cmp.Compare(a.deadline, b.deadline)
		}
		return strings.Compare(string(a.id), string(b.id))
	})
}
