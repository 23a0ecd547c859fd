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

// StoreLimits are the limits that the store enforces, along with wire.MaxBodyBytes. It rejects
// transactions that exceed one, and records a violation unless the limit is WriteRate.
type StoreLimits struct {
	WriteRate      float64 // writes per second
	MaxValueKB     float64
	MaxTxnOps      int // writes in a transaction; preconditions may be four times as many
	MaxWatchEvents int // a watch that is more events behind gets ErrRevisionCompacted; 0: no limit
}

// SetLimits makes the store enforce limits; without a call it enforces none.
func (s *Store) SetLimits(limits StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.writeLimiter = rate.NewLimiter(rate.Limit(limits.WriteRate), int(limits.WriteRate))
}

// Violations describes the transactions that exceeded a limit other than the write rate.
func (s *Store) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// checkLimits returns an error if a transaction exceeds a limit; the caller holds the lock.
func (s *Store) checkLimits(txn *wire.Txn) error {
	if s.writeLimiter == nil {
		return nil
	}
	for _, write := range txn.Writes {
		if maxBytes := s.limits.MaxValueKB * 1024; float64(len(write.Value)) > maxBytes {
			s.violations = append(s.violations, fmt.Sprintf("%s has %d bytes of %v", write.Key(), len(write.Value), maxBytes))
			return kvstore.ErrInvalidRequest
		}
	}
	body, _ := json.Marshal(txn)
	if writes, preconditions := len(txn.Writes), len(txn.Preconditions); writes > s.limits.MaxTxnOps || preconditions > 4*s.limits.MaxTxnOps || len(body) > wire.MaxBodyBytes {
		s.violations = append(s.violations, fmt.Sprintf("%d writes, %d preconditions, %d bytes in a transaction", writes, preconditions, len(body)))
		return kvstore.ErrInvalidRequest
	}
	if len(txn.Writes) > 0 && !s.writeLimiter.AllowN(time.Now(), len(txn.Writes)) {
		return kvstore.ErrThrottled
	}
	return nil
}
