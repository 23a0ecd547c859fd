package ledger

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
	List(ctx context.Context, prefix, after string, limit int) (*wire.Items, error)
	Commit(ctx context.Context, txn *wire.Txn) (uint64, error)
	Follow(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.Events, error)
}

// Delta tells a subscriber what changed. Fresh is the start of the newest
// read that the view reflects in full.
type Delta struct {
	Epoch   uint64
	Fresh   time.Time
	Changes []Change
}

// Options set the ledger's pace.
type Options struct {
	ChunkTasks int
	Hold       time.Duration   // of the long watch
	Gap        time.Duration   // least time between two watches: batches changes
	Refresh    time.Duration   // least time between two refreshes
	MaxAge     time.Duration   // a view older than this is refreshed unasked
	Backoff    time.Duration   // first pause after a failure
	WritePause time.Duration   // of the state service's rate, for one write
	MaxValue   int             // bytes of a value; more is never sent. 0: no limit
	MaxChunk   int             // of a done set's chunk, until the service refuses it
	Busy       func(time.Time) // is told of writes refused for their rate
	TooLarge   func()          // is told of a size that is refused
	ManyJobs   int             // known jobs beyond which a warning is logged, once. 0: none is
}

// EndedJobBytes is what a controller holds for a job that is over, as measured.
const EndedJobBytes = 210

// Ledger is the actor that owns the watched view.
type Ledger struct {
	*actor.Actor
	ctx   context.Context
	store Store
	opt   Options

	view    *View
	epoch   uint64
	fresh   time.Time
	loaded  bool
	warned  bool              // of many jobs
	deleted map[string]uint64 // keys deleted by own commits, until the watch passes them
	chains  *pipelines
	subs    []func(Delta)

	freshAt    atomic.Pointer[time.Time] // fresh, for those who only look
	waiters    []func(error)             // of the next refresh
	refreshing bool
	lastRefr   time.Time
}

// Start runs a ledger. Subscribers must be added before Run.
func Start(ctx context.Context, store Store, opt Options) *Ledger {
	view := NewView(opt.ChunkTasks)
	return &Ledger{
		Actor: actor.Start(ctx, "ledger", 1024), ctx: ctx, store: store, opt: opt,
		view: view, deleted: map[string]uint64{}, chains: newPipelines(view),
	}
}

// Fresh is the time from which the view is; zero before it is loaded.
func (l *Ledger) Fresh() time.Time {
	if t := l.freshAt.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Subscribe registers a receiver of deltas; it must not wait for the ledger.
func (l *Ledger) Subscribe(f func(Delta)) { l.subs = append(l.subs, f) }

// Run loads the view and follows it until the context ends.
func (l *Ledger) Run() {
	go l.follow()
	l.Every(l.opt.MaxAge/2, func() {
		if l.loaded && time.Since(l.fresh) > l.opt.MaxAge/2 {
			l.refresh(func(error) {})
		}
	})
}

// pause waits longer each time.
func (l *Ledger) pause(n int) { l.sleep(l.opt.Backoff << min(n, 5)) }

// sleep waits for d to 2d.
func (l *Ledger) sleep(d time.Duration) {
	d += time.Duration(rand.Int64N(int64(d) + 1))
	select {
	case <-time.After(d):
	case <-l.ctx.Done():
	}
}

// publish applies what is newer than the view and tells the subscribers.
func (l *Ledger) publish(chs []Change) {
	news := make([]Change, 0, len(chs)) // a job may change others besides
	for _, c := range chs {
		// What the view has already, as an own commit repeated by the watch, is
		// not told twice: what a record says of ended tasks would count twice.
		if c.Stamp <= l.view.stamp(c.Kind, c.Name) || c.Stamp < l.deleted[c.Key] {
			continue
		}
		j, isJob := c.Rec.(*Job)
		if isJob {
			c.Rec = l.chains.derive(c.Name, j)
		}
		l.view.Apply(c)
		news = append(news, c)
		if isJob {
			l.chains.spread(c.Name, func(id string, j *Job) {
				more := Change{Key: Key(KindJob, id), Kind: KindJob, Name: id, Rec: j, Stamp: j.Stamp}
				l.view.Apply(more)
				news = append(news, more)
			})
		}
	}
	l.warnOfManyJobs()
	fresh := l.fresh
	l.freshAt.Store(&fresh)
	d := Delta{Epoch: l.epoch, Fresh: l.fresh, Changes: news}
	for _, f := range l.subs {
		f(d)
	}
}

// warnOfManyJobs says once, long before it is too late, that the jobs that are kept for
// ever take much of the memory.
func (l *Ledger) warnOfManyJobs() {
	if l.warned || l.opt.ManyJobs <= 0 || len(l.view.Jobs) <= l.opt.ManyJobs {
		return
	}
	l.warned = true
	slog.Warn("finished jobs take much of the memory", "jobs", len(l.view.Jobs), "bytes_each", EndedJobBytes)
}

// Refresh reads all changes up to now; reply runs in the ledger's actor once
// a read begun after this call has been applied, or has failed. Requests that
// come together share a read.
func (l *Ledger) Refresh(reply func(error)) {
	if !l.Post(func() { l.refresh(reply) }) {
		reply(errors.New("ledger is overloaded"))
	}
}

func (l *Ledger) refresh(reply func(error)) {
	if !l.loaded {
		reply(errors.New("state not loaded yet"))
		return
	}
	l.waiters = append(l.waiters, reply)
	l.startRefresh()
}

func (l *Ledger) startRefresh() {
	if l.refreshing || len(l.waiters) == 0 {
		return
	}
	l.refreshing = true
	wait := max(0, l.opt.Refresh-time.Since(l.lastRefr))
	l.After(wait, func() {
		waiters := l.waiters
		l.waiters = nil
		l.lastRefr = time.Now()
		begun, epoch := l.lastRefr, l.epoch
		go func() {
			ev, err := l.store.Follow(l.ctx, Root, epoch, 0)
			l.Send(func() {
				l.refreshing = false
				if err == nil {
					l.events(ev, begun)
				}
				for _, w := range waiters {
					w(err)
				}
				l.startRefresh()
			})
		}()
	})
}
