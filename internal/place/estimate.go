package place

import (
	"math"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Estimates corrects the owners' running times by what was seen: first by the
// job's own completed tasks, else by how far its class was off lately.
type Estimates struct {
	class map[string]float64 // logarithm of seen over estimated, smoothed
	job   map[string]mean
}

type mean struct {
	sum float64
	n   int
}

// NewEstimates knows nothing yet.
func NewEstimates() *Estimates {
	return &Estimates{class: map[string]float64{}, job: map[string]mean{}}
}

const (
	smoothing = 0.1 // part of a class's correction that one task changes
	mostOff   = 4.0 // a class's correction stays within this factor
	enoughOf  = 3   // completed tasks of a job that speak for the rest
)

// Learn takes over what a group's new record says of completed tasks.
func (e *Estimates) Learn(gone []statecache.Termination, jobs map[string]*statecache.Job) {
	for _, g := range gone {
		id := g.Job
		j := jobs[id]
		if g.Reason != wire.ReasonCompleted || g.Runtime <= 0 || j == nil || j.Spec == nil || j.Spec.EstimatedRuntime <= 0 {
			continue
		}
		off := math.Log(g.Runtime / j.Spec.EstimatedRuntime)
		off = math.Max(-math.Log(mostOff), math.Min(math.Log(mostOff), off))
		e.class[j.Spec.Class] += smoothing * (off - e.class[j.Spec.Class])
		m := e.job[id]
		e.job[id] = mean{m.sum + g.Runtime, m.n + 1}
	}
}

// Forget drops a job that is over.
func (e *Estimates) Forget(id string) { delete(e.job, id) }

// RunS is the running time to expect of a task.
func (e *Estimates) RunS(j *wire.Job) float64 {
	if m := e.job[j.ID]; m.n >= enoughOf {
		return m.sum / float64(m.n)
	}
	return j.EstimatedRuntime * math.Exp(e.class[j.Class])
}
