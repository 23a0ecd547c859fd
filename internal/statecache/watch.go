package statecache

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/kvstore"
	"lynxledge/wire"
)

// watchLoop loads the view and then watches the store until the context ends. It loads the view
// again when the store has compacted the revision from which the watch continues.
func (c *Cache) watchLoop() {
	failures, mustLoad := 0, true
	for c.ctx.Err() == nil {
		if mustLoad {
			if err := c.load(); err != nil {
				c.logLoadFailure(err)
				c.backOff(failures)
				failures++
				continue
			}
			mustLoad, failures = false, 0
		}
		err := c.watchOnce()
		switch {
		case err == nil:
			failures = 0
		case errors.Is(err, ErrOverloaded):
			c.backOff(0)
		case errors.Is(err, kvstore.ErrRevisionCompacted):
			slog.Info("watch revision compacted", "error", err)
			mustLoad = true
		default:
			slog.Debug("watch failed", "error", err)
			c.backOff(failures)
			failures++
		}
	}
}

func (c *Cache) logLoadFailure(err error) {
	level := slog.LevelDebug
	if errors.Is(err, ErrUnknownLayout) {
		level = slog.LevelError // persists until the records are gone; see docs/operations.md
	}
	slog.Log(c.ctx, level, "state load failed", "error", err)
}

// watchOnce waits for changes after the view's revision, and applies them.
func (c *Cache) watchOnce() error {
	revision, ok := actor.Ask(c.Actor, func(reply func(uint64)) { reply(c.progress.revision) })
	if !ok {
		return ErrOverloaded
	}
	startedAt := time.Now()
	response, err := c.store.Watch(c.ctx, KeyPrefix, revision, c.options.WatchHold)
	if err != nil {
		return fmt.Errorf("after revision %d: %w", revision, err)
	}
	c.Send(func() { c.applyWatchResponse(response, startedAt) })
	if pause := c.options.MinWatchInterval - time.Since(startedAt); pause > 0 {
		time.Sleep(pause)
	}
	return nil
}

// applyWatchResponse applies the events of a watch. A response has every change after the requested
// revision up to its own, so the view already includes events at or below the view's revision.
func (c *Cache) applyWatchResponse(response *wire.WatchResponse, startedAt time.Time) {
	var changes []Change
	for _, event := range response.Events {
		if event.ModRevision <= c.progress.revision {
			continue
		}
		key, raw := event.PutKey, event.Value
		if key == "" {
			key, raw = event.DeletedKey, nil
		}
		if change, ok := c.decodeChange(key, raw, event.ModRevision); ok {
			changes = append(changes, change)
		}
	}
	c.sortChanges(changes)
	c.progress.revision = max(c.progress.revision, response.Revision)
	if startedAt.After(c.progress.freshAsOf) {
		c.progress.freshAsOf = startedAt
	}
	c.publish(changes)
	// Own deletions must not be forgotten before publish, which needs them to skip older records of
	// the deleted keys. Applying such a record would briefly bind its tasks to the old machine, and
	// hide the machines to which they have been bound since.
	c.ownDeletions.forget(c.progress.revision)
}

// decodeChange decodes the change of a key; raw is nil if the key was deleted. A record that
// can't be decoded is logged and ignored.
func (c *Cache) decodeChange(key string, raw json.RawMessage, modRevision uint64) (Change, bool) {
	kind, name, ok := splitKey(key)
	if !ok {
		return Change{}, false
	}
	change := Change{Key: key, Kind: kind, Name: name, ModRevision: modRevision}
	if raw == nil {
		return change, true
	}
	record, err := c.decodeRecord(kind, name, raw, modRevision)
	if err != nil {
		slog.Error("record decoding failed", "key", key, "error", err)
		return Change{}, false
	}
	change.Record = record
	return change, true
}

func (c *Cache) decodeRecord(kind Kind, name string, raw json.RawMessage, modRevision uint64) (Record, error) {
	s := schemas[kind]
	if s == nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknownKind, kind)
	}
	return s.decode(c.view, name, raw, modRevision)
}

// sortChanges sorts changes by revision. Within a revision, jobs come first, since bindings and
// completions refer to them; then new groups, other records, and deletions. So a group that takes
// over machines, in a merge or a split, precedes the other group's new record or its deletion:
// otherwise the machines would be missing in between.
func (c *Cache) sortChanges(changes []Change) {
	rank := func(change *Change) int {
		switch {
		case change.Record == nil:
			return 2
		case change.Kind == KindJob:
			return -1
		case change.Kind == KindMachineGroup && c.view.Groups[change.Name] == nil:
			return 0
		}
		return 1
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.ModRevision, b.ModRevision), cmp.Compare(rank(&a), rank(&b)))
	})
}
