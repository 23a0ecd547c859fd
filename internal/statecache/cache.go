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

// Store is what the cache needs of the key-value store.
type Store interface {
	List(ctx context.Context, prefix, after string, limit int) (*wire.RangeResponse, error)
	Commit(ctx context.Context, txn *wire.Txn) (uint64, error)
	Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.WatchResponse, error)
}

// Update tells a subscriber what changed.
type Update struct {
	Revision  uint64
	FreshAsOf time.Time // start of the newest read that the view reflects in full
	Changes   []Change
}

// Options of a cache.
type Options struct {
	ChunkTasks              int             // tasks in a whole completion chunk
	WatchHold               time.Duration   // how long a watch waits for changes
	MinWatchInterval        time.Duration   // least time between two watches: batches changes
	MinRefreshInterval      time.Duration   // least time between two refreshes
	MaxViewAge              time.Duration   // an older view is refreshed without a request
	Backoff                 time.Duration   // first pause after a failure
	WriteInterval           time.Duration   // time for one write at the store's rate
	MaxValueBytes           int             // larger values are never sent. 0: no limit
	MaxCompletionChunkBytes int             // the same for completion chunks, until the store rejects the size
	OnThrottled             func(time.Time) // is told of writes rejected for their rate
	OnSizeRejected          func()          // is told of a commit rejected as invalid, as it is for its size
	JobCountWarning         int             // number of known jobs beyond which a warning is logged, once. 0: none is
}

// FinishedJobBytes is the memory that a controller holds for a finished job, as measured.
const FinishedJobBytes = 210

// Cache is the actor that owns the watched view.
type Cache struct {
	*actor.Actor
	ctx         context.Context // ends the watch, the retries and the calls of the store
	store       Store
	options     Options
	subscribers []func(Update)

	view           *View
	dependencies   *dependencyGraph
	progress       progress
	ownDeletions   ownDeletions
	refreshes      refreshQueue
	jobCountWarned bool
}

// progress is how far the view has followed the store.
type progress struct {
	loaded    bool
	revision  uint64
	freshAsOf time.Time
	published atomic.Pointer[time.Time] // freshAsOf, for readers outside the actor
}

// ownDeletions is the revisions of the deletions by own commits, by key, until the watch has
// passed them.
type ownDeletions map[string]uint64

// forget drops the deletions that the watch has passed.
func (d ownDeletions) forget(passed uint64) {
	for key, revision := range d {
		if revision <= passed {
			delete(d, key)
		}
	}
}

// Start starts a cache's actor until the context ends. Subscribers must be added before Run.
func Start(ctx context.Context, store Store, options Options) *Cache {
	view := NewView(options.ChunkTasks)
	return &Cache{
		Actor: actor.Start(ctx, "statecache", 1024), ctx: ctx, store: store, options: options,
		view: view, dependencies: newDependencyGraph(view), ownDeletions: ownDeletions{},
	}
}

// FreshAsOf returns the time as of which the view is; zero before it is loaded.
func (c *Cache) FreshAsOf() time.Time {
	if t := c.progress.published.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Subscribe registers a receiver of updates. It is called in the cache's actor and must not
// wait for it.
func (c *Cache) Subscribe(f func(Update)) { c.subscribers = append(c.subscribers, f) }

// Run loads the view and follows the store until the context ends.
func (c *Cache) Run() {
	go c.watchLoop()
	c.Every(c.options.MaxViewAge/2, func() {
		if c.progress.loaded && time.Since(c.progress.freshAsOf) > c.options.MaxViewAge/2 {
			c.refresh(func(error) {})
		}
	})
}

// backOff pauses longer after each failure.
func (c *Cache) backOff(failures int) { c.sleep(c.options.Backoff << min(failures, 5)) }

// sleep waits for d to 2d, or until the context ends.
func (c *Cache) sleep(d time.Duration) {
	d += time.Duration(rand.Int64N(int64(d) + 1))
	select {
	case <-time.After(d):
	case <-c.ctx.Done():
	}
}

// publish applies the changes that are newer than the view, and tells the subscribers.
func (c *Cache) publish(changes []Change) {
	applied := make([]Change, 0, len(changes)) // a job may change others besides
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
}

// isKnown tells whether the view reflects a change already, as an own commit that the watch
// repeats. Subscribers must not be told twice: they would count a record's terminations twice.
func (c *Cache) isKnown(change Change) bool {
	return change.ModRevision <= c.view.modRevisionOf(change.Kind, change.Name) || change.ModRevision < c.ownDeletions[change.Key]
}

// apply applies a change, and what follows from it for other jobs, and appends both to applied.
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

// warnOfJobCount warns once, long before it is too late, that the jobs, which are kept for good,
// take much of the memory.
func (c *Cache) warnOfJobCount() {
	if c.jobCountWarned || c.options.JobCountWarning <= 0 || len(c.view.Jobs) <= c.options.JobCountWarning {
		return
	}
	c.jobCountWarned = true
	slog.Warn("finished jobs warning threshold exceeded", "jobs", len(c.view.Jobs), "bytes_per_job", FinishedJobBytes)
}
