package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lynxledge/internal/reconcile"
	"lynxledge/internal/resources"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

const (
	smallTasks wire.JobID = "req-000002" // fill records
	largeTasks wire.JobID = "req-000003" // come later
)

// assignTeam assigns the team to the scheduler, and ends the fixture's own job.
func assignTeam(cache *statecache.Cache, s *Scheduler) {
	inActor(s, func() { s.workers = make(commandRecorder, 10000) })
	cache.Commit(statecache.Commit{Puts: []statecache.Put{
		{Key: statecache.Key(statecache.KindAssignment, "red"), Record: &statecache.Assignment{Member: "n0", Incarnation: s.incarnation}},
		{Key: statecache.Key(statecache.KindJob, "req-000001"), Record: &statecache.Job{TaskCount: 10000, State: wire.JobCancelled, FinishedAt: statecache.TimestampOf(time.Now())}},
	}}, func(statecache.Outcome) {})
}

// submitTo submits a job of team red.
func submitTo(cache *statecache.Cache, spec wire.Job) {
	spec.Team, spec.MemoryGB, spec.EstimatedRuntime = "red", 0.01, 600
	record := &statecache.Job{TaskCount: spec.TaskCount, SubmittedAt: statecache.TimestampOf(time.Now()), Spec: &spec}
	cache.Commit(statecache.Commit{Puts: []statecache.Put{{Key: statecache.Key(statecache.KindJob, string(spec.ID)), Record: record}}}, func(statecache.Outcome) {})
}

// idleGroup returns a group of machines without tasks.
func idleGroup(name string, machines int) *statecache.MachineGroup {
	group := groupOf(name, machines)
	for _, rec := range group.Machines {
		rec.Bindings = nil
	}
	return group
}

func putGroups(cache *statecache.Cache, groups ...*statecache.MachineGroup) {
	var commit statecache.Commit
	for _, group := range groups {
		commit.Puts = append(commit.Puts, statecache.Put{Key: statecache.Key(statecache.KindMachineGroup, group.Name), Record: group})
	}
	cache.Commit(commit, func(statecache.Outcome) {})
}

// writeCounter counts the writes of the executed transactions.
type writeCounter struct{ writes int }

func countWrites(store *simulation.Store) *writeCounter {
	counter := &writeCounter{}
	store.InterceptCommits(func(_ string, txn *wire.Txn, execute func() (uint64, error)) (uint64, error) {
		revision, err := execute()
		if err == nil {
			counter.writes += len(txn.Writes)
		}
		return revision, err
	})
	return counter
}

// errorReporter is a test or a generated case.
type errorReporter interface {
	Helper()
	Errorf(format string, args ...any)
}

// checkBindings checks that each task is bound once, that machines are in one record each and hold no
// more than their resources allow, and that the records are within the store's limit.
func checkBindings(t errorReporter, s *Scheduler, machines int) {
	t.Helper()
	seen := map[wire.TaskID]bool{}
	held := map[wire.MachineID]bool{}
	for _, group := range s.view.Groups {
		if size := group.EncodedSize(); size > s.limits.valueBytes(1) {
			t.Errorf("%s has %d bytes", group.Name, size)
		}
		for _, rec := range group.Machines {
			if held[rec.Name] {
				t.Errorf("%s is in two records", rec.Name)
			}
			held[rec.Name] = true
			var used resources.Vector
			for i := range rec.Bindings {
				binding := &rec.Bindings[i]
				if seen[binding.TaskID()] {
					t.Errorf("%s is bound twice", binding.TaskID())
				}
				seen[binding.TaskID()] = true
				if binding.StopToken == 0 {
					used = used.AddScaled(resources.OfTask(s.view.Jobs[binding.Job].Spec), 1)
				}
			}
			if used.CPUs > 4+resources.RoundingTolerance {
				t.Errorf("%s has %v CPUs in use", rec.Name, used.CPUs)
			}
		}
	}
	if len(held) != machines {
		t.Errorf("%d machines of %d", len(held), machines)
	}
}

