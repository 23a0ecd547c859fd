package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

const (
	blockingService wire.JobID = "req-000001" // has two replicas in each of zones b and c, whose machines they fill
	blockedService  wire.JobID = "req-000002" // has one replica in zone a, and one that is pending
)

// moveFixture is a scheduler that doesn't run, with a machine of four CPUs in each of three zones
// and a service whose last replica can be placed only if a replica of another service is moved.
type moveFixture struct {
	*Scheduler
	now      time.Time
	revision uint64
}

// newMoveFixture returns a fixture with the given team quotas. The first of these teams owns the
// blocking service, and team red the blocked one; without quotas, team red owns both.
func newMoveFixture(teams ...config.TeamQuota) *moveFixture {
	teams = append(teams, config.TeamQuota{Name: "red"}) // of equal names the first quota counts
	f := newEmptyFixture(teams...)
	f.submitFor(teams[0].Name, blockingService, wire.KindService, 4)
	f.submit(blockedService, wire.KindService, 2)
	f.bind("a", blockedService, 0)
	f.bind("b", blockingService, 0, 1)
	f.bind("c", blockingService, 2, 3)
	f.images.recordUse("i-a", f.nodes.machineTypes["s"], cachedImage{"img", 1})
	return f
}

// newEmptyFixture returns a fixture without machines and jobs.
func newEmptyFixture(teams ...config.TeamQuota) *moveFixture {
	f := &moveFixture{Scheduler: newScheduler(Options{Config: testConfig(20, teams...), Incarnation: 1}), now: time.Now()}
	f.cycleScheduled = true // cycles are planned by the test
	f.nodes.setMachineTypes([]wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 32, Zones: []wire.Zone{"a", "b", "c"}}})
	f.put(&statecache.Assignment{Member: "n0", Incarnation: 1}, statecache.KindAssignment, "red")
	return f
}

// put applies a record as a change in the store.
func (f *moveFixture) put(record statecache.Record, kind statecache.Kind, name string) {
	f.revision++
	f.apply(statecache.Update{Revision: f.revision, FreshAsOf: f.now, Changes: []statecache.Change{{Kind: kind, Name: name, Record: record, ModRevision: f.revision}}})
}

// submit adds a job of team red whose tasks take half a machine each.
func (f *moveFixture) submit(id wire.JobID, kind wire.JobKind, tasks int) {
	f.submitFor("red", id, kind, tasks)
}

func (f *moveFixture) submitFor(team wire.TeamName, id wire.JobID, kind wire.JobKind, tasks int) {
	f.put(&statecache.Job{TaskCount: tasks, SubmittedAt: statecache.TimestampOf(f.now), Spec: &wire.Job{
		ID: id, Team: team, Kind: kind, Priority: wire.PriorityNormal, TaskCount: tasks, CPUs: 2, MemoryGB: 1, Image: "img", ImageGB: 1,
		SpreadZones: kind == wire.KindService, EstimatedRuntime: 10,
	}}, statecache.KindJob, string(id))
}

// bind replaces the bindings of the first machine of a zone by tasks of a job.
func (f *moveFixture) bind(zone wire.Zone, job wire.JobID, tasks ...int) {
	f.bindTo(wire.MachineID("i-"+zone), zone, job, tasks...)
}

// bindTo replaces the bindings of a machine, the only one of its group, by tasks of a job. The
// machine is added if it is new.
func (f *moveFixture) bindTo(name wire.MachineID, zone wire.Zone, job wire.JobID, tasks ...int) {
	group := strings.TrimPrefix(string(name), "i-")
	machine := &statecache.Machine{
		Name: name, Group: group, MachineType: "s", Zone: zone, Address: "x:1", Incarnation: 1, FencingToken: 9,
	}
	for _, task := range tasks {
		machine.Bindings = append(machine.Bindings, statecache.TaskBinding{Job: job, TaskIndex: task, Attempt: 1})
	}
	f.put(&statecache.MachineGroup{Name: group, MachineType: "s", Zone: zone, Machines: []*statecache.Machine{machine}}, statecache.KindMachineGroup, group)
}

