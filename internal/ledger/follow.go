package ledger

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/state"
	"lynxledge/wire"
)

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
	for k, s := range l.deleted {
		if s <= l.epoch {
			delete(l.deleted, k)
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
