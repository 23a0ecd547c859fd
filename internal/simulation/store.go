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
	value   json.RawMessage
	version uint64
	lease   uint64
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store is the state service.
type Store struct {
	mu       sync.Mutex
	rev      uint64
	keys     map[string]entry
	log      []wire.Event
	leases   map[uint64]*lease
	nextID   uint64
	down     bool
	refused  map[string]bool // controllers that get nothing but 503
	late     float64         // part of the transactions that are carried out later, unanswered
	rng      *rand.Rand
	changed  chan struct{}
	IgnoreIf func(key string) bool // guards to break on purpose

	decisions decisions

	limits     StoreLimits
	writes     *rate.Limiter // nil: no limit
	violations []string
}

// StoreLimits are the service's own. What is asked beyond them is refused, and kept
// as a breach unless only the rate is.
type StoreLimits struct {
	WriteRate  float64
	MaxValueKB float64
	MaxTxnOps  int
	Keep       int // changes kept for watches; 0: all
}

// SetLimits makes the service keep to limits.
func (s *Store) SetLimits(l StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
	s.writes = rate.NewLimiter(rate.Limit(l.WriteRate), int(l.WriteRate))
}

// Violations lists what was asked beyond the limits of one request.
func (s *Store) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// check tells whether a transaction is one that the service takes; the caller
// holds the lock.
func (s *Store) check(txn *wire.Txn) error {
	if s.writes == nil {
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
	if len(txn.Writes) > 0 && !s.writes.AllowN(time.Now(), len(txn.Writes)) {
		return kvstore.ErrThrottled
	}
	return nil
}

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{keys: map[string]entry{}, leases: map[uint64]*lease{}, refused: map[string]bool{},
		rng: rand.New(rand.NewPCG(1, 6)), changed: make(chan struct{})}
}

// SetDown starts or ends an outage; after it every lease has its full time.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, l := range s.leases {
		l.ends = time.Now().Add(l.ttl)
	}
	s.wake()
}

// Refuse makes the service refuse one controller, while it serves the others.
func (s *Store) Refuse(node string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = refused
	s.wake()
}

// SetLate leaves a part of the transactions unanswered; they are carried out 2
// to 12 s later, after newer ones.
func (s *Store) SetLate(part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = part
}

func (s *Store) delays() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late == 0 || s.rng.Float64() >= s.late {
		return 0, false
	}
	return 2*time.Second + time.Duration(s.rng.Int64N(int64(10*time.Second))), true
}

// denies tells whether a controller is refused; the caller holds the lock.
func (s *Store) denies(node string) bool { return s.down || s.refused[node] }

// Value is what a key holds now, or nil.
func (s *Store) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.keys[key].value
}

