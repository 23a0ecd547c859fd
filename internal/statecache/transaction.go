package statecache

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"lynxledge/wire"
)

// Commit is a change to make as one compare-and-swap transaction.
type Commit struct {
	Preconditions []wire.Precondition
	Puts          []Put
	Deletes       []string
	// RetryUntilCertain repeats the same transaction until its outcome is certain. Since its
	// writes change what its preconditions compare, an answered repeat means that no earlier
	// copy can be executed any more.
	RetryUntilCertain bool
	// RetryFor is how long rejections are tried again.
	RetryFor time.Duration
}

// Put sets a key to a record.
type Put struct {
	Key     string
	Record  Record
	LeaseID uint64 // of the lease that the key is attached to. 0: none
}

// Ops returns the number of writes.
func (c *Commit) Ops() int { return len(c.Puts) + len(c.Deletes) }

// WriteOverheadBytes is at most what a write or a precondition takes of a transaction besides
// its value.
const WriteOverheadBytes = 120

// MaxTxnRecordBytes is what the records of one transaction may take; the rest of the body's
// limit is for preconditions, and for what the parts of a record that is split repeat.
const MaxTxnRecordBytes = wire.MaxBodyBytes * 9 / 10

// encodeTxn encodes a commit as a transaction within the store's limits. Its errors are final.
func (o *Options) encodeTxn(c *Commit) (*wire.Txn, error) {
	txn := &wire.Txn{Preconditions: c.Preconditions}
	for _, put := range c.Puts {
		raw, err := json.Marshal(put.Record)
		if err != nil {
			return nil, fmt.Errorf("encoding %s: %w", put.Key, err)
		}
		if limit := o.maxValueBytes(put.Key); limit > 0 && len(raw) > limit {
			return nil, &RecordTooLargeError{Key: put.Key, Bytes: len(raw), Limit: limit}
		}
		txn.Writes = append(txn.Writes, wire.Write{PutKey: put.Key, Value: raw, LeaseID: put.LeaseID})
	}
	for _, key := range c.Deletes {
		txn.Writes = append(txn.Writes, wire.Write{DeleteKey: key})
	}
	if n := txnBytes(txn); n > wire.MaxBodyBytes {
		return nil, &TransactionTooLargeError{Bytes: n, Limit: wire.MaxBodyBytes, Writes: len(txn.Writes), Preconditions: len(txn.Preconditions)}
	}
	return txn, nil
}

// maxValueBytes returns the limit of a key's value; 0: none.
func (o *Options) maxValueBytes(key string) int {
	if strings.HasPrefix(key, Key(KindCompletionChunk, "")) {
		return max(o.MaxValueBytes, o.MaxCompletionChunkBytes)
	}
	return o.MaxValueBytes
}

// txnBytes is at most the size of a transaction's body.
func txnBytes(txn *wire.Txn) int {
	n := WriteOverheadBytes
	for i := range txn.Preconditions {
		n += len(txn.Preconditions[i].Key) + 40
	}
	for i := range txn.Writes {
		write := &txn.Writes[i]
		n += len(write.Key()) + len(write.Value) + 60
	}
	return n
}
