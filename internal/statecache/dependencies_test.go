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

// story is what became of jobs that wait for one another, as stored.
type story struct {
	ids  []wire.JobID
	jobs map[wire.JobID]*Job
}

// doomed tells whether a job is cancelled, by its own record or one before it.
func (s *story) doomed(id wire.JobID) bool {
	j := s.jobs[id]
	if j.State == wire.JobCancelled {
		return true
	}
	for _, before := range j.Spec.Dependencies {
		if s.doomed(before) {
			return true
		}
	}
	return false
}

// ready tells whether all jobs before one are done.
func (s *story) ready(id wire.JobID) bool {
	for _, before := range s.jobs[id].Spec.Dependencies {
		if s.jobs[before].State != wire.JobDone {
			return false
		}
	}
	return true
}

// rank is the highest of a job and of those that need it and are not over.
func (s *story) rank(id wire.JobID) wire.Priority {
	r := s.jobs[id].Spec.Priority
	for _, after := range s.ids {
		for _, before := range s.jobs[after].Spec.Dependencies {
			if before == id && s.jobs[after].State == "" && !s.doomed(after) {
				r = max(r, s.rank(after))
			}
		}
	}
	return r
}

// latestEnd is the time by which a job must be done so that each job that needs it, and
// is not over, can be done by its own deadline; 0 if none of them has one.
func (s *story) latestEnd(id wire.JobID) Timestamp {
	least := Timestamp(0)
	for _, after := range s.ids {
		j := s.jobs[after]
		if !slices.Contains(j.Spec.Dependencies, id) || j.State != "" || s.doomed(after) {
			continue
		}
		end := s.latestEnd(after)
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

func (s *story) check(t *rapid.T, l *Cache, ranks bool) {
	for _, id := range s.ids {
		stored, got := s.jobs[id], l.view.Jobs[id]
		switch {
		case stored.State == wire.JobDone:
			if got.State != wire.JobDone {
				t.Fatalf("%s is done, and called %q", id, got.State)
			}
		case s.doomed(id):
			if got.State != wire.JobCancelled || got.FinishedAt == 0 || got.CancelledByDependency != (stored.State == "") {
				t.Fatalf("%s falls with a job before it, and is %+v", id, got)
			}
		default:
			if got.State != "" || got.Blocked == s.ready(id) {
				t.Fatalf("%s: ready %v, and is %+v", id, s.ready(id), got)
			}
			if ranks && got.Spec.Priority != s.rank(id) {
				t.Fatalf("%s: rank %v, not %v", id, got.Spec.Priority, s.rank(id))
			}
			if ranks && s.latestEnd(id) != 0 && latestCompletion(got.InheritedDeadline, got.DownstreamRuntime) != s.latestEnd(id) {
				t.Fatalf("%s: due by %d, not %d", id, latestCompletion(got.InheritedDeadline, got.DownstreamRuntime), s.latestEnd(id))
			}
			if s.ready(id) {
				last := Timestamp(0)
				for _, before := range stored.Spec.Dependencies {
					last = max(last, s.jobs[before].FinishedAt)
				}
				if got.DependenciesDoneAt != last {
					t.Fatalf("%s: ready at %d, not %d", id, got.DependenciesDoneAt, last)
				}
			}
		}
	}
}

// For any graph, in whatever order its jobs are accepted, done and cancelled, and
// in whatever order a new process reads them, what is derived is what the stored
// records say: blocked until all before are done, cancelled with any before.
func TestPipelinesFollowTheirRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &story{jobs: map[wire.JobID]*Job{}}
		l := Start(ctx, nil, Options{ChunkTasks: 8})
		fallen := map[string]bool{}
		l.Subscribe(func(d Update) {
			for _, c := range d.Changes {
				j := c.Record.(*Job)
				if fallen[c.Name] && j.State != wire.JobCancelled {
					t.Fatalf("%s was cancelled, and is %q", c.Name, j.State)
				}
				fallen[c.Name] = j.State == wire.JobCancelled
			}
		})
		rev := uint64(0)
		put := func(l *Cache, id wire.JobID) {
			j := *s.jobs[id]
			l.publish([]Change{{Key: Key(KindJob, string(id)), Kind: KindJob, Name: string(id), Record: &j, ModRevision: j.ModRevision}})
		}
		step := func(id wire.JobID, change func(j *Job)) {
			rev++
			j := *s.jobs[id]
			change(&j)
			j.ModRevision = rev
			s.jobs[id] = &j
			put(l, id)
		}
		cancels := false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(s.ids) == 0 || rapid.IntRange(0, 2).Draw(t, "what") == 0 {
				id := wire.JobID(fmt.Sprintf("req-%06d", len(s.ids)))
				spec := &wire.Job{ID: id, Priority: wire.Priority(rapid.IntRange(0, 3).Draw(t, "rank")), EstimatedRuntime: 1}
				for _, before := range s.ids {
					if rapid.IntRange(0, 3).Draw(t, "needs") == 0 {
						spec.Dependencies = append(spec.Dependencies, before)
					}
				}
				if rapid.Bool().Draw(t, "has a deadline") {
					due := wire.Seconds(rapid.IntRange(1, 99).Draw(t, "due"))
					spec.Deadline = &due
				}
				s.ids = append(s.ids, id)
				s.jobs[id] = &Job{Spec: spec, TaskCount: 1, SubmittedAt: Timestamp(100_000 + rev)}
				step(id, func(*Job) {})
			} else {
				id := rapid.SampledFrom(s.ids).Draw(t, "job")
				if s.jobs[id].State != "" {
					continue
				}
				if rapid.Bool().Draw(t, "done") {
					if s.ready(id) && !s.doomed(id) {
						step(id, func(j *Job) { j.State, j.FinishedAt = wire.JobDone, Timestamp(100+rev) })
					}
				} else if !s.doomed(id) {
					cancels = true
					step(id, func(j *Job) { j.State, j.FinishedAt = wire.JobCancelled, Timestamp(100+rev) })
				}
			}
			s.check(t, l, !cancels) // a priority may outlive the job that lent it
		}
		fresh := Start(ctx, nil, Options{ChunkTasks: 8})
		for _, i := range rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1)).Perm(len(s.ids)) {
			put(fresh, s.ids[i])
		}
		s.check(t, fresh, false)
		if n := len(l.dependencies.dependents); n > len(s.ids) {
			t.Fatalf("%d jobs in the index", n)
		}
	})
}

