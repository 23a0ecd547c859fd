package statecache

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"lynxledge/wire"
)

// listPageSize is the number of keys in a page of a listing.
const listPageSize = 1000

// snapshot holds all keys as of one revision.
type snapshot struct {
	items    map[string]wire.KeyValue
	revision uint64
}

// load reads a snapshot of the store and has the actor apply it to the view.
func (c *Cache) load() error {
	startedAt := time.Now()
	snap, err := c.readSnapshot()
	if err != nil {
		return err
	}
	if err := snap.checkLayouts(); err != nil {
		return err
	}
	c.Send(func() { c.applySnapshot(snap, startedAt) })
	return nil
}

// readSnapshot lists all keys page by page, and then applies the changes since the first page, so
// that all keys are as of one revision. Otherwise a machine that moves between groups while the
// pages are read would be missing for a moment, if its new group is on a page already read and
// its old one on a later page.
func (c *Cache) readSnapshot() (*snapshot, error) {
	snap, err := c.listAll()
	if err != nil {
		return nil, err
	}
	response, err := c.store.Watch(c.ctx, KeyPrefix, snap.revision, 0)
	if err != nil {
		return nil, err
	}
	for _, event := range response.Events {
		snap.apply(event)
	}
	snap.revision = max(snap.revision, response.Revision)
	return snap, nil
}

// listAll lists all keys. The snapshot's revision is that of the first page; later pages may be
// newer.
func (c *Cache) listAll() (*snapshot, error) {
	snap := &snapshot{items: map[string]wire.KeyValue{}}
	for after := ""; ; {
		page, err := c.store.List(c.ctx, KeyPrefix, after, listPageSize)
		if err != nil {
			return nil, err
		}
		if snap.revision == 0 {
			snap.revision = page.Revision
		}
		for _, item := range page.KeyValues {
			snap.items[item.Key] = item
		}
		if !page.More || len(page.KeyValues) == 0 {
			return snap, nil
		}
		after = page.KeyValues[len(page.KeyValues)-1].Key
	}
}

// apply applies an event, unless the key was listed at a later revision.
func (s *snapshot) apply(event wire.Event) {
	switch {
	case event.PutKey != "" && s.items[event.PutKey].ModRevision <= event.ModRevision:
		s.items[event.PutKey] = wire.KeyValue{Key: event.PutKey, Value: event.Value, ModRevision: event.ModRevision}
	case event.PutKey == "" && s.items[event.DeletedKey].ModRevision <= event.ModRevision:
		delete(s.items, event.DeletedKey)
	}
}

// checkLayouts fails if the record of a machine group has an unknown layout: in a view without
// its machines, their tasks would look unbound and be started a second time.
func (s *snapshot) checkLayouts() error {
	prefix := Key(KindMachineGroup, "")
	for _, item := range s.items {
		if !strings.HasPrefix(item.Key, prefix) {
			continue
		}
		if _, err := decodeGroup("", item.Value, 0, nil); errors.Is(err, ErrUnknownLayout) {
			return fmt.Errorf("%s: %w", item.Key, err)
		}
	}
	return nil
}

// applySnapshot makes the view equal to the snapshot, except for records that are newer in the
// view.
func (c *Cache) applySnapshot(snap *snapshot, startedAt time.Time) {
	var jobs, others []Change
	for _, item := range snap.items {
		if change, ok := c.decodeChange(item.Key, item.Value, item.ModRevision); ok && change.Kind == KindJob {
			jobs = append(jobs, change)
		} else if ok {
			others = append(others, change)
		}
	}
	c.sortChanges(others)
	changes := append(jobs, others...) // bindings and completions refer to jobs
	for _, known := range c.view.allRecords() {
		if _, listed := snap.items[known.Key]; !listed && known.ModRevision <= snap.revision {
			changes = append(changes, Change{Key: known.Key, Kind: known.Kind, Name: known.Name, ModRevision: snap.revision})
		}
	}
	c.progress.loaded = true
	c.progress.revision = max(c.progress.revision, snap.revision)
	c.progress.freshAsOf = startedAt
	c.publish(changes)
	slog.Info("state loaded", "keys", len(snap.items), "revision", snap.revision)
}
