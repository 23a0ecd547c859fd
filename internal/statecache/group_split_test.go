package statecache

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lynxledge/wire"
)

// A split neither loses nor duplicates a machine, binding or completion. No record exceeds the
// size that it may be filled to, unless it holds a single machine or the completions of a single
// move. All group names differ.
func TestGroupsSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := genGroup(t)
		addCompletions(t, g)
		g.ModRevision, g.Terminations = 9, nil
		fill := rapid.IntRange(300, 1500).Draw(t, "fill")
		update := &GroupUpdate{MachineGroup: *g, updated: map[wire.MachineID]*Machine{}}
		parts := append([]*GroupUpdate{update}, update.splitToSize(fill)...)
		checkPartSizes(t, parts, fill)
		checkParts(t, g, parts)
	})
}

// A split in half neither loses nor duplicates a machine, binding or completion. Both halves hold
// something, and what they hold differs by no more than what is moved as a whole. What can't be divided
// stays as it is.
func TestGroupsSplitInHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := genGroup(t)
		addCompletions(t, g)
		g.ModRevision, g.Terminations = 9, nil
		update := &GroupUpdate{MachineGroup: *g, updated: map[wire.MachineID]*Machine{}}
		items := (&GroupUpdate{MachineGroup: *g}).takeContents()
		parts := append([]*GroupUpdate{update}, update.SplitInHalf()...)
		checkParts(t, g, parts)
		if want := min(2, max(1, len(items))); len(parts) != want {
			t.Fatalf("%d records of %d items", len(parts), len(items))
		}
		if len(parts) < 2 {
			return
		}
		kept, moved, largest := 0, 0, 0
		for _, item := range items {
			largest = max(largest, item.bytes)
			if holds(parts[0], &item) {
				kept += item.bytes
			} else {
				moved += item.bytes
			}
		}
		if parts[0].Name != g.Name || parts[0].Name == parts[1].Name || kept == 0 || moved == 0 || max(kept-moved, moved-kept) > largest {
			t.Fatalf("%s keeps %d bytes, %s gets %d; the largest item has %d", parts[0].Name, kept, parts[1].Name, moved, largest)
		}
	})
}

// holds reports whether an item of a group's contents is in a part of the group.
func holds(part *GroupUpdate, item *groupItem) bool {
	if item.machine == nil {
		return slices.Contains(part.Completions[item.job], item.tasks[0])
	}
	_, found := part.machineIndex(item.machine.Name)
	return found
}

// checkParts checks that the parts of a group hold its machines, bindings and completions once each.
func checkParts(t *rapid.T, g *MachineGroup, parts []*GroupUpdate) {
	machines, completions := map[wire.MachineID]*Machine{}, map[wire.JobID][]int{}
	for _, part := range parts {
		for job, tasks := range part.Completions {
			completions[job] = append(completions[job], tasks...)
		}
		for _, m := range decodePart(t, part).Machines {
			if machines[m.Name] != nil {
				t.Fatalf("%s twice", m.Name)
			}
			machines[m.Name] = m
		}
	}
	checkSplit(t, g, machines, completions)
}

// addCompletions adds as many completions as the record of an earlier version may hold.
func addCompletions(t *rapid.T, g *MachineGroup) {
	for job, tasks := range g.Completions {
		for n := range rapid.IntRange(0, 200).Draw(t, "more") {
			if next := tasks[len(tasks)-1] + 2 + n%2; next < wire.MaxTasksPerJob {
				tasks = append(tasks, next)
			}
		}
		g.Completions[job] = tasks
	}
}

func checkPartSizes(t *rapid.T, parts []*GroupUpdate, fill int) {
	names := map[string]bool{}
	for _, part := range parts {
		if names[part.Name] {
			t.Fatalf("%s twice", part.Name)
		}
		names[part.Name] = true
		if len(parts) > 1 && len(part.Machines)+len(part.Completions) == 0 {
			t.Fatal("an empty record")
		}
		pieces := len(part.Machines)
		for _, tasks := range part.Completions {
			pieces += (len(tasks) + completionsPerMove - 1) / completionsPerMove
		}
		if part.RetainedSize() > fill && pieces > 1 {
			t.Fatalf("%d bytes of %d in a record of %d pieces", part.RetainedSize(), fill, pieces)
		}
	}
}

