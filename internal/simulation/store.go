package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/kvstore"
	"lynxledge/wire"
)

type entry struct {
	value       json.RawMessage
	modRevision uint64
	lease       uint64
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is the state service.
type Store struct {
	mu                 sync.Mutex
	revision           uint64
	keys               map[string]entry
	events             []wire.Event
	leases             map[uint64]*lease
	lastLeaseID        uint64
	outage             bool
	unavailableFor     map[string]bool // controllers that get nothing but 503
	delayedFraction    float64         // part of the transactions that are carried out later, unanswered
	rng                *rand.Rand
	changed            chan struct{}
	IgnorePrecondition func(key string) bool // guards to break on purpose

	sentTimes sentTimes

	limits       StoreLimits
	writeLimiter *rate.Limiter // nil: no limit
	violations   []string
}

// StoreLimits are the service's own. What is asked beyond them is refused, and kept
// as a breach unless only the rate is.
type StoreLimits struct {
	WriteRate      float64
	MaxValueKB     float64
	MaxTxnOps      int
	MaxWatchEvents int // changes kept for watches; 0: all
}

// SetLimits makes the service keep to limits.
func (s *Store) SetLimits(l StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
	s.writeLimiter = rate.NewLimiter(rate.Limit(l.WriteRate), int(l.WriteRate))
}

// Violations lists what was asked beyond the limits of one request.
func (s *Store) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// checkLimits tells whether a transaction is one that the service takes; the caller
// holds the lock.
func (s *Store) checkLimits(txn *wire.Txn) error {
	if s.writeLimiter == nil {
		return nil
	}
	for _, w := range txn.Writes {
		if max := s.limits.MaxValueKB * 1024; float64(len(w.Value)) > max {
			s.violations = append(s.violations, fmt.Sprintf("%s has %d bytes of %v", w.Key(), len(w.Value), max))
			return kvstore.ErrInvalidRequest
		}
	}
	body, _ := json.Marshal(txn)
	if n, g := len(txn.Writes), len(txn.Preconditions); n > s.limits.MaxTxnOps || g > 4*s.limits.MaxTxnOps || len(body) > wire.MaxBodyBytes {
		s.violations = append(s.violations, fmt.Sprintf("%d writes, %d guards, %d bytes in a transaction", n, g, len(body)))
		return kvstore.ErrInvalidRequest
	}
	if len(txn.Writes) > 0 && !s.writeLimiter.AllowN(time.Now(), len(txn.Writes)) {
		return kvstore.ErrThrottled
	}
	return nil
}

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{keys: map[string]entry{}, leases: map[uint64]*lease{}, unavailableFor: map[string]bool{},
		rng: rand.New(rand.NewPCG(1, 6)), changed: make(chan struct{})}
}

// SetOutage starts or ends an outage; after it every lease has its full time.
func (s *Store) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = down
	for _, l := range s.leases {
		l.expiresAt = time.Now().Add(l.ttl)
	}
	s.notifyWatchers()
}

// SetUnavailableFor makes the service refuse one controller, while it serves the others.
func (s *Store) SetUnavailableFor(node string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailableFor[node] = refused
	s.notifyWatchers()
}

// SetDelayedCommits leaves a part of the transactions unanswered; they are carried out 2
// to 12 s later, after newer ones.
func (s *Store) SetDelayedCommits(part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayedFraction = part
}

func (s *Store) commitDelay() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayedFraction == 0 || s.rng.Float64() >= s.delayedFraction {
		return 0, false
	}
	return 2*time.Second + time.Duration(s.rng.Int64N(int64(10*time.Second))), true
}

// unavailable tells whether a controller is refused; the caller holds the lock.
func (s *Store) unavailable(node string) bool { return s.outage || s.unavailableFor[node] }

// Value is what a key holds now, or nil.
func (s *Store) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.keys[key].value
}

// LargestValue is the size of the largest value.
func (s *Store) LargestValue() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.keys {
		n = max(n, len(e.value))
	}
	return n
}

// Dump lists every key with its value, for a failed test's report.
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

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes ended leases and their keys; the caller holds the lock.
func (s *Store) expireLeases() {
	if s.outage {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(s.leases, id)
		for k, e := range s.keys {
			if e.lease == id {
				s.revision++
				delete(s.keys, k)
				s.events = append(s.events, wire.Event{DeletedKey: k, ModRevision: s.revision})
			}
		}
		s.notifyWatchers()
	}
}

