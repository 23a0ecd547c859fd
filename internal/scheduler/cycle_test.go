package scheduler

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/reconcile"
	"lynxledge/internal/resources"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/internal/storelimits"
	"lynxledge/wire"
)

// placing runs a placer over a state service that holds groups of machines, each
// with one task of one job on every machine.
func placing(t *testing.T, groups map[string]int, f func(l *statecache.Cache, p *Scheduler)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
		cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 8 * time.Second, LeaseDuration: 44 * time.Second, CancellationDeadline: 74 * time.Second}
		cfg.Params.Store = config.StoreLimits{MaxValueKB: 4, MaxTxnOps: 8, RequestRate: 180, WriteRate: 18}
		cfg.Params.Teams = []config.TeamQuota{{Name: "red"}}
		conn := &simulation.StoreConn{Store: simulation.NewStore(), Net: simulation.NewNetwork(1, time.Millisecond), Node: "n0", Timeout: time.Second}
		l := statecache.Start(ctx, conn, statecache.Options{ChunkTasks: statecache.ChunkTasks(4), WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond})
		p := Start(ctx, Options{Config: cfg, Incarnation: 2, Cache: l, OnCommandResponse: func(*wire.Heartbeat) {}})
		p.SetMachineTypes([]wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 16, HourlyPrice: 1, Zones: []wire.Zone{"a"}}})
		l.Run()
		time.Sleep(time.Second)
		c := statecache.Commit{Puts: []statecache.Put{
			{Key: statecache.Key(statecache.KindJob, "req-000001"), Record: &statecache.Job{TaskCount: 10000, SubmittedAt: statecache.TimestampOf(time.Now()), Spec: &wire.Job{
				ID: "req-000001", Team: "red", Kind: wire.KindArray, TaskCount: 10000, CPUs: 4, MemoryGB: 1, EstimatedRuntime: 50,
			}}},
			// Another process places.
			{Key: statecache.Key(statecache.KindAssignment, "red"), Record: &statecache.Assignment{Member: "n1", Incarnation: 1}},
		}}
		for name, n := range groups {
			c.Puts = append(c.Puts, statecache.Put{Key: statecache.Key(statecache.KindMachineGroup, name), Record: groupOf(name, n)})
		}
		l.Commit(c, func(statecache.Outcome) {})
		time.Sleep(time.Second)
		f(l, p)
		cancel()
		time.Sleep(time.Minute)
	})
}

func groupOf(name string, machines int) *statecache.MachineGroup {
	g := &statecache.MachineGroup{Name: name, MachineType: "s", Zone: "a"}
	for i := range machines {
		g.Machines = append(g.Machines, &statecache.Machine{
			Name: wire.MachineID(fmt.Sprintf("i-%s%03d", name, i)), Address: "x:1", Incarnation: 1, FencingToken: 9,
			Bindings: []statecache.TaskBinding{{Job: "req-000001", TaskIndex: 100*int(name[0]-'a') + i, Attempt: 1}},
		})
	}
	return g
}

// endedOn is a report that a machine's one task has completed.
func endedOn(g *statecache.MachineGroup, i int) reconcile.Evidence {
	b := g.Machines[i]
	return reconcile.Evidence{Heartbeat: &wire.Heartbeat{Machine: b.Name, Address: "x:1", MachineType: "s", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: 9, Tasks: []wire.TaskStatus{
		{Task: b.Bindings[0].TaskID(), Attempt: 1, State: wire.TaskExited, ExitReason: wire.ReasonCompleted},
	}}}
}

// in runs f in the placer's actor.
func in(p *Scheduler, f func()) {
	done := make(chan bool)
	p.Send(func() { f(); done <- true })
	<-done
}

