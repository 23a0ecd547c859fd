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

// StoreLimits are the limits that the store enforces. What exceeds them is rejected, and recorded
// as a violation unless only the rate is exceeded.
type StoreLimits struct {
	WriteRate      float64
	MaxValueKB     float64
	MaxTxnOps      int
	MaxWatchEvents int // changes kept for watches; 0: all
}

// SetLimits has the store enforce limits.
func (s *Store) SetLimits(limits StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.writeLimiter = rate.NewLimiter(rate.Limit(limits.WriteRate), int(limits.WriteRate))
}

// Violations lists the transactions that exceeded the limits of one request.
func (s *Store) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// checkLimits checks a transaction against the limits; the caller holds the lock.
func (s *Store) checkLimits(txn *wire.Txn) error {
	if s.writeLimiter == nil {
		return nil
	}
	for _, write := range txn.Writes {
		if most := s.limits.MaxValueKB * 1024; float64(len(write.Value)) > most {
			s.violations = append(s.violations, fmt.Sprintf("%s has %d bytes of %v", write.Key(), len(write.Value), most))
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