// plan plans a scheduling cycle, and resets the nodes to their records as after a failed commit.
func (f *moveFixture) plan() *cycle {
	c := f.planCycle(f.now, 8, true)
	f.nodes.reset(c.machines())
	return c
}

// commitCycle applies the writes of a planned cycle.
func (f *moveFixture) commitCycle(t *testing.T, c *cycle) {
	t.Helper()
	var txn statecache.Commit
	if !c.addTo(&txn) {
		t.Fatal("a group's record can't be written")
	}
	for _, put := range txn.Puts {
		kind, name, _ := strings.Cut(strings.TrimPrefix(put.Key, statecache.KeyPrefix), "/")
		f.put(put.Record, statecache.Kind(kind), name)
	}
}

// terminateStopped applies records without the bindings of stopped tasks.
func (f *moveFixture) terminateStopped() {
	for name := range f.view.Groups {
		update := f.view.UpdateGroup(name)
		for _, machine := range slices.Clone(update.Machines) {
			next := update.UpdateMachine(machine.Name)
			next.Bindings = slices.DeleteFunc(next.Bindings, func(b statecache.TaskBinding) bool { return b.StopToken > 0 })
		}
		f.put(&update.MachineGroup, statecache.KindMachineGroup, name)
	}
}

// move runs a cycle that stops a replica of the blocking service to move it to zone a, and
// terminates the replica.
func (f *moveFixture) move(t *testing.T) {
	t.Helper()
	c := f.plan()
	if c.placed[blockedService] != 1 || !f.moves.isMoving(blockingService) {
		t.Fatalf("placed %v, moves %v", c.placed, f.moves.active)
	}
	f.commitCycle(t, c)
	f.terminateStopped()
}

// The capacity that a replica is moved to is held for it until it is bound. Guards against other
// tasks that take the capacity while the replica is being stopped.
func TestCapacityIsHeldForMovedReplica(t *testing.T) {
	f := newMoveFixture()
	f.move(t)
	f.submit("req-000003", wire.KindArray, 1)
	f.submit("req-000004", wire.KindArray, 1)
	f.view.Jobs["req-000004"].Spec.Priority = wire.PriorityHigh // placed ahead of the replica
	c := f.plan()
	if c.placed[blockingService] != 1 || c.placed["req-000003"] != 0 || c.placed["req-000004"] != 0 {
		t.Fatalf("placed %v", c.placed)
	}
	f.commitCycle(t, c)
	f.plan()
	if f.moves.isMoving(blockingService) || len(f.nodes.node("i-a").Claims) > 0 {
		t.Error("the move goes on after the replica was bound")
	}
}

// Quota of its team is held for a replica on the move until it is bound. Guards against a replica
// that is stopped and can't be bound again because of its team's limit.
func TestQuotaIsHeldForMovedReplica(t *testing.T) {
	f := newMoveFixture(config.TeamQuota{Name: "red", MaxCPUs: 12}) // six tasks
	f.move(t)
	f.bind("d", "")
	f.submit("req-000003", wire.KindArray, 1)
	f.view.Jobs["req-000003"].Spec.Priority = wire.PriorityProduction
	if c := f.plan(); c.placed[blockingService] != 1 || c.placed["req-000003"] != 0 {
		t.Errorf("placed %v", c.placed)
	}
}

// No replica is moved if its team is above its limit, since it could not be bound again. Guards
// against replicas that are stopped in vain.
func TestReplicaOfTeamAboveItsLimitIsNotMoved(t *testing.T) {
	f := newMoveFixture(config.TeamQuota{Name: "blue", MaxCPUs: 6}) // of eight used
	if c := f.plan(); len(c.commands.stops) > 0 {
		t.Errorf("stopped %v", c.commands.stops)
	}
}