// While somebody writes what reports prove, whoever does not place leaves it to
// them, however long it takes: each write of its own would make the writer's
// guards fail. Once nobody writes any more, it does.
func TestOthersLeaveASlowWriterAlone(t *testing.T) {
	placing(t, map[string]int{"a": 1, "b": 1}, func(l *statecache.Cache, p *Scheduler) {
		gone := func() (out bool) {
			in(p, func() { out = len(p.view.Machines["i-a000"].Bindings) == 0 })
			return out
		}
		p.HandleEvidence(endedOn(groupOf("a", 1), 0), 16*time.Second)
		other := groupOf("b", 1)
		other.Terminations = []statecache.Termination{{Machine: "i-b000", Job: "req-000001", TaskIndex: 7, Reason: wire.ReasonCompleted}}
		for range 12 { // 36 s
			l.Commit(statecache.Commit{Puts: []statecache.Put{{Key: statecache.Key(statecache.KindMachineGroup, "b"), Record: other}}}, func(statecache.Outcome) {})
			time.Sleep(3 * time.Second)
		}
		if gone() {
			t.Error("written while the writer was at work")
		}
		time.Sleep(12 * time.Second)
		if !gone() {
			t.Error("not written though nobody writes")
		}
	})
}

// A round with few writes takes the groups whose places have stood empty longest,
// all taken together; but none waits for more than a report.
func TestEmptiestGroupsFirst(t *testing.T) {
	placing(t, map[string]int{"a": 1, "b": 30}, func(_ *statecache.Cache, p *Scheduler) {
		pick := func(aWaits, bWaits time.Duration) (first []string) {
			in(p, func() {
				now := time.Now()
				p.storeEvidence("a", "i-a000", &pendingEvidence{endedOn(groupOf("a", 1), 0), now.Add(-aWaits), 1})
				for i := range 30 {
					n := endedOn(groupOf("b", 30), i)
					p.storeEvidence("b", n.Heartbeat.Machine, &pendingEvidence{n, now.Add(-bWaits), 1})
				}
				r := newCycle(now, 1, resources.Usage{})
				p.applyPendingEvidence(r, true, false)
				for g := range r.groupUpdates {
					first = append(first, g)
				}
				for m := range p.nodes {
					p.resetNodes([]wire.MachineID{m})
				}
			})
			return first
		}
		if got := pick(5*time.Second, time.Second); !slices.Equal(got, []string{"b"}) {
			t.Errorf("30 places empty for a second, one for five: %v first", got)
		}
		if got := pick(9*time.Second, time.Second); !slices.Equal(got, []string{"a"}) {
			t.Errorf("one place empty for more than a report: %v first", got)
		}
	})
}

// What a record says of tasks that have just left is gone with the next write:
// no marks are folded to make room for it.
func TestFoldingIgnoresWhatLeft(t *testing.T) {
	placing(t, map[string]int{"a": 30}, func(_ *statecache.Cache, p *Scheduler) {
		fold := func(fill func(d *groupUpdate)) (n int) {
			in(p, func() {
				r := newCycle(time.Now(), 8, resources.Usage{})
				d := p.openGroup(r, "a")
				fill(d)
				if d.EncodedSize() <= p.valueSizeShare(compactionFillShare) {
					t.Error("the record has room")
				}
				p.compactCompletions(r, d)
				n = len(r.completionChunks)
			})
			return n
		}
		if n := fold(func(d *groupUpdate) {
			d.MarkCompleted("req-000001", 1)
			for i := range 80 {
				d.Terminations = append(d.Terminations, statecache.Termination{Machine: "i-a000", Job: "req-000001", TaskIndex: 1000 + i, Reason: wire.ReasonCompleted, Runtime: 20.5})
			}
		}); n != 0 {
			t.Errorf("%d folds for tasks that left", n)
		}
		if n := fold(func(d *groupUpdate) {
			for i := range 700 {
				d.MarkCompleted("req-000001", 2*i)
			}
		}); n != 1 {
			t.Errorf("%d folds for 700 marks", n)
		}
	})
}

