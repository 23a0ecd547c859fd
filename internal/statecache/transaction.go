package statecache

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"lynxledge/wire"
)

// Commit describes one compare-and-swap transaction.
type Commit struct {
	Preconditions []wire.Precondition
	Puts          []Put
	Deletes       []string
	// RetryUntilCertain reports whether a transaction whose outcome is unknown is retried, even
	// beyond RetryFor, until an attempt is executed or conflicts. Since its writes change the keys
	// that its preconditions compare, no earlier copy of it can be executed after that. The outcome
	// remains unknown only if the store rejects a retry for good.
	RetryUntilCertain bool
	// RetryFor is how long the transaction is retried while its outcome is not final.
	RetryFor time.Duration
	// AcceptStaleView lets a conflict end the commit even if the store can't be read. The view may
	// then lack the conflicting change, and whatever the commit itself has changed. Only for callers
	// that read the store before they decide anything else, or decide nothing else.
	AcceptStaleView bool
}

// Put sets a key to a record.
type Put struct {
	Key     string
	Record  Record
	LeaseID uint64 // lease that the key is attached to; 0: none
}

// Ops returns the number of writes.
func (c *Commit) Ops() int { return len(c.Puts) + len(c.Deletes) }

// WriteOverheadBytes is an upper bound on the size of a write or a precondition in a transaction,
// not counting its value.
const WriteOverheadBytes = 120

// MaxTxnRecordBytes is the largest total size of the records in one transaction. The rest of the
// request body is left for preconditions, and for what every part of a split record repeats.
const MaxTxnRecordBytes = wire.MaxBodyBytes * 9 / 10

// encodeTxn encodes a commit as a transaction, and fails if that exceeds the store's limits.
// Retrying does not help after its errors.
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

// maxValueBytes returns the size limit of a key's value; 0: none.
func (o *Options) maxValueBytes(key string) int {
	if strings.HasPrefix(key, Key(KindCompletionChunk, "")) {
		return max(o.MaxValueBytes, o.MaxCompletionChunkBytes)
	}
	return o.MaxValueBytes
}

// txnBytes returns an upper bound on the size of a transaction's request body.
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