// A move whose commit failed is dropped with its claim. Guards against capacity that stays claimed
// until the record of its machine changes.
func TestMoveThatIsNotCommittedIsDropped(t *testing.T) {
	f := newMoveFixture()
	if c := f.plan(); c.placed[blockedService] != 1 {
		t.Fatalf("placed %v", c.placed)
	}
	f.put(&statecache.Job{TaskCount: 2, State: wire.JobCancelled}, statecache.KindJob, string(blockedService))
	f.bind("a", "")
	f.submit("req-000003", wire.KindArray, 2)
	if c := f.plan(); c.placed["req-000003"] != 2 || f.moves.isMoving(blockingService) {
		t.Errorf("placed %v, moves %v", c.placed, f.moves.active)
	}
}

// Capacity is held for a replica on the move for at most a lease, since the machine that it is
// stopped on may be unreachable for long. Guards against free capacity that no job may use.
func TestCapacityIsHeldForALeaseAtMost(t *testing.T) {
	f := newMoveFixture()
	f.commitCycle(t, f.plan())
	f.submit("req-000003", wire.KindArray, 1)
	if c := f.plan(); c.placed["req-000003"] != 0 {
		t.Error("the capacity was not held")
	}
	f.now = f.now.Add(f.config.Params.Workers.LeaseDuration + time.Second)
	if c := f.plan(); c.placed["req-000003"] != 1 {
		t.Error("the capacity was held for too long")
	}
}

// No replica of a service is moved while another is pending, stopping or on a machine that is
// suspected or terminating. Guards against stopping all replicas of a small service.
func TestReplicaOfIncompleteServiceIsNotMoved(t *testing.T) {
	for name, disturb := range map[string]func(f *moveFixture){
		"one is pending":          func(f *moveFixture) { f.bind("c", blockingService, 2) },
		"a machine is suspected":  func(f *moveFixture) { f.view.Machines["i-c"].Suspected = true },
		"a machine is terminated": func(f *moveFixture) { f.view.Machines["i-c"].Terminating = true },
		"one is stopping":         func(f *moveFixture) { f.view.Machines["i-c"].Bindings[0].StopToken = 5 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newMoveFixture()
			disturb(f)
			f.nodes.refresh("i-c", f.view.Machines["i-c"])
			c := f.newCycle(f.now, 8, f.nodes.usage)
			nodes := []*placement.Node{f.nodes.node("i-b")}
			c.updateVictimFacts(nodes)
			if !nodes[0].Tasks[0].Service.Immovable {
				t.Error("a replica may be moved")
			}
		})
	}
}

// No replica of a service is moved whose tasks are held back after failures. Guards against replicas
// that are stopped and then not bound again.
func TestReplicaOfServiceThatIsHeldBackIsNotMoved(t *testing.T) {
	f := newMoveFixture()
	for range 3 {
		f.backoff.recordFailure(&statecache.Termination{Job: blockingService, Machine: "i-b", Reason: wire.ReasonError}, f.now)
	}
	workers := f.config.Params.Workers
	f.now = f.now.Add(workers.Heartbeats(2) + time.Second) // after the backoff
	if c := f.plan(); len(c.commands.stops) > 0 {
		t.Errorf("stopped %v", c.commands.stops)
	}
	f.now = f.now.Add(workers.Heartbeats(2)) // the replicas have outlived the failures
	f.move(t)
	if c := f.plan(); c.placed[blockingService] != 1 {
		t.Errorf("placed %v", c.placed)
	}
}

// Once a replica of a service is stopped in a cycle, no other one is moved in the same cycle. Guards
// against stopping all replicas of a small service at once.
func TestSecondReplicaIsNotMovedInACycle(t *testing.T) {
	f := newMoveFixture()
	c := f.newCycle(f.now, 8, f.nodes.usage)
	first, second := f.nodes.node("i-b"), f.nodes.node("i-c")
	c.updateVictimFacts([]*placement.Node{first, second})
	if set := second.Tasks[0].Service; set.Immovable || set.Running != 4 {
		t.Fatalf("replicas are immovable before any is stopped: %+v", set)
	}
	c.preempt(c.openGroup("b"), &placement.Victims{Node: first, Tasks: []int{0}, Target: f.nodes.node("i-a")}, f.view.Jobs[blockedService].Spec)
	if set := second.Tasks[0].Service; !set.Immovable || set.Running != 3 {
		t.Errorf("another replica may be moved: %+v", set)
	}
}