// Two groups of a pool that a round writes become one only if their machines are
// full: new ones would fill the record before themselves, and replicas waited
// beside machines with room.
func TestOnlyFullGroupsMerge(t *testing.T) {
	placing(t, map[string]int{"a": 4, "b": 2}, func(_ *statecache.Cache, p *Scheduler) {
		merged := func(cpus float64) bool {
			out := false
			in(p, func() {
				p.view.Assignments["red"] = &statecache.Assignment{Member: "n0", Incarnation: p.incarnation}
				p.view.Jobs["req-000001"].Spec.CPUs = cpus
				for m, b := range p.view.Machines {
					p.refreshNode(m, b)
				}
				r := newCycle(time.Now(), 8, resources.Usage{})
				p.openGroup(r, "a")
				p.openGroup(r, "b")
				var c statecache.Commit
				p.mergeGroups(r, &c)
				if out = len(r.groupUpdates) == 1; out && (len(c.Deletes) != 1 || len(r.groupUpdates["a"].Machines) != 6 || r.assignmentPreconditions["red"] != p.view.Assignments["red"].ModRevision) {
					t.Errorf("%+v, %d machines", c, len(r.groupUpdates["a"].Machines))
				}
			})
			return out
		}
		if merged(3) {
			t.Error("merged though there is room on the machines")
		}
		if !merged(4) {
			t.Error("not merged though all are full")
		}
	})
}

// crowd adds groups of 50 machines, and services that fit on none.
func crowd(l *statecache.Cache, machines, jobs int) {
	var puts []statecache.Put
	for i := range machines / 50 {
		name := fmt.Sprintf("%c%d", 'a'+i%20, i)
		puts = append(puts, statecache.Put{Key: statecache.Key(statecache.KindMachineGroup, name), Record: groupOf(name, 50)})
	}
	for i := range jobs {
		id := wire.JobID(fmt.Sprintf("req-1%05d", i))
		puts = append(puts, statecache.Put{Key: statecache.Key(statecache.KindJob, string(id)), Record: &statecache.Job{TaskCount: 4, SubmittedAt: statecache.TimestampOf(time.Now()), Spec: &wire.Job{
			ID: id, Team: "red", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 4, CPUs: 5, MemoryGB: 1,
		}}})
	}
	for some := range slices.Chunk(puts, 50) {
		l.Commit(statecache.Commit{Puts: some}, func(statecache.Outcome) {})
	}
	time.Sleep(time.Second)
}

// Places of other work are looked for on a sample of the machines, however many
// there are, and by so many of the waiting jobs, however many wait.
func TestLookingIsBounded(t *testing.T) {
	for _, size := range []struct{ machines, jobs int }{{100, 10}, {2000, 500}} {
		placing(t, map[string]int{}, func(l *statecache.Cache, p *Scheduler) {
			crowd(l, size.machines, size.jobs)
			in(p, func() {
				p.view.Assignments["red"] = &statecache.Assignment{Member: "n0", Incarnation: p.incarnation}
				q := p.queue(p.ownAssignments(), time.Now())
				share := victimSearchShares(q)[wire.PriorityProduction]
				if want := min(1, float64(maxVictimSearches)/float64(size.jobs)); share != want {
					t.Errorf("%v of %d jobs look, not %v", share, size.jobs, want)
				}
				r := newCycle(time.Now(), 8, resources.Usage{})
				r.victimSearchShare = map[wire.Priority]float64{wire.PriorityProduction: 1}
				p.placeJob(r, q[0])
				if n := len(r.victimFactsUpdated); n != maxSample {
					t.Errorf("%d of %d machines looked at for one job", n, size.machines)
				}
				r.victimSearchShare[wire.PriorityProduction] = 0
				r.victimFactsUpdated = map[*Node]bool{}
				if p.placeJob(r, q[0]); len(r.victimFactsUpdated) > 0 {
					t.Error("looked out of turn")
				}
			})
		})
	}
}

