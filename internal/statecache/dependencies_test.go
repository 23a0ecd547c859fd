package statecache

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lynxledge/wire"
)

// jobHistory holds the stored records of jobs that depend on one another, and computes from them
// what the cache should derive.
type jobHistory struct {
	ids  []wire.JobID
	jobs map[wire.JobID]*Job
}

// cancelled reports whether a job is cancelled, by its own record or through a dependency.
func (s *jobHistory) cancelled(id wire.JobID) bool {
	j := s.jobs[id]
	if j.State == wire.JobCancelled {
		return true
	}
	for _, dependency := range j.Spec.Dependencies {
		if s.cancelled(dependency) {
			return true
		}
	}
	return false
}

// ready reports whether all dependencies of a job are done.
func (s *jobHistory) ready(id wire.JobID) bool {
	for _, dependency := range s.jobs[id].Spec.Dependencies {
		if s.jobs[dependency].State != wire.JobDone {
			return false
		}
	}
	return true
}

// priority returns the highest priority of a job and of its active direct and indirect dependents.
func (s *jobHistory) priority(id wire.JobID) wire.Priority {
	r := s.jobs[id].Spec.Priority
	for _, dependent := range s.ids {
		for _, dependency := range s.jobs[dependent].Spec.Dependencies {
			if dependency == id && s.jobs[dependent].State == "" && !s.cancelled(dependent) {
				r = max(r, s.priority(dependent))
			}
		}
	}
	return r
}

// latestEnd returns the time by which a job must be done so that each active dependent can be done
// by its own deadline; 0 if none of them has one.
func (s *jobHistory) latestEnd(id wire.JobID) Timestamp {
	least := Timestamp(0)
	for _, dependent := range s.ids {
		j := s.jobs[dependent]
		if !slices.Contains(j.Spec.Dependencies, id) || j.State != "" || s.cancelled(dependent) {
			continue
		}
		end := s.latestEnd(dependent)
		if j.Spec.Deadline != nil {
			if own := j.SubmittedAt + Timestamp(1000*float64(*j.Spec.Deadline)); end == 0 || own < end {
				end = own
			}
		}
		if end == 0 {
			continue
		}
		end -= Timestamp(1000 * float64(j.Spec.EstimatedRuntime))
		if least == 0 || end < least {
			least = end
		}
	}
	return least
}

func (s *jobHistory) check(t *rapid.T, cache *Cache, checkUrgency bool) {
	for _, id := range s.ids {
		stored, got := s.jobs[id], cache.view.Jobs[id]
		switch {
		case stored.State == wire.JobDone:
			if got.State != wire.JobDone {
				t.Fatalf("%s is done, but its state is %q", id, got.State)
			}
		case s.cancelled(id):
			if got.State != wire.JobCancelled || got.FinishedAt == 0 || got.CancelledByDependency != (stored.State == "") {
				t.Fatalf("%s is cancelled, itself or through a dependency, but is %+v", id, got)
			}
		default:
			if got.State != "" || got.Blocked == s.ready(id) {
				t.Fatalf("%s: ready %v, but is %+v", id, s.ready(id), got)
			}
			if checkUrgency && got.Spec.Priority != s.priority(id) {
				t.Fatalf("%s: priority %v, not %v", id, got.Spec.Priority, s.priority(id))
			}
			if checkUrgency && s.latestEnd(id) != 0 && latestCompletion(got.InheritedDeadline, got.DownstreamRuntime) != s.latestEnd(id) {
				t.Fatalf("%s: due by %d, not %d", id, latestCompletion(got.InheritedDeadline, got.DownstreamRuntime), s.latestEnd(id))
			}
			if s.ready(id) {
				last := Timestamp(0)
				for _, dependency := range stored.Spec.Dependencies {
					last = max(last, s.jobs[dependency].FinishedAt)
				}
				if got.DependenciesDoneAt != last {
					t.Fatalf("%s: ready at %d, not %d", id, got.DependenciesDoneAt, last)
				}
			}
		}
	}
}

// jobRun applies a history of jobs to a cache.
type jobRun struct {
	*jobHistory
	cache    *Cache
	revision uint64
}

// publish has a cache publish a job's stored record.
func (r *jobRun) publish(cache *Cache, id wire.JobID) {
	j := *r.jobs[id]
	cache.publish([]Change{changeTo(string(id), &j)})
}

// change stores a job's next record and publishes it.
func (r *jobRun) change(id wire.JobID, change func(j *Job)) {
	r.revision++
	j := *r.jobs[id]
	change(&j)
	j.ModRevision = r.revision
	r.jobs[id] = &j
	r.publish(r.cache, id)
}

