package scheduler

import (
	"slices"
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// While another process still writes evidence, even slowly, a process without assigned teams writes
// none for up to a lease, since its writes would make the other's preconditions fail. It writes
// once no process has written for a heartbeat interval.
func TestEvidenceIsLeftToASlowWriter(t *testing.T) {
	withScheduler(t, map[string]int{"a": 1, "b": 1}, func(cache *statecache.Cache, s *Scheduler) {
		terminated := func() (out bool) {
			inActor(s, func() { out = len(s.view.Machines["i-a000"].Bindings) == 0 })
			return out
		}
		s.HandleEvidence(completionEvidence(groupOf("a", 1), 0), 16*time.Second)
		other := groupOf("b", 1)
		other.Terminations = []statecache.Termination{{Machine: "i-b000", Job: "req-000001", TaskIndex: 7, Reason: wire.ReasonCompleted}}
		for range 12 { // 36 s
			cache.Commit(statecache.Commit{Puts: []statecache.Put{{Key: statecache.Key(statecache.KindMachineGroup, "b"), Record: other}}}, func(statecache.Outcome) {})
			time.Sleep(3 * time.Second)
		}
		if terminated() {
			t.Error("written while another process was still writing")
		}
		time.Sleep(12 * time.Second)
		if !terminated() {
			t.Error("not written though no other process writes")
		}
	})
}

// A cycle with few writes applies the evidence of the groups with the longest total idle time, but
// evidence that has waited for more than a heartbeat interval first.
func TestGroupsIdleLongestFirst(t *testing.T) {
	withScheduler(t, map[string]int{"a": 1, "b": 30}, func(_ *statecache.Cache, s *Scheduler) {
		pick := func(waitA, waitB time.Duration) (first []string) {
			inActor(s, func() {
				now := time.Now()
				s.evidence.put("a", "i-a000", &pendingEvidence{completionEvidence(groupOf("a", 1), 0), now.Add(-waitA), 1})
				for i := range 30 {
					evidence := completionEvidence(groupOf("b", 30), i)
					s.evidence.put("b", evidence.Heartbeat.Machine, &pendingEvidence{evidence, now.Add(-waitB), 1})
				}
				c := s.newCycle(now, 1, resources.Usage{})
				c.applyPendingEvidence(true, false)
				for name := range c.groupUpdates {
					first = append(first, name)
				}
				for machine := range s.nodes.byName {
					s.nodes.reset([]wire.MachineID{machine})
				}
			})
			return first
		}
		if got := pick(5*time.Second, time.Second); !slices.Equal(got, []string{"b"}) {
			t.Errorf("30 tasks' capacity idle for a second, one's for five: %v first", got)
		}
		if got := pick(9*time.Second, time.Second); !slices.Equal(got, []string{"a"}) {
			t.Errorf("one task's capacity idle for more than a heartbeat: %v first", got)
		}
	})
}

// Merging evidence with earlier evidence does not modify the map of the sender, which the peer
// transport may be encoding: concurrent access to a shared map crashed the process.
func TestEvidenceOfSenderIsNotModified(t *testing.T) {
	withScheduler(t, map[string]int{"a": 1}, func(_ *statecache.Cache, s *Scheduler) {
		first, second := completionEvidence(groupOf("a", 1), 0), completionEvidence(groupOf("a", 1), 0)
		first.TaskRuntimes = map[wire.TaskID]wire.Seconds{"req-000001/0": 4}
		second.Heartbeat.Sequence, second.TaskRuntimes = 2, map[wire.TaskID]wire.Seconds{"req-000001/1": 5}
		s.HandleEvidence(first, time.Minute)
		s.HandleEvidence(second, time.Minute)
		inActor(s, func() {
			pending := s.evidence.byGroup["a"]["i-a000"]
			if pending == nil || len(pending.TaskRuntimes) != 2 {
				t.Errorf("not merged: %+v", pending)
			}
		})
		if len(second.TaskRuntimes) != 1 {
			t.Errorf("the sender's map was written to: %v", second.TaskRuntimes)
		}
	})
}

// Tasks that terminate in a full record make room for new bindings in the same write. When the
// record counted as full until the next write, its machines were idle until then.
func TestTerminatedTasksMakeRoomInRecord(t *testing.T) {
	const machines = 130
	withScheduler(t, map[string]int{"a": machines}, func(_ *statecache.Cache, s *Scheduler) {
		inActor(s, func() {
			group := groupOf("a", machines)
			for i := range machines {
				evidence := completionEvidence(group, i)
				s.evidence.put("a", evidence.Heartbeat.Machine, &pendingEvidence{evidence, time.Now(), 1})
			}
			c := s.newCycle(time.Now(), 8, resources.Usage{})
			if full := s.view.Groups["a"].RetainedSize(); full < s.limits.valueBytes(statecache.BindingFillShare)*9/10 {
				t.Errorf("%d bytes: the record is not full", full)
			}
			c.applyPendingEvidence(true, false)
			entry := queuedJob{id: "req-000001", job: s.view.Jobs["req-000001"]}
			bound := 0
			for i, rec := range group.Machines {
				if c.bind(s.nodes.node(rec.Name), entry, 5000+i) {
					bound++
				}
			}
			// A new binding is counted with its maximum size, so not all of them find room.
			if bound < machines/2 {
				t.Errorf("room for %d tasks in place of %d", bound, machines)
			}
			if size := c.groupUpdates["a"].RetainedSize(); size > s.limits.valueBytes(statecache.BindingFillShare) {
				t.Errorf("%d bytes", size)
			}
		})
	})
}

// The evidence from a machine's latest heartbeat is kept, and is due when the first one was. Older
// evidence and that of unknown machines is dropped.
func TestEvidenceQueueKeepsTheLatest(t *testing.T) {
	view := statecache.NewUnfinishedView(8)
	view.Jobs["req-000001"] = &statecache.Job{TaskCount: 10, Spec: &wire.Job{ID: "req-000001"}}
	group := groupOf("a", 1)
	rec := group.Machines[0]
	rec.Group, view.Machines[rec.Name] = "a", rec
	q := newEvidenceQueue(config.WorkerTimings{HeartbeatInterval: 8 * time.Second, LeaseDuration: 44 * time.Second}, view)
	now := time.Now()
	add := func(sequence uint64, applyAt time.Time) bool {
		evidence := completionEvidence(group, 0)
		evidence.Heartbeat.Sequence = sequence
		return q.add(evidence, applyAt)
	}
	if !add(5, now.Add(time.Second)) || !add(6, now.Add(time.Minute)) || add(6, now) || add(4, now) {
		t.Error("not just the later heartbeats are kept")
	}
	if e := q.byGroup["a"][rec.Name]; e.Heartbeat.Sequence != 6 || !e.applyAt.Equal(now.Add(time.Second)) || e.exitedTasks != 1 {
		t.Errorf("%+v", e)
	}
	if due := q.due(now, false); len(due) != 0 {
		t.Errorf("%v is due without assigned teams", due)
	}
	if due := q.due(now.Add(10*time.Second), true); len(due) != 1 || !due[0].late || due[0].idleSeconds != 9 {
		t.Errorf("%+v", due)
	}
	q.moveMachine(rec.Name, "a", "b")
	if rec.Group = "b"; q.byGroup["b"][rec.Name] == nil || len(q.due(now.Add(10*time.Second), true)) != 1 || q.groupCount() != 1 {
		t.Error("the evidence doesn't follow its machine")
	}
	unknown := completionEvidence(groupOf("c", 1), 0)
	if q.add(unknown, now) {
		t.Error("evidence of an unknown machine is kept")
	}
}
