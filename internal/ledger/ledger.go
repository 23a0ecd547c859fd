package ledger

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/state"
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
}

// Ledger is the actor that owns the watched view.
type Ledger struct {
	*actor.Actor
	ctx   context.Context
	store Store
	opt   Options

	view   *View
	epoch  uint64
	fresh  time.Time
	loaded bool
	dead   map[string]uint64 // keys deleted by own commits, until the watch passes them
	chains *pipelines
	subs   []func(Delta)

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
		view: view, dead: map[string]uint64{}, chains: newPipelines(view),
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

// follow keeps one long watch open.
func (l *Ledger) follow() {
	fails, load := 0, true
	for l.ctx.Err() == nil {
		if load {
			if err := l.load(); err != nil {
				level := slog.LevelDebug
				if errors.Is(err, ErrLayout) {
					level = slog.LevelError // until the records are gone: see docs/operations.md
				}
				slog.Log(l.ctx, level, "state not loaded", "err", err)
				l.pause(fails)
				fails++
				continue
			}
			load, fails = false, 0
		}
		epoch, ok := actor.Ask(l.Actor, func(reply func(uint64)) { reply(l.epoch) })
		if !ok {
			l.pause(0)
			continue
		}
		begun := time.Now()
		ev, err := l.store.Follow(l.ctx, Root, epoch, l.opt.Hold)
		switch {
		case errors.Is(err, state.ErrTooOld):
			slog.Info("watch fell behind; reading everything again", "epoch", epoch)
			load = true
		case err != nil:
			slog.Debug("watch failed", "err", err)
			l.pause(fails)
			fails++
		default:
			fails = 0
			l.Send(func() { l.events(ev, begun) })
			if wait := l.opt.Gap - time.Since(begun); wait > 0 {
				time.Sleep(wait)
			}
		}
	}
}

// load lists every key, page by page, and brings the pages to one revision: what
// moved from a key of a page to come to one of a page that was read, as machines
// do from group to group, would else be missing for a moment.
func (l *Ledger) load() error {
	begun := time.Now()
	items := map[string]wire.Item{}
	var first uint64
	after := ""
	for {
		page, err := l.store.List(l.ctx, Root, after, 1000)
		if err != nil {
			return err
		}
		if first == 0 {
			first = page.Revision
		}
		for _, it := range page.Items {
			items[it.Key] = it
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	since, err := l.store.Follow(l.ctx, Root, first, 0)
	if err != nil {
		return err
	}
	for _, e := range since.Events {
		if e.Put != "" && items[e.Put].Version <= e.Version {
			items[e.Put] = wire.Item{Key: e.Put, Value: e.Value, Version: e.Version}
		} else if e.Put == "" && items[e.Delete].Version <= e.Version {
			delete(items, e.Delete)
		}
	}
	epoch := max(first, since.Revision)
	for _, it := range items {
		if strings.HasPrefix(it.Key, Key(KindBind, "")) {
			if _, err := decodeGroup("", it.Value, 0, nil); errors.Is(err, ErrLayout) {
				return fmt.Errorf("%s: %w", it.Key, err)
			}
		}
	}
	l.Send(func() {
		var jobs, chs []Change
		for _, it := range items {
			if c, ok := l.change(it.Key, it.Value, it.Version); ok && c.Kind == KindJob {
				jobs = append(jobs, c)
			} else if ok {
				chs = append(chs, c)
			}
		}
		l.order(chs)
		chs = append(jobs, chs...) // what is bound or done needs its job
		for _, c := range l.view.changes() {
			if _, there := items[c.Key]; !there && c.Stamp <= epoch {
				chs = append(chs, Change{Key: c.Key, Kind: c.Kind, Name: c.Name, Stamp: epoch})
			}
		}
		l.loaded = true
		l.epoch = max(l.epoch, epoch)
		l.fresh = begun
		l.publish(chs)
		slog.Info("state loaded", "keys", len(items), "epoch", epoch)
	})
	return nil
}

// change decodes a key's record; keys that make no sense are logged and left.
func (l *Ledger) change(key string, raw json.RawMessage, stamp uint64) (Change, bool) {
	kind, name, ok := split(key)
	if !ok {
		return Change{}, false
	}
	c := Change{Key: key, Kind: kind, Name: name, Stamp: stamp}
	if raw == nil {
		return c, true
	}
	rec, err := l.decode(kind, name, raw, stamp)
	if err != nil {
		slog.Error("record not understood", "key", key, "err", err)
		return Change{}, false
	}
	c.Rec = rec
	return c, true
}

func (l *Ledger) decode(kind, name string, raw json.RawMessage, stamp uint64) (any, error) {
	if kind == KindBind {
		return decodeGroup(name, raw, stamp, l.view.Groups[name])
	}
	return decode(kind, raw, stamp)
}

// events takes a watch's answer over. It carries every change after the
// revision asked for, so what lies at or below the view's epoch is known.
func (l *Ledger) events(ev *wire.Events, begun time.Time) {
	var chs []Change
	for _, e := range ev.Events {
		if e.Version <= l.epoch {
			continue
		}
		key, raw := e.Put, e.Value
		if key == "" {
			key, raw = e.Delete, nil
		}
		if c, ok := l.change(key, raw, e.Version); ok {
			chs = append(chs, c)
		}
	}
	l.order(chs)
	l.epoch = max(l.epoch, ev.Revision)
	if begun.After(l.fresh) {
		l.fresh = begun
	}
	l.publish(chs)
	// Only now: one answer may hold an older record of a key that an own commit
	// deleted. Taken over, it would bind its tasks to the old machine for a
	// moment, and hide where they have been bound since.
	for k, s := range l.dead {
		if s <= l.epoch {
			delete(l.dead, k)
		}
	}
}

// order has a group that takes over another's machines, in a merge or a split, come
// before the other's new record or its end, or they would seem to be gone in between;
// and jobs before what is bound of them.
func (l *Ledger) order(chs []Change) {
	rank := func(c *Change) int {
		switch {
		case c.Rec == nil:
			return 2
		case c.Kind == KindJob:
			return -1
		case c.Kind == KindBind && l.view.Groups[c.Name] == nil:
			return 0
		}
		return 1
	}
	slices.SortStableFunc(chs, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(rank(&a), rank(&b)))
	})
}

// publish applies what is newer than the view and tells the subscribers.
func (l *Ledger) publish(chs []Change) {
	news := make([]Change, 0, len(chs)) // a job may change others besides
	for _, c := range chs {
		// What the view has already, as an own commit repeated by the watch, is
		// not told twice: what a record says of ended tasks would count twice.
		if c.Stamp <= l.view.stamp(c.Kind, c.Name) || c.Stamp < l.dead[c.Key] {
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
	fresh := l.fresh
	l.freshAt.Store(&fresh)
	d := Delta{Epoch: l.epoch, Fresh: l.fresh, Changes: news}
	for _, f := range l.subs {
		f(d)
	}
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

// Outcome of a commit.
type Outcome int

// Outcomes. Committed and Conflicted are certain, and the view has caught up
// with them. Refused is certain too: nothing was changed. Unknown: the change
// may have been made, or may be yet.
const (
	Committed Outcome = iota
	Conflicted
	Refused
	Unknown
)

// Commit is a change to make.
type Commit struct {
	Guards []wire.Guard
	Puts   []Put
	Delete []string
	// Settle repeats the same transaction until the outcome is certain. Since
	// its writes change what it guards, an answered repeat means that no
	// earlier copy can be applied any more.
	Settle bool
	// Patience is how long refusals are tried again.
	Patience time.Duration
}

// Put sets a key. Rec is the record that Value encodes.
type Put struct {
	Key   string
	Rec   any
	Lease uint64
}

// Ops is the number of writes.
func (c *Commit) Ops() int { return len(c.Puts) + len(c.Delete) }

// Commit makes the change and replies from the ledger's actor, after the
// subscribers were told of it.
func (l *Ledger) Commit(c Commit, reply func(Outcome)) {
	txn := &wire.Txn{Guards: c.Guards}
	for _, p := range c.Puts {
		raw, err := json.Marshal(p.Rec)
		if err != nil {
			slog.Error("record not encoded", "key", p.Key, "err", err)
			l.Send(func() { reply(Refused) })
			return
		}
		limit := l.opt.MaxValue
		if strings.HasPrefix(p.Key, Key(KindDone, "")) {
			limit = max(limit, l.opt.MaxChunk)
		}
		if limit > 0 && len(raw) > limit {
			slog.Error("record too large; nothing is written", "key", p.Key, "bytes", len(raw))
			l.Send(func() { reply(Refused) })
			return
		}
		txn.Writes = append(txn.Writes, wire.Write{Put: p.Key, Value: raw, Lease: p.Lease})
	}
	for _, k := range c.Delete {
		txn.Writes = append(txn.Writes, wire.Write{Delete: k})
	}
	if n := txnBytes(txn); n > wire.MaxBody {
		slog.Error("transaction too large; nothing is written", "bytes", n, "writes", len(txn.Writes), "guards", len(txn.Guards))
		l.Send(func() { reply(Refused) })
		return
	}
	go l.commit(c, txn, reply)
}

// WriteBytes is what a write or a guard takes of a transaction at most, besides
// its value.
const WriteBytes = 120

// txnBytes is at most the size of a transaction's body.
func txnBytes(txn *wire.Txn) int {
	n := WriteBytes
	for i := range txn.Guards {
		n += len(txn.Guards[i].Key) + 40
	}
	for i := range txn.Writes {
		w := &txn.Writes[i]
		n += len(w.Key()) + len(w.Value) + 60
	}
	return n
}

func (l *Ledger) commit(c Commit, txn *wire.Txn, reply func(Outcome)) {
	deadline := time.Now().Add(c.Patience)
	unknown := false
	for n := 0; ; n++ {
		rev, err := l.store.Commit(l.ctx, txn)
		var conflict *state.Conflict
		switch {
		case err == nil:
			l.Send(func() {
				l.committed(txn, rev)
				reply(Committed)
			})
			return
		case errors.As(err, &conflict):
			slog.Debug("guards failed", "keys", conflict.Failed)
			l.Send(func() { l.catchUp(conflict.Revision, func() { reply(Conflicted) }) })
			return
		case errors.Is(err, state.ErrNoLease), errors.Is(err, state.ErrInvalid):
			if errors.Is(err, state.ErrInvalid) {
				slog.Error("commit refused", "err", err, "writes", len(txn.Writes))
				if l.opt.TooLarge != nil {
					l.opt.TooLarge()
				}
			}
			l.Send(func() { reply(Refused) })
			return
		case errors.Is(err, state.ErrRefused):
			slog.Debug("commit refused", "err", err, "writes", len(txn.Writes))
		default:
			slog.Debug("commit unanswered", "err", err)
			unknown = true
		}
		if l.ctx.Err() != nil {
			return
		}
		if !(unknown && c.Settle) && time.Now().After(deadline) {
			out := Refused
			if unknown {
				out = Unknown
			}
			l.Send(func() { reply(out) })
			return
		}
		if errors.Is(err, state.ErrBusy) {
			if l.opt.Busy != nil {
				l.opt.Busy(time.Now())
			}
			// The service counts by the second: there is room for this before long,
			// and whoever waits for it holds up all that comes behind.
			l.sleep(time.Duration(len(txn.Writes)) * l.opt.WritePause)
			continue
		}
		l.pause(n)
	}
}

// committed takes an own commit over at once; the watch will repeat it.
func (l *Ledger) committed(txn *wire.Txn, rev uint64) {
	var chs []Change
	for _, w := range txn.Writes {
		c, ok := l.change(w.Key(), w.Value, rev)
		if !ok {
			continue
		}
		if w.Put == "" {
			l.dead[c.Key] = rev
		}
		chs = append(chs, c)
	}
	l.publish(chs)
}

// catchUp runs f once the view has reached a revision, or cannot for now.
func (l *Ledger) catchUp(rev uint64, f func()) {
	if l.epoch >= rev || !l.loaded {
		f()
		return
	}
	l.refresh(func(error) { f() })
}