// What one changed machine costs does not grow with the fleet.
func TestChangeCostsTheSameInAnyFleet(t *testing.T) {
	allocs := func(machines int) (n float64) {
		placing(t, map[string]int{"z": 50}, func(l *statecache.Cache, p *Scheduler) {
			crowd(l, machines, 10)
			in(p, func() {
				g := *p.view.Groups["z"]
				other := *g.Machines[7]
				other.Bindings = nil
				at := [2]*statecache.Machine{g.Machines[7], &other}
				turn := 0
				n = testing.AllocsPerRun(20, func() {
					turn++
					next := g
					next.Machines = slices.Clone(g.Machines)
					next.Machines[7], next.ModRevision = at[turn%2], g.ModRevision+uint64(turn)
					p.apply(statecache.Update{Revision: next.ModRevision, FreshAsOf: time.Now(), Changes: []statecache.Change{
						{Key: statecache.Key(statecache.KindMachineGroup, "z"), Kind: statecache.KindMachineGroup, Name: "z", Record: &next, ModRevision: next.ModRevision},
					}})
				})
			})
		})
		return n
	}
	if few, many := allocs(100), allocs(2000); many > few+2 {
		t.Errorf("%v allocations among 150 machines, %v among 2050", few, many)
	}
}

// What a report proves goes to the mesh, and to this placer, which may put it
// together with an earlier one: a map that both held ended the process.
func TestNoteIsNotWrittenTo(t *testing.T) {
	placing(t, map[string]int{"a": 1}, func(_ *statecache.Cache, p *Scheduler) {
		first, second := endedOn(groupOf("a", 1), 0), endedOn(groupOf("a", 1), 0)
		first.TaskRuntimes = map[wire.TaskID]float64{"req-000001/0": 4}
		second.Heartbeat.Sequence, second.TaskRuntimes = 2, map[wire.TaskID]float64{"req-000001/1": 5}
		p.HandleEvidence(first, time.Minute)
		p.HandleEvidence(second, time.Minute)
		in(p, func() {
			n := p.pendingEvidence["a"]["i-a000"]
			if n == nil || len(n.TaskRuntimes) != 2 {
				t.Errorf("not put together: %+v", n)
			}
		})
		if len(second.TaskRuntimes) != 1 {
			t.Errorf("the sender's map was written to: %v", second.TaskRuntimes)
		}
	})
}

// A commit that took long, or a process that stood still behind it, launches
// nothing itself: the job may have been cancelled meanwhile.
func TestNothingLaunchedLongAfterTheRound(t *testing.T) {
	placing(t, map[string]int{"a": 1}, func(_ *statecache.Cache, p *Scheduler) {
		launched := func(ago time.Duration) (n int) {
			c := make(commands, 1)
			in(p, func() {
				p.workers = c
				rec := &statecache.Machine{Name: "i-a000", Address: "x:1", Incarnation: 1, FencingToken: 10}
				p.launch(&cycle{
					now: time.Now().Add(-ago), launchedMachines: map[wire.MachineID]*statecache.Machine{"i-a000": rec},
					launches: map[wire.MachineID][]wire.Command{"i-a000": {{Op: wire.OpLaunch, Task: "req-000001/7", Attempt: 10}}},
				})
			})
			synctest.Wait()
			return len(c)
		}
		if launched(time.Second) != 1 || launched(7*time.Second) != 0 {
			t.Error("launched by the round's age: not as it should be")
		}
	})
}

// commands counts what is sent to workers.
type commands chan wire.CommandBatch

func (c commands) SendCommands(_ context.Context, _ string, cmd wire.CommandBatch) (*wire.Heartbeat, error) {
	c <- cmd
	return nil, context.Canceled
}

