package scheduler

import (
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// The number of machines searched for victims and the number of jobs that search are bounded,
// however many machines and queued jobs there are.
func TestVictimSearchIsBounded(t *testing.T) {
	for _, size := range []struct{ machines, jobs int }{{100, 10}, {2000, 500}} {
		withScheduler(t, map[string]int{}, func(cache *statecache.Cache, s *Scheduler) {
			addLoad(cache, size.machines, size.jobs)
			inActor(s, func() {
				s.view.Assignments["red"] = &statecache.Assignment{Member: "n0", Incarnation: s.incarnation}
				queue := s.jobs.pending(s.ownAssignments(), nil, time.Now())
				share := victimSearchShares(queue)[wire.PriorityProduction]
				if want := min(1, float64(maxVictimSearches)/float64(size.jobs)); share != want {
					t.Errorf("%v of %d jobs search, not %v", share, size.jobs, want)
				}
				c := s.newCycle(time.Now(), 8, resources.Usage{})
				c.victims.searchShares = map[wire.Priority]float64{wire.PriorityProduction: 1}
				c.placeJob(queue[0])
				if n := len(c.victims.updated); n != placement.MaxSample {
					t.Errorf("%d of %d machines searched for one job", n, size.machines)
				}
				c.victims.searchShares[wire.PriorityProduction] = 0
				c.victims.updated = map[*placement.Node]bool{}
				if c.placeJob(queue[0]); len(c.victims.updated) > 0 {
					t.Error("searched though no job may")
				}
			})
		})
	}
}

// A job whose priority is inherited from the last job of its pipeline preempts nothing while its
// deadline is not near; a job with a priority of its own does.
func TestInheritedPriorityPreemptsOnlyNearTheDeadline(t *testing.T) {
	withScheduler(t, map[string]int{"a": 4}, func(_ *statecache.Cache, s *Scheduler) {
		stopped := func(inherited bool, due time.Duration) (n int) {
			inActor(s, func() {
				now := time.Now()
				spec := &wire.Job{ID: "req-000002", Team: "red", Kind: wire.KindArray, Priority: wire.PriorityHigh, TaskCount: 1, CPUs: 1, MemoryGB: 1, EstimatedRuntime: 10}
				job := &statecache.Job{Spec: spec, TaskCount: 1, SubmittedAt: statecache.TimestampOf(now.Add(-20 * time.Second)), PriorityInherited: inherited, InheritedDeadline: statecache.TimestampOf(now.Add(due))}
				s.jobs.active["req-000002"], s.view.Jobs["req-000002"] = job, job
				s.view.Jobs["req-000001"].Spec.EstimatedRuntime = 0.1 // the cluster is free for the other job soon
				s.config.Params.Objectives = []config.Objective{{Kind: config.ObjectiveGuarantee, Within: 5 * time.Second}}
				s.view.Assignments["red"] = &statecache.Assignment{Member: "n0", Incarnation: s.incarnation}
				c := s.newCycle(now, 8, resources.Usage{})
				c.victims.searchShares = map[wire.Priority]float64{wire.PriorityHigh: 1}
				for _, entry := range s.jobs.pending(s.ownAssignments(), nil, now) {
					if entry.id == "req-000002" {
						c.placeJob(entry)
					}
				}
				n = len(c.commands.stops)
				for machine, rec := range s.view.Machines {
					s.nodes.refresh(machine, rec)
				}
			})
			return n
		}
		if n := stopped(false, 100*time.Second); n != 1 {
			t.Errorf("own priority: %d machines with victims", n)
		}
		if n := stopped(true, 100*time.Second); n != 0 {
			t.Errorf("inherited priority, deadline not near: %d machines with victims", n)
		}
		if n := stopped(true, 12*time.Second); n != 1 {
			t.Errorf("inherited priority, deadline near: %d machines with victims", n)
		}
	})
}

// An array with a task preempted right after placement is delayed for one heartbeat interval. An
// array whose task had run longer than that is not, nor is a service.
func TestEarlyPreemptionDelaysArray(t *testing.T) {
	withScheduler(t, map[string]int{"a": 1}, func(_ *statecache.Cache, s *Scheduler) {
		queued := func(ran time.Duration, kind wire.JobKind, later time.Duration) bool {
			out := false
			inActor(s, func() {
				s.view.Assignments["red"] = &statecache.Assignment{Member: "n0", Incarnation: s.incarnation}
				s.view.Jobs["req-000001"].Spec.Kind = kind
				node := s.nodes.node("i-a000")
				c := s.newCycle(time.Now(), 8, resources.Usage{})
				node.Tasks[0].RuntimeSoFar = ran
				c.preempt(c.openGroup("a"), &placement.Victims{Node: node, Tasks: []int{0}}, &wire.Job{ID: "req-000002", Priority: wire.PriorityHigh})
				for _, entry := range s.jobs.pending(s.ownAssignments(), nil, c.now.Add(later)) {
					out = out || entry.id == "req-000001"
				}
				clear(s.backoff.preemptedUntil)
				s.nodes.reset([]wire.MachineID{"i-a000"})
			})
			return out
		}
		if queued(time.Second, wire.KindArray, 0) || !queued(time.Second, wire.KindArray, 9*time.Second) {
			t.Error("preempted right after placement: not delayed for one heartbeat interval")
		}
		if !queued(9*time.Second, wire.KindArray, 0) || !queued(time.Second, wire.KindService, 0) {
			t.Error("delayed without reason")
		}
	})
}
