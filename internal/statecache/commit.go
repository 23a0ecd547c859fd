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

// Outcomes of a commit. An attempt that got no response may have been executed, and a retry
// may then conflict with it. A retry that is rejected as invalid or for a missing lease is final,
// too. So if an attempt got no response, neither Conflicted nor Rejected means that it was not
// executed.
const (
	Committed      Outcome = iota // it was executed, and the view includes it
	Conflicted                    // a precondition failed; the view includes the conflicting change if the store could be read
	Rejected                      // it was certainly not executed, unless an attempt got no response
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
	go c.commitWithRetries(commit, txn, reply)
}

// commitWithRetries sends a transaction until its outcome is final, or until RetryFor has passed
// and RetryUntilCertain does not require another attempt.
func (c *Cache) commitWithRetries(commit Commit, txn *wire.Txn, reply func(Outcome)) {
	deadline := time.Now().Add(commit.RetryFor)
	timeoutOutcome := Rejected
	for failures := 0; ; failures++ {
		revision, err := c.store.Commit(c.ctx, txn)
		if finish := c.finishFunc(txn, revision, err, reply); finish != nil {
			c.Send(finish)
			return
		}
		if errors.Is(err, kvstore.ErrRejected) {
			slog.Debug("commit rejected", "error", err, "writes", len(txn.Writes))
		} else {
			slog.Debug("commit outcome unknown", "error", err)
			timeoutOutcome = OutcomeUnknown
		}
		if c.ctx.Err() != nil {
			return
		}
		mustRetry := timeoutOutcome == OutcomeUnknown && commit.RetryUntilCertain
		if !mustRetry && time.Now().After(deadline) {
			c.Send(func() { reply(timeoutOutcome) })
			return
		}
		c.pauseBeforeRetry(err, txn, failures)
	}
}

// finishFunc returns the function by which the actor finishes a commit after an attempt with a
// final outcome, or nil if the transaction may be retried.
func (c *Cache) finishFunc(txn *wire.Txn, revision uint64, err error, reply func(Outcome)) func() {
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
		return func() {
			c.applyOwnCommit(txn, revision)
			reply(Committed)
		}
	case errors.As(err, &conflict):
		slog.Debug("commit conflicted", "keys", conflict.FailedKeys, "revision", conflict.Revision)
		return func() { c.catchUp(conflict.Revision, func() { reply(Conflicted) }) }
	case errors.Is(err, kvstore.ErrLeaseNotFound):
		return func() { reply(Rejected) }
	case errors.Is(err, kvstore.ErrInvalidRequest):
		slog.Error("commit rejected as invalid", "error", err, "writes", len(txn.Writes))
		if c.options.OnSizeRejected != nil {
			c.options.OnSizeRejected()
		}
		return func() { reply(Rejected) }
	}
	return nil
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
	c.sleep(time.Duration(len(txn.Writes)) * c.options.WriteInterval)
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

// catchUp calls f once the view has reached a revision, or at once if it is not loaded. If the
// refresh for it fails, f is called all the same.
func (c *Cache) catchUp(revision uint64, f func()) {
	if c.progress.revision >= revision || !c.progress.loaded {
		f()
		return
	}
	c.refresh(func(error) { f() })
}