// However often a job's tasks have failed, it is tried again before it has waited
// for long beside machines with room.
func TestBackOffEnds(t *testing.T) {
	placing(t, map[string]int{"a": 1}, func(_ *statecache.Cache, p *Scheduler) {
		in(p, func() {
			now := time.Now()
			for range 20 {
				p.backOffJob("req-000001", "i-a000", wire.ReasonError, now)
			}
			if wait := p.failures["req-000001"].until.Sub(now); wait != 44*time.Second {
				t.Errorf("%v after 20 failures, not a lease", wait)
			}
		})
	})
}

// Marks go to whole chunks until the service refuses their size; then what doesn't
// fit goes to parts, beside what whole chunks hold already.
func TestMarksGoToPartsUnderALowerLimit(t *testing.T) {
	placing(t, map[string]int{"a": 1}, func(_ *statecache.Cache, p *Scheduler) {
		in(p, func() {
			p.config.Params.Store.Upcoming = &config.UpcomingStoreLimits{WriteRate: 15, MaxValueKB: 1, MaxTxnOps: 4}
			p.storeLimits = &storelimits.Tracker{}
			part := statecache.TasksPerCompletionPart(1024)
			r := &cycle{completionChunks: map[string]*statecache.CompletionChunk{}}
			for _, task := range []int{0, part - 1, part, 9000} {
				if id := p.completionChunkFor(r, "req-000001", task); id != (statecache.CompletionChunkID{FirstTask: statecache.WholeChunk}) {
					t.Errorf("before: task %d goes to %v", task, id)
				}
			}
			p.storeLimits.ObserveLowerSizeLimit()
			for task, from := range map[int]int{0: statecache.WholeChunk, part - 1: statecache.WholeChunk, part: part, 9000: 9000 / part * part} {
				if id := p.completionChunkFor(r, "req-000001", task); id != (statecache.CompletionChunkID{FirstTask: from}) {
					t.Errorf("after: task %d goes to %v", task, id)
				}
			}
			var whole *statecache.CompletionChunk
			p.view.CompletionChunks["req-000001"] = map[statecache.CompletionChunkID]*statecache.CompletionChunk{{FirstTask: statecache.WholeChunk}: whole.With(part + 100)}
			if id := p.completionChunkFor(r, "req-000001", 0); id != (statecache.CompletionChunkID{FirstTask: 0}) {
				t.Errorf("beside a whole chunk that is too large: %v", id)
			}
		})
	})
}

// A record that is full before its machines are is split by whoever places for all,
// and one that no longer fits the limit, in a round that has the writes for it.
func TestFullRecordsAreSplit(t *testing.T) {
	placing(t, map[string]int{"a": 20}, func(l *statecache.Cache, p *Scheduler) {
		in(p, func() {
			p.workers = make(commands, 100)
			for _, h := range p.view.Assignments {
				h.Incarnation = p.incarnation
			}
			p.crowdedGroups["a"] = true
			p.schedule()
		})
		time.Sleep(5 * time.Second)
		in(p, func() {
			if len(p.view.Groups) != 1 { // it fits into one
				t.Errorf("%d groups", len(p.view.Groups))
			}
			p.config.Params.Store.Upcoming = &config.UpcomingStoreLimits{WriteRate: 15, MaxValueKB: 0.5, MaxTxnOps: 4}
			p.oversizedGroups["a"] = true
			p.schedule()
		})
		time.Sleep(10 * time.Second)
		in(p, func() {
			tasks := 0
			for _, g := range p.view.Groups {
				if g.EncodedSize() > 512 {
					t.Errorf("%s has %d bytes", g.Name, g.EncodedSize())
				}
				for _, b := range g.Machines {
					tasks += len(b.Bindings)
				}
			}
			if len(p.view.Groups) < 2 || len(p.view.Machines) != 20 || tasks != 20 || len(p.view.Bindings["req-000001"]) != 20 {
				t.Errorf("%d groups, %d machines, %d tasks", len(p.view.Groups), len(p.view.Machines), tasks)
			}
		})
	})
}

