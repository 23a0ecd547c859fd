package statecache

import (
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"time"

	"lynxledge/internal/kvstore"
	"lynxledge/wire"
)

// Outcome of a commit.
type Outcome int

// Outcomes. Committed and Conflicted are certain, and the view has caught up
// with them. Refused is certain too: nothing was changed. Unknown: the change
// may have been made, or may be yet.
const (
	Committed Outcome = iota
	Conflicted
	Rejected
	OutcomeUnknown
)

// Commit is a change to make.
type Commit struct {
	Preconditions []wire.Precondition
	Puts          []Put
	Deletes       []string
	// Settle repeats the same transaction until the outcome is certain. Since
	// its writes change what it guards, an answered repeat means that no
	// earlier copy can be applied any more.
	RetryUntilCertain bool
	// Patience is how long refusals are tried again.
	RetryFor time.Duration
}

// Put sets a key. Rec is the record that Value encodes.
type Put struct {
	Key     string
	Record  any
	LeaseID uint64
}

// Ops is the number of writes.
func (c *Commit) Ops() int { return len(c.Puts) + len(c.Deletes) }

// Commit makes the change and replies from the ledger's actor, after the
// subscribers were told of it.
func (l *Cache) Commit(c Commit, reply func(Outcome)) {
	txn := &wire.Txn{Preconditions: c.Preconditions}
	for _, p := range c.Puts {
		raw, err := json.Marshal(p.Record)
		if err != nil {
			slog.Error("record not encoded", "key", p.Key, "err", err)
			l.Send(func() { reply(Rejected) })
			return
		}
		limit := l.options.MaxValueBytes
		if strings.HasPrefix(p.Key, Key(KindCompletionChunk, "")) {
			limit = max(limit, l.options.MaxCompletionChunkBytes)
		}
		if limit > 0 && len(raw) > limit {
			slog.Error("record too large; nothing is written", "key", p.Key, "bytes", len(raw))
			l.Send(func() { reply(Rejected) })
			return
		}
		txn.Writes = append(txn.Writes, wire.Write{PutKey: p.Key, Value: raw, LeaseID: p.LeaseID})
	}
	for _, k := range c.Deletes {
		txn.Writes = append(txn.Writes, wire.Write{DeleteKey: k})
	}
	if n := txnBytes(txn); n > wire.MaxBodyBytes {
		slog.Error("transaction too large; nothing is written", "bytes", n, "writes", len(txn.Writes), "guards", len(txn.Preconditions))
		l.Send(func() { reply(Rejected) })
		return
	}
	go l.commitWithRetries(c, txn, reply)
}

// WriteOverheadBytes is what a write or a guard takes of a transaction at most, besides
// its value.
const WriteOverheadBytes = 120

// MaxTxnRecordBytes is what the records of one transaction may take; the rest of the body's
// limit is for guards, and for what the parts of a record that is split repeat.
const MaxTxnRecordBytes = wire.MaxBodyBytes * 9 / 10

// txnBytes is at most the size of a transaction's body.
func txnBytes(txn *wire.Txn) int {
	n := WriteOverheadBytes
	for i := range txn.Preconditions {
		n += len(txn.Preconditions[i].Key) + 40
	}
	for i := range txn.Writes {
		w := &txn.Writes[i]
		n += len(w.Key()) + len(w.Value) + 60
	}
	return n
}

func (l *Cache) commitWithRetries(c Commit, txn *wire.Txn, reply func(Outcome)) {
	deadline := time.Now().Add(c.RetryFor)
	unknown := false
	for n := 0; ; n++ {
		rev, err := l.store.Commit(l.ctx, txn)
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			l.Send(func() {
				l.applyOwnCommit(txn, rev)
				reply(Committed)
			})
			return
		case errors.As(err, &conflict):
			slog.Debug("guards failed", "keys", conflict.FailedKeys)
			l.Send(func() { l.catchUp(conflict.Revision, func() { reply(Conflicted) }) })
			return
		case errors.Is(err, kvstore.ErrLeaseNotFound), errors.Is(err, kvstore.ErrInvalidRequest):
			if errors.Is(err, kvstore.ErrInvalidRequest) {
				slog.Error("commit refused", "err", err, "writes", len(txn.Writes))
				if l.options.OnSizeRejected != nil {
					l.options.OnSizeRejected()
				}
			}
			l.Send(func() { reply(Rejected) })
			return
		case errors.Is(err, kvstore.ErrRejected):
			slog.Debug("commit refused", "err", err, "writes", len(txn.Writes))
		default:
			slog.Debug("commit unanswered", "err", err)
			unknown = true
		}
		if l.ctx.Err() != nil {
			return
		}
		if !(unknown && c.RetryUntilCertain) && time.Now().After(deadline) {
			out := Rejected
			if unknown {
				out = OutcomeUnknown
			}
			l.Send(func() { reply(out) })
			return
		}
		if errors.Is(err, kvstore.ErrThrottled) {
			if l.options.OnThrottled != nil {
				l.options.OnThrottled(time.Now())
			}
			// The service counts by the second: there is room for this before long,
			// and whoever waits for it holds up all that comes behind.
			l.sleep(time.Duration(len(txn.Writes)) * l.options.WriteInterval)
			continue
		}
		l.backOff(n)
	}
}

// applyOwnCommit takes an own commit over at once; the watch will repeat it.
func (l *Cache) applyOwnCommit(txn *wire.Txn, rev uint64) {
	var chs []Change
	for _, w := range txn.Writes {
		c, ok := l.decodeChange(w.Key(), w.Value, rev)
		if !ok {
			continue
		}
		if w.PutKey == "" {
			l.ownDeletions[c.Key] = rev
		}
		chs = append(chs, c)
	}
	l.publish(chs)
}

// catchUp runs f once the view has reached a revision, or cannot for now.
func (l *Cache) catchUp(rev uint64, f func()) {
	if l.revision >= rev || !l.loaded {
		f()
		return
	}
	l.refresh(func(error) { f() })
}
