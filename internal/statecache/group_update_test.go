package statecache

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lynxledge/wire"
)

// Whatever a group's update changes, fencing tokens only increase, completions stay until their
// job has ended, and TrimToFit makes the record fit its limit or returns false.
func TestGroupUpdate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView(8)
		g := genGroup(t)
		for job := range g.Completions {
			state := rapid.SampledFrom([]wire.JobState{"", wire.JobCancelled}).Draw(t, "state")
			v.Apply(changeTo(string(job), &Job{State: state, TaskCount: wire.MaxTasksPerJob}))
		}
		v.Apply(changeTo("g", g))
		update := v.UpdateGroup("g")
		for _, m := range g.Machines {
			if rapid.Bool().Draw(t, "update") {
				if next := update.UpdateMachine(m.Name); next.FencingToken <= m.FencingToken || len(next.Bindings) != len(m.Bindings) {
					t.Fatalf("%+v after %+v", next, m)
				}
			} else if rapid.Bool().Draw(t, "remove") {
				update.RemoveMachine(m.Name)
			}
		}
		update.MarkCompleted("req-000777", 3)
		update.MarkCompleted("req-000777", 3)
		limit := rapid.IntRange(100, 3000).Draw(t, "limit")
		fits := update.TrimToFit(limit)
		raw, _ := json.Marshal(&update.MachineGroup)
		if fits && len(raw) > limit {
			t.Fatalf("%d bytes pass for %d", len(raw), limit)
		}
		next, err := decodeGroup("g", raw, 2, g)
		if err != nil {
			t.Fatal(err)
		}
		if len(next.Completions["req-000777"]) != 1 {
			t.Fatalf("completions %v", next.Completions)
		}
		for job, tasks := range g.Completions {
			if want := v.Jobs[job].Active(); want != slices.Equal(next.Completions[job], tasks) {
				t.Fatalf("%s: %v of %v", job, next.Completions[job], tasks)
			}
		}
	})
}

// genTwoGroups generates two groups, by name, among which up to 30 machines are distributed, and
// which both hold completions of one job.
func genTwoGroups(t *rapid.T) (groups map[string]*MachineGroup, machines int) {
	machines = rapid.IntRange(2, 30).Draw(t, "machines")
	groups = map[string]*MachineGroup{"a": {Name: "a", MachineType: "t", Zone: "z", ProvisionedAt: 5}, "b": {Name: "b", MachineType: "t", Zone: "z", ProvisionedAt: 7}}
	for i := range machines {
		g := groups[rapid.SampledFrom([]string{"a", "b"}).Draw(t, "group")]
		m := &Machine{Name: wire.MachineID(fmt.Sprintf("i-%06d", i)), Address: fmt.Sprintf("10.0.%d.1:9", i), Incarnation: 1, FencingToken: FirstToken(1) + uint64(i)}
		if rapid.Bool().Draw(t, "busy") {
			m.Bindings = []TaskBinding{{Job: "req-000001", TaskIndex: i, Attempt: m.FencingToken}}
		}
		g.Machines = append(g.Machines, m)
	}
	groups["a"].Completions = map[wire.JobID][]int{"req-000001": {100, 102}}
	groups["b"].Completions = map[wire.JobID][]int{"req-000001": {101, 102}}
	return groups, machines
}

// When a group takes over the machines of another in one commit, the view ends with the same
// machines and bindings, and no machine is reported as removed in between.
func TestGroupsMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView(8)
		v.Apply(changeTo("req-000001", &Job{TaskCount: 1000, ModRevision: 1}))
		put := func(g *MachineGroup, revision uint64) Change {
			raw, err := json.Marshal(g)
			if err != nil {
				t.Fatal(err)
			}
			record, err := decodeGroup(g.Name, raw, revision, v.Groups[g.Name])
			if err != nil {
				t.Fatal(err)
			}
			return changeTo(g.Name, record)
		}
		groups, machines := genTwoGroups(t)
		for name, g := range groups {
			if len(g.Machines) > 0 {
				v.Apply(put(g, 2))
			} else {
				delete(groups, name)
			}
		}
		if len(groups) < 2 {
			t.Skip()
		}
		want := maps.Clone(v.Machines)
		into, other := v.UpdateGroup("a"), v.UpdateGroup("b")
		into.Merge(other)
		var c Commit
		into.AddTo(&c)
		other.AddDeletionTo(&c)
		if c.Ops() != 2 || len(c.Preconditions) != 2 {
			t.Fatalf("%+v", c)
		}
		for _, change := range v.Apply(put(&into.MachineGroup, 3)) {
			if change.Old == nil || change.New == nil || change.Old.FencingToken != change.New.FencingToken || len(UnboundTasks(change.Old, change.New)) > 0 {
				t.Fatalf("%s changed: %+v %+v", change.Machine, change.Old, change.New)
			}
		}
		if changes := v.Apply(Change{Key: Key(KindMachineGroup, "b"), Kind: KindMachineGroup, Name: "b", ModRevision: 3}); len(changes) > 0 {
			t.Fatalf("changed by the deletion of the merged group: %+v", changes)
		}
		checkMerged(t, v, want, machines)
	})
}

// checkMerged checks that group a holds all machines and bindings of the view, unchanged by the
// merge.
func checkMerged(t *rapid.T, v *View, want map[wire.MachineID]*Machine, machines int) {
	bound := 0
	for name, m := range v.Machines {
		was := want[name]
		if was == nil || m.Group != "a" || m.Address != was.Address || m.FencingToken != was.FencingToken || !slices.Equal(m.Bindings, was.Bindings) {
			t.Fatalf("%s: %+v, was %+v", name, m, was)
		}
		for _, binding := range m.Bindings {
			if bound++; v.Bindings[binding.Job][binding.TaskIndex] != name {
				t.Fatalf("%s is not known to be bound", binding.TaskID())
			}
		}
	}
	if len(v.Machines) != machines || bound != len(v.Bindings["req-000001"]) || v.CompletedCount("req-000001") != 3 {
		t.Fatalf("%d machines, %d bound, %d completed", len(v.Machines), len(v.Bindings["req-000001"]), v.CompletedCount("req-000001"))
	}
}