// roomFor returns a machine on which one more task of a job could be bound if its record were split;
// "" if there is none.
func roomFor(s *Scheduler, id wire.JobID) wire.MachineID {
	spec := s.view.Jobs[id].Spec
	need := resources.OfTask(spec)
	for name, rec := range s.view.Machines {
		used := need
		for _, binding := range rec.Bindings {
			used = used.AddScaled(resources.OfTask(s.view.Jobs[binding.Job].Spec), 1)
		}
		if used.CPUs <= 4 && rec.SoleMachineSize()+statecache.BindingBytes(id) <= s.limits.bindingBytes(spec.Priority) {
			return name
		}
	}
	return ""
}

// A job starts on the empty machines of a group whose record small tasks have filled, and those of the
// small tasks that were left start, too. Guards against jobs that wait for ever beside machines with
// room because their common record is full, and no other record is too large.
func TestTasksStartBesideFullRecord(t *testing.T) {
	for _, test := range []struct {
		small, large wire.Priority
		kind         wire.JobKind
	}{
		{wire.PriorityIdle, wire.PriorityNormal, wire.KindArray},
		{wire.PriorityIdle, wire.PriorityProduction, wire.KindArray},
		{wire.PriorityNormal, wire.PriorityNormal, wire.KindArray},
		{wire.PriorityHigh, wire.PriorityNormal, wire.KindArray},
		{wire.PriorityProduction, wire.PriorityProduction, wire.KindArray},
		{wire.PriorityIdle, wire.PriorityNormal, wire.KindService},
		{wire.PriorityProduction, wire.PriorityProduction, wire.KindService},
	} {
		withSchedulerAndStore(t, nil, func(store *simulation.Store, cache *statecache.Cache, s *Scheduler) {
			assignTeam(cache, s)
			putGroups(cache, idleGroup("a", 30))
			submitTo(cache, wire.Job{ID: smallTasks, Kind: test.kind, Priority: test.small, TaskCount: 320, CPUs: 0.25})
			time.Sleep(time.Second)
			submitTo(cache, wire.Job{ID: largeTasks, Kind: test.kind, Priority: test.large, TaskCount: 5, CPUs: 2})
			time.Sleep(20 * time.Second)
			counter := countWrites(store)
			time.Sleep(20 * time.Second)
			inActor(s, func() {
				small, large := len(s.view.Bindings[smallTasks]), len(s.view.Bindings[largeTasks])
				if small != 320 || large != 5 {
					t.Errorf("%v beside %v, %s: %d small and %d large tasks are bound", test.large, test.small, test.kind, small, large)
				}
				checkBindings(t, s, 30)
			})
			if counter.writes > 0 {
				t.Errorf("%d writes once all is placed", counter.writes)
			}
		})
	}
}

// fullGroup returns a group of one machine with as many small tasks as its record has room for.
func fullGroup(s *Scheduler, firstAttempt uint64) *statecache.MachineGroup {
	group := idleGroup("a", 1)
	rec := group.Machines[0]
	rec.FencingToken = firstAttempt + 1
	for n := 0; group.RetainedSize()+statecache.BindingBytes(smallTasks) <= s.limits.bindingBytes(wire.PriorityHigh); n++ {
		rec.Bindings = append(rec.Bindings, statecache.TaskBinding{Job: smallTasks, TaskIndex: n, Attempt: firstAttempt})
	}
	return group
}

