package statecache

import "time"

// refreshQueue is who waits for the next refresh.
type refreshQueue struct {
	waiters  []func(error)
	inFlight bool
	last     time.Time
}

// Refresh reads all changes up to now. reply runs in the cache's actor once a read that began
// after this call has been applied, or has failed. Requests that come together share a read.
// The errors ErrNotLoaded and ErrOverloaded, and those of the store, are temporary.
func (c *Cache) Refresh(reply func(error)) {
	if !c.Post(func() { c.refresh(reply) }) {
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

// startRefresh begins a read for those who wait, unless one is under way: that began before
// they asked.
func (c *Cache) startRefresh() {
	if c.refreshes.inFlight || len(c.refreshes.waiters) == 0 {
		return
	}
	c.refreshes.inFlight = true
	pause := max(0, c.options.MinRefreshInterval-time.Since(c.refreshes.last))
	c.After(pause, func() {
		waiters := c.refreshes.waiters
		c.refreshes.waiters = nil
		c.refreshes.last = time.Now()
		go c.readChanges(c.progress.revision, c.refreshes.last, waiters)
	})
}

// readChanges reads the changes after a revision and applies them.
func (c *Cache) readChanges(after uint64, begun time.Time, waiters []func(error)) {
	response, err := c.store.Watch(c.ctx, KeyPrefix, after, 0)
	c.Send(func() {
		c.refreshes.inFlight = false
		if err == nil {
			c.applyWatchResponse(response, begun)
		}
		for _, reply := range waiters {
			reply(err)
		}
		c.startRefresh()
	})
}