// A stage with a priority that the pipeline's last job lends it takes no other work's
// place while it can still be in time; one whose priority is its own does.
func TestInheritedPriorityTakesNoPlaceBeforeItPresses(t *testing.T) {
	placing(t, map[string]int{"a": 4}, func(_ *statecache.Cache, p *Scheduler) {
		taken := func(inherited bool, due time.Duration) (n int) {
			in(p, func() {
				now := time.Now()
				spec := &wire.Job{ID: "req-000002", Team: "red", Kind: wire.KindArray, Priority: wire.PriorityHigh, TaskCount: 1, CPUs: 1, MemoryGB: 1, EstimatedRuntime: 10}
				j := &statecache.Job{Spec: spec, TaskCount: 1, SubmittedAt: statecache.TimestampOf(now.Add(-20 * time.Second)), PriorityInherited: inherited, InheritedDeadline: statecache.TimestampOf(now.Add(due))}
				p.activeJobs["req-000002"], p.view.Jobs["req-000002"] = j, j
				p.view.Jobs["req-000001"].Spec.EstimatedRuntime = 0.1 // leaves the cluster to it soon
				p.config.Params.Objectives = []config.Objective{{Kind: config.ObjectiveGuarantee, Within: 5 * time.Second}}
				p.view.Assignments["red"] = &statecache.Assignment{Member: "n0", Incarnation: p.incarnation}
				r := newCycle(now, 8, resources.Usage{})
				r.victimSearchShare = map[wire.Priority]float64{wire.PriorityHigh: 1}
				for _, w := range p.queue(p.ownAssignments(), now) {
					if w.id == "req-000002" {
						p.placeJob(r, w)
					}
				}
				n = len(r.stops)
				for m, b := range p.view.Machines {
					p.refreshNode(m, b)
				}
			})
			return n
		}
		if n := taken(false, 100*time.Second); n != 1 {
			t.Errorf("own rank: %d places", n)
		}
		if n := taken(true, 100*time.Second); n != 0 {
			t.Errorf("inherited priority, in time: %d places", n)
		}
		if n := taken(true, 12*time.Second); n != 1 {
			t.Errorf("inherited priority, pressing: %d places", n)
		}
	})
}

// An array that gave way as soon as it was placed waits for a report; one that had
// run for a while, and a service, don't.
func TestWhatGivesWayAtOnceWaits(t *testing.T) {
	placing(t, map[string]int{"a": 1}, func(_ *statecache.Cache, p *Scheduler) {
		queued := func(spent float64, shape wire.JobKind, later time.Duration) bool {
			out := false
			in(p, func() {
				p.view.Assignments["red"] = &statecache.Assignment{Member: "n0", Incarnation: p.incarnation}
				p.view.Jobs["req-000001"].Spec.Kind = shape
				n := p.nodes["i-a000"]
				r := newCycle(time.Now(), 8, resources.Usage{})
				n.Tasks[0].RuntimeSoFar = spent
				p.preempt(r, p.openGroup(r, "a"), &PreemptionVictims{Node: n, Tasks: []int{0}})
				for _, w := range p.queue(p.ownAssignments(), r.now.Add(later)) {
					out = out || w.id == "req-000001"
				}
				clear(p.preemptedUntil)
				p.resetNodes([]wire.MachineID{"i-a000"})
			})
			return out
		}
		if queued(1, wire.KindArray, 0) || !queued(1, wire.KindArray, 9*time.Second) {
			t.Error("gave way at once: not as it should be")
		}
		if !queued(9, wire.KindArray, 0) || !queued(1, wire.KindService, 0) {
			t.Error("held back for nothing")
		}
	})
}

