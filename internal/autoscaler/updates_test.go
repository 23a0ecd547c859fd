package autoscaler

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// fullGroup is a group of another term whose record fills so many bytes.
func fullGroup(name string, bytes int) *statecache.MachineGroup {
	g := &statecache.MachineGroup{Name: name, MachineType: "s", Zone: "a", ModRevision: 5}
	for i := 0; g.EncodedSize() < bytes; i++ {
		b := &statecache.Machine{Name: wire.MachineID(fmt.Sprintf("i-%s-%04d", name, i)), Group: name, Address: "x:1", Incarnation: 1, FencingToken: statecache.FirstToken(1) + 9}
		for n := range 3 {
			b.Bindings = append(b.Bindings, statecache.TaskBinding{Job: "req-000001", TaskIndex: 3*i + n, Attempt: statecache.FirstToken(1) + 8})
		}
		g.Machines = append(g.Machines, b)
	}
	return g
}

// editView is a view of groups in a later term, with teams handed to some controller.
func editView(groups []*statecache.MachineGroup, teams int) *statecache.View {
	view := statecache.NewView(1000)
	view.Apply(statecache.Change{Kind: statecache.KindTerm, Record: &statecache.Term{Number: 2, ModRevision: 1}})
	for i := range teams {
		view.Apply(statecache.Change{Kind: statecache.KindAssignment, Name: fmt.Sprintf("team-%d", i), Record: &statecache.Assignment{Member: "n1", Incarnation: 3, ModRevision: uint64(10 + i)}})
	}
	for _, g := range groups {
		view.Apply(statecache.Change{Kind: statecache.KindMachineGroup, Name: g.Name, Record: g})
	}
	return view
}

// However the groups are filled and whatever is wanted of their machines, each edit
// that leaves the batch is in exactly one record of the transaction, no machine but
// those that are gone is missing from it, and no record is beyond the limit. A record
// that was split is guarded on itself, on every assignment and on the absence of its
// parts: without the assignments, a controller that the teams go to could miss tasks
// on their way from one record to the other.
func TestEditBatchWritesEachEditOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, maxWrites, teams = 2048, 8, 3
		var groups []*statecache.MachineGroup
		for i := range rapid.IntRange(1, 4).Draw(t, "groups") {
			groups = append(groups, fullGroup(fmt.Sprintf("g%d", i), rapid.IntRange(200, limit-100).Draw(t, "bytes")))
		}
		view := editView(groups, teams)
		batch := &updateBatch{writes: rapid.IntRange(1, maxWrites).Draw(t, "writes"), maxWrites: maxWrites, groups: map[string]*groupUpdates{}}
		for _, g := range groups {
			edits := &groupUpdates{update: view.UpdateGroup(g.Name), machines: map[wire.MachineID]machineUpdate{}}
			for _, b := range g.Machines {
				switch rapid.IntRange(0, 3).Draw(t, "edit") {
				case 0:
					edits.machines[b.Name] = machineUpdate{terminated: true}
				case 1:
					edits.machines[b.Name] = machineUpdate{drainReason: "faulty"}
				case 2:
					edits.machines[b.Name] = machineUpdate{suspected: true}
				}
			}
			for m, e := range edits.machines {
				e.applyTo(edits.update, m)
			}
			if len(batch.groups) < batch.writes {
				batch.groups[g.Name] = edits
			}
		}
		asked := len(batch.groups)
		waiting := batch.assemble(limit, view.AssignmentRevisions())
		if waiting != (len(batch.groups) < asked) || batch.commit.Ops() > batch.writes {
			t.Fatalf("waiting %v with %d groups of %d, %d writes of %d", waiting, len(batch.groups), asked, batch.commit.Ops(), batch.writes)
		}
		written := map[wire.MachineID]*statecache.Machine{}
		split := len(batch.commit.Puts)+len(batch.commit.Deletes) > len(batch.groups)
		for _, put := range batch.commit.Puts {
			g := put.Record.(*statecache.MachineGroup)
			if g.EncodedSize() > limit {
				t.Fatalf("%s: %d bytes", g.Name, g.EncodedSize())
			}
			version := uint64(0)
			if batch.groups[g.Name] != nil {
				version = 5
			}
			if !slices.Contains(batch.commit.Preconditions, wire.Precondition{Key: put.Key, ModRevision: version}) {
				t.Fatalf("%s is not guarded on version %d", put.Key, version)
			}
			for _, b := range g.Machines {
				if written[b.Name] != nil {
					t.Fatalf("%s twice", b.Name)
				}
				written[b.Name] = b
			}
		}
		for team, stamp := range view.AssignmentRevisions() {
			guard := wire.Precondition{Key: statecache.Key(statecache.KindAssignment, string(team)), ModRevision: stamp}
			if split && !slices.Contains(batch.commit.Preconditions, guard) {
				t.Fatalf("split without a guard on %s", team)
			}
		}
		for name, group := range batch.groups {
			for _, old := range view.Groups[name].Machines {
				e, edited := group.machines[old.Name]
				row := written[old.Name]
				switch {
				case e.terminated:
					if row != nil {
						t.Fatalf("%s is gone, and written", old.Name)
					}
				case row == nil:
					t.Fatalf("%s is missing", old.Name)
				case edited && (row.Suspected != e.suspected || row.DrainReason != e.drainReason || row.FencingToken <= old.FencingToken):
					t.Fatalf("%s: %+v became %+v", old.Name, e, row)
				case len(row.Bindings) != len(old.Bindings):
					t.Fatalf("%s has %d tasks of %d", old.Name, len(row.Bindings), len(old.Bindings))
				}
			}
		}
	})
}

// A record for whose parts the transaction has no room waits, and doesn't hold up the
// others; in a transaction of its own it is written.
func TestLargeRecordWaitsForRoom(t *testing.T) {
	const limit = 2048
	large, small := fullGroup("large", limit*19/20), fullGroup("small", limit/4)
	view := editView([]*statecache.MachineGroup{large, small}, 1)
	batch := func(writes int, groups ...*statecache.MachineGroup) *updateBatch {
		b := &updateBatch{writes: writes, maxWrites: 8, groups: map[string]*groupUpdates{}}
		for _, g := range groups {
			edits := &groupUpdates{update: view.UpdateGroup(g.Name), machines: map[wire.MachineID]machineUpdate{}}
			for _, machine := range g.Machines {
				edits.machines[machine.Name] = machineUpdate{suspected: true}
				edits.machines[machine.Name].applyTo(edits.update, machine.Name)
			}
			b.groups[g.Name] = edits
		}
		return b
	}
	b := batch(2, large, small)
	if waiting := b.assemble(limit, view.AssignmentRevisions()); !waiting || b.groups["large"] != nil || b.groups["small"] == nil || b.commit.Ops() != 1 {
		t.Errorf("both at once: waiting %v, %d writes", waiting, b.commit.Ops())
	}
	b = batch(3, large)
	if waiting := b.assemble(limit, view.AssignmentRevisions()); waiting || b.groups["large"] == nil || b.commit.Ops() < 2 {
		t.Errorf("alone: waiting %v, %d writes", waiting, b.commit.Ops())
	}
}
