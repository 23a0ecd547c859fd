package simulation

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

// InvariantChecker watches what workers do and users are told, and keeps every breach.
type InvariantChecker struct {
	mu         sync.Mutex
	teams      map[wire.TeamName]config.TeamQuota
	cancelS    time.Duration
	jobs       map[wire.JobID]*jobRecord
	on         map[wire.TaskID]wire.Instance // task: machine
	used       map[wire.TeamName]float64     // processors, by team
	violations []string
	started    int
	late       int // tasks ordered to start after their job's confirmed cancellation
	over       bool
	atEnd      func(*wire.Job)
	free       map[wire.MachineID]*freeRoom // of machines that are up, by name
}

type jobRecord struct {
	job       *wire.Job
	run       time.Duration
	completed map[int]bool
	zones     map[wire.Zone]int // its tasks that are on machines
	accepted  bool
	final     wire.JobState
	asked     bool // to cancel
	submitted time.Time
	began     time.Time // when its first task started
	answered  time.Time // when a question about it was last answered
	cancelled time.Time
	waits     time.Time // since when a task waits beside room that it may use
}

// NewInvariantChecker makes a checker.
func NewInvariantChecker(p config.Params) *InvariantChecker {
	r := &InvariantChecker{
		teams:   map[wire.TeamName]config.TeamQuota{},
		cancelS: p.Workers.CancellationDeadline,
		jobs:    map[wire.JobID]*jobRecord{},
		on:      map[wire.TaskID]wire.Instance{},
		used:    map[wire.TeamName]float64{},
		free:    map[wire.MachineID]*freeRoom{},
	}
	for _, t := range p.Teams {
		r.teams[t.Name] = t
	}
	return r
}

func (r *InvariantChecker) violation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Violations lists what was broken.
func (r *InvariantChecker) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// Count is the number of tasks started.
func (r *InvariantChecker) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

// Submitted registers a job before its first submission.
func (r *InvariantChecker) Submitted(j *wire.Job, run time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[j.ID] == nil {
		r.jobs[j.ID] = &jobRecord{job: j, run: run, completed: map[int]bool{}, zones: map[wire.Zone]int{}, submitted: time.Now()}
	}
}

// OnJobEnd sets what happens at the moment at which the last task of an array
// completes.
func (r *InvariantChecker) OnJobEnd(f func(*wire.Job)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.atEnd = f
}

// LateStarts is how many tasks were ordered to start after their users were told
// that the job is cancelled.
func (r *InvariantChecker) LateStarts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.late
}

// RunTime is how long a task runs on a worker that is ordered to start it.
func (r *InvariantChecker) RunTime(task wire.TaskID) (run time.Duration, forever bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, _, ok := wire.ParseTaskID(task)
	t := r.jobs[id]
	if !ok || t == nil {
		return 0, false, errors.New("unknown")
	}
	if !t.cancelled.IsZero() {
		r.late++
	}
	return t.run, t.job.IsService(), nil
}

// Started checks a start.
func (r *InvariantChecker) Started(h wire.Instance, task wire.TaskID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	id, _, _ := wire.ParseTaskID(task)
	t := r.jobs[id]
	if other, ok := r.on[task]; ok {
		r.violation("ran_twice: %s starts on %s while on %s", task, h.ID, other.ID)
	}
	j := t.job
	for _, before := range j.Dependencies {
		if b := r.jobs[before]; len(b.completed) < b.job.TaskCount {
			r.violation("too_early: %s starts with %d of %d tasks of %s done", task, len(b.completed), b.job.TaskCount, before)
		}
	}
	if !t.mayStart(h) {
		r.violation("wrong_place: %s on %s (%s %s spot=%v), its tasks by zone: %v", task, h.ID, h.MachineType, h.Zone, h.Spot, t.zones)
	}
	if t.began.IsZero() {
		t.began = time.Now()
	}
	r.leave(task)
	r.on[task] = h
	t.zones[h.Zone]++
	r.used[j.Team] += j.CPUs
	if used, max := r.used[j.Team], r.teams[j.Team].MaxCPUs; max > 0 && used > max+1e-6 {
		r.violation("quota: %s uses %v of %v", j.Team, used, max)
	}
	if !t.cancelled.IsZero() && time.Since(t.cancelled) > r.cancelS {
		r.violation("ran_cancelled: %s starts %v after", task, time.Since(t.cancelled))
	}
}