// Largest is the size of the largest value.
func (s *Store) Largest() int {
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
		lines = append(lines, fmt.Sprintf("%s@%d %s", k, e.version, e.value))
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes ended leases and their keys; the caller holds the lock.
func (s *Store) expire() {
	if s.down {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		for k, e := range s.keys {
			if e.lease == id {
				s.rev++
				delete(s.keys, k)
				s.log = append(s.log, wire.Event{DeletedKey: k, ModRevision: s.rev})
			}
		}
		s.wake()
	}
}

func (s *Store) commit(node string, txn *wire.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.denies(node) {
		return 0, kvstore.ErrRejected
	}
	if err := s.check(txn); err != nil {
		return 0, err
	}
	var failed []string
	for _, g := range txn.Preconditions {
		if s.keys[g.Key].version != g.ModRevision && (s.IgnoreIf == nil || !s.IgnoreIf(g.Key)) {
			failed = append(failed, g.Key)
		}
	}
	for _, w := range txn.Writes {
		if w.LeaseID != 0 && s.leases[w.LeaseID] == nil {
			return 0, kvstore.ErrLeaseNotFound
		}
	}
	if len(failed) > 0 {
		return 0, &kvstore.ConflictError{FailedKeys: failed, Revision: s.rev}
	}
	if len(txn.Writes) == 0 {
		return s.rev, nil
	}
	s.rev++
	s.carriedOut(txn)
	for _, w := range txn.Writes {
		if w.PutKey != "" {
			s.keys[w.PutKey] = entry{w.Value, s.rev, w.LeaseID}
			s.log = append(s.log, wire.Event{PutKey: w.PutKey, Value: w.Value, ModRevision: s.rev})
		} else if _, ok := s.keys[w.DeleteKey]; ok {
			delete(s.keys, w.DeleteKey)
			s.log = append(s.log, wire.Event{DeletedKey: w.DeleteKey, ModRevision: s.rev})
		}
	}
	s.wake()
	return s.rev, nil
}

func (s *Store) list(node, prefix, after string, limit int) (*wire.RangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.denies(node) {
		return nil, kvstore.ErrRejected
	}
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := &wire.RangeResponse{Revision: s.rev}
	for i, k := range keys {
		if i == limit {
			out.More = true
			break
		}
		out.KeyValues = append(out.KeyValues, wire.KeyValue{Key: k, Value: s.keys[k].value, ModRevision: s.keys[k].version})
	}
	return out, nil
}

func (s *Store) follow(ctx context.Context, node, prefix string, after uint64, hold time.Duration) (*wire.WatchResponse, error) {
	end := time.After(hold)
	for {
		s.mu.Lock()
		s.expire()
		down, changed := s.denies(node), s.changed
		out := &wire.WatchResponse{Revision: s.rev}
		// The log is ordered by revision; find the first change after it.
		i := sort.Search(len(s.log), func(i int) bool { return s.log[i].ModRevision > after })
		if keep := s.limits.Keep; keep > 0 && len(s.log)-i > keep {
			s.mu.Unlock()
			return nil, kvstore.ErrRevisionCompacted
		}
		for _, e := range s.log[i:] {
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
	if s.denies(node) {
		return 0, kvstore.ErrRejected
	}
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
	return s.nextID, nil
}

func (s *Store) renew(node string, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.denies(node) {
		return kvstore.ErrRejected
	}
	l := s.leases[id]
	if l == nil {
		return kvstore.ErrNotFound
	}
	l.ends = time.Now().Add(l.ttl)
	return nil
}

// StoreConn is one controller's connection to the state service.
type StoreConn struct {
	Store   *Store
	Net     *Network
	Node    string
	Timeout time.Duration
}

// List and the other methods are what the controllers use.
func (c *StoreConn) List(ctx context.Context, prefix, after string, limit int) (*wire.RangeResponse, error) {
	return send(ctx, c.Net, c.Node, StoreHost, c.Timeout, func() (*wire.RangeResponse, error) { return c.Store.list(c.Node, prefix, after, limit) })
}

// Commit applies a transaction, perhaps late or unanswered.
func (c *StoreConn) Commit(ctx context.Context, txn *wire.Txn) (uint64, error) {
	type result struct {
		rev  uint64
		late bool
	}
	c.Store.sending(txn)
	r, err := send(ctx, c.Net, c.Node, StoreHost, c.Timeout, func() (result, error) {
		if d, late := c.Store.delays(); late {
			go func() {
				time.Sleep(d)
				_, _ = c.Store.commit(c.Node, txn)
			}()
			return result{late: true}, nil
		}
		rev, err := c.Store.commit(c.Node, txn)
		return result{rev: rev}, err
	})
	if r.late {
		return 0, errNoAnswer
	}
	return r.rev, err
}

// Watch watches.
func (c *StoreConn) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.WatchResponse, error) {
	return send(ctx, c.Net, c.Node, StoreHost, c.Timeout+hold, func() (*wire.WatchResponse, error) {
		return c.Store.follow(ctx, c.Node, prefix, after, hold)
	})
}

// GrantLease makes a lease.
func (c *StoreConn) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	return send(ctx, c.Net, c.Node, StoreHost, c.Timeout, func() (uint64, error) { return c.Store.grant(c.Node, ttl) })
}

// RenewLease keeps a lease.
func (c *StoreConn) RenewLease(ctx context.Context, id uint64) error {
	_, err := send(ctx, c.Net, c.Node, StoreHost, c.Timeout, func() (struct{}, error) { return struct{}{}, c.Store.renew(c.Node, id) })
	return err
}
