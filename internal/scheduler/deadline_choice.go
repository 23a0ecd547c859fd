package scheduler

import (
	"cmp"
	"slices"
)

// deadlineCandidate holds the properties of a queued job by which its deadline is chosen. Times are
// in seconds from now. A deadline is given by its index in deadlineSeconds.
type deadlineCandidate struct {
	clusterSeconds  float64   // time that the whole cluster would need for the pending tasks
	runtimeSeconds  float64   // of one task
	deadlineSeconds []float64 // ascending; negative if already past
}

// latestStartSeconds returns when the job's last task must start at the latest to meet a deadline.
func (c *deadlineCandidate) latestStartSeconds(deadline int) float64 {
	return c.deadlineSeconds[deadline] - c.runtimeSeconds
}

// mustStartSoon reports whether less than half a task's runtime is left until the latest start for
// a deadline. It returns false if the job has no such deadline.
func (c *deadlineCandidate) mustStartSoon(deadline int) bool {
	return deadline >= 0 && deadline < len(c.deadlineSeconds) && c.latestStartSeconds(deadline) < c.runtimeSeconds/2
}

// chooseDeadlines chooses the deadline that each of the jobs of one priority is to meet, with the
// Moore-Hodgson algorithm, which minimizes the number of late jobs: jobs are added in order of
// their latest starts, and whenever one would be late, the largest so far is dropped. A dropped job
// is tried again with its next deadline, after those that were kept. freeSeconds is when the cluster
// becomes free for these jobs. It returns the index of each job's deadline, or the number of its
// deadlines if it can't meet any, and when the jobs that meet a deadline are finished.
func chooseDeadlines(jobs []deadlineCandidate, freeSeconds float64) ([]int, float64) {
	chosen := make([]int, len(jobs))
	remaining := make([]int, len(jobs))
	maxDeadlines := 0
	for i := range jobs {
		remaining[i] = i
		maxDeadlines = max(maxDeadlines, len(jobs[i].deadlineSeconds))
	}
	for deadline := 0; deadline < maxDeadlines && len(remaining) > 0; deadline++ {
		var tried, late []int
		for _, i := range remaining {
			if deadline < len(jobs[i].deadlineSeconds) {
				tried = append(tried, i)
			} else {
				late = append(late, i)
			}
		}
		late, freeSeconds = dropLateJobs(jobs, tried, late, deadline, freeSeconds)
		for _, i := range late {
			chosen[i] = deadline + 1
		}
		remaining = late
	}
	return chosen, freeSeconds
}

// dropLateJobs appends to late those of the tried jobs that have to be dropped so that the others
// meet their deadline of the given index, and returns when the others are finished. It sorts tried.
func dropLateJobs(jobs []deadlineCandidate, tried, late []int, deadline int, freeSeconds float64) ([]int, float64) {
	slices.SortStableFunc(tried, func(a, b int) int {
		return cmp.Compare(jobs[a].latestStartSeconds(deadline), jobs[b].latestStartSeconds(deadline))
	})
	var kept []int
	endSeconds := freeSeconds
	for _, i := range tried {
		kept = append(kept, i)
		endSeconds += jobs[i].clusterSeconds
		if endSeconds <= jobs[i].latestStartSeconds(deadline) {
			continue
		}
		// The job itself is dropped if it would be late even alone.
		dropped := len(kept) - 1
		if freeSeconds+jobs[i].clusterSeconds <= jobs[i].latestStartSeconds(deadline) {
			for k, other := range kept {
				if jobs[other].clusterSeconds > jobs[kept[dropped]].clusterSeconds {
					dropped = k
				}
			}
		}
		endSeconds -= jobs[kept[dropped]].clusterSeconds
		late = append(late, kept[dropped])
		kept = slices.Delete(kept, dropped, dropped+1)
	}
	return late, endSeconds
}