// decodePart encodes and decodes a part, and checks that its machines are sorted.
func decodePart(t *rapid.T, part *GroupUpdate) *MachineGroup {
	raw, err := json.Marshal(&part.MachineGroup)
	if err != nil {
		t.Fatal(err)
	}
	g, err := decodeGroup(part.Name, raw, 9, nil)
	if err != nil || !slices.IsSortedFunc(g.Machines, func(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) }) {
		t.Fatalf("%s: %v", raw, err)
	}
	return g
}

// checkSplit checks that the parts of a group together hold what the group held.
func checkSplit(t *rapid.T, g *MachineGroup, machines map[wire.MachineID]*Machine, completions map[wire.JobID][]int) {
	for _, m := range g.Machines {
		got := machines[m.Name]
		if got == nil || got.FencingToken != m.FencingToken || got.Incarnation != m.Incarnation || got.Address != m.Address || got.DrainReason != m.DrainReason || got.Suspected != m.Suspected ||
			!slices.Equal(got.Bindings, m.Bindings) {
			t.Fatalf("%+v became %+v", m, got)
		}
	}
	if len(machines) != len(g.Machines) || len(completions) != len(g.Completions) {
		t.Fatalf("%d machines of %d, completions of %d jobs of %d", len(machines), len(g.Machines), len(completions), len(g.Completions))
	}
	for job, tasks := range g.Completions {
		got := slices.Sorted(slices.Values(completions[job]))
		if !slices.Equal(got, tasks) {
			t.Fatalf("%s: completions %v became %v", job, tasks, got)
		}
	}
}

// A machine that a split moves is never missing while the changes of its revision are applied,
// whatever the order in which the store reports the records.
func TestSplitMachinesAreNeverGone(t *testing.T) {
	for _, reversed := range []bool{false, true} {
		cache := Start(t.Context(), nil, Options{ChunkTasks: 8})
		view := NewUnfinishedView(8)
		cache.Subscribe(func(update Update) {
			for _, change := range update.Changes {
				for _, m := range view.Apply(change) {
					if m.New == nil {
						t.Errorf("reversed %v: %s is missing", reversed, m.Machine)
					}
				}
			}
		})
		put := func(g *MachineGroup, revision uint64) Change {
			change, ok := cache.decodeChange(Key(KindMachineGroup, g.Name), mustMarshal(g), revision)
			if !ok {
				t.Fatal("not decoded")
			}
			return change
		}
		whole := NewMachineGroup(GroupOptions{Name: "g", MachineType: "t", Zone: "z", ProvisionedAt: 5})
		for i := range 9 {
			whole.Machines = append(whole.Machines, &Machine{Name: wire.MachineID(fmt.Sprintf("i-%06d", i)), Address: "x:1", Incarnation: 1, FencingToken: 8, Bindings: []TaskBinding{{Job: "req-000001", TaskIndex: i, Attempt: 7}}})
		}
		cache.publish([]Change{put(whole, 4)})
		update := cache.view.UpdateGroup("g")
		changes := []Change{}
		for _, part := range update.splitToSize(300) {
			changes = append(changes, put(&part.MachineGroup, 5))
		}
		if changes = append(changes, put(&update.MachineGroup, 5)); len(changes) < 2 {
			t.Fatal("not split")
		}
		if reversed {
			slices.Reverse(changes)
		}
		cache.sortChanges(changes)
		cache.publish(changes)
		if len(view.Machines) != 9 || len(view.Bindings["req-000001"]) != 9 || len(view.Groups["g"].Machines) == 9 {
			t.Errorf("reversed %v: %d machines, %d bindings", reversed, len(view.Machines), len(view.Bindings["req-000001"]))
		}
	}
}
