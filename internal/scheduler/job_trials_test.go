package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lynxledge/internal/config"
	_ "lynxledge/internal/rapidseed"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// maxWait is how long a task may wait while a machine has room for it.
const maxWait = 90 * time.Second

const failingJob wire.JobID = "req-000010"

// failureFixture is a scheduler that doesn't run, with tasks that fail. It must be used in a bubble
// of synctest, whose clock it advances.
type failureFixture struct {
	*moveFixture
	faulty    map[wire.MachineID]bool // tasks fail on them
	mistaken  bool                    // the tasks of the failing job fail on every machine
	failAfter time.Duration           // from the binding of a task to its failure

	boundAt  map[statecache.TaskBinding]time.Time
	maxBound int // largest number of the failing job's bound tasks after a step
}

// newFailureFixture returns a fixture with a number of empty machines in each of the zones a and b,
// i-a0 and so on. Each has capacity for 16 tasks.
func newFailureFixture(machines int) *failureFixture {
	f := &failureFixture{
		moveFixture: newEmptyFixture(config.TeamQuota{Name: "red"}),
		faulty:      map[wire.MachineID]bool{},
		boundAt:     map[statecache.TaskBinding]time.Time{},
	}
	f.nodes.setMachineTypes([]wire.MachineType{{Name: "s", CPUs: 32, MemoryGB: 32, ImageFetchGBps: 0.2, Zones: []wire.Zone{"a", "b"}}})
	for i := range machines {
		for _, zone := range []wire.Zone{"a", "b"} {
			f.addMachine(wire.MachineID(fmt.Sprintf("i-%s%d", zone, i)), zone)
		}
	}
	return f
}

func (f *failureFixture) addMachine(name wire.MachineID, zone wire.Zone) {
	f.bindTo(name, zone, "")
}

// submitFailing submits the failing job, each task of which takes two CPUs; change adjusts it.
func (f *failureFixture) submitFailing(kind wire.JobKind, tasks int, change func(*wire.Job)) {
	spec := &wire.Job{
		ID: failingJob, Team: "red", Kind: kind, Priority: wire.PriorityProduction, TaskCount: tasks, CPUs: 2, MemoryGB: 1, Image: "img", ImageGB: 1,
		EstimatedRuntime: 600,
	}
	if change != nil {
		change(spec)
	}
	f.put(&statecache.Job{TaskCount: tasks, SubmittedAt: statecache.TimestampOf(time.Now()), Spec: spec}, statecache.KindJob, string(failingJob))
}

// advance lets time pass. In each step of a second, tasks fail and a scheduling cycle is committed.
func (f *failureFixture) advance(t *testing.T, duration time.Duration) {
	t.Helper()
	for range duration / time.Second {
		time.Sleep(time.Second)
		f.now = time.Now()
		f.failTasks()
		f.commitCycle(t, f.plan())
		f.maxBound = max(f.maxBound, f.bound())
	}
}

// bound returns how many of the failing job's tasks are bound.
func (f *failureFixture) bound() int { return len(f.view.Bindings[failingJob]) }

// failTasks applies records in which the tasks that are due have failed.
func (f *failureFixture) failTasks() {
	for _, name := range slices.Sorted(f.groupNames) {
		update := f.view.UpdateGroup(name)
		for _, machine := range update.Machines {
			for _, binding := range machine.Bindings {
				if f.isDue(machine.Name, binding) {
					update.Terminations = append(update.Terminations, statecache.Termination{
						Machine: machine.Name, Job: binding.Job, TaskIndex: binding.TaskIndex, Reason: wire.ReasonError,
						Runtime: wire.Seconds(f.failAfter.Seconds()),
					})
				}
			}
		}
		if len(update.Terminations) == 0 {
			continue
		}
		for _, termination := range update.Terminations {
			next := update.UpdateMachine(termination.Machine)
			next.FencingToken++
			next.Bindings = slices.DeleteFunc(next.Bindings, func(b statecache.TaskBinding) bool { return b.TaskIndex == termination.TaskIndex })
		}
		f.put(&update.MachineGroup, statecache.KindMachineGroup, name)
	}
}

func (f *failureFixture) groupNames(yield func(string) bool) {
	for name := range f.view.Groups {
		if !yield(name) {
			return
		}
	}
}

// isDue reports whether a task fails now. It notes when each task was first seen bound.
func (f *failureFixture) isDue(machine wire.MachineID, binding statecache.TaskBinding) bool {
	if f.boundAt[binding].IsZero() {
		f.boundAt[binding] = f.now
	}
	return (f.mistaken || f.faulty[machine]) && f.now.Sub(f.boundAt[binding]) >= f.failAfter
}

