package statecache

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/wire"
)

// Store is the part of the key-value store's client that the cache uses.
type Store interface {
	List(ctx context.Context, prefix, after string, limit int) (*wire.RangeResponse, error)
	Commit(ctx context.Context, txn *wire.Txn) (uint64, error)
	Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.WatchResponse, error)
}

// Update is a set of changes that a subscriber receives, with how recent the view is after them.
type Update struct {
	Revision  uint64
	FreshAsOf time.Time // start of the latest read whose changes the view includes completely
	Changes   []Change
}

// Options configures a Cache.
type Options struct {
	ChunkTasks              int             // tasks in a whole completion chunk
	WatchHold               time.Duration   // how long a watch waits for changes
	MinWatchInterval        time.Duration   // least time between the starts of two watches; batches changes
	MinRefreshInterval      time.Duration   // least time between the starts of two refreshes
	MaxViewAge              time.Duration   // the view is refreshed before it is older than this
	Backoff                 time.Duration   // first delay of the exponential backoff after failures
	WriteInterval           time.Duration   // average time for one write at the store's write rate
	MaxValueBytes           int             // larger values are never sent; 0: no limit
	MaxCompletionChunkBytes int             // the same for completion chunks; once the store rejects the size, parts within MaxValueBytes are written instead
	OnThrottled             func(time.Time) // called with the current time after the store throttled an attempt to commit
	OnSizeRejected          func()          // called after the store rejected a commit as invalid, as it does when a value is too large
	JobCountWarning         int             // number of known jobs above which a warning is logged, once; 0: never
}

// FinishedJobBytes is the memory that a controller uses for each finished job.
const FinishedJobBytes = 210

// Cache is the actor that owns the view and keeps it up to date.
type Cache struct {
	*actor.Actor
	ctx         context.Context // cancels the watch, retries, and calls to the store
	store       Store
	options     Options
	subscribers []func(Update)

	view           *View
	dependencies   *dependencyGraph
	progress       progress
	ownDeletions   ownDeletions
	refreshes      refreshQueue
	revisionWaits  []revisionWait
	jobCountWarned bool
}

// progress holds which state of the store the view includes.
type progress struct {
	loaded    bool
	revision  uint64
	freshAsOf time.Time
	published atomic.Pointer[time.Time] // freshAsOf, for readers outside the actor
}

// ownDeletions has the revisions at which commits of this cache deleted keys, by key, until the
// watch has reached them.
type ownDeletions map[string]uint64

// forget drops the deletions up to the revision that the watch has reached.
func (d ownDeletions) forget(watched uint64) {
	for key, revision := range d {
		if revision <= watched {
			delete(d, key)
		}
	}
}

// Start starts a Cache that runs until ctx ends. Subscribers must be registered before Run.
func Start(ctx context.Context, store Store, options Options) *Cache {
	view := NewView(options.ChunkTasks)
	return &Cache{
		Actor: actor.Start(ctx, "statecache", 1024), ctx: ctx, store: store, options: options,
		view: view, dependencies: newDependencyGraph(view), ownDeletions: ownDeletions{},
	}
}

// FreshAsOf returns the time as of which the view is up to date; zero before it is loaded.
func (c *Cache) FreshAsOf() time.Time {
	if t := c.progress.published.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Subscribe registers a function that receives all updates. It is called in the cache's actor and
// must not wait for the actor.
func (c *Cache) Subscribe(f func(Update)) { c.subscribers = append(c.subscribers, f) }

// Run loads the view and keeps it up to date, in the background, until the context of Start ends.
func (c *Cache) Run() {
	go c.watchLoop()
	c.Every(c.options.MaxViewAge/2, func() {
		if c.progress.loaded && time.Since(c.progress.freshAsOf) > c.options.MaxViewAge/2 {
			c.refresh(func(error) {})
		}
	})
}

// backOff pauses after a failure for a random time from d to 2d, where d is Options.Backoff doubled
// with each earlier failure, up to 32 times Options.Backoff.
func (c *Cache) backOff(failures int) { c.sleep(c.backoffDelay(failures)) }

// backoffDelay returns a random pause for backOff.
func (c *Cache) backoffDelay(failures int) time.Duration {
	return withJitter(c.options.Backoff << min(failures, 5))
}

// withJitter returns a random time from d to 2d.
func withJitter(d time.Duration) time.Duration { return d + time.Duration(rand.Int64N(int64(d)+1)) }

// sleep waits for d, or until the context ends.
func (c *Cache) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.ctx.Done():
	}
}

// publish applies the changes that the view does not include yet, notifies the subscribers, and ends
// the waits for revisions that the view now includes.
func (c *Cache) publish(changes []Change) {
	applied := make([]Change, 0, len(changes)) // grows when a job's change causes changes of other jobs
	for _, change := range changes {
		if !c.isKnown(change) {
			applied = c.apply(change, applied)
		}
	}
	c.warnOfJobCount()
	freshAsOf := c.progress.freshAsOf
	c.progress.published.Store(&freshAsOf)
	update := Update{Revision: c.progress.revision, FreshAsOf: freshAsOf, Changes: applied}
	for _, f := range c.subscribers {
		f(update)
	}
	c.endRevisionWaits()
}

// isKnown reports whether the view already includes a change, such as that of an own commit which
// the watch reports again. Subscribers must not receive it twice: they would count the
// terminations in a record twice.
func (c *Cache) isKnown(change Change) bool {
	return change.ModRevision <= c.view.modRevisionOf(change.Kind, change.Name) || change.ModRevision < c.ownDeletions[change.Key]
}

// apply applies a change, and the changes of other jobs that it causes, and appends them to
// applied.
func (c *Cache) apply(change Change, applied []Change) []Change {
	job, isJob := change.Record.(*Job)
	if !isJob {
		c.view.Apply(change)
		return append(applied, change)
	}
	id := wire.JobID(change.Name)
	change.Record = c.dependencies.derive(id, job)
	c.view.Apply(change)
	applied = append(applied, change)
	c.dependencies.propagate(id, func(id wire.JobID, j *Job) {
		derived := changeTo(string(id), j)
		c.view.Apply(derived)
		applied = append(applied, derived)
	})
	return applied
}

// warnOfJobCount logs a warning once, long before memory runs out, when the jobs, which are never
// deleted, take up much of it.
func (c *Cache) warnOfJobCount() {
	if c.jobCountWarned || c.options.JobCountWarning <= 0 || len(c.view.Jobs) <= c.options.JobCountWarning {
		return
	}
	c.jobCountWarned = true
	slog.Warn("finished jobs warning threshold exceeded", "jobs", len(c.view.Jobs), "bytes_per_job", FinishedJobBytes)
}
