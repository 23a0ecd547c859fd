package scheduler

import (
	"testing"

	"lynxledge/internal/statecache"
)

// A transaction counts its planned writes and bytes before the commit is built, and is full at the
// limit of either.
func TestTransactionCountsItsWrites(t *testing.T) {
	txn := newTransaction(8)
	for _, step := range []struct {
		name string
		add  func()
		ops  int
	}{
		{"a group", func() { txn.groupUpdates["a"] = &groupUpdate{GroupUpdate: &statecache.GroupUpdate{}, size: 100} }, 1},
		{"its split", func() { txn.splitParts["a"] = 2 }, 3},
		{"a completion chunk", func() { txn.completionChunks["k"] = &statecache.CompletionChunk{Bits: make([]byte, 30)} }, 4},
		{"a job that is done, and its chunk", func() { txn.finishedJobs["req-000001"] = 2 }, 6},
		{"a cancellation", func() { txn.cancellations["req-000002"] = &statecache.Job{} }, 7},
		{"a precondition", func() { txn.jobPreconditions["req-000002"] = 5 }, 7},
		{"another group", func() { txn.groupUpdates["b"] = &groupUpdate{GroupUpdate: &statecache.GroupUpdate{}, size: 100} }, 8},
	} {
		bytes := txn.bytes()
		step.add()
		if txn.ops() != step.ops || txn.isFull() != (step.ops >= 8) {
			t.Errorf("with %s: %d writes, full %v", step.name, txn.ops(), txn.isFull())
		}
		if step.name != "its split" && txn.bytes() <= bytes {
			t.Errorf("%s adds no bytes", step.name)
		}
	}
	large := newTransaction(8)
	if large.terminationBytes = statecache.MaxTxnRecordBytes; !large.isFull() {
		t.Error("not full by its bytes")
	}
}