// reportStopped hands in a heartbeat of the machine which says that its stopping tasks have ended, and
// returns how many there are.
func reportStopped(s *Scheduler, machine wire.MachineID) (stopped int) {
	var heartbeat *wire.Heartbeat
	inActor(s, func() {
		rec := s.view.Machines[machine]
		heartbeat = &wire.Heartbeat{Machine: machine, Address: "x:1", MachineType: "s", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: rec.FencingToken}
		for i := range rec.Bindings {
			binding := &rec.Bindings[i]
			task := wire.TaskStatus{Task: binding.TaskID(), Attempt: binding.Attempt, State: wire.TaskRunning}
			if binding.StopToken > 0 {
				task.State, task.ExitReason = wire.TaskExited, wire.ReasonStopped
				stopped++
			}
			heartbeat.Tasks = append(heartbeat.Tasks, task)
		}
	})
	s.HandleEvidence(reconcile.Evidence{Heartbeat: heartbeat}, 0)
	return stopped
}

// A task of lower priority is stopped, one at a time, where a machine has room for a job but is alone in
// a full record, and the job is bound once it has ended. Nothing is stopped for a job that may not preempt,
// nor in a record that a rewrite in a later term would make too large. Guards against jobs that wait for
// ever for room in a record that can't be split.
func TestTaskIsStoppedForRoomInARecordOfOneMachine(t *testing.T) {
	for _, test := range []struct {
		name     string
		priority wire.Priority
		term     uint64
		stops    int
	}{
		{"production", wire.PriorityProduction, 1, 1},
		{"may not preempt", wire.PriorityIdle, 1, 0},
		{"later term", wire.PriorityProduction, 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			withScheduler(t, nil, func(cache *statecache.Cache, s *Scheduler) {
				assignTeam(cache, s)
				cache.Commit(statecache.Commit{Puts: []statecache.Put{{Key: statecache.TermKey, Record: &statecache.Term{Number: test.term}}}}, func(statecache.Outcome) {})
				submitTo(cache, wire.Job{ID: smallTasks, Kind: wire.KindService, TaskCount: 300, CPUs: 0.0025})
				time.Sleep(time.Second) // a job is known before its tasks are bound
				inActor(s, func() { putGroups(cache, fullGroup(s, statecache.FirstToken(1))) })
				time.Sleep(time.Second)
				submitTo(cache, wire.Job{ID: largeTasks, Kind: wire.KindArray, Priority: test.priority, TaskCount: 1, CPUs: 3})
				time.Sleep(20 * time.Second)
				if stops := reportStopped(s, "i-a000"); stops != test.stops {
					t.Errorf("%d tasks are stopped", stops)
				}
				time.Sleep(10 * time.Second)
				inActor(s, func() {
					if bound := len(s.view.Bindings[largeTasks]); bound != test.stops {
						t.Errorf("%d of 1 tasks are bound", bound)
					}
				})
			})
		})
	}
}

// A machine alone in its record, which small tasks have filled, keeps a job neither from other machines
// nor from preempting tasks there, and its record isn't written again and again. Guards against jobs
// that try the same full record in every cycle.
func TestFullRecordOfOneMachineHoldsUpNoJob(t *testing.T) {
	for _, other := range []struct {
		name string
		cpus float64 // of the tasks on the other machine
	}{{"empty", 0}, {"full of tasks of lower priority", 4}} {
		t.Run(other.name, func(t *testing.T) {
			withSchedulerAndStore(t, nil, func(store *simulation.Store, cache *statecache.Cache, s *Scheduler) {
				assignTeam(cache, s)
				submitTo(cache, wire.Job{ID: smallTasks, Kind: wire.KindService, TaskCount: 300, CPUs: 0.0025})
				group := idleGroup("b", 1)
				if other.cpus > 0 {
					submitTo(cache, wire.Job{ID: "req-000004", Kind: wire.KindArray, TaskCount: 1, CPUs: other.cpus})
					group.Machines[0].Bindings = []statecache.TaskBinding{{Job: "req-000004", Attempt: 1}}
				}
				time.Sleep(time.Second) // jobs are known before their tasks are bound
				inActor(s, func() { putGroups(cache, fullGroup(s, 1), group) })
				submitTo(cache, wire.Job{ID: largeTasks, Kind: wire.KindArray, Priority: wire.PriorityProduction, TaskCount: 1, CPUs: 3})
				time.Sleep(20 * time.Second)
				counter := countWrites(store)
				time.Sleep(20 * time.Second)
				inActor(s, func() {
					if machine := s.view.Bindings[largeTasks][0]; machine != "i-b000" {
						t.Errorf("bound to %q", machine)
					}
				})
				if counter.writes > 0 {
					t.Errorf("%d writes in 20 s without a change", counter.writes)
				}
			})
		})
	}
}