// A record that is full takes tasks in place of those that leave it, in the same write:
// counted as full until the next one, it left its machines idle for as long as that took.
func TestTasksThatLeftMakeRoom(t *testing.T) {
	const machines = 130
	placing(t, map[string]int{"a": machines}, func(_ *statecache.Cache, p *Scheduler) {
		in(p, func() {
			group := groupOf("a", machines)
			for i := range machines {
				n := endedOn(group, i)
				p.storeEvidence("a", n.Heartbeat.Machine, &pendingEvidence{n, time.Now(), 1})
			}
			r := newCycle(time.Now(), 8, resources.Usage{})
			if full := p.view.Groups["a"].RetainedSize(); full < p.valueSizeShare(bindingFillShare)*9/10 {
				t.Errorf("%d bytes: the record has room anyhow", full)
			}
			p.applyPendingEvidence(r, true, false)
			w := queuedJob{id: "req-000001", job: p.view.Jobs["req-000001"]}
			bound := 0
			for i, b := range group.Machines {
				if p.bind(r, p.nodes[b.Name], w, 5000+i) {
					bound++
				}
			}
			// A task is counted with what it may grow by, so not all of them find room.
			if bound < machines/2 {
				t.Errorf("room for %d tasks in place of %d", bound, machines)
			}
			if size := r.groupUpdates["a"].RetainedSize(); size > p.valueSizeShare(bindingFillShare) {
				t.Errorf("%d bytes", size)
			}
		})
	})
}

// Rows grow when they are rewritten in a later term. A record that a round makes too
// large that way is split by the next one: tried again as it is, what its reports prove
// would never be written.
func TestRecordThatARoundMakesTooLargeIsSplit(t *testing.T) {
	placing(t, map[string]int{}, func(l *statecache.Cache, p *Scheduler) {
		limit := p.config.Params.Store.ValueSizeLimit()
		group := &statecache.MachineGroup{Name: "a", MachineType: "s", Zone: "a"}
		for i := 0; group.RetainedSize() < limit*87/100; i++ {
			b := &statecache.Machine{Name: wire.MachineID(fmt.Sprintf("i-a%03d", i)), Address: "x:1", Incarnation: 1, FencingToken: statecache.FirstToken(1) + 9}
			for n := range 6 {
				b.Bindings = append(b.Bindings, statecache.TaskBinding{Job: "req-000001", TaskIndex: 100 + 6*i + n, Attempt: statecache.FirstToken(1) + 8})
			}
			group.Machines = append(group.Machines, b)
		}
		l.Commit(statecache.Commit{Puts: []statecache.Put{
			{Key: statecache.Key(statecache.KindMachineGroup, "a"), Record: group},
			{Key: statecache.Key(statecache.KindAssignment, "red"), Record: &statecache.Assignment{Member: "n0", Incarnation: p.incarnation}},
			{Key: statecache.TermKey, Record: &statecache.Term{Number: 2}},
		}}, func(statecache.Outcome) {})
		time.Sleep(time.Second)
		for _, b := range group.Machines {
			report := &wire.Heartbeat{Machine: b.Name, Address: "x:1", MachineType: "s", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: b.FencingToken}
			for i := range b.Bindings {
				task := wire.TaskStatus{Task: b.Bindings[i].TaskID(), Attempt: b.Bindings[i].Attempt, State: wire.TaskRunning}
				if i == 0 {
					task.State, task.ExitReason = wire.TaskExited, wire.ReasonCompleted
				}
				report.Tasks = append(report.Tasks, task)
			}
			p.HandleEvidence(reconcile.Evidence{Heartbeat: report}, 0)
		}
		time.Sleep(10 * time.Second)
		in(p, func() {
			if bound := len(p.view.Bindings["req-000001"]); bound != 5*len(group.Machines) || len(p.view.Groups) < 2 {
				t.Errorf("%d tasks of %d are bound, in %d groups", bound, 5*len(group.Machines), len(p.view.Groups))
			}
			if done := p.view.CompletedCount("req-000001"); done != len(group.Machines) {
				t.Errorf("%d of %d ends are written", done, len(group.Machines))
			}
		})
	})
}
