package scheduler

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/reconcile"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Sizes at which costs are measured: the smaller and the larger grown deployment, and what
// the service has to hold.
var benchFleets = []int{250, 1830, 4000}

const (
	benchGroupSize  = 40 // machines of a group
	machinesPerJob  = 30
	benchRoundLimit = 4 // writes, as the rounds of a busy day have
)

// busyPlacer is a placer without its actors, for a fleet whose machines all hold a task,
// and a queue that grows with the fleet.
func busyPlacer(machines int) *Scheduler {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
	cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 8 * time.Second, LeaseDuration: 44 * time.Second, CancellationDeadline: 74 * time.Second}
	cfg.Params.Store = config.StoreLimits{MaxValueKB: 4, MaxTxnOps: 8, RequestRate: 200, WriteRate: 20}
	cfg.Params.Teams = []config.TeamQuota{{Name: "red"}}
	p := newScheduler(cfg, 1)
	p.machineTypes["s"] = &wire.MachineType{Name: "s", CPUs: 4, MemoryGB: 32, Zones: []wire.Zone{"a"}}
	p.zoneOffers = ZoneOffers{"a": 1}
	p.cycleScheduled = true // rounds are begun by hand
	at := statecache.TimestampOf(time.Now())
	changes := []statecache.Change{{Kind: statecache.KindAssignment, Name: "red", Record: &statecache.Assignment{Member: "n0", Incarnation: 1}}}
	jobs := machines/machinesPerJob + 1
	for i := range jobs {
		id := wire.JobID(fmt.Sprintf("req-%06d", i))
		due := wire.Seconds(100 + i)
		spec := &wire.Job{
			ID: id, Class: "c", Team: "red", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: 80,
			CPUs: 4, MemoryGB: 29, Image: "img", AllowSpot: true, EstimatedRuntime: 15, Deadline: &due,
		}
		changes = append(changes, statecache.Change{Kind: statecache.KindJob, Name: string(id), Record: &statecache.Job{Spec: spec, TaskCount: 80, SubmittedAt: at}})
	}
	for first := 0; first < machines; first += benchGroupSize {
		g := &statecache.MachineGroup{Name: fmt.Sprintf("g%05d", first), MachineType: "s", Zone: "a", Spot: true, ProvisionedAt: at}
		for i := first; i < min(first+benchGroupSize, machines); i++ {
			task := statecache.TaskBinding{Job: wire.JobID(fmt.Sprintf("req-%06d", i%jobs)), TaskIndex: i / jobs, Attempt: 1}
			g.Machines = append(g.Machines, &statecache.Machine{
				Name: wire.MachineID(fmt.Sprintf("i-%06d", i)), Group: g.Name, MachineType: "s", Zone: "a", Spot: true, Address: "10.0.0.1:9", Incarnation: 1, FencingToken: 9,
				Bindings: []statecache.TaskBinding{task},
			})
		}
		changes = append(changes, statecache.Change{Kind: statecache.KindMachineGroup, Name: g.Name, Record: g})
	}
	p.apply(statecache.Update{Revision: 1, FreshAsOf: time.Now(), Changes: changes})
	return p
}

// endOn reports the tasks of some machines of a group as done.
func (p *Scheduler) endOn(group string, machines int, now time.Time) {
	for _, b := range p.view.Groups[group].Machines[:machines] {
		report := &wire.Heartbeat{Machine: b.Name, Incarnation: 1, Sequence: 1, FencingToken: 9}
		for i := range b.Bindings {
			report.Tasks = append(report.Tasks, wire.TaskStatus{Task: b.Bindings[i].TaskID(), Attempt: b.Bindings[i].Attempt, State: wire.TaskExited, ExitReason: wire.ReasonCompleted})
		}
		p.storeEvidence(group, b.Name, &pendingEvidence{reconcile.Evidence{Heartbeat: report}, now, 1})
	}
}

// benchRound puts one round together: in each of four groups a quarter of the machines
// have ended their tasks, and get others.
func (p *Scheduler) benchRound() *cycle {
	now := time.Now()
	for i := range benchRoundLimit {
		p.endOn(fmt.Sprintf("g%05d", i*benchGroupSize), benchGroupSize/4, now)
	}
	r := p.planCycle(now, benchRoundLimit)
	for _, d := range r.groupUpdates {
		for _, b := range d.Machines {
			p.refreshNode(b.Name, p.view.Machines[b.Name])
		}
	}
	return r
}

// BenchmarkRound is a placement round, up to its commit.
func BenchmarkRound(b *testing.B) {
	for _, machines := range benchFleets {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			p := busyPlacer(machines)
			b.ReportAllocs()
			for b.Loop() {
				p.benchRound()
			}
		})
	}
}

// What a round allocates follows the groups that it writes and the waiting jobs: sixteen
// times the machines, with as many jobs, take no more than that.
func TestAllocationsOfARound(t *testing.T) {
	const fewJobs = 1000 / machinesPerJob
	rounds := func(machines int) float64 {
		p := busyPlacer(machines)
		for id := range p.activeJobs {
			if string(id) >= fmt.Sprintf("req-%06d", fewJobs) {
				delete(p.activeJobs, id)
			}
		}
		// A quarter of the writes is left for groups with nothing to prove.
		if placed := sum(p.benchRound().placed); placed != (benchRoundLimit-1)*benchGroupSize/4 {
			t.Fatalf("%d tasks placed", placed)
		}
		return testing.AllocsPerRun(20, func() { p.benchRound() })
	}
	small, large := rounds(1000), rounds(16000)
	if large > 1.2*small {
		t.Errorf("%v allocations with 1,000 machines, %v with 16,000", small, large)
	}
}