// Ended takes a task off its machine.
func (r *InvariantChecker) Ended(machine wire.MachineID, task wire.TaskID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.on[task].ID == machine {
		r.leave(task)
	}
}

// leave takes a task out of the sums; the caller holds the lock.
func (r *InvariantChecker) leave(task wire.TaskID) {
	h, ok := r.on[task]
	if !ok {
		return
	}
	id, _, _ := wire.ParseTaskID(task)
	t := r.jobs[id]
	t.zones[h.Zone]--
	r.used[t.job.Team] -= t.job.CPUs
	delete(r.on, task)
}

// Completed notes a completed task.
func (r *InvariantChecker) Completed(task wire.TaskID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, n, _ := wire.ParseTaskID(task)
	t := r.jobs[id]
	fresh := !t.completed[n]
	t.completed[n] = true
	if r.atEnd != nil && fresh && len(t.completed) == t.job.TaskCount {
		go r.atEnd(t.job)
	}
}

// Tick checks what holds at all times.
func (r *InvariantChecker) Tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task := range r.on {
		id, _, _ := wire.ParseTaskID(task)
		if t := r.jobs[id]; !t.cancelled.IsZero() && time.Since(t.cancelled) > r.cancelS {
			r.violation("ran_cancelled: %s is on a machine %v after", task, time.Since(t.cancelled))
		}
	}
}

// AskedToCancel notes that the user wants a job cancelled.
func (r *InvariantChecker) AskedToCancel(id wire.JobID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.jobs[id]; t != nil {
		t.asked = true
	}
}

// MalformedRequest checks the answer to a submission that no controller may accept.
func (r *InvariantChecker) MalformedRequest(body string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if status == 200 || status == 201 {
		r.violation("accepted: %s", body)
	}
}

// JobAnswered checks an answer: status 201, 200 or 404 for a job, with its state.
func (r *InvariantChecker) JobAnswered(id wire.JobID, status int, state wire.JobState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.jobs[id]
	switch {
	case t == nil && status == 200:
		r.violation("invented: %s is %s", id, state)
		return
	case t == nil:
		return
	case t.accepted && (status == 404 || status == 400 || status == 422):
		r.violation("forgotten: %s gets %d", id, status)
		return
	case status != 200 && status != 201:
		return
	}
	t.accepted, t.answered = true, time.Now()
	final := state == wire.JobDone || state == wire.JobCancelled
	asked, told := r.cancellation(t)
	if !final && !told.IsZero() && time.Since(told) > r.cancelS {
		r.violation("orphaned: %s is %s %v after a job before it was cancelled", id, state, time.Since(told))
	}
	if t.final != "" && state != t.final {
		r.violation("went_back: %s was %s, is %s", id, t.final, state)
	}
	if state == wire.JobDone && len(t.completed) < t.job.TaskCount {
		r.violation("not_done: %s with %d of %d", id, len(t.completed), t.job.TaskCount)
	}
	if state == wire.JobCancelled && !asked {
		r.violation("went_back: %s is called cancelled", id)
	}
	if final && t.final == "" {
		t.final = state
		if state == wire.JobCancelled {
			t.cancelled = time.Now()
		}
	}
}

// cancellation tells whether the cancellation of a job, or of one before it, was asked
// for, and since when a user knows of one.
func (r *InvariantChecker) cancellation(t *jobRecord) (asked bool, since time.Time) {
	seen := map[*jobRecord]bool{}
	for todo := []*jobRecord{t}; len(todo) > 0; {
		t, todo = todo[len(todo)-1], todo[:len(todo)-1]
		if t == nil || seen[t] {
			continue
		}
		seen[t] = true
		asked = asked || t.asked
		if !t.cancelled.IsZero() && (since.IsZero() || t.cancelled.Before(since)) {
			since = t.cancelled
		}
		for _, before := range t.job.Dependencies {
			todo = append(todo, r.jobs[before])
		}
	}
	return asked, since
}

