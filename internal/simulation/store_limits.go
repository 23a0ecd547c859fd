package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/kvstore"
	"lynxledge/wire"
)

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
