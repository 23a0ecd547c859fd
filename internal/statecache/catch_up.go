package statecache

import "log/slog"

// revisionWait is a call that waits until the view includes a revision.
type revisionWait struct {
	revision uint64
	f        func()
}

// includes reports whether the view is loaded and includes all changes up to a revision.
func (p *progress) includes(revision uint64) bool { return p.loaded && p.revision >= revision }

// catchUp calls f once the view includes all changes up to a revision, however long the store can't
// be read.
func (c *Cache) catchUp(revision uint64, f func()) {
	if c.progress.includes(revision) {
		f()
		return
	}
	c.revisionWaits = append(c.revisionWaits, revisionWait{revision, f})
	c.refreshUntil(revision, 0)
}

// refreshUntil refreshes the view until it includes a revision, with exponential backoff. The watch,
// or a read for another caller, may bring it there before that.
func (c *Cache) refreshUntil(revision uint64, failures int) {
	if c.progress.includes(revision) {
		return
	}
	c.refresh(func(err error) {
		if c.progress.includes(revision) {
			return
		}
		slog.Debug("commit waits for the view", "revision", revision, "view_revision", c.progress.revision, "error", err)
		c.After(c.backoffDelay(failures), func() { c.refreshUntil(revision, failures+1) })
	})
}

// endRevisionWaits ends the waits for revisions that the view includes.
func (c *Cache) endRevisionWaits() {
	var ended, open []revisionWait
	for _, wait := range c.revisionWaits {
		if c.progress.includes(wait.revision) {
			ended = append(ended, wait)
		} else {
			open = append(open, wait)
		}
	}
	c.revisionWaits = open
	for _, wait := range ended {
		wait.f()
	}
}

// tryCatchUp refreshes the view if it does not include a revision yet, and calls f even if that
// fails.
func (c *Cache) tryCatchUp(revision uint64, f func()) {
	if c.progress.includes(revision) {
		f()
		return
	}
	c.refresh(func(error) { f() })
}
