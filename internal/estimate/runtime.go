package estimate

import (
	"math"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// RuntimeEstimator corrects the owners' running times by what was seen: first by the
// job's own completed tasks, else by how far its class was off lately.
type RuntimeEstimator struct {
	classCorrections map[string]float64 // logarithm of seen over estimated, smoothed
	jobRuntimes      map[wire.JobID]mean
}

type mean struct {
	sum float64
	n   int
}

// NewRuntimeEstimator knows nothing yet.
func NewRuntimeEstimator() *RuntimeEstimator {
	return &RuntimeEstimator{classCorrections: map[string]float64{}, jobRuntimes: map[wire.JobID]mean{}}
}

const (
	smoothing     = 0.1 // part of a class's correction that one task changes
	maxCorrection = 4.0 // a class's correction stays within this factor
	minSamples    = 3   // completed tasks of a job that speak for the rest
)

// Observe takes over what a group's new record says of completed tasks.
func (e *RuntimeEstimator) Observe(gone []statecache.Termination, jobs map[wire.JobID]*statecache.Job) {
	for _, g := range gone {
		id := g.Job
		j := jobs[id]
		if g.Reason != wire.ReasonCompleted || g.Runtime <= 0 || j == nil || j.Spec == nil || j.Spec.EstimatedRuntime <= 0 {
			continue
		}
		off := math.Log(float64(g.Runtime / j.Spec.EstimatedRuntime))
		off = math.Max(-math.Log(maxCorrection), math.Min(math.Log(maxCorrection), off))
		e.classCorrections[j.Spec.Class] += smoothing * (off - e.classCorrections[j.Spec.Class])
		m := e.jobRuntimes[id]
		e.jobRuntimes[id] = mean{m.sum + float64(g.Runtime), m.n + 1}
	}
}

// Forget drops a job that is over.
func (e *RuntimeEstimator) Forget(id wire.JobID) { delete(e.jobRuntimes, id) }

// Estimate is the running time to expect of a task.
func (e *RuntimeEstimator) Estimate(j *wire.Job) float64 {
	if m := e.jobRuntimes[j.ID]; m.n >= minSamples {
		return m.sum / float64(m.n)
	}
	return float64(j.EstimatedRuntime) * math.Exp(e.classCorrections[j.Class])
}