// Tasks that failed on a faulty machine are all placed again on another one that has room. Guards
// against tasks that wait for a success of their job that never comes, or not for minutes.
func TestTasksOfFaultyMachineArePlacedAgain(t *testing.T) {
	for _, test := range []struct {
		name  string
		kind  wire.JobKind
		tasks int
		spec  func(*wire.Job)
	}{
		{"replicas spread over zones", wire.KindService, 6, func(j *wire.Job) { j.SpreadZones = true }},
		{"all replicas, one zone", wire.KindService, 12, func(j *wire.Job) { j.Zone = "b" }},
		{"all replicas, any single zone", wire.KindService, 12, func(j *wire.Job) { j.SingleZone = true }},
		{"long tasks of an array", wire.KindArray, 12, func(j *wire.Job) { j.Zone = "b" }},
		{"long tasks of an array, large image", wire.KindArray, 12, func(j *wire.Job) { j.Zone, j.ImageGB = "b", 6 }}, // fetched in 30 s
		{"long tasks of an array, spread", wire.KindArray, 9, func(j *wire.Job) { j.SpreadZones = true }},
	} {
		for _, failAfter := range []time.Duration{0, 10 * time.Second, 80 * time.Second} {
			t.Run(fmt.Sprintf("%s, after %v", test.name, failAfter), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFailureFixture(1)
					f.failAfter = failAfter
					f.submitFailing(test.kind, test.tasks, test.spec)
					f.advance(t, time.Second)
					for _, machine := range f.view.Bindings[failingJob] {
						if machine != "i-a0" || f.view.Jobs[failingJob].Spec.SingleZone {
							f.faulty[machine] = true
						}
					}
					f.advance(t, failAfter+time.Second) // the tasks fail
					f.addMachine("i-a1", "a")
					f.addMachine("i-b1", "b")
					f.advance(t, maxWait)
					if f.bound() != test.tasks {
						t.Errorf("%d of %d tasks are bound", f.bound(), test.tasks)
					}
				})
			})
		}
	}
}

// The tasks of a job that fails on every machine are tried one at a time, on however many machines
// and however late they fail. Guards against a job with a mistake that takes machine after machine.
func TestMistakenJobIsTriedOneTaskAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom([]wire.JobKind{wire.KindArray, wire.KindService}).Draw(rt, "kind")
		tasks := rapid.IntRange(4, 60).Draw(rt, "tasks")
		machines := rapid.IntRange(2, 6).Draw(rt, "machines")
		failAfter := time.Duration(rapid.IntRange(0, 300).Draw(rt, "fail after")) * time.Second
		spread := rapid.Bool().Draw(rt, "spread")
		synctest.Test(t, func(t *testing.T) {
			f := newFailureFixture(machines)
			f.failAfter, f.mistaken = failAfter, true
			f.submitFailing(kind, tasks, func(j *wire.Job) { j.SpreadZones = spread })
			f.advance(t, failAfter+2*time.Second) // the first tasks fail
			if f.machinesTried() == 1 && failAfter > f.config.Params.Workers.Leases(0.7) {
				f.advance(t, 2*(failAfter+maxWait)) // mostly the machine is faulty: the tasks are placed on others once
			}
			f.advance(t, failAfter+time.Second)
			f.maxBound = 0
			f.advance(t, 15*time.Minute)
			if f.maxBound != 1 {
				rt.Errorf("up to %d tasks are bound at a time", f.maxBound)
			}
		})
	})
}

// machinesTried returns the number of machines to which tasks have been bound.
func (f *failureFixture) machinesTried() int {
	failures := f.backoff.failures[failingJob]
	if failures == nil {
		return 0
	}
	return failures.Machines()
}

// A service whose replicas were replaced after failures has recovered: when it loses all replicas
// with a zone, they are placed again at once. Guards against failures that count for the rest of a
// service's life.
func TestFailuresEndWithReplacedReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFailureFixture(2)
		f.submitFailing(wire.KindService, 8, func(j *wire.Job) { j.SingleZone = true })
		f.advance(t, time.Second)
		first := f.view.Bindings[failingJob][0]
		f.faulty[first] = true
		f.advance(t, 2*maxWait)
		if f.bound() != 8 {
			t.Fatalf("%d replicas are bound", f.bound())
		}
		for name := range f.view.Groups {
			f.put(nil, statecache.KindMachineGroup, name)
		}
		f.addMachine("i-a9", "a")
		f.advance(t, time.Second)
		if f.bound() != 8 {
			t.Errorf("%d replicas are bound after the loss", f.bound())
		}
	})
}