// Accepted tells whether a user knows that a job was accepted.
func (r *InvariantChecker) Accepted(id wire.JobID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id].accepted
}

// waiting tells whether a job waits for others.
func (r *InvariantChecker) waiting(t *jobRecord) bool {
	return slices.ContainsFunc(t.job.Dependencies, func(before wire.JobID) bool {
		b := r.jobs[before]
		return len(b.completed) < b.job.TaskCount || b.final != wire.JobDone
	})
}

// FaultsOver begins the time after all troubles: from here on every job must be
// answered for.
func (r *InvariantChecker) FaultsOver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	for _, t := range r.jobs {
		t.answered, t.waits = time.Now(), time.Time{}
	}
}

// mayStart tells whether the job allows a machine, given its tasks that are on
// machines.
func (t *jobRecord) mayStart(h wire.Instance) bool {
	j, inZone, elsewhere := t.job, t.zones[h.Zone], 0
	for z, n := range t.zones {
		if z != h.Zone {
			elsewhere += n
		}
	}
	return (len(j.MachineTypes) == 0 || slices.Contains(j.MachineTypes, h.MachineType)) && (j.Zone == "" || j.Zone == h.Zone) && (!h.Spot || j.AllowSpot) &&
		(!j.SingleZone || elsewhere == 0) && (!j.SpreadZones || inZone < (j.TaskCount+1)/2)
}

// Forgotten checks that no question went unanswered for too long.
func (r *InvariantChecker) Forgotten() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, t := range r.jobs {
		if t.accepted && t.final == "" && time.Since(t.answered) > 75*time.Second {
			r.violation("forgotten: %s is not answered for", id)
			t.answered = time.Now()
		}
	}
}

// AcceptedAt is when a job's first task started; zero if none did.
func (r *InvariantChecker) AcceptedAt(id wire.JobID) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id].began
}

// RunningTasks counts the tasks of jobs that are on machines.
func (r *InvariantChecker) RunningTasks(jobs ...wire.JobID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for task := range r.on {
		if id, _, _ := wire.ParseTaskID(task); slices.Contains(jobs, id) {
			n++
		}
	}
	return n
}

// MissingTasks lists accepted services, not cancelled, of which fewer than half of
// the replicas run.
func (r *InvariantChecker) MissingTasks() []wire.JobID {
	r.mu.Lock()
	defer r.mu.Unlock()
	on := map[wire.JobID]int{}
	for task := range r.on {
		id, _, _ := wire.ParseTaskID(task)
		on[id]++
	}
	var out []wire.JobID
	for id, t := range r.jobs {
		if t.accepted && t.final == "" && !t.asked && t.job.IsService() && 2*on[id] < t.job.TaskCount {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// UnfinishedJobs lists jobs that were accepted and are not over.
func (r *InvariantChecker) UnfinishedJobs() []wire.JobID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []wire.JobID
	for id, t := range r.jobs {
		if t.accepted && t.final == "" && !t.job.IsService() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Unserved lists the classes, teams and largest jobs of a class of which fewer
// than half of the accepted jobs, but for those whose users wanted them
// cancelled, began within a time.
func (r *InvariantChecker) Unserved(within time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	largest := map[string]int{}
	for _, t := range r.jobs {
		largest[t.job.Class] = max(largest[t.job.Class], t.job.TaskCount)
	}
	type count struct{ begun, all int }
	counts := map[string]*count{}
	for _, t := range r.jobs {
		if !t.accepted || t.asked || time.Since(t.submitted) < within {
			continue
		}
		names := []string{"class " + t.job.Class, "team " + string(t.job.Team)}
		if 2*t.job.TaskCount > largest[t.job.Class] {
			names = append(names, "largest of "+t.job.Class)
		}
		for _, n := range names {
			if counts[n] == nil {
				counts[n] = &count{}
			}
			counts[n].all++
			if !t.began.IsZero() && t.began.Sub(t.submitted) <= within {
				counts[n].begun++
			}
		}
	}
	var out []string
	for n, c := range counts {
		if 2*c.begun < c.all {
			out = append(out, fmt.Sprintf("%s: %d of %d", n, c.begun, c.all))
		}
	}
	slices.Sort(out)
	return out
}
