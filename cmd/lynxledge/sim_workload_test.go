package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"lynxledge/wire"
)

// nextJobID returns an unused job ID.
func (c *cluster) nextJobID() wire.JobID {
	c.jobCount++
	return wire.JobID(fmt.Sprintf("req-%06d", c.jobCount))
}

// submit submits a new job whose tasks run for runtime.
func (c *cluster) submit(j *wire.Job, runtime time.Duration) (status int) {
	c.invariants.Submitted(j, runtime)
	c.submitted = append(c.submitted, j)
	return c.request(http.MethodPost, "/work", j.ID, j)
}

func (c *cluster) resubmit(j *wire.Job) { c.request(http.MethodPost, "/work", j.ID, j) }

// submitArray submits an array whose tasks run for runtime; change, if not nil, adjusts it first.
func (c *cluster) submitArray(id wire.JobID, team wire.TeamName, tasks int, runtime time.Duration, change func(*wire.Job)) *wire.Job {
	j := &wire.Job{
		ID: id, Class: "c", Team: team, Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: tasks, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1,
		AllowSpot: true, EstimatedRuntime: wire.Seconds(runtime.Seconds()),
	}
	if change != nil {
		change(j)
	}
	c.submit(j, runtime)
	return j
}

// randomArray returns an array whose properties follow from the fault's values.
func (c *cluster) randomArray(f fault) *wire.Job {
	return &wire.Job{
		ID: c.nextJobID(), Class: "c", Team: []wire.TeamName{"red", "blue"}[f.Target%2], Kind: wire.KindArray,
		Priority: wire.Priority(f.Magnitude % 3), TaskCount: 1 + f.Target, CPUs: float64(1 + f.Magnitude%4), MemoryGB: 1, Image: "img", ImageGB: 1,
		AllowSpot: f.Target%3 != 0, SingleZone: f.Magnitude%4 == 1, EstimatedRuntime: 10,
	}
}

func (c *cluster) submitRandomArray(f fault) {
	c.submit(c.randomArray(f), time.Duration(2+f.Magnitude*3)*time.Second)
}

func (c *cluster) submitRandomService(f fault) {
	j := c.randomArray(f)
	j.Kind, j.Priority, j.TaskCount, j.CPUs = wire.KindService, wire.PriorityProduction, 1+f.Target%3, 1
	j.SpreadZones, j.SingleZone, j.AllowSpot = f.Magnitude%2 == 0, false, false
	c.submit(j, time.Duration(2+f.Magnitude*3)*time.Second)
}

// submitPipeline submits jobs that depend on one another as a chain or a diamond, each once the
// ones before it are accepted. The first may depend on an earlier job.
func (c *cluster) submitPipeline(f fault) {
	var stages []*wire.Job
	for i := range 3 + f.Target%3 {
		j := c.pipelineStage(f, stages)
		if i == 2+f.Target%3 {
			makeFinalStage(j, stages)
		}
		c.submit(j, time.Duration(2+f.Magnitude)*time.Second)
		if !c.invariants.Accepted(j.ID) {
			return
		}
		stages = append(stages, j)
		c.advance(time.Second)
	}
}

// pipelineStage returns the next stage of a pipeline, given the earlier ones.
func (c *cluster) pipelineStage(f fault, earlier []*wire.Job) *wire.Job {
	i := len(earlier)
	j := &wire.Job{
		ID: c.nextJobID(), Class: "stage", Team: []wire.TeamName{"red", "blue"}[(f.Target+i)%2], Kind: wire.KindArray,
		Priority: wire.PriorityIdle, TaskCount: 1 + (f.Magnitude+i)%4, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, AllowSpot: true, EstimatedRuntime: 10,
	}
	switch {
	case i > 0 && f.Magnitude%2 == 0: // a chain
		j.Dependencies = []wire.JobID{earlier[i-1].ID}
	case i > 0: // a diamond: all depend on the first, the last on all
		j.Dependencies = []wire.JobID{earlier[0].ID}
	case len(c.submitted) > 0 && f.Magnitude%3 == 0:
		if other := c.submitted[f.Target%len(c.submitted)]; !other.IsService() && c.invariants.Accepted(other.ID) {
			j.Dependencies = []wire.JobID{other.ID}
		}
	}
	return j
}

