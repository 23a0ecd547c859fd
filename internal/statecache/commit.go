package statecache

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"lynxledge/internal/kvstore"
	"lynxledge/wire"
)

// Outcome is the result of a commit.
type Outcome int

// Outcomes of a commit. An attempt that got no response may have been executed, and a retry may then
// conflict with it. So Conflicted does not mean that nothing was executed, only that the view
// includes what was.
const (
	Committed      Outcome = iota // it was executed, and the view includes it
	Conflicted                    // a precondition failed; the view includes the conflicting change, unless Commit.AcceptStaleView is set
	Rejected                      // it was certainly not executed
	OutcomeUnknown                // it may have been executed, or may still be
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Committed:
		return "committed"
	case Conflicted:
		return "conflicted"
	case Rejected:
		return "rejected"
	case OutcomeUnknown:
		return "outcome unknown"
	}
	return fmt.Sprintf("Outcome(%d)", int(o))
}

// pendingCommit is a commit whose outcome is not final.
type pendingCommit struct {
	Commit
	txn        *wire.Txn
	reply      func(Outcome)
	unanswered bool // an attempt got no response: it may have been executed, or may still be
}

// outcomeIfRejected returns the outcome if the last attempt was rejected. That of earlier attempts
// remains unknown if they got no response.
func (p *pendingCommit) outcomeIfRejected() Outcome {
	if p.unanswered {
		return OutcomeUnknown
	}
	return Rejected
}

// mustRetry reports whether the commit must not end with its outcome unknown.
func (p *pendingCommit) mustRetry() bool { return p.unanswered && p.RetryUntilCertain }

// Commit executes a commit. reply is called in the cache's actor, after the subscribers have
// received the changes, unless the cache's context ends before that. A commit that exceeds the
// store's limits is rejected without being sent.
func (c *Cache) Commit(commit Commit, reply func(Outcome)) {
	txn, err := c.options.encodeTxn(&commit)
	if err != nil {
		slog.Error("commit not sent", "error", err)
		c.Send(func() { reply(Rejected) })
		return
	}
	go c.commitWithRetries(&pendingCommit{Commit: commit, txn: txn, reply: reply})
}

// commitWithRetries sends a transaction until its outcome is final, or until RetryFor has passed
// and RetryUntilCertain does not require another attempt.
func (c *Cache) commitWithRetries(pending *pendingCommit) {
	deadline := time.Now().Add(pending.RetryFor)
	for failures := 0; ; failures++ {
		revision, err := c.store.Commit(c.ctx, pending.txn)
		if finish := c.finishFunc(pending, revision, err); finish != nil {
			c.Send(finish)
			return
		}
		if errors.Is(err, kvstore.ErrRejected) {
			slog.Debug("commit rejected", "error", err, "writes", len(pending.txn.Writes))
		} else {
			slog.Debug("commit outcome unknown", "error", err)
			pending.unanswered = true
		}
		if c.ctx.Err() != nil {
			return
		}
		if !pending.mustRetry() && time.Now().After(deadline) {
			c.Send(func() { pending.reply(pending.outcomeIfRejected()) })
			return
		}
		c.pauseBeforeRetry(err, pending.txn, failures)
	}
}

// finishFunc returns the function by which the actor finishes a commit after an attempt that
// another one would not improve on, or nil if the transaction may be retried.
func (c *Cache) finishFunc(pending *pendingCommit, revision uint64, err error) func() {
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
		return func() {
			c.applyOwnCommit(pending.txn, revision)
			pending.reply(Committed)
		}
	case errors.As(err, &conflict):
		slog.Debug("commit conflicted", "keys", conflict.FailedKeys, "revision", conflict.Revision)
		return func() { c.finishConflicted(pending, conflict.Revision) }
	case errors.Is(err, kvstore.ErrLeaseNotFound):
		return func() { pending.reply(pending.outcomeIfRejected()) }
	case errors.Is(err, kvstore.ErrInvalidRequest):
		slog.Error("commit rejected as invalid", "error", err, "writes", len(pending.txn.Writes))
		if c.options.OnSizeRejected != nil {
			c.options.OnSizeRejected()
		}
		return func() { pending.reply(pending.outcomeIfRejected()) }
	}
	return nil
}

// finishConflicted finishes a commit that conflicted at a revision, once the view includes that
// revision. The commit may have conflicted with an earlier attempt of its own, and a caller that
// decides from a view without it would make the same changes twice.
func (c *Cache) finishConflicted(pending *pendingCommit, revision uint64) {
	finish := func() { pending.reply(Conflicted) }
	if pending.AcceptStaleView {
		c.tryCatchUp(revision, finish)
		return
	}
	c.catchUp(revision, finish)
}

// pauseBeforeRetry waits before the next attempt. After throttling it does not back off but waits
// for one to two times as long as the writes take at the store's rate: the store counts writes
// per second, so it soon accepts more, and a caller that waits for this commit holds up
// everything queued behind it.
func (c *Cache) pauseBeforeRetry(err error, txn *wire.Txn, failures int) {
	if !errors.Is(err, kvstore.ErrThrottled) {
		c.backOff(failures)
		return
	}
	if c.options.OnThrottled != nil {
		c.options.OnThrottled(time.Now())
	}
	c.sleep(withJitter(time.Duration(len(txn.Writes)) * c.options.WriteInterval))
}

// applyOwnCommit applies the writes of an own commit without waiting for the watch, which will
// report them again.
func (c *Cache) applyOwnCommit(txn *wire.Txn, revision uint64) {
	var changes []Change
	for _, write := range txn.Writes {
		change, ok := c.decodeChange(write.Key(), write.Value, revision)
		if !ok {
			continue
		}
		if write.PutKey == "" {
			c.ownDeletions[change.Key] = revision
		}
		changes = append(changes, change)
	}
	c.publish(changes)
}