// A replica is moved to a node without its image only after the other service has waited for as long
// as fetching the image takes. Guards against moves that cost more than the shortage they end.
func TestMoveWithoutImageWaitsForAsLongAsTheFetch(t *testing.T) {
	f := newMoveFixture()
	f.images.forget("i-a")
	f.nodes.machineTypes["s"].ImageFetchGBps = 0.1 // 10 s for the image
	for _, step := range []struct {
		wait   time.Duration
		moving bool
	}{{0, false}, {9 * time.Second, false}, {2 * time.Second, true}} {
		f.now = f.now.Add(step.wait)
		if f.plan(); f.moves.isMoving(blockingService) != step.moving {
			t.Errorf("after another %v: moving %v", step.wait, !step.moving)
		}
	}
	if f.move(t); len(f.nodes.node("i-a").Claims) > 1 {
		t.Errorf("claims %v", f.nodes.node("i-a").Claims)
	}
}

// No replica is moved while any node has capacity for the task, even one that is not in the sample.
// Guards against replicas that are stopped in vain on large fleets.
func TestNoReplicaIsMovedWhileANodeHasCapacity(t *testing.T) {
	f := newMoveFixture()
	for i := range 10 * placement.MaxSample {
		f.bindTo(wire.MachineID(fmt.Sprintf("i-a%04d", i)), "a", "") // in the zone of the bound replica, excluded by the spread
	}
	f.bindTo("i-b2", "b", "")
	placed := 0
	for range 40 {
		c := f.plan()
		if len(c.commands.stops) > 0 {
			t.Fatalf("stopped %v", c.commands.stops)
		}
		placed += c.placed[blockedService]
	}
	if placed == 0 || placed == 40 {
		t.Errorf("placed %d of 40 times: the node was drawn always or never", placed)
	}
}

// A replica is not stopped to be moved if the record of its machine has no room to bind the task
// that replaces it. Guards against stops without a successor.
func TestNothingIsStoppedWithoutRoomInTheRecord(t *testing.T) {
	for _, room := range []int{0, statecache.BindingBytes(blockedService), 1 << 20} {
		f := newMoveFixture()
		c := f.newCycle(f.now, 8, f.nodes.usage)
		c.victims.searchShares = map[wire.Priority]float64{wire.PriorityNormal: 1}
		for _, group := range []string{"b", "c"} {
			update := c.openGroup(group)
			update.size = max(update.size, c.limits.valueBytes(statecache.BindingFillShare)-room)
		}
		for _, entry := range f.jobs.pending(f.ownAssignments(), nil, f.now) {
			c.placeJob(entry)
		}
		if stops := len(c.commands.stops); stops != c.placed[blockedService] || stops != room>>20 {
			t.Errorf("room for %d bytes: %d stops, %d placed", room, stops, c.placed[blockedService])
		}
	}
}

// A task that has waited for a while finds the only node in a large fleet that has capacity for it.
// Guards against jobs that wait because the samples miss such a node.
func TestWaitingTaskFindsTheOnlyNodeWithRoom(t *testing.T) {
	f := newMoveFixture()
	for i := range 4000 {
		f.bindTo(wire.MachineID(fmt.Sprintf("i-a%04d", i)), "a", "") // in the zone of the bound replica, excluded by the spread
	}
	f.bindTo("i-b2", "b", "")
	f.now = f.now.Add(f.config.Params.Workers.Heartbeats(3))
	if c := f.plan(); c.placed[blockedService] != 1 {
		t.Errorf("placed %v", c.placed)
	}
}
