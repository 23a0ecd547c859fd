package scheduler

import (
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// transaction is a commit in the making: all that concerns a group in one write. It counts its
// writes and bytes while it is put together, so that what is planned can be committed.
type transaction struct {
	limit                   int // of writes
	groupUpdates            map[string]*groupUpdate
	completionChunks        map[string]*statecache.CompletionChunk // by key
	finishedJobs            map[wire.JobID]int                     // jobs that are done: the writes that takes
	splitParts              map[string]int                         // groups to split: new records at most
	cancellations           map[wire.JobID]*statecache.Job         // jobs whose cancellation is stored
	jobPreconditions        map[wire.JobID]uint64                  // revisions that jobs must have
	assignmentPreconditions map[wire.TeamName]uint64               // revisions that assignments must have
	terminationBytes        int                                    // of what group records say of terminated tasks
}

// newTransaction begins a transaction of at most so many writes.
func newTransaction(limit int) transaction {
	return transaction{
		limit:                   limit,
		groupUpdates:            map[string]*groupUpdate{},
		completionChunks:        map[string]*statecache.CompletionChunk{},
		finishedJobs:            map[wire.JobID]int{},
		splitParts:              map[string]int{},
		cancellations:           map[wire.JobID]*statecache.Job{},
		jobPreconditions:        map[wire.JobID]uint64{},
		assignmentPreconditions: map[wire.TeamName]uint64{},
	}
}

// groupUpdate is the next record of a machine group.
type groupUpdate struct {
	*statecache.GroupUpdate
	size int // of the record in bytes, at most
}

// ops is the number of writes, at most.
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

// cancelledJobBytes is the most that the record of a cancelled job takes.
const cancelledJobBytes = 1024

// bytes is the size of the commit, at most. Records may have a size at which a transaction
// reaches the limit of a request body long before that of its writes.
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

// isFull tells that no more groups can be written.
func (t *transaction) isFull() bool {
	return t.ops() >= t.limit || t.bytes() >= statecache.MaxTxnRecordBytes
}

// machines lists the machines of all groups that are written.
func (t *transaction) machines() []wire.MachineID {
	var out []wire.MachineID
	for _, update := range t.groupUpdates {
		for _, rec := range update.Machines {
			out = append(out, rec.Name)
		}
	}
	return out
}
