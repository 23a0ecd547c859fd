package estimate

import (
	"math"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// RuntimeEstimator corrects the owners' estimates of runtimes by observed ones: it uses the mean
// over the job's own completed tasks if there are enough, else the recent error of its class.
type RuntimeEstimator struct {
	classCorrections map[string]float64 // log(observed / estimated), exponentially smoothed
	jobRuntimes      map[wire.JobID]mean
}

// mean accumulates the mean of a number of samples.
type mean struct {
	sum     float64
	samples int
}

// NewRuntimeEstimator returns an estimator without observations.
func NewRuntimeEstimator() *RuntimeEstimator {
	return &RuntimeEstimator{classCorrections: map[string]float64{}, jobRuntimes: map[wire.JobID]mean{}}
}

const (
	smoothingFactor = 0.1 // weight of one completed task in its class's correction
	maxCorrection   = 4.0 // largest factor of a class's correction, up or down
	minSamples      = 3   // completed tasks from which a job's own mean is used
)

// Observe adds the runtimes of the completed tasks among the terminations.
func (e *RuntimeEstimator) Observe(terminations []statecache.Termination, jobs map[wire.JobID]*statecache.Job) {
	for _, t := range terminations {
		job := jobs[t.Job]
		if t.Reason != wire.ReasonCompleted || t.Runtime <= 0 || job == nil || job.Spec == nil || job.Spec.EstimatedRuntime <= 0 {
			continue
		}
		logRatio := math.Log(float64(t.Runtime / job.Spec.EstimatedRuntime))
		logRatio = math.Max(-math.Log(maxCorrection), math.Min(math.Log(maxCorrection), logRatio))
		e.classCorrections[job.Spec.Class] += smoothingFactor * (logRatio - e.classCorrections[job.Spec.Class])
		m := e.jobRuntimes[t.Job]
		e.jobRuntimes[t.Job] = mean{m.sum + float64(t.Runtime), m.samples + 1}
	}
}

// Forget drops the observed runtimes of a job that has ended.
func (e *RuntimeEstimator) Forget(job wire.JobID) { delete(e.jobRuntimes, job) }

// EstimateSeconds returns the expected runtime of a job's tasks, in seconds.
func (e *RuntimeEstimator) EstimateSeconds(job *wire.Job) float64 {
	if m := e.jobRuntimes[job.ID]; m.samples >= minSamples {
		return m.sum / float64(m.samples)
	}
	return float64(job.EstimatedRuntime) * math.Exp(e.classCorrections[job.Class])
}
