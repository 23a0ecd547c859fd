package scheduler

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// idleAdvisor never gives advice.
type idleAdvisor struct{}

func (idleAdvisor) Advise(time.Time, placement.ClusterState) placement.Advice { return nil }

// zoneAdvice keeps arrays out of a zone, and reserves capacity on nodes.
type zoneAdvice struct {
	zone     wire.Zone
	reserved map[*placement.Node]resources.Vector
}

func (a zoneAdvice) Advise(time.Time, placement.ClusterState) placement.Advice { return a }
func (a zoneAdvice) Admits(n *placement.Node, j *wire.Job) bool {
	return j.IsService() || n.Zone != a.zone
}
func (a zoneAdvice) IsFallback(*placement.Node, *wire.Job) bool             { return false }
func (a zoneAdvice) PreferredNodes(wire.JobID) []*placement.Node            { return nil }
func (a zoneAdvice) RecoveryOrder(wire.JobID) int                           { return 0 }
func (a zoneAdvice) ReservedCapacity() map[*placement.Node]resources.Vector { return a.reserved }
func (a zoneAdvice) with(m map[*placement.Node]resources.Vector) (out zoneAdvice) {
	a.reserved = m
	return a
}

// newAdvisedScheduler returns a scheduler that doesn't run, with three machines in each of two
// zones, an array of priority normal, and a service of the lowest priority.
func newAdvisedScheduler(advisor Advisor) *Scheduler {
	cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
	cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 3 * time.Second, LeaseDuration: 34 * time.Second, CancellationDeadline: 64 * time.Second}
	cfg.Params.Store = config.StoreLimits{MaxValueKB: 8, MaxTxnOps: 24, RequestRate: 150, WriteRate: 50}
	cfg.Params.Teams = []config.TeamQuota{{Name: "red"}}
	s := newScheduler(Options{Config: cfg, Incarnation: 2})
	s.advice.advisor = advisor
	s.nodes.machineTypes["s"] = &wire.MachineType{Name: "s", CPUs: 4, MemoryGB: 16, Zones: []wire.Zone{"a", "b"}}
	s.nodes.offers = placement.ZoneOffers{"a": 1, "b": 1}
	now := time.Now()
	job := func(id wire.JobID, kind wire.JobKind, priority wire.Priority, tasks int) *statecache.Job {
		return &statecache.Job{TaskCount: tasks, SubmittedAt: statecache.TimestampOf(now), ModRevision: 1, Spec: &wire.Job{
			ID: id, Team: "red", Kind: kind, Priority: priority, TaskCount: tasks, CPUs: 1, MemoryGB: 1, Image: "img", EstimatedRuntime: 50,
		}}
	}
	for id, j := range map[wire.JobID]*statecache.Job{
		"req-000001": job("req-000001", wire.KindArray, wire.PriorityNormal, 30),
		"req-000002": job("req-000002", wire.KindService, wire.PriorityIdle, 6),
	} {
		s.view.Apply(statecache.Change{Kind: statecache.KindJob, Name: string(id), Record: j, ModRevision: 1})
		s.jobs.active[id] = j
	}
	s.view.Apply(statecache.Change{Kind: statecache.KindAssignment, Name: "red", Record: &statecache.Assignment{Member: "n0", Incarnation: 2, ModRevision: 1}, ModRevision: 1})
	s.revision, s.freshAsOf = 9, now
	for _, zone := range []wire.Zone{"a", "b"} {
		group := groupOf(string(zone), 3)
		group.Zone, group.ModRevision = zone, 1
		for _, rec := range group.Machines {
			rec.Bindings, rec.Group, rec.Zone, rec.MachineType = nil, group.Name, zone, "s"
		}
		for _, change := range s.view.Apply(statecache.Change{Kind: statecache.KindMachineGroup, Name: group.Name, Record: group, ModRevision: 1}) {
			s.applyMachineChange(change, now)
		}
	}
	return s
}

// launchCounts returns the number of launches in a cycle by job and zone.
func launchCounts(s *Scheduler) map[string]int {
	out := map[string]int{}
	for machine, commands := range s.planCycle(time.Now(), 24, true).commands.launches {
		for _, command := range commands {
			id, _, _ := wire.ParseTaskID(command.Task)
			out[fmt.Sprint(id, " ", s.nodes.node(machine).Zone)]++
		}
	}
	return out
}