// makeFinalStage makes the last stage depend on all others, and gives it a deadline.
func makeFinalStage(last *wire.Job, earlier []*wire.Job) {
	deadline := wire.Seconds(90)
	last.Priority, last.Deadline = wire.PriorityHigh, &deadline
	for _, stage := range earlier {
		if !slices.Contains(last.Dependencies, stage.ID) {
			last.Dependencies = append(last.Dependencies, stage.ID)
		}
	}
}

// submitMalformed submits, to a random controller, a job that is invalid or can't run anywhere.
func (c *cluster) submitMalformed(which int) {
	job := map[string]any{
		"id": c.nextJobID(), "lane": "c", "crew": "red", "shape": "array", "rank": "normal", "legs": 2, "cores": 1, "gpus": 0,
		"memoryGb": 1, "bundle": "img", "sizeGb": 1, "oneZone": false, "scatter": false, "loaners": true, "expectS": 1, "waypointS": 0, "stashS": 0,
	}
	for i, change := range []struct {
		field string
		value any
	}{
		{"cores", 17}, {"memoryGb", 65}, {"crew", "nobody"}, {"yard", "nowhere"}, {"builds", []string{"none"}}, {"gpus", 1}, {"legs", 0},
		{"shape", nil}, {"loaners", nil}, {"rank", "soon"},
	} {
		if i == which {
			job[change.field] = change.value
		}
	}
	if handler := c.handlers.handler(c.members[c.rng.IntN(len(c.members))]); handler != nil {
		status, _ := serveRequest(handler, http.MethodPost, "/work", job)
		c.invariants.MalformedRequest(fmt.Sprint(job), status)
	}
}

// requestCancellation requests the cancellation of a job at a random controller.
func (c *cluster) requestCancellation(j *wire.Job) {
	c.invariants.CancellationRequested(j.ID)
	c.request(http.MethodPost, "/work/"+string(j.ID)+"/abort", j.ID, nil)
}

// cancelJob requests the cancellation of a job at the given members in turn until one confirms it.
func (c *cluster) cancelJob(id wire.JobID, through ...string) (confirmed bool) {
	c.invariants.CancellationRequested(id)
	for _, member := range through {
		if c.handlers.handler(member) == nil {
			continue
		}
		status, state := c.requestAt(member, http.MethodPost, "/work/"+string(id)+"/abort", id, nil)
		if status == http.StatusOK && state == wire.JobCancelled {
			return true
		}
	}
	return false
}

// cancelAll requests the cancellation of every array at once.
func (c *cluster) cancelAll() {
	for _, j := range c.submitted {
		if !j.IsService() {
			c.requestCancellation(j)
		}
	}
}

// pollJobs requests the state of every job.
func (c *cluster) pollJobs() {
	for _, j := range c.submitted {
		c.request(http.MethodGet, "/work/"+string(j.ID), j.ID, nil)
	}
}

// pollUnknownJob requests the state of a job that was never submitted.
func (c *cluster) pollUnknownJob(which int) {
	id := wire.JobID(fmt.Sprintf("req-9%05d", which))
	c.request(http.MethodGet, "/work/"+string(id), id, nil)
}

// requestAtCompletion makes users cancel, poll and resubmit each job at the moment at which its
// last task completes; first selects which of the requests comes first.
func (c *cluster) requestAtCompletion(first int) {
	c.invariants.OnJobCompleted(func(j *wire.Job) {
		for i := range 3 {
			switch (first + i) % 3 {
			case 0:
				c.requestCancellation(j)
			case 1:
				c.request(http.MethodGet, "/work/"+string(j.ID), j.ID, nil)
			case 2:
				c.resubmit(j)
			}
		}
	})
}
