package scheduler

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// silentAdvisor never has any advice.
type silentAdvisor struct{}

func (silentAdvisor) Advise(time.Time, ClusterState) Advice { return nil }

// zoneAdvice withholds a zone from arrays, and reserves room on a machine.
type zoneAdvice struct {
	zone     wire.Zone
	reserved map[*Node]resources.Vector
}

func (a zoneAdvice) Advise(time.Time, ClusterState) Advice              { return a }
func (a zoneAdvice) Admits(n *Node, j *wire.Job) bool                   { return j.IsService() || n.Zone != a.zone }
func (a zoneAdvice) IsFallback(*Node, *wire.Job) bool                   { return false }
func (a zoneAdvice) PreferredNodes(wire.JobID) []*Node                  { return nil }
func (a zoneAdvice) RecoveryOrder(wire.JobID) int                       { return 0 }
func (a zoneAdvice) ReservedCapacity() map[*Node]resources.Vector       { return a.reserved }
func (a zoneAdvice) with(m map[*Node]resources.Vector) (out zoneAdvice) { a.reserved = m; return a }

// advised makes a placer with machines in two zones, an urgent array of the highest
// priority but one, and a service of the lowest.
func advised(advisor Advisor) *Scheduler {
	cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
	cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 3 * time.Second, LeaseDuration: 34 * time.Second, CancellationDeadline: 64 * time.Second}
	cfg.Params.Store = config.StoreLimits{MaxValueKB: 8, MaxTxnOps: 24, RequestRate: 150, WriteRate: 50}
	cfg.Params.Teams = []config.TeamQuota{{Name: "red"}}
	p := newScheduler(cfg, 2)
	p.advisor = advisor
	p.machineTypes["s"] = &wire.MachineType{Name: "s", CPUs: 4, MemoryGB: 16, Zones: []wire.Zone{"a", "b"}}
	p.zoneOffers = ZoneOffers{"a": 1, "b": 1}
	now := time.Now()
	job := func(id wire.JobID, shape wire.JobKind, rank wire.Priority, tasks int) *statecache.Job {
		return &statecache.Job{TaskCount: tasks, SubmittedAt: statecache.TimestampOf(now), ModRevision: 1, Spec: &wire.Job{
			ID: id, Team: "red", Kind: shape, Priority: rank, TaskCount: tasks, CPUs: 1, MemoryGB: 1, Image: "img", EstimatedRuntime: 50,
		}}
	}
	for id, j := range map[wire.JobID]*statecache.Job{
		"req-000001": job("req-000001", wire.KindArray, wire.PriorityNormal, 30),
		"req-000002": job("req-000002", wire.KindService, wire.PriorityIdle, 6),
	} {
		p.view.Apply(statecache.Change{Kind: statecache.KindJob, Name: string(id), Record: j, ModRevision: 1})
		p.activeJobs[id] = j
	}
	p.view.Apply(statecache.Change{Kind: statecache.KindAssignment, Name: "red", Record: &statecache.Assignment{Member: "n0", Incarnation: 2, ModRevision: 1}, ModRevision: 1})
	p.revision, p.freshAsOf = 9, now
	for _, zone := range []wire.Zone{"a", "b"} {
		g := groupOf(string(zone), 3)
		g.Zone, g.ModRevision = zone, 1
		for _, m := range g.Machines {
			m.Bindings, m.Group, m.Zone, m.MachineType = nil, g.Name, zone, "s"
		}
		for _, m := range p.view.Apply(statecache.Change{Kind: statecache.KindMachineGroup, Name: g.Name, Record: g, ModRevision: 1}) {
			p.applyMachineChange(m, now)
		}
	}
	return p
}

// starts counts what a round starts: by job and zone.
func starts(p *Scheduler) map[string]int {
	out := map[string]int{}
	for machine, orders := range p.planCycle(time.Now(), 24).launches {
		for _, o := range orders {
			id, _, _ := wire.ParseTaskID(o.Task)
			out[fmt.Sprint(id, " ", p.nodes[machine].Zone)]++
		}
	}
	return out
}

