package scheduler

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/reconcile"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Two groups of a pool that a cycle writes are merged only if their machines have no capacity left.
// When new groups were merged, the record was full before the machines, and replicas waited although
// machines had capacity.
func TestOnlyFullGroupsMerge(t *testing.T) {
	withScheduler(t, map[string]int{"a": 4, "b": 2}, func(_ *statecache.Cache, s *Scheduler) {
		merged := func(cpus float64) bool {
			out := false
			inActor(s, func() {
				s.view.Assignments["red"] = &statecache.Assignment{Member: "n0", Incarnation: s.incarnation}
				s.view.Jobs["req-000001"].Spec.CPUs = cpus
				for machine, rec := range s.view.Machines {
					s.nodes.refresh(machine, rec)
				}
				c := s.newCycle(time.Now(), 8, resources.Usage{})
				c.openGroup("a")
				c.openGroup("b")
				var commit statecache.Commit
				c.mergeGroups(&commit)
				if out = len(c.groupUpdates) == 1; out && (len(commit.Deletes) != 1 || len(c.groupUpdates["a"].Machines) != 6 || c.assignmentPreconditions["red"] != s.view.Assignments["red"].ModRevision) {
					t.Errorf("%+v, %d machines", commit, len(c.groupUpdates["a"].Machines))
				}
			})
			return out
		}
		if merged(3) {
			t.Error("merged though the machines have capacity")
		}
		if !merged(4) {
			t.Error("not merged though all are full")
		}
	})
}

// A record that no longer fits the limit of a value is split by a process that all teams are
// assigned to, in a cycle with enough writes. A full record that fits the limit is not split alone.
func TestFullRecordsAreSplit(t *testing.T) {
	withScheduler(t, map[string]int{"a": 20}, func(cache *statecache.Cache, s *Scheduler) {
		inActor(s, func() {
			s.workers = make(commandRecorder, 100)
			for _, assignment := range s.view.Assignments {
				assignment.Incarnation = s.incarnation
			}
			s.layout.full["a"] = true
			s.schedule()
		})
		time.Sleep(5 * time.Second)
		inActor(s, func() {
			if len(s.view.Groups) != 1 { // the contents fit into one record
				t.Errorf("%d groups", len(s.view.Groups))
			}
			s.config.Params.Store.Upcoming = &config.UpcomingStoreLimits{WriteRate: 15, MaxValueKB: 0.5, MaxTxnOps: 4}
			s.layout.oversized["a"] = true
			s.schedule()
		})
		time.Sleep(10 * time.Second)
		inActor(s, func() {
			tasks := 0
			for _, group := range s.view.Groups {
				if group.EncodedSize() > 512 {
					t.Errorf("%s has %d bytes", group.Name, group.EncodedSize())
				}
				for _, rec := range group.Machines {
					tasks += len(rec.Bindings)
				}
			}
			if len(s.view.Groups) < 2 || len(s.view.Machines) != 20 || tasks != 20 || len(s.view.Bindings["req-000001"]) != 20 {
				t.Errorf("%d groups, %d machines, %d tasks", len(s.view.Groups), len(s.view.Machines), tasks)
			}
		})
	})
}

// Machine entries grow when they are rewritten in a later term. A group record that becomes too
// large that way in a cycle is split by the next one. Guards against retries of the same record,
// which would never write the group's evidence.
func TestRecordThatACycleMakesTooLargeIsSplit(t *testing.T) {
	withScheduler(t, map[string]int{}, func(cache *statecache.Cache, s *Scheduler) {
		limit := s.config.Params.Store.ValueSizeLimit()
		group := &statecache.MachineGroup{Name: "a", MachineType: "s", Zone: "a"}
		for i := 0; group.RetainedSize() < limit*87/100; i++ {
			rec := &statecache.Machine{Name: wire.MachineID(fmt.Sprintf("i-a%03d", i)), Address: "x:1", Incarnation: 1, FencingToken: statecache.FirstToken(1) + 9}
			for n := range 6 {
				rec.Bindings = append(rec.Bindings, statecache.TaskBinding{Job: "req-000001", TaskIndex: 100 + 6*i + n, Attempt: statecache.FirstToken(1) + 8})
			}
			group.Machines = append(group.Machines, rec)
		}
		cache.Commit(statecache.Commit{Puts: []statecache.Put{
			{Key: statecache.Key(statecache.KindMachineGroup, "a"), Record: group},
			{Key: statecache.Key(statecache.KindAssignment, "red"), Record: &statecache.Assignment{Member: "n0", Incarnation: s.incarnation}},
			{Key: statecache.TermKey, Record: &statecache.Term{Number: 2}},
		}}, func(statecache.Outcome) {})
		time.Sleep(time.Second)
		for _, rec := range group.Machines {
			heartbeat := &wire.Heartbeat{Machine: rec.Name, Address: "x:1", MachineType: "s", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: rec.FencingToken}
			for i := range rec.Bindings {
				task := wire.TaskStatus{Task: rec.Bindings[i].TaskID(), Attempt: rec.Bindings[i].Attempt, State: wire.TaskRunning}
				if i == 0 {
					task.State, task.ExitReason = wire.TaskExited, wire.ReasonCompleted
				}
				heartbeat.Tasks = append(heartbeat.Tasks, task)
			}
			s.HandleEvidence(reconcile.Evidence{Heartbeat: heartbeat}, 0)
		}
		time.Sleep(10 * time.Second)
		inActor(s, func() {
			if bound := len(s.view.Bindings["req-000001"]); bound != 5*len(group.Machines) || len(s.view.Groups) < 2 {
				t.Errorf("%d tasks of %d are bound, in %d groups", bound, 5*len(group.Machines), len(s.view.Groups))
			}
			if completed := s.view.CompletedCount("req-000001"); completed != len(group.Machines) {
				t.Errorf("%d of %d completions are written", completed, len(group.Machines))
			}
		})
	})
}

