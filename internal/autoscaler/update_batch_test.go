package autoscaler

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// fullGroup returns a group whose record was written in the first term and takes at least that many
// bytes.
func fullGroup(name string, bytes int) *statecache.MachineGroup {
	g := &statecache.MachineGroup{Name: name, MachineType: "s", Zone: "a", ModRevision: 5}
	for i := 0; g.EncodedSize() < bytes; i++ {
		m := &statecache.Machine{Name: wire.MachineID(fmt.Sprintf("i-%s-%04d", name, i)), Group: name, Address: "x:1", Incarnation: 1, FencingToken: statecache.FirstToken(1) + 9}
		for n := range 3 {
			m.Bindings = append(m.Bindings, statecache.TaskBinding{Job: "req-000001", TaskIndex: 3*i + n, Attempt: statecache.FirstToken(1) + 8})
		}
		g.Machines = append(g.Machines, m)
	}
	return g
}

// laterTermView returns a view of the groups in the second term, with teams assigned to a
// controller.
func laterTermView(groups []*statecache.MachineGroup, teams int) *statecache.View {
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

// For any sizes of groups and any updates of their machines: each update that stays in the batch is
// in exactly one record of the transaction, only terminated machines are missing from the records,
// and no record exceeds the size limit. The preconditions of a split are the record itself, every
// assignment, and the absence of the parts: without the assignments, a controller that teams are
// newly assigned to could miss tasks that move from one record to another.
func TestUpdateBatchWritesEachUpdateOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, maxWrites, teams = 2048, 8, 3
		var groups []*statecache.MachineGroup
		for i := range rapid.IntRange(1, 4).Draw(t, "groups") {
			groups = append(groups, fullGroup(fmt.Sprintf("g%d", i), rapid.IntRange(200, limit-100).Draw(t, "bytes")))
		}
		view := laterTermView(groups, teams)
		batch := newUpdateBatch(rapid.IntRange(1, maxWrites).Draw(t, "writes"), maxWrites)
		for _, g := range groups {
			group := drawUpdates(t, view, g)
			if len(batch.groups) < batch.writes {
				batch.groups[g.Name] = group
			}
		}
		requested := len(batch.groups)
		leftPending := batch.assemble(limit, view.AssignmentRevisions())
		if leftPending != (len(batch.groups) < requested) || batch.commit.Ops() > batch.writes {
			t.Fatalf("left pending %v with %d groups of %d, %d writes of %d", leftPending, len(batch.groups), requested, batch.commit.Ops(), batch.writes)
		}
		written := checkRecords(t, batch, limit)
		checkSplitPreconditions(t, batch, view)
		checkMachinesWritten(t, batch, view, written)
	})
}

// drawUpdates draws updates of the machines of a group.
func drawUpdates(t *rapid.T, view *statecache.View, g *statecache.MachineGroup) *groupUpdates {
	t.Helper()
	group := newGroupUpdates(view.UpdateGroup(g.Name))
	for _, m := range g.Machines {
		switch rapid.IntRange(0, 3).Draw(t, "update") {
		case 0:
			group.add(m.Name, machineUpdate{terminated: true})
		case 1:
			group.add(m.Name, machineUpdate{drainReason: "faulty"})
		case 2:
			group.add(m.Name, machineUpdate{suspected: true})
		}
	}
	return group
}

// checkRecords checks the size and the precondition of each written record, and that no machine is
// in two of them. It returns the machines of all records.
func checkRecords(t *rapid.T, batch *updateBatch, limit int) map[wire.MachineID]*statecache.Machine {
	t.Helper()
	written := map[wire.MachineID]*statecache.Machine{}
	for _, put := range batch.commit.Puts {
		g := put.Record.(*statecache.MachineGroup)
		if g.EncodedSize() > limit {
			t.Fatalf("%s: %d bytes", g.Name, g.EncodedSize())
		}
		modRevision := uint64(0)
		if batch.groups[g.Name] != nil {
			modRevision = 5
		}
		if !slices.Contains(batch.commit.Preconditions, wire.Precondition{Key: put.Key, ModRevision: modRevision}) {
			t.Fatalf("%s has no precondition on revision %d", put.Key, modRevision)
		}
		for _, m := range g.Machines {
			if written[m.Name] != nil {
				t.Fatalf("%s twice", m.Name)
			}
			written[m.Name] = m
		}
	}
	return written
}

// checkSplitPreconditions checks that a split has every assignment as a precondition.
func checkSplitPreconditions(t *rapid.T, batch *updateBatch, view *statecache.View) {
	t.Helper()
	split := len(batch.commit.Puts)+len(batch.commit.Deletes) > len(batch.groups)
	for team, modRevision := range view.AssignmentRevisions() {
		precondition := wire.Precondition{Key: statecache.Key(statecache.KindAssignment, string(team)), ModRevision: modRevision}
		if split && !slices.Contains(batch.commit.Preconditions, precondition) {
			t.Fatalf("split without a precondition on %s", team)
		}
	}
}

// checkMachinesWritten checks that each machine of the batch is written as its update requires.
func checkMachinesWritten(t *rapid.T, batch *updateBatch, view *statecache.View, written map[wire.MachineID]*statecache.Machine) {
	t.Helper()
	for name, group := range batch.groups {
		for _, old := range view.Groups[name].Machines {
			update, updated := group.machines[old.Name]
			next := written[old.Name]
			switch {
			case update.terminated:
				if next != nil {
					t.Fatalf("%s is terminated, and written", old.Name)
				}
			case next == nil:
				t.Fatalf("%s is missing", old.Name)
			case updated && (next.Suspected != update.suspected || next.DrainReason != update.drainReason || next.FencingToken <= old.FencingToken):
				t.Fatalf("%s: %+v became %+v", old.Name, update, next)
			case len(next.Bindings) != len(old.Bindings):
				t.Fatalf("%s has %d tasks of %d", old.Name, len(next.Bindings), len(old.Bindings))
			}
		}
	}
}

// A record whose parts don't fit into the transaction stays pending and doesn't block the others;
// it is written in a transaction of its own.
func TestLargeRecordWaitsForRoom(t *testing.T) {
	const limit = 2048
	large, small := fullGroup("large", limit*19/20), fullGroup("small", limit/4)
	view := laterTermView([]*statecache.MachineGroup{large, small}, 1)
	newBatch := func(writes int, groups ...*statecache.MachineGroup) *updateBatch {
		batch := newUpdateBatch(writes, 8)
		for _, g := range groups {
			group := newGroupUpdates(view.UpdateGroup(g.Name))
			for _, m := range g.Machines {
				group.add(m.Name, machineUpdate{suspected: true})
			}
			batch.groups[g.Name] = group
		}
		return batch
	}
	batch := newBatch(2, large, small)
	if leftPending := batch.assemble(limit, view.AssignmentRevisions()); !leftPending || batch.groups["large"] != nil || batch.groups["small"] == nil || batch.commit.Ops() != 1 {
		t.Errorf("both at once: left pending %v, %d writes", leftPending, batch.commit.Ops())
	}
	batch = newBatch(3, large)
	if leftPending := batch.assemble(limit, view.AssignmentRevisions()); leftPending || batch.groups["large"] == nil || batch.commit.Ops() < 2 {
		t.Errorf("alone: left pending %v, %d writes", leftPending, batch.commit.Ops())
	}
}
