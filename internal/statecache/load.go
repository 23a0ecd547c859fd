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

// snapshot is all keys at one revision.
type snapshot struct {
	items    map[string]wire.KeyValue
	revision uint64
}

// load reads all keys and has the view follow from there.
func (c *Cache) load() error {
	begun := time.Now()
	all, err := c.readSnapshot()
	if err != nil {
		return err
	}
	if err := all.checkLayouts(); err != nil {
		return err
	}
	c.Send(func() { c.applySnapshot(all, begun) })
	return nil
}

// readSnapshot lists all keys, page by page, and brings the pages to one revision: what moved
// from a key of a page yet to be read to a key of one that was read, as machines move from
// group to group, would otherwise be missing for a moment.
func (c *Cache) readSnapshot() (*snapshot, error) {
	all, err := c.listAll()
	if err != nil {
		return nil, err
	}
	since, err := c.store.Watch(c.ctx, KeyPrefix, all.revision, 0)
	if err != nil {
		return nil, err
	}
	for _, event := range since.Events {
		all.apply(event)
	}
	all.revision = max(all.revision, since.Revision)
	return all, nil
}

// listAll lists all keys. Its revision is that of the first page.
func (c *Cache) listAll() (*snapshot, error) {
	all := &snapshot{items: map[string]wire.KeyValue{}}
	for after := ""; ; {
		page, err := c.store.List(c.ctx, KeyPrefix, after, listPageSize)
		if err != nil {
			return nil, err
		}
		if all.revision == 0 {
			all.revision = page.Revision
		}
		for _, item := range page.KeyValues {
			all.items[item.Key] = item
		}
		if !page.More || len(page.KeyValues) == 0 {
			return all, nil
		}
		after = page.KeyValues[len(page.KeyValues)-1].Key
	}
}

// apply applies an event, unless the key was listed after it.
func (s *snapshot) apply(event wire.Event) {
	switch {
	case event.PutKey != "" && s.items[event.PutKey].ModRevision <= event.ModRevision:
		s.items[event.PutKey] = wire.KeyValue{Key: event.PutKey, Value: event.Value, ModRevision: event.ModRevision}
	case event.PutKey == "" && s.items[event.DeletedKey].ModRevision <= event.ModRevision:
		delete(s.items, event.DeletedKey)
	}
}

// checkLayouts fails if a group is in an unknown layout: a view without its machines would have
// their tasks started again.
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

// applySnapshot makes the view what the snapshot says, except where it is newer.
func (c *Cache) applySnapshot(all *snapshot, begun time.Time) {
	var jobs, others []Change
	for _, item := range all.items {
		if change, ok := c.decodeChange(item.Key, item.Value, item.ModRevision); ok && change.Kind == KindJob {
			jobs = append(jobs, change)
		} else if ok {
			others = append(others, change)
		}
	}
	c.sortChanges(others)
	changes := append(jobs, others...) // bindings and completions need their job
	for _, known := range c.view.allRecords() {
		if _, listed := all.items[known.Key]; !listed && known.ModRevision <= all.revision {
			changes = append(changes, Change{Key: known.Key, Kind: known.Kind, Name: known.Name, ModRevision: all.revision})
		}
	}
	c.progress.loaded = true
	c.progress.revision = max(c.progress.revision, all.revision)
	c.progress.freshAsOf = begun
	c.publish(changes)
	slog.Info("state loaded", "keys", len(all.items), "revision", all.revision)
}
