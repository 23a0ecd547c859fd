package statecache

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/wire"
)

// Store is what the ledger needs of the state service.
type Store interface {
	List(ctx context.Context, prefix, after string, limit int) (*wire.RangeResponse, error)
	Commit(ctx context.Context, txn *wire.Txn) (uint64, error)
	Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.WatchResponse, error)
}

// Update tells a subscriber what changed. Fresh is the start of the newest
// read that the view reflects in full.
type Update struct {
	Revision  uint64
	FreshAsOf time.Time
	Changes   []Change
}

// Options set the ledger's pace.
type Options struct {
	ChunkTasks              int
	WatchHold               time.Duration   // of the long watch
	MinWatchInterval        time.Duration   // least time between two watches: batches changes
	MinRefreshInterval      time.Duration   // least time between two refreshes
	MaxViewAge              time.Duration   // a view older than this is refreshed unasked
	Backoff                 time.Duration   // first pause after a failure
	WriteInterval           time.Duration   // of the state service's rate, for one write
	MaxValueBytes           int             // bytes of a value; more is never sent. 0: no limit
	MaxCompletionChunkBytes int             // of a done set's chunk, until the service refuses it
	OnThrottled             func(time.Time) // is told of writes refused for their rate
	OnSizeRejected          func()          // is told of a size that is refused
	JobCountWarning         int             // known jobs beyond which a warning is logged, once. 0: none is
}

// FinishedJobBytes is what a controller holds for a job that is over, as measured.
const FinishedJobBytes = 210

// Cache is the actor that owns the watched view.
type Cache struct {
	*actor.Actor
	ctx     context.Context
	store   Store
	options Options

	view           *View
	revision       uint64
	freshAsOf      time.Time
	loaded         bool
	jobCountWarned bool              // of many jobs
	ownDeletions   map[string]uint64 // keys deleted by own commits, until the watch passes them
	dependencies   *dependencyGraph
	subscribers    []func(Update)

	publishedFreshAsOf atomic.Pointer[time.Time] // fresh, for those who only look
	refreshWaiters     []func(error)             // of the next refresh
	refreshing         bool
	lastRefresh        time.Time
}

// Start runs a ledger. Subscribers must be added before Run.
func Start(ctx context.Context, store Store, opt Options) *Cache {
	view := NewView(opt.ChunkTasks)
	return &Cache{
		Actor: actor.Start(ctx, "ledger", 1024), ctx: ctx, store: store, options: opt,
		view: view, ownDeletions: map[string]uint64{}, dependencies: newDependencyGraph(view),
	}
}

// FreshAsOf is the time from which the view is; zero before it is loaded.
func (l *Cache) FreshAsOf() time.Time {
	if t := l.publishedFreshAsOf.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Subscribe registers a receiver of deltas; it must not wait for the ledger.
func (l *Cache) Subscribe(f func(Update)) { l.subscribers = append(l.subscribers, f) }

// Run loads the view and follows it until the context ends.
func (l *Cache) Run() {
	go l.watchLoop()
	l.Every(l.options.MaxViewAge/2, func() {
		if l.loaded && time.Since(l.freshAsOf) > l.options.MaxViewAge/2 {
			l.refresh(func(error) {})
		}
	})
}

// backOff waits longer each time.
func (l *Cache) backOff(n int) { l.sleep(l.options.Backoff << min(n, 5)) }

// sleep waits for d to 2d.
func (l *Cache) sleep(d time.Duration) {
	d += time.Duration(rand.Int64N(int64(d) + 1))
	select {
	case <-time.After(d):
	case <-l.ctx.Done():
	}
}

// publish applies what is newer than the view and tells the subscribers.
func (l *Cache) publish(chs []Change) {
	news := make([]Change, 0, len(chs)) // a job may change others besides
	for _, c := range chs {
		// What the view has already, as an own commit repeated by the watch, is
		// not told twice: what a record says of ended tasks would count twice.
		if c.ModRevision <= l.view.modRevision(c.Kind, c.Name) || c.ModRevision < l.ownDeletions[c.Key] {
			continue
		}
		j, isJob := c.Record.(*Job)
		if isJob {
			c.Record = l.dependencies.derive(wire.JobID(c.Name), j)
		}
		l.view.Apply(c)
		news = append(news, c)
		if isJob {
			l.dependencies.propagate(wire.JobID(c.Name), func(id wire.JobID, j *Job) {
				more := Change{Key: Key(KindJob, string(id)), Kind: KindJob, Name: string(id), Record: j, ModRevision: j.ModRevision}
				l.view.Apply(more)
				news = append(news, more)
			})
		}
	}
	l.warnOfManyJobs()
	fresh := l.freshAsOf
	l.publishedFreshAsOf.Store(&fresh)
	d := Update{Revision: l.revision, FreshAsOf: l.freshAsOf, Changes: news}
	for _, f := range l.subscribers {
		f(d)
	}
}

// warnOfManyJobs says once, long before it is too late, that the jobs that are kept for
// ever take much of the memory.
func (l *Cache) warnOfManyJobs() {
	if l.jobCountWarned || l.options.JobCountWarning <= 0 || len(l.view.Jobs) <= l.options.JobCountWarning {
		return
	}
	l.jobCountWarned = true
	slog.Warn("finished jobs take much of the memory", "jobs", len(l.view.Jobs), "bytes_each", FinishedJobBytes)
}

// Refresh reads all changes up to now; reply runs in the ledger's actor once
// a read begun after this call has been applied, or has failed. Requests that
// come together share a read.
func (l *Cache) Refresh(reply func(error)) {
	if !l.Post(func() { l.refresh(reply) }) {
		reply(errors.New("ledger is overloaded"))
	}
}

func (l *Cache) refresh(reply func(error)) {
	if !l.loaded {
		reply(errors.New("state not loaded yet"))
		return
	}
	l.refreshWaiters = append(l.refreshWaiters, reply)
	l.startRefresh()
}

func (l *Cache) startRefresh() {
	if l.refreshing || len(l.refreshWaiters) == 0 {
		return
	}
	l.refreshing = true
	wait := max(0, l.options.MinRefreshInterval-time.Since(l.lastRefresh))
	l.After(wait, func() {
		waiters := l.refreshWaiters
		l.refreshWaiters = nil
		l.lastRefresh = time.Now()
		begun, epoch := l.lastRefresh, l.revision
		go func() {
			ev, err := l.store.Watch(l.ctx, KeyPrefix, epoch, 0)
			l.Send(func() {
				l.refreshing = false
				if err == nil {
					l.applyWatchResponse(ev, begun)
				}
				for _, w := range waiters {
					w(err)
				}
				l.startRefresh()
			})
		}()
	})
}
