package statecache

import "time"

// refreshQueue holds the replies to callers that wait for the next refresh.
type refreshQueue struct {
	waiters       []func(error)
	inFlight      bool // a read is scheduled or has started
	lastStartedAt time.Time
}

// Refresh brings the view up to date with the store. reply is called in the cache's actor once a
// read that began after this call has been applied or has failed, or immediately, with
// ErrOverloaded, if the actor's mailbox is full. Concurrent requests share a read. ErrNotLoaded,
// ErrOverloaded and the errors of the store are temporary.
func (c *Cache) Refresh(reply func(error)) {
	if !c.TrySend(func() { c.refresh(reply) }) {
		reply(ErrOverloaded)
	}
}

func (c *Cache) refresh(reply func(error)) {
	if !c.progress.loaded {
		reply(ErrNotLoaded)
		return
	}
	c.refreshes.waiters = append(c.refreshes.waiters, reply)
	c.startRefresh()
}

// startRefresh schedules a read for the waiting callers, unless one is scheduled or in flight. One
// in flight began before they asked, so another is scheduled when it has ended.
func (c *Cache) startRefresh() {
	if c.refreshes.inFlight || len(c.refreshes.waiters) == 0 {
		return
	}
	c.refreshes.inFlight = true
	pause := max(0, c.options.MinRefreshInterval-time.Since(c.refreshes.lastStartedAt))
	c.After(pause, func() {
		waiters := c.refreshes.waiters
		c.refreshes.waiters = nil
		c.refreshes.lastStartedAt = time.Now()
		go c.readChanges(c.progress.revision, c.refreshes.lastStartedAt, waiters)
	})
}

// readChanges reads the changes after a revision and applies them.
func (c *Cache) readChanges(after uint64, startedAt time.Time, waiters []func(error)) {
	response, err := c.store.Watch(c.ctx, KeyPrefix, after, 0)
	c.Send(func() {
		c.refreshes.inFlight = false
		if err == nil {
			c.applyWatchResponse(response, startedAt)
		}
		for _, reply := range waiters {
			reply(err)
		}
		c.startRefresh()
	})
}