func (s *Store) commit(node string, txn *wire.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.unavailable(node) {
		return 0, kvstore.ErrRejected
	}
	if err := s.checkLimits(txn); err != nil {
		return 0, err
	}
	var failed []string
	for _, g := range txn.Preconditions {
		if s.keys[g.Key].modRevision != g.ModRevision && (s.IgnorePrecondition == nil || !s.IgnorePrecondition(g.Key)) {
			failed = append(failed, g.Key)
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
	s.noteCommitted(txn)
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

func (s *Store) list(node, prefix, after string, limit int) (*wire.RangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.unavailable(node) {
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

func (s *Store) watch(ctx context.Context, node, prefix string, after uint64, hold time.Duration) (*wire.WatchResponse, error) {
	end := time.After(hold)
	for {
		s.mu.Lock()
		s.expireLeases()
		down, changed := s.unavailable(node), s.changed
		out := &wire.WatchResponse{Revision: s.revision}
		// The log is ordered by revision; find the first change after it.
		i := sort.Search(len(s.events), func(i int) bool { return s.events[i].ModRevision > after })
		if keep := s.limits.MaxWatchEvents; keep > 0 && len(s.events)-i > keep {
			s.mu.Unlock()
			return nil, kvstore.ErrRevisionCompacted
		}
		for _, e := range s.events[i:] {
			if strings.HasPrefix(e.PutKey+e.DeletedKey, prefix) {
				out.Events = append(out.Events, e)
			}
		}
		s.mu.Unlock()
		if down && hold == 0 {
			return nil, kvstore.ErrRejected
		}
		if !down && (len(out.Events) > 0 || hold == 0) {
			return out, nil
		}
		select {
		case <-changed:
		case <-end:
			if down {
				return nil, kvstore.ErrRejected
			}
			return out, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *Store) grant(node string, ttl time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable(node) {
		return 0, kvstore.ErrRejected
	}
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl, time.Now().Add(ttl)}
	return s.lastLeaseID, nil
}

func (s *Store) renew(node string, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.unavailable(node) {
		return kvstore.ErrRejected
	}
	l := s.leases[id]
	if l == nil {
		return kvstore.ErrNotFound
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return nil
}

// StoreConn is one controller's connection to the state service.
type StoreConn struct {
	Store   *Store
	Network *Network
	Member  string
	Timeout time.Duration
}

// List and the other methods are what the controllers use.
func (c *StoreConn) List(ctx context.Context, prefix, after string, limit int) (*wire.RangeResponse, error) {
	return send(ctx, c.Network, c.Member, StoreHost, c.Timeout, func() (*wire.RangeResponse, error) { return c.Store.list(c.Member, prefix, after, limit) })
}

// Commit applies a transaction, perhaps late or unanswered.
func (c *StoreConn) Commit(ctx context.Context, txn *wire.Txn) (uint64, error) {
	type result struct {
		rev  uint64
		late bool
	}
	c.Store.noteSent(txn)
	r, err := send(ctx, c.Network, c.Member, StoreHost, c.Timeout, func() (result, error) {
		if d, late := c.Store.commitDelay(); late {
			go func() {
				time.Sleep(d)
				_, _ = c.Store.commit(c.Member, txn)
			}()
			return result{late: true}, nil
		}
		rev, err := c.Store.commit(c.Member, txn)
		return result{rev: rev}, err
	})
	if r.late {
		return 0, errNoAnswer
	}
	return r.rev, err
}

// Watch watches.
func (c *StoreConn) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.WatchResponse, error) {
	return send(ctx, c.Network, c.Member, StoreHost, c.Timeout+hold, func() (*wire.WatchResponse, error) {
		return c.Store.watch(ctx, c.Member, prefix, after, hold)
	})
}

// GrantLease makes a lease.
func (c *StoreConn) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	return send(ctx, c.Network, c.Member, StoreHost, c.Timeout, func() (uint64, error) { return c.Store.grant(c.Member, ttl) })
}

// RenewLease keeps a lease.
func (c *StoreConn) RenewLease(ctx context.Context, id uint64) error {
	_, err := send(ctx, c.Network, c.Member, StoreHost, c.Timeout, func() (struct{}, error) { return struct{}{}, c.Store.renew(c.Member, id) })
	return err
}
