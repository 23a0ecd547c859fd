package scheduler

import (
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// transaction builds a commit, with a single write for all changes of a group. It tracks the writes
// and bytes planned so far, so that the plan stays within the store's limits.
type transaction struct {
	limit                   int // maximum number of writes
	groupUpdates            map[string]*groupUpdate
	completionChunks        map[string]*statecache.CompletionChunk // by key
	finishedJobs            map[wire.JobID]int                     // jobs to mark as done, with the number of writes for each
	splitParts              map[string]int                         // groups to split, with the most new records for each
	halved                  map[string]bool                        // those of them that are split in half
	cancellations           map[wire.JobID]*statecache.Job         // records of cancelled jobs to store
	jobPreconditions        map[wire.JobID]uint64                  // required revisions of job records
	assignmentPreconditions map[wire.TeamName]uint64               // required revisions of assignments
	terminationBytes        int                                    // size of the terminations in group records
}

// newTransaction returns an empty transaction of at most limit writes.
func newTransaction(limit int) transaction {
	return transaction{
		limit:                   limit,
		groupUpdates:            map[string]*groupUpdate{},
		completionChunks:        map[string]*statecache.CompletionChunk{},
		finishedJobs:            map[wire.JobID]int{},
		splitParts:              map[string]int{},
		halved:                  map[string]bool{},
		cancellations:           map[wire.JobID]*statecache.Job{},
		jobPreconditions:        map[wire.JobID]uint64{},
		assignmentPreconditions: map[wire.TeamName]uint64{},
	}
}

// groupUpdate is the next record of a machine group.
type groupUpdate struct {
	*statecache.GroupUpdate
	size int // upper bound on the record's size in bytes
}

// ops returns an upper bound on the number of writes.
func (t *transaction) ops() int {
	n := len(t.groupUpdates) + len(t.completionChunks) + len(t.cancellations)
	for _, parts := range t.splitParts {
		n += parts
	}
	for _, writes := range t.finishedJobs {
		n += writes
	}
	return n
}

// cancelledJobBytes is the maximum size of the record of a cancelled job.
const cancelledJobBytes = 1024

// bytes returns an upper bound on the size of the commit. With large records a transaction reaches
// the limit of a request body long before the limit of writes.
func (t *transaction) bytes() int {
	n := t.terminationBytes
	for _, update := range t.groupUpdates {
		n += update.size + statecache.WriteOverheadBytes
	}
	for _, chunk := range t.completionChunks {
		n += 4*len(chunk.Bits)/3 + statecache.WriteOverheadBytes
	}
	n += statecache.WriteOverheadBytes * (len(t.finishedJobs) + len(t.cancellations)*(1+cancelledJobBytes/statecache.WriteOverheadBytes))
	return n + statecache.WriteOverheadBytes*(len(t.jobPreconditions)+len(t.assignmentPreconditions))
}

// isFull reports whether no more groups can be added.
func (t *transaction) isFull() bool {
	return t.ops() >= t.limit || t.bytes() >= statecache.MaxTxnRecordBytes
}

// machines returns the machines of all groups in the transaction.
func (t *transaction) machines() []wire.MachineID {
	var out []wire.MachineID
	for _, update := range t.groupUpdates {
		for _, rec := range update.Machines {
			out = append(out, rec.Name)
		}
	}
	return out
}