// An advisor without advice changes nothing: the same rounds are made as without one.
func TestNoAdviceChangesNothing(t *testing.T) {
	without, silent := starts(advised(nil)), starts(advised(silentAdvisor{}))
	if !reflect.DeepEqual(without, silent) || len(without) == 0 {
		t.Errorf("%v, not %v", silent, without)
	}
	if n := without["req-000002 a"] + without["req-000002 b"]; n != 0 {
		t.Errorf("%d replicas of the lowest priority went first", n)
	}
}

// With advice, services go first whatever their priority; arrays keep out of machines
// that are withheld, and out of room that is reserved.
func TestAdviceIsFollowed(t *testing.T) {
	advice := zoneAdvice{zone: "a"}
	p := advised(advice)
	if got := starts(p); got["req-000002 a"]+got["req-000002 b"] != 6 || got["req-000001 a"] != 0 || got["req-000001 b"] == 0 {
		t.Errorf("%v", got)
	}
	p = advised(nil)
	reserved := map[*Node]resources.Vector{}
	for _, n := range p.allNodes {
		if n.Zone == "b" {
			reserved[n] = resources.Vector{CPUs: 3, MemoryGB: 3}
		}
	}
	p.advisor = advice.with(reserved)
	if got := starts(p); got["req-000001 b"] > 3 {
		t.Errorf("arrays in reserved room: %v", got)
	}
}

// lastResortAdvice admits services to no machine, but as a last resort to all.
type lastResortAdvice struct{ zoneAdvice }

func (a lastResortAdvice) Advise(time.Time, ClusterState) Advice { return a }
func (a lastResortAdvice) Admits(_ *Node, j *wire.Job) bool      { return !j.IsService() }
func (a lastResortAdvice) IsFallback(_ *Node, j *wire.Job) bool {
	return j.IsService()
}

// A machine that the round itself opens, by what a report proves, is in no index yet: an
// array got its room, while a service that could go nowhere else was not shown it.
func TestLastResortOfThisRound(t *testing.T) {
	p := advised(lastResortAdvice{})
	p.consultAdvisor(time.Now())
	p.nodesWithCapacity = nil
	r := newCycle(time.Now(), 24, resources.Usage{})
	service := p.activeJobs["req-000002"].Spec
	if n := len(p.fallbackNodes(r, service)); n != 0 {
		t.Errorf("%d machines before any is opened", n)
	}
	p.openGroup(r, "b")
	if n := len(p.fallbackNodes(r, service)); n != 3 {
		t.Errorf("%d of the three machines that the round writes", n)
	}
	if n := len(p.fallbackNodes(r, p.activeJobs["req-000001"].Spec)); n != 0 {
		t.Errorf("%d machines for an array", n)
	}
}

// Replicas that a round proves gone leave their zone in that round: else their service
// could not have the room that they leave, and an array took it.
func TestReplicasThatLeaveInThisRound(t *testing.T) {
	p := advised(lastResortAdvice{})
	p.consultAdvisor(time.Now())
	g := groupOf("a", 3)
	g.Zone, g.ModRevision = "a", 2
	for i, m := range g.Machines {
		m.Bindings, m.Group, m.Zone, m.MachineType = []statecache.TaskBinding{{Job: "req-000002", TaskIndex: i, Attempt: 1}}, "a", "a", "s"
	}
	p.view.Apply(statecache.Change{Kind: statecache.KindMachineGroup, Name: "a", Record: g, ModRevision: 2})
	r := newCycle(time.Now(), 24, resources.Usage{})
	if z := p.zoneCountsInCycle(r, "req-000002"); z["a"] != 3 {
		t.Errorf("%v before anything has left", z)
	}
	row := p.openGroup(r, "a").UpdateMachine("i-a001")
	row.Bindings = nil
	if z := p.zoneCountsInCycle(r, "req-000002"); z["a"] != 2 {
		t.Errorf("%v after one has left", z)
	}
	p.advice = nil // as without zone recovery
	if z := p.zoneCountsInCycle(r, "req-000002"); z["a"] != 3 {
		t.Errorf("%v without advice", z)
	}
}
