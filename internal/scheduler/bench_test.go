package scheduler

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/reconcile"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Numbers of machines in the benchmarks: the smaller and the larger deployment after growth, and
// the size that the software has to support.
var benchFleets = []int{250, 1830, 4000}

const (
	benchGroupSize  = 40 // machines per group
	machinesPerJob  = 30
	benchCycleLimit = 4 // writes per cycle, as on a busy day
)

// busyScheduler returns a scheduler that doesn't run, for a fleet whose machines all run a task,
// with a number of queued jobs proportional to the fleet.
func busyScheduler(machines int) *Scheduler {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	cfg := testConfig(20, config.TeamQuota{Name: "red"})
	s := newScheduler(Options{Config: cfg, Incarnation: 1})
	s.nodes.machineTypes["s"] = &wire.MachineType{Name: "s", CPUs: 4, MemoryGB: 32, Zones: []wire.Zone{"a"}}
	s.nodes.offers = placement.ZoneOffers{"a": 1}
	s.cycleScheduled = true // cycles are planned by the test
	submittedAt := statecache.TimestampOf(time.Now())
	changes := []statecache.Change{{Kind: statecache.KindAssignment, Name: "red", Record: &statecache.Assignment{Member: "n0", Incarnation: 1}}}
	jobs := machines/machinesPerJob + 1
	for i := range jobs {
		id := wire.JobID(fmt.Sprintf("req-%06d", i))
		due := wire.Seconds(100 + i)
		spec := &wire.Job{
			ID: id, Class: "c", Team: "red", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: 80,
			CPUs: 4, MemoryGB: 29, Image: "img", AllowSpot: true, EstimatedRuntime: 15, Deadline: &due,
		}
		changes = append(changes, statecache.Change{Kind: statecache.KindJob, Name: string(id), Record: &statecache.Job{Spec: spec, TaskCount: 80, SubmittedAt: submittedAt}})
	}
	for first := 0; first < machines; first += benchGroupSize {
		group := &statecache.MachineGroup{Name: fmt.Sprintf("g%05d", first), MachineType: "s", Zone: "a", Spot: true, ProvisionedAt: submittedAt}
		for i := first; i < min(first+benchGroupSize, machines); i++ {
			task := statecache.TaskBinding{Job: wire.JobID(fmt.Sprintf("req-%06d", i%jobs)), TaskIndex: i / jobs, Attempt: 1}
			group.Machines = append(group.Machines, &statecache.Machine{
				Name: wire.MachineID(fmt.Sprintf("i-%06d", i)), Group: group.Name, MachineType: "s", Zone: "a", Spot: true, Address: "10.0.0.1:9", Incarnation: 1, FencingToken: 9,
				Bindings: []statecache.TaskBinding{task},
			})
		}
		changes = append(changes, statecache.Change{Kind: statecache.KindMachineGroup, Name: group.Name, Record: group})
	}
	s.apply(statecache.Update{Revision: 1, FreshAsOf: time.Now(), Changes: changes})
	return s
}

// addCompletionEvidence adds evidence that the tasks of a group's first machines have completed.
func (s *Scheduler) addCompletionEvidence(group string, machines int, now time.Time) {
	for _, rec := range s.view.Groups[group].Machines[:machines] {
		heartbeat := &wire.Heartbeat{Machine: rec.Name, Incarnation: 1, Sequence: 1, FencingToken: 9}
		for i := range rec.Bindings {
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: rec.Bindings[i].TaskID(), Attempt: rec.Bindings[i].Attempt, State: wire.TaskExited, ExitReason: wire.ReasonCompleted})
		}
		s.evidence.put(group, rec.Name, &pendingEvidence{reconcile.Evidence{Heartbeat: heartbeat}, now, 1})
	}
}

// benchCycle plans one cycle, in which a quarter of the machines in each of four groups have
// completed their tasks and get others, and restores the nodes.
func (s *Scheduler) benchCycle() *cycle {
	now := time.Now()
	for i := range benchCycleLimit {
		s.addCompletionEvidence(fmt.Sprintf("g%05d", i*benchGroupSize), benchGroupSize/4, now)
	}
	c := s.planCycle(now, benchCycleLimit, true)
	for _, update := range c.groupUpdates {
		for _, rec := range update.Machines {
			s.nodes.refresh(rec.Name, s.view.Machines[rec.Name])
		}
	}
	return c
}

// tasksPlaced returns the number of tasks that a cycle binds.
func tasksPlaced(c *cycle) int {
	total := 0
	for _, n := range c.placed {
		total += n
	}
	return total
}

// BenchmarkSchedulingCycle measures the planning of a scheduling cycle without its commit.
func BenchmarkSchedulingCycle(b *testing.B) {
	for _, machines := range benchFleets {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			s := busyScheduler(machines)
			b.ReportAllocs()
			for b.Loop() {
				s.benchCycle()
			}
		})
	}
}

// A cycle's allocations depend on the groups that it writes and the queued jobs, not on the size of
// the fleet: with sixteen times the machines and equally many jobs they are nearly the same.
func TestAllocationsOfACycle(t *testing.T) {
	const fewJobs = 1000 / machinesPerJob
	cycles := func(machines int) float64 {
		s := busyScheduler(machines)
		for id := range s.jobs.active {
			if string(id) >= fmt.Sprintf("req-%06d", fewJobs) {
				delete(s.jobs.active, id)
			}
		}
		// A quarter of the writes is left for groups with free capacity, so only three of the four
		// groups are updated.
		if placed := tasksPlaced(s.benchCycle()); placed != (benchCycleLimit-1)*benchGroupSize/4 {
			t.Fatalf("%d tasks placed", placed)
		}
		return testing.AllocsPerRun(20, func() { s.benchCycle() })
	}
	small, large := cycles(1000), cycles(16000)
	if large > 1.2*small {
		t.Errorf("%v allocations with 1,000 machines, %v with 16,000", small, large)
	}
}