// Whether a group is oversized follows from its latest record; a deleted group is forgotten.
func TestGroupLayoutFollowsRecords(t *testing.T) {
	l := newGroupLayout(recordLimits{&config.StoreLimits{MaxValueKB: 1, MaxTxnOps: 8}})
	large, small := groupOf("a", 40), groupOf("a", 2)
	l.observe("a", large)
	if !l.oversized["a"] {
		t.Errorf("%d bytes are not oversized", large.RetainedSize())
	}
	l.full["a"] = true
	if l.observe("a", small); l.oversized["a"] || !l.full["a"] {
		t.Errorf("oversized %v, full %v with %d bytes", l.oversized["a"], l.full["a"], small.RetainedSize())
	}
	if l.observe("a", nil); l.full["a"] {
		t.Error("full though it was deleted")
	}
}

// The transaction that splits a full record in half requires the record as it was seen, the absence of the
// new one, and all assignments as they are, also those of teams whose tasks it doesn't bind. An adopted
// group's key stays with the machine that it was made for, and a merge does not undo the split. Guards
// against tasks that start twice because a machine is moved unseen, or by a late copy.
func TestHalvingRequiresAllThatItRestsOn(t *testing.T) {
	adopted := statecache.AdoptedGroupName("i-a000")
	withScheduler(t, nil, func(cache *statecache.Cache, s *Scheduler) {
		assignTeam(cache, s)
		cache.Commit(statecache.Commit{Puts: []statecache.Put{
			{Key: statecache.Key(statecache.KindAssignment, "blue"), Record: &statecache.Assignment{Member: "n0", Incarnation: s.incarnation}},
		}}, func(statecache.Outcome) {})
		submitTo(cache, wire.Job{ID: smallTasks, Kind: wire.KindService, TaskCount: 1000, CPUs: 0.5})
		time.Sleep(time.Second)
		group := idleGroup("a", 25)
		group.Name = adopted
		for i, rec := range group.Machines {
			for n := range 8 {
				rec.Bindings = append(rec.Bindings, statecache.TaskBinding{Job: smallTasks, TaskIndex: 8*i + n, Attempt: 1})
			}
		}
		putGroups(cache, group)
		time.Sleep(time.Second)
		inActor(s, func() {
			s.layout.full[adopted] = true
			c := s.newCycle(time.Now(), 2, s.nodes.usage)
			c.openFullGroups()
			var commit statecache.Commit
			if !c.addTo(&commit) || len(commit.Puts) != 2 || len(commit.Deletes) != 0 {
				t.Fatalf("%d records written, %d deleted", len(commit.Puts), len(commit.Deletes))
			}
			required := map[string]uint64{}
			for _, precondition := range commit.Preconditions {
				required[precondition.Key] = precondition.ModRevision
			}
			want := map[string]uint64{
				commit.Puts[0].Key: 0,
				statecache.Key(statecache.KindMachineGroup, adopted): s.view.Groups[adopted].ModRevision,
				statecache.Key(statecache.KindAssignment, "red"):     s.view.Assignments["red"].ModRevision,
				statecache.Key(statecache.KindAssignment, "blue"):    s.view.Assignments["blue"].ModRevision,
			}
			if !maps.Equal(required, want) {
				t.Errorf("requires %v, want %v", required, want)
			}
			kept := commit.Puts[1].Record.(*statecache.MachineGroup)
			if kept.Name != adopted || kept.Machines[0].Name != "i-a000" {
				t.Errorf("%s keeps %s", kept.Name, kept.Machines[0].Name)
			}
			s.layout.full[adopted] = true
			s.schedule()
		})
		time.Sleep(2 * time.Second)
		inActor(s, func() {
			if len(s.view.Groups) != 2 {
				t.Fatalf("%d groups", len(s.view.Groups))
			}
			c := s.newCycle(time.Now(), 8, s.nodes.usage)
			for name := range s.view.Groups {
				if update := c.openGroup(name); !c.fullyUsed(update) {
					t.Errorf("%s has capacity: it would not be merged anyway", name)
				}
			}
			if c.mergeGroups(&statecache.Commit{}); len(c.groupUpdates) != 2 {
				t.Error("the halves are merged again")
			}
		})
	})
}
