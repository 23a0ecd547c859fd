package estimate

import (
	"math"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// RuntimeEstimator corrects the owners' estimates of runtimes by what was observed: first by the
// job's own completed tasks, else by how far its class was off lately.
type RuntimeEstimator struct {
	classCorrections map[string]float64 // logarithm of observed over estimated, smoothed
	jobRuntimes      map[wire.JobID]mean
}

// mean is the mean of a number of samples.
type mean struct {
	sum     float64
	samples int
}

// NewRuntimeEstimator returns an estimator that has observed nothing yet.
func NewRuntimeEstimator() *RuntimeEstimator {
	return &RuntimeEstimator{classCorrections: map[string]float64{}, jobRuntimes: map[wire.JobID]mean{}}
}

const (
	smoothing     = 0.1 // part of a class's correction that one task changes
	maxCorrection = 4.0 // a class's correction stays within this factor
	minSamples    = 3   // completed tasks of a job that speak for the others
)

// Observe takes over what a group's new record says of completed tasks.
func (e *RuntimeEstimator) Observe(terminations []statecache.Termination, jobs map[wire.JobID]*statecache.Job) {
	for _, t := range terminations {
		job := jobs[t.Job]
		if t.Reason != wire.ReasonCompleted || t.Runtime <= 0 || job == nil || job.Spec == nil || job.Spec.EstimatedRuntime <= 0 {
			continue
		}
		off := math.Log(float64(t.Runtime / job.Spec.EstimatedRuntime))
		off = math.Max(-math.Log(maxCorrection), math.Min(math.Log(maxCorrection), off))
		e.classCorrections[job.Spec.Class] += smoothing * (off - e.classCorrections[job.Spec.Class])
		m := e.jobRuntimes[t.Job]
		e.jobRuntimes[t.Job] = mean{m.sum + float64(t.Runtime), m.samples + 1}
	}
}

// Forget drops a job that is over.
func (e *RuntimeEstimator) Forget(job wire.JobID) { delete(e.jobRuntimes, job) }

// EstimateSeconds is the runtime to expect of a task, in seconds.
func (e *RuntimeEstimator) EstimateSeconds(job *wire.Job) float64 {
	if m := e.jobRuntimes[job.ID]; m.samples >= minSamples {
		return m.sum / float64(m.samples)
	}
	return float64(job.EstimatedRuntime) * math.Exp(e.classCorrections[job.Class])
}