// accept accepts a job that depends on a random selection of the jobs before it.
func (r *jobRun) accept(t *rapid.T) {
	id := wire.JobID(fmt.Sprintf("req-%06d", len(r.ids)))
	spec := &wire.Job{ID: id, Priority: wire.Priority(rapid.IntRange(0, 3).Draw(t, "priority")), EstimatedRuntime: 1}
	for _, dependency := range r.ids {
		if rapid.IntRange(0, 3).Draw(t, "needs") == 0 {
			spec.Dependencies = append(spec.Dependencies, dependency)
		}
	}
	if rapid.Bool().Draw(t, "has a deadline") {
		due := wire.Seconds(rapid.IntRange(1, 99).Draw(t, "due"))
		spec.Deadline = &due
	}
	r.ids = append(r.ids, id)
	r.jobs[id] = &Job{Spec: spec, TaskCount: 1, SubmittedAt: Timestamp(100_000 + r.revision)}
	r.change(id, func(*Job) {})
}

// end marks an active job done or cancelled, if its dependencies permit that. It reports whether
// it cancelled the job.
func (r *jobRun) end(t *rapid.T, id wire.JobID) (cancelled bool) {
	if rapid.Bool().Draw(t, "done") {
		if r.ready(id) && !r.cancelled(id) {
			r.change(id, func(j *Job) { j.State, j.FinishedAt = wire.JobDone, Timestamp(100+r.revision) })
		}
		return false
	}
	if r.cancelled(id) {
		return false
	}
	r.change(id, func(j *Job) { j.State, j.FinishedAt = wire.JobCancelled, Timestamp(100+r.revision) })
	return true
}

// newJobRun returns a run without jobs. The test fails if its cache ever reverts a cancellation.
func newJobRun(ctx context.Context, t *rapid.T) *jobRun {
	run := &jobRun{jobHistory: &jobHistory{jobs: map[wire.JobID]*Job{}}, cache: Start(ctx, nil, Options{ChunkTasks: 8})}
	wasCancelled := map[string]bool{}
	run.cache.Subscribe(func(update Update) {
		for _, c := range update.Changes {
			j := c.Record.(*Job)
			if wasCancelled[c.Name] && j.State != wire.JobCancelled {
				t.Fatalf("%s was cancelled, and is %q", c.Name, j.State)
			}
			wasCancelled[c.Name] = j.State == wire.JobCancelled
		}
	})
	return run
}

// For any dependency graph, the derived state follows from the stored records alone: a job is
// blocked until all dependencies are done, and cancelled with any of them. The order in which jobs
// are accepted and end, and in which a new process reads their records, makes no difference.
func TestDerivedStateFollowsStoredRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		run := newJobRun(ctx, t)
		anyCancelled := false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(run.ids) == 0 || rapid.IntRange(0, 2).Draw(t, "what") == 0 {
				run.accept(t)
			} else {
				id := rapid.SampledFrom(run.ids).Draw(t, "job")
				if run.jobs[id].State != "" {
					continue
				}
				if run.end(t, id) {
					anyCancelled = true
				}
			}
			run.check(t, run.cache, !anyCancelled) // a job may keep what it inherited from a dependent that was cancelled
		}
		fresh := Start(ctx, nil, Options{ChunkTasks: 8})
		for _, i := range rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1)).Perm(len(run.ids)) {
			run.publish(fresh, run.ids[i])
		}
		run.check(t, fresh, false)
		if n := len(run.cache.dependencies.dependents); n > len(run.ids) {
			t.Fatalf("%d jobs in the index", n)
		}
	})
}

// In a chain of thousands of jobs, and with thousands of dependents of one job, accepting a job
// publishes only that job, so its cost does not grow with their number. Cancelling the first job
// cancels all, and the graph keeps nothing of jobs that have ended.
func TestLongChainAndWideFan(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const n = 5000
	cache := Start(ctx, nil, Options{ChunkTasks: 8})
	published := 0
	cache.Subscribe(func(update Update) { published += len(update.Changes) })
	id := func(i int) wire.JobID { return wire.JobID(fmt.Sprintf("req-%06d", i)) }
	revision := uint64(0)
	put := func(i int, j *Job) {
		revision++
		j.TaskCount, j.ModRevision = 1, revision
		cache.publish([]Change{changeTo(string(id(i)), j)})
	}
	for i := range n {
		spec := &wire.Job{ID: id(i), EstimatedRuntime: 1}
		if i > 0 {
			spec.Dependencies = []wire.JobID{id(i - 1)}
		}
		put(i, &Job{Spec: spec})
	}
	for i := range n { // all depend on the first job of the chain
		put(n+i, &Job{Spec: &wire.Job{ID: id(n + i), Dependencies: []wire.JobID{id(0)}}})
	}
	if published != 2*n {
		t.Errorf("%d changes published for %d jobs", published, 2*n)
	}
	published = 0
	put(0, &Job{State: wire.JobCancelled, FinishedAt: 9, Spec: &wire.Job{ID: id(0)}})
	if published != 2*n {
		t.Errorf("%d changes published for the end of %d jobs", published, 2*n)
	}
	for i := range 2 * n {
		if cache.view.Jobs[id(i)].State != wire.JobCancelled {
			t.Fatalf("%s is not cancelled", id(i))
		}
	}
	if len(cache.dependencies.dependents)+len(cache.dependencies.waiting) > 0 {
		t.Errorf("%d and %d entries are kept", len(cache.dependencies.dependents), len(cache.dependencies.waiting))
	}
}
