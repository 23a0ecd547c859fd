package ledger

import (
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"time"

	"lynxledge/internal/state"
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
	Refused
	Unknown
)

// Commit is a change to make.
type Commit struct {
	Guards []wire.Guard
	Puts   []Put
	Delete []string
	// Settle repeats the same transaction until the outcome is certain. Since
	// its writes change what it guards, an answered repeat means that no
	// earlier copy can be applied any more.
	Settle bool
	// Patience is how long refusals are tried again.
	Patience time.Duration
}

// Put sets a key. Rec is the record that Value encodes.
type Put struct {
	Key   string
	Rec   any
	Lease uint64
}

// Ops is the number of writes.
func (c *Commit) Ops() int { return len(c.Puts) + len(c.Delete) }

// Commit makes the change and replies from the ledger's actor, after the
// subscribers were told of it.
func (l *Ledger) Commit(c Commit, reply func(Outcome)) {
	txn := &wire.Txn{Guards: c.Guards}
	for _, p := range c.Puts {
		raw, err := json.Marshal(p.Rec)
		if err != nil {
			slog.Error("record not encoded", "key", p.Key, "err", err)
			l.Send(func() { reply(Refused) })
			return
		}
		limit := l.opt.MaxValue
		if strings.HasPrefix(p.Key, Key(KindDone, "")) {
			limit = max(limit, l.opt.MaxChunk)
		}
		if limit > 0 && len(raw) > limit {
			slog.Error("record too large; nothing is written", "key", p.Key, "bytes", len(raw))
			l.Send(func() { reply(Refused) })
			return
		}
		txn.Writes = append(txn.Writes, wire.Write{Put: p.Key, Value: raw, Lease: p.Lease})
	}
	for _, k := range c.Delete {
		txn.Writes = append(txn.Writes, wire.Write{Delete: k})
	}
	if n := txnBytes(txn); n > wire.MaxBody {
		slog.Error("transaction too large; nothing is written", "bytes", n, "writes", len(txn.Writes), "guards", len(txn.Guards))
		l.Send(func() { reply(Refused) })
		return
	}
	go l.commit(c, txn, reply)
}

// WriteBytes is what a write or a guard takes of a transaction at most, besides
// its value.
const WriteBytes = 120

// RecordsBytes is what the records of one transaction may take; the rest of the body's
// limit is for guards, and for what the parts of a record that is split repeat.
const RecordsBytes = wire.MaxBody * 9 / 10

// txnBytes is at most the size of a transaction's body.
func txnBytes(txn *wire.Txn) int {
	n := WriteBytes
	for i := range txn.Guards {
		n += len(txn.Guards[i].Key) + 40
	}
	for i := range txn.Writes {
		w := &txn.Writes[i]
		n += len(w.Key()) + len(w.Value) + 60
	}
	return n
}

func (l *Ledger) commit(c Commit, txn *wire.Txn, reply func(Outcome)) {
	deadline := time.Now().Add(c.Patience)
	unknown := false
	for n := 0; ; n++ {
		rev, err := l.store.Commit(l.ctx, txn)
		var conflict *state.Conflict
		switch {
		case err == nil:
			l.Send(func() {
				l.committed(txn, rev)
				reply(Committed)
			})
			return
		case errors.As(err, &conflict):
			slog.Debug("guards failed", "keys", conflict.Failed)
			l.Send(func() { l.catchUp(conflict.Revision, func() { reply(Conflicted) }) })
			return
		case errors.Is(err, state.ErrNoLease), errors.Is(err, state.ErrInvalid):
			if errors.Is(err, state.ErrInvalid) {
				slog.Error("commit refused", "err", err, "writes", len(txn.Writes))
				if l.opt.TooLarge != nil {
					l.opt.TooLarge()
				}
			}
			l.Send(func() { reply(Refused) })
			return
		case errors.Is(err, state.ErrRefused):
			slog.Debug("commit refused", "err", err, "writes", len(txn.Writes))
		default:
			slog.Debug("commit unanswered", "err", err)
			unknown = true
		}
		if l.ctx.Err() != nil {
			return
		}
		if !(unknown && c.Settle) && time.Now().After(deadline) {
			out := Refused
			if unknown {
				out = Unknown
			}
			l.Send(func() { reply(out) })
			return
		}
		if errors.Is(err, state.ErrBusy) {
			if l.opt.Busy != nil {
				l.opt.Busy(time.Now())
			}
			// The service counts by the second: there is room for this before long,
			// and whoever waits for it holds up all that comes behind.
			l.sleep(time.Duration(len(txn.Writes)) * l.opt.WritePause)
			continue
		}
		l.pause(n)
	}
}

// committed takes an own commit over at once; the watch will repeat it.
func (l *Ledger) committed(txn *wire.Txn, rev uint64) {
	var chs []Change
	for _, w := range txn.Writes {
		c, ok := l.change(w.Key(), w.Value, rev)
		if !ok {
			continue
		}
		if w.Put == "" {
			l.deleted[c.Key] = rev
		}
		chs = append(chs, c)
	}
	l.publish(chs)
}

// catchUp runs f once the view has reached a revision, or cannot for now.
func (l *Ledger) catchUp(rev uint64, f func()) {
	if l.epoch >= rev || !l.loaded {
		f()
		return
	}
	l.refresh(func(error) { f() })
}