// Whatever the store's limits, the groups and the jobs: a task waits only if no machine has room for it
// that a binding could use, and no task is bound twice. Guards against limits of the store that decide
// for good what runs where.
func TestTasksWaitOnlyWithoutUsableRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		valueKB := rapid.SampledFrom([]float64{0.5, 1, 2, 4}).Draw(rt, "value_kb")
		txnOps := rapid.IntRange(2, 8).Draw(rt, "txn_ops")
		writeRate := rapid.SampledFrom([]float64{3, 6, 18}).Draw(rt, "write_rps")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 12), 1, 4).Draw(rt, "machines")
		priority := rapid.SampledFrom([]wire.Priority{wire.PriorityIdle, wire.PriorityNormal, wire.PriorityHigh, wire.PriorityProduction})
		kind := rapid.SampledFrom([]wire.JobKind{wire.KindArray, wire.KindService})
		small := wire.Job{ID: smallTasks, Kind: kind.Draw(rt, "kind"), Priority: priority.Draw(rt, "priority"), TaskCount: rapid.IntRange(1, 300).Draw(rt, "tasks"), CPUs: 0.125}
		large := wire.Job{ID: largeTasks, Kind: kind.Draw(rt, "later kind"), Priority: priority.Draw(rt, "later priority"), TaskCount: rapid.IntRange(1, 20).Draw(rt, "later tasks"), CPUs: 2}
		lost := rapid.SampledFrom([]int{0, 2, 5}).Draw(rt, "lost responses") // of this many transactions one; 0: none
		withSchedulerAndStore(t, nil, func(store *simulation.Store, cache *statecache.Cache, s *Scheduler) {
			inActor(s, func() {
				s.config.Params.Store.MaxValueKB, s.config.Params.Store.MaxTxnOps, s.config.Params.Store.WriteRate = valueKB, txnOps, writeRate
			})
			assignTeam(cache, s)
			machines := 0
			var groups []*statecache.MachineGroup
			for i, size := range sizes {
				groups = append(groups, idleGroup(string(rune('a'+i)), size))
				machines += size
			}
			putGroups(cache, groups...)
			sent := 0
			store.InterceptCommits(func(_ string, txn *wire.Txn, execute func() (uint64, error)) (uint64, error) {
				if sent++; lost == 0 || sent%lost != 0 {
					return execute()
				}
				if sent%(2*lost) == 0 {
					return executeLate(store, execute)
				}
				return executeAndLoseResponse(store, execute)
			})
			submitTo(cache, small)
			time.Sleep(10 * time.Second)
			submitTo(cache, large)
			time.Sleep(5 * time.Minute)
			inActor(s, func() {
				for _, job := range []wire.Job{small, large} {
					bound := len(s.view.Bindings[job.ID])
					if machine := roomFor(s, job.ID); bound < job.TaskCount && machine != "" {
						rt.Errorf("%d of %d tasks of %s are bound, beside room on %s\n%s", bound, job.TaskCount, job.ID, machine, groupSizes(s))
					}
				}
				checkBindings(rt, s, machines)
			})
		})
	})
}

// groupSizes lists the groups with their sizes, for the output of a failed test.
func groupSizes(s *Scheduler) string {
	var lines []string
	for name, group := range s.view.Groups {
		lines = append(lines, fmt.Sprintf("%s: %d machines, %d bytes", name, len(group.Machines), group.RetainedSize()))
	}
	return strings.Join(lines, "\n")
}
