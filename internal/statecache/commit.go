package statecache

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"lynxledge/internal/kvstore"
	"lynxledge/wire"
)

// Outcome is what a commit came to.
type Outcome int

// Outcomes of a commit.
const (
	Committed      Outcome = iota // it was executed, and the view reflects it
	Conflicted                    // a precondition failed; the view has caught up with the conflict if the store can be read
	Rejected                      // it was certainly not executed
	OutcomeUnknown                // it may have been executed, or may be yet
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

// Commit executes a commit and replies in the cache's actor, after the subscribers were told
// of what changed. A commit beyond the store's limits is not sent.
func (c *Cache) Commit(commit Commit, reply func(Outcome)) {
	txn, err := c.options.encodeTxn(&commit)
	if err != nil {
		slog.Error("commit not sent", "error", err)
		c.Send(func() { reply(Rejected) })
		return
	}
	go c.commitWithRetries(commit, txn, reply)
}

// commitWithRetries sends a transaction until its outcome is final, or the commit's time for
// retries is over.
func (c *Cache) commitWithRetries(commit Commit, txn *wire.Txn, reply func(Outcome)) {
	deadline := time.Now().Add(commit.RetryFor)
	giveUpAs := Rejected
	for failures := 0; ; failures++ {
		revision, err := c.store.Commit(c.ctx, txn)
		if finish := c.finalOutcome(txn, revision, err, reply); finish != nil {
			c.Send(finish)
			return
		}
		if errors.Is(err, kvstore.ErrRejected) {
			slog.Debug("commit rejected", "error", err, "writes", len(txn.Writes))
		} else {
			slog.Debug("commit outcome unknown", "error", err)
			giveUpAs = OutcomeUnknown
		}
		if c.ctx.Err() != nil {
			return
		}
		mustSettle := giveUpAs == OutcomeUnknown && commit.RetryUntilCertain
		if !mustSettle && time.Now().After(deadline) {
			c.Send(func() { reply(giveUpAs) })
			return
		}
		c.pauseBeforeRetry(err, txn, failures)
	}
}

// finalOutcome returns what the actor does about the answer to an attempt; nil if the
// transaction may be tried again.
func (c *Cache) finalOutcome(txn *wire.Txn, revision uint64, err error, reply func(Outcome)) func() {
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

// pauseBeforeRetry waits before the next attempt. After throttling that is as long as the store
// takes for the writes at its rate: it counts by the second, so there is room before long, and
// whoever waits for this commit holds up all that comes behind.
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

// applyOwnCommit applies an own commit at once; the watch will repeat it.
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

// catchUp calls f once the view has reached a revision, or can't for now.
func (c *Cache) catchUp(revision uint64, f func()) {
	if c.progress.revision >= revision || !c.progress.loaded {
		f()
		return
	}
	c.refresh(func(error) { f() })
}
