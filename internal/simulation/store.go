package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/kvstore"
	"lynxledge/wire"
)

// entry is what the store holds for a key.
type entry struct {
	value       json.RawMessage
	modRevision uint64
	lease       uint64 // 0: none
}

// Store simulates the key-value store: transactions with preconditions, watches and leases.
type Store struct {
	mu                 sync.Mutex
	revision           uint64
	keys               map[string]entry
	events             []wire.Event
	leases             map[uint64]*lease
	lastLeaseID        uint64
	expiredKeys        map[string]bool // keys ever deleted because their lease expired
	outage             bool
	unavailableFor     map[string]bool // members whose requests are rejected (503)
	unreadableFor      map[string]bool // members whose reads are rejected (503), while their transactions are executed
	interceptCommit    CommitInterceptor
	delayedFraction    float64 // of the transactions, which get no response and are committed later
	rng                *rand.Rand
	changed            chan struct{}         // closed and replaced by notifyWatchers
	IgnorePrecondition func(key string) bool // reports whether to skip the preconditions on a key, for tests of what they prevent; nil: none are skipped

	sentTimes sentTimes

	limits       StoreLimits
	writeLimiter *rate.Limiter // nil: no limit
	violations   []string
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{keys: map[string]entry{}, leases: map[uint64]*lease{}, expiredKeys: map[string]bool{}, unavailableFor: map[string]bool{}, unreadableFor: map[string]bool{},
		rng: rand.New(rand.NewPCG(1, 6)), changed: make(chan struct{})}
}

// Value returns the value of a key, nil if it has none.
func (s *Store) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.keys[key].value
}

// LargestValue returns the size of the largest value, in bytes.
func (s *Store) LargestValue() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.keys {
		n = max(n, len(e.value))
	}
	return n
}

// Dump lists every key with its revision and value, for the output of a failed test.
func (s *Store) Dump() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lines []string
	for k, e := range s.keys {
		lines = append(lines, fmt.Sprintf("%s@%d %s", k, e.modRevision, e.value))
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}

// notifyWatchers wakes all waiting watches; the caller holds the lock.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) commit(member string, txn *wire.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.unavailable(member) {
		return 0, kvstore.ErrRejected
	}
	if err := s.checkLimits(txn); err != nil {
		return 0, err
	}
	var failed []string
	for _, p := range txn.Preconditions {
		if s.keys[p.Key].modRevision != p.ModRevision && (s.IgnorePrecondition == nil || !s.IgnorePrecondition(p.Key)) {
			failed = append(failed, p.Key)
		}
	}
	for _, w := range txn.Writes {
		if w.LeaseID != 0 && s.leases[w.LeaseID] == nil {
			return 0, kvstore.ErrLeaseNotFound
		}
	}
	if len(failed) > 0 {
		return 0, &kvstore.ConflictError{FailedKeys: failed, Revision: s.revision}
	}
	if len(txn.Writes) == 0 {
		return s.revision, nil
	}
	s.revision++
	s.recordCommitted(txn)
	for _, w := range txn.Writes {
		if w.PutKey != "" {
			s.keys[w.PutKey] = entry{w.Value, s.revision, w.LeaseID}
			s.events = append(s.events, wire.Event{PutKey: w.PutKey, Value: w.Value, ModRevision: s.revision})
		} else if _, ok := s.keys[w.DeleteKey]; ok {
			delete(s.keys, w.DeleteKey)
			s.events = append(s.events, wire.Event{DeletedKey: w.DeleteKey, ModRevision: s.revision})
		}
	}
	s.notifyWatchers()
	return s.revision, nil
}

func (s *Store) list(member, prefix, after string, limit int) (*wire.RangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.unreadable(member) {
		return nil, kvstore.ErrRejected
	}
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := &wire.RangeResponse{Revision: s.revision}
	for i, k := range keys {
		if i == limit {
			out.More = true
			break
		}
		out.KeyValues = append(out.KeyValues, wire.KeyValue{Key: k, Value: s.keys[k].value, ModRevision: s.keys[k].modRevision})
	}
	return out, nil
}

func (s *Store) watch(ctx context.Context, member, prefix string, after uint64, hold time.Duration) (*wire.WatchResponse, error) {
	timeout := time.After(hold)
	for {
		s.mu.Lock()
		s.expireLeases()
		unreadable, changed := s.unreadable(member), s.changed
		out := &wire.WatchResponse{Revision: s.revision}
		// The events are ordered by revision: find the first one later than after.
		i := sort.Search(len(s.events), func(i int) bool { return s.events[i].ModRevision > after })
		if kept := s.limits.MaxWatchEvents; kept > 0 && len(s.events)-i > kept {
			s.mu.Unlock()
			return nil, kvstore.ErrRevisionCompacted
		}
		for _, e := range s.events[i:] {
			if strings.HasPrefix(e.PutKey+e.DeletedKey, prefix) {
				out.Events = append(out.Events, e)
			}
		}
		s.mu.Unlock()
		if unreadable && hold == 0 {
			return nil, kvstore.ErrRejected
		}
		if !unreadable && (len(out.Events) > 0 || hold == 0) {
			return out, nil
		}
		select {
		case <-changed:
		case <-timeout:
			if unreadable {
				return nil, kvstore.ErrRejected
			}
			return out, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