// A chain of thousands of jobs costs as much for each as a short one, and falls
// as a whole with its first; nothing is kept of jobs that are over.
func TestLongChainAndWideFan(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const n = 5000
	l := Start(ctx, nil, Options{ChunkTasks: 8})
	told := 0
	l.Subscribe(func(d Update) { told += len(d.Changes) })
	id := func(i int) wire.JobID { return wire.JobID(fmt.Sprintf("req-%06d", i)) }
	rev := uint64(0)
	put := func(i int, j *Job) {
		rev++
		j.TaskCount, j.ModRevision = 1, rev
		l.publish([]Change{{Key: Key(KindJob, string(id(i))), Kind: KindJob, Name: string(id(i)), Record: j, ModRevision: j.ModRevision}})
	}
	for i := range n {
		spec := &wire.Job{ID: id(i), EstimatedRuntime: 1}
		if i > 0 {
			spec.Dependencies = []wire.JobID{id(i - 1)}
		}
		put(i, &Job{Spec: spec})
	}
	for i := range n { // all behind the chain's first
		put(n+i, &Job{Spec: &wire.Job{ID: id(n + i), Dependencies: []wire.JobID{id(0)}}})
	}
	if told != 2*n {
		t.Errorf("%d changes told for %d jobs", told, 2*n)
	}
	told = 0
	put(0, &Job{State: wire.JobCancelled, FinishedAt: 9, Spec: &wire.Job{ID: id(0)}})
	if told != 2*n {
		t.Errorf("%d changes told for the fall of %d jobs", told, 2*n)
	}
	for i := range 2 * n {
		if l.view.Jobs[id(i)].State != wire.JobCancelled {
			t.Fatalf("%s stands", id(i))
		}
	}
	if len(l.dependencies.dependents)+len(l.dependencies.waiting) > 0 {
		t.Errorf("%d and %d entries are kept", len(l.dependencies.dependents), len(l.dependencies.waiting))
	}
}
