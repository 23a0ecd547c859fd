package statecache

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
	"lynxledge/internal/kvstore"
	"lynxledge/wire"
)

// watchLoop keeps one long watch open.
func (l *Cache) watchLoop() {
	fails, load := 0, true
	for l.ctx.Err() == nil {
		if load {
			if err := l.load(); err != nil {
				level := slog.LevelDebug
				if errors.Is(err, ErrUnknownLayout) {
					level = slog.LevelError // until the records are gone: see docs/operations.md
				}
				slog.Log(l.ctx, level, "state not loaded", "err", err)
				l.backOff(fails)
				fails++
				continue
			}
			load, fails = false, 0
		}
		epoch, ok := actor.Ask(l.Actor, func(reply func(uint64)) { reply(l.revision) })
		if !ok {
			l.backOff(0)
			continue
		}
		begun := time.Now()
		ev, err := l.store.Watch(l.ctx, KeyPrefix, epoch, l.options.WatchHold)
		switch {
		case errors.Is(err, kvstore.ErrRevisionCompacted):
			slog.Info("watch fell behind; reading everything again", "epoch", epoch)
			load = true
		case err != nil:
			slog.Debug("watch failed", "err", err)
			l.backOff(fails)
			fails++
		default:
			fails = 0
			l.Send(func() { l.applyWatchResponse(ev, begun) })
			if wait := l.options.MinWatchInterval - time.Since(begun); wait > 0 {
				time.Sleep(wait)
			}
		}
	}
}

// load lists every key, page by page, and brings the pages to one revision: what
// moved from a key of a page to come to one of a page that was read, as machines
// do from group to group, would else be missing for a moment.
func (l *Cache) load() error {
	begun := time.Now()
	items := map[string]wire.KeyValue{}
	var first uint64
	after := ""
	for {
		page, err := l.store.List(l.ctx, KeyPrefix, after, 1000)
		if err != nil {
			return err
		}
		if first == 0 {
			first = page.Revision
		}
		for _, it := range page.KeyValues {
			items[it.Key] = it
		}
		if !page.More || len(page.KeyValues) == 0 {
			break
		}
		after = page.KeyValues[len(page.KeyValues)-1].Key
	}
	since, err := l.store.Watch(l.ctx, KeyPrefix, first, 0)
	if err != nil {
		return err
	}
	for _, e := range since.Events {
		if e.PutKey != "" && items[e.PutKey].ModRevision <= e.ModRevision {
			items[e.PutKey] = wire.KeyValue{Key: e.PutKey, Value: e.Value, ModRevision: e.ModRevision}
		} else if e.PutKey == "" && items[e.DeletedKey].ModRevision <= e.ModRevision {
			delete(items, e.DeletedKey)
		}
	}
	epoch := max(first, since.Revision)
	for _, it := range items {
		if strings.HasPrefix(it.Key, Key(KindMachineGroup, "")) {
			if _, err := decodeGroup("", it.Value, 0, nil); errors.Is(err, ErrUnknownLayout) {
				return fmt.Errorf("%s: %w", it.Key, err)
			}
		}
	}
	l.Send(func() {
		var jobs, chs []Change
		for _, it := range items {
			if c, ok := l.decodeChange(it.Key, it.Value, it.ModRevision); ok && c.Kind == KindJob {
				jobs = append(jobs, c)
			} else if ok {
				chs = append(chs, c)
			}
		}
		l.sortChanges(chs)
		chs = append(jobs, chs...) // what is bound or done needs its job
		for _, c := range l.view.allRecords() {
			if _, there := items[c.Key]; !there && c.ModRevision <= epoch {
				chs = append(chs, Change{Key: c.Key, Kind: c.Kind, Name: c.Name, ModRevision: epoch})
			}
		}
		l.loaded = true
		l.revision = max(l.revision, epoch)
		l.freshAsOf = begun
		l.publish(chs)
		slog.Info("state loaded", "keys", len(items), "epoch", epoch)
	})
	return nil
}

// decodeChange decodes a key's record; keys that make no sense are logged and left.
func (l *Cache) decodeChange(key string, raw json.RawMessage, stamp uint64) (Change, bool) {
	kind, name, ok := splitKey(key)
	if !ok {
		return Change{}, false
	}
	c := Change{Key: key, Kind: kind, Name: name, ModRevision: stamp}
	if raw == nil {
		return c, true
	}
	rec, err := l.decodeRecord(kind, name, raw, stamp)
	if err != nil {
		slog.Error("record not understood", "key", key, "err", err)
		return Change{}, false
	}
	c.Record = rec
	return c, true
}

func (l *Cache) decodeRecord(kind, name string, raw json.RawMessage, stamp uint64) (any, error) {
	if kind == KindMachineGroup {
		return decodeGroup(name, raw, stamp, l.view.Groups[name])
	}
	return decodeKind(kind, raw, stamp)
}

// applyWatchResponse takes a watch's answer over. It carries every change after the
// revision asked for, so what lies at or below the view's epoch is known.
func (l *Cache) applyWatchResponse(ev *wire.WatchResponse, begun time.Time) {
	var chs []Change
	for _, e := range ev.Events {
		if e.ModRevision <= l.revision {
			continue
		}
		key, raw := e.PutKey, e.Value
		if key == "" {
			key, raw = e.DeletedKey, nil
		}
		if c, ok := l.decodeChange(key, raw, e.ModRevision); ok {
			chs = append(chs, c)
		}
	}
	l.sortChanges(chs)
	l.revision = max(l.revision, ev.Revision)
	if begun.After(l.freshAsOf) {
		l.freshAsOf = begun
	}
	l.publish(chs)
	// Only now: one answer may hold an older record of a key that an own commit
	// deleted. Taken over, it would bind its tasks to the old machine for a
	// moment, and hide where they have been bound since.
	for k, s := range l.ownDeletions {
		if s <= l.revision {
			delete(l.ownDeletions, k)
		}
	}
}

// sortChanges has a group that takes over another's machines, in a merge or a split, come
// before the other's new record or its end, or they would seem to be gone in between;
// and jobs before what is bound of them.
func (l *Cache) sortChanges(chs []Change) {
	rank := func(c *Change) int {
		switch {
		case c.Record == nil:
			return 2
		case c.Kind == KindJob:
			return -1
		case c.Kind == KindMachineGroup && l.view.Groups[c.Name] == nil:
			return 0
		}
		return 1
	}
	slices.SortStableFunc(chs, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.ModRevision, b.ModRevision), cmp.Compare(rank(&a), rank(&b)))
	})
}