// With an advisor that gives no advice, the same launches are planned as without an advisor.
func TestNoAdviceChangesNothing(t *testing.T) {
	without, idle := launchCounts(newAdvisedScheduler(nil)), launchCounts(newAdvisedScheduler(idleAdvisor{}))
	if !reflect.DeepEqual(without, idle) || len(without) == 0 {
		t.Errorf("%v, not %v", idle, without)
	}
	if n := without["req-000002 a"] + without["req-000002 b"]; n != 0 {
		t.Errorf("%d replicas of the lowest priority were placed first", n)
	}
}

// With advice, services are placed first whatever their priority, and arrays use neither nodes
// that the advice doesn't admit nor reserved capacity.
func TestAdviceIsFollowed(t *testing.T) {
	advice := zoneAdvice{zone: "a"}
	s := newAdvisedScheduler(advice)
	if got := launchCounts(s); got["req-000002 a"]+got["req-000002 b"] != 6 || got["req-000001 a"] != 0 || got["req-000001 b"] == 0 {
		t.Errorf("%v", got)
	}
	s = newAdvisedScheduler(nil)
	reserved := map[*placement.Node]resources.Vector{}
	for _, n := range s.nodes.all {
		if n.Zone == "b" {
			reserved[n] = resources.Vector{CPUs: 3, MemoryGB: 3}
		}
	}
	s.advice.advisor = advice.with(reserved)
	if got := launchCounts(s); got["req-000001 b"] > 3 {
		t.Errorf("arrays in reserved capacity: %v", got)
	}
}

// fallbackAdvice admits services to no node except as a fallback, and arrays to all.
type fallbackAdvice struct{ zoneAdvice }

func (a fallbackAdvice) Advise(time.Time, placement.ClusterState) placement.Advice { return a }
func (a fallbackAdvice) Admits(_ *placement.Node, j *wire.Job) bool                { return !j.IsService() }
func (a fallbackAdvice) IsFallback(_ *placement.Node, j *wire.Job) bool {
	return j.IsService()
}

// Fallback nodes include those of groups that the cycle itself updates. Such a node is not in
// nodeIndex.withCapacity yet; when it was left out, an array took the capacity although a service
// had no other node.
func TestFallbackInUpdatedGroups(t *testing.T) {
	s := newAdvisedScheduler(fallbackAdvice{})
	s.consultAdvisor(time.Now())
	s.nodes.withCapacity = nil
	c := s.newCycle(time.Now(), 24, resources.Usage{})
	service := s.jobs.active["req-000002"].Spec
	if n := len(c.fallbackNodes(service)); n != 0 {
		t.Errorf("%d machines before any group is opened", n)
	}
	c.openGroup("b")
	if n := len(c.fallbackNodes(service)); n != 3 {
		t.Errorf("%d of the three machines of the opened group", n)
	}
	if n := len(c.fallbackNodes(s.jobs.active["req-000001"].Spec)); n != 0 {
		t.Errorf("%d machines for an array", n)
	}
}

// While zones recover, replicas whose termination a cycle writes don't count towards their zone in
// that cycle. When they did, their service could not use the freed capacity, and an array took it.
func TestReplicasTerminatedInThisCycle(t *testing.T) {
	s := newAdvisedScheduler(fallbackAdvice{})
	s.consultAdvisor(time.Now())
	group := groupOf("a", 3)
	group.Zone, group.ModRevision = "a", 2
	for i, rec := range group.Machines {
		rec.Bindings, rec.Group, rec.Zone, rec.MachineType = []statecache.TaskBinding{{Job: "req-000002", TaskIndex: i, Attempt: 1}}, "a", "a", "s"
	}
	s.view.Apply(statecache.Change{Kind: statecache.KindMachineGroup, Name: "a", Record: group, ModRevision: 2})
	c := s.newCycle(time.Now(), 24, resources.Usage{})
	if counts := c.zoneCounts("req-000002"); counts["a"] != 3 {
		t.Errorf("%v before anything has terminated", counts)
	}
	rec := c.openGroup("a").UpdateMachine("i-a001")
	rec.Bindings = nil
	if counts := c.zoneCounts("req-000002"); counts["a"] != 2 {
		t.Errorf("%v after one has terminated", counts)
	}
	s.advice.current = nil // as without zone recovery
	if counts := c.zoneCounts("req-000002"); counts["a"] != 3 {
		t.Errorf("%v without advice", counts)
	}
}
